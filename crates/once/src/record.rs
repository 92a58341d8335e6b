//! The form in which claims lie in the store.

use sha2::Digest;
use std::collections;
use std::time;

/// How long a key is remembered.
const RETENTION: time::Duration = time::Duration::from_secs(24 * 3_600);
/// Most bytes of a record; the store takes a megabyte.
const MOST_BYTES: usize = 900_000;
/// Answers above this are not kept for resends.
const ANSWER_BYTES: usize = 16 * 1024;

/// Names an organisation's idempotency key, or a call's content.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct KeyHash(String);

impl KeyHash {
    /// Hashes parts so that no two lists of parts look alike.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        const KEPT_BYTES: usize = 16;
        let mut hash = sha2::Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        let text = digest[..KEPT_BYTES]
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect();
        Self(text)
    }
}

/// A service's answer, kept for resends. The body is base64.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
}

impl Answer {
    fn bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        self.body.len() + headers
    }
}

/// What is known of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimState {
    /// It may have run.
    Claimed,
    /// It ran; this was the answer.
    Done(Answer),
    /// It ran; the answer was too large to keep.
    Ran,
    /// It has surely not run, and may be claimed again.
    Void,
}

/// One claim of one key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Claim {
    /// What the call consists of, to tell a resend from a reused key.
    pub content: KeyHash,
    /// Who claimed it; differs with each attempt to claim.
    pub by: String,
    /// When, in seconds since the Unix epoch.
    pub at: u64,
    /// What is known of it.
    pub state: ClaimState,
}

/// All claims of one shard, as the store keeps them.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ShardRecord {
    /// Differs with each write.
    pub writer: String,
    /// The claims by key.
    pub claims: collections::BTreeMap<KeyHash, Claim>,
}

impl ShardRecord {
    /// Forgets keys that are past their time.
    pub(crate) fn prune(&mut self, now: time::Duration) {
        let oldest = now.saturating_sub(RETENTION).as_secs();
        self.claims.retain(|_, c| c.at >= oldest);
    }

    /// Writes the record, giving up the oldest answers where it would not fit.
    /// Gives none where the claims alone are too many.
    pub(crate) fn encode(&mut self) -> Option<Vec<u8>> {
        loop {
            let bytes = serde_json::to_vec(self).ok()?;
            if bytes.len() <= MOST_BYTES {
                return Some(bytes);
            }
            let oldest = self
                .claims
                .iter_mut()
                .filter(|(_, c)| matches!(c.state, ClaimState::Done(_)))
                .min_by_key(|(_, c)| c.at)?;
            oldest.1.state = ClaimState::Ran;
        }
    }
}

impl ClaimState {
    /// What to keep of an answer.
    pub(crate) fn of_answer(answer: Answer) -> Self {
        match answer.bytes() <= ANSWER_BYTES {
            true => ClaimState::Done(answer),
            false => ClaimState::Ran,
        }
    }
}
