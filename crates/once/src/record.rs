//! The format in which claims are stored.

use sha2::Digest;
use std::collections;
use std::time;

/// How long a claim is kept.
const RETENTION: time::Duration = time::Duration::from_secs(24 * 3_600);
/// Largest encoded record; the store accepts values up to one megabyte.
const MAX_RECORD_BYTES: usize = 900_000;
/// Largest answer, in bytes of headers and body, that is kept for resent calls.
const MAX_ANSWER_BYTES: usize = 16 * 1024;

/// Hash of an organisation's idempotency key or of a call's content: the first 16 bytes
/// of a SHA-256, as 32 hexadecimal digits.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct HexHash(String);

impl HexHash {
    /// Hashes a list of parts. Each part's length is hashed too, so that lists which
    /// only divide the same bytes differently have different hashes.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        const HASH_BYTES: usize = 16;
        let mut hash = sha2::Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let digest = hash.finalize();
        let text = digest[..HASH_BYTES]
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect();
        Self(text)
    }
}

/// A service's answer, kept for resent calls.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, String)>,
    /// Body in base64.
    pub body: String,
}

impl Answer {
    fn size(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        self.body.len() + headers
    }
}

/// What is known of the call that claimed a key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimState {
    /// The call may have run.
    Claimed,
    /// The call has run and got this answer.
    Done(Answer),
    /// The call has run; its answer was too large to keep.
    Ran,
    /// The call has certainly not run; the key may be claimed again.
    Void,
}

/// The claim of a key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Claim {
    /// Hash of the call's content, which tells a resent call from a reused key.
    pub content: HexHash,
    /// Identifies the claimant; differs for each attempt to claim.
    pub by: String,
    /// Time of the claim's last change, in seconds since the Unix epoch.
    pub at: u64,
    /// What is known of the call.
    pub state: ClaimState,
}

/// All claims of a shard, as stored in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ShardRecord {
    /// Identifies the write; differs for each one.
    pub writer: String,
    /// The claims by hash of their key.
    pub claims: collections::BTreeMap<HexHash, Claim>,
}

impl ShardRecord {
    /// Removes claims older than the retention. `now` is the time since the Unix
    /// epoch.
    pub(crate) fn prune(&mut self, now: time::Duration) {
        let oldest = now.saturating_sub(RETENTION).as_secs();
        self.claims.retain(|_, c| c.at >= oldest);
    }

    /// Encodes the record as JSON, dropping the oldest answers until it fits.
    /// Returns `None` if it doesn't fit even without answers.
    pub(crate) fn encode(&mut self) -> Option<Vec<u8>> {
        loop {
            let bytes = serde_json::to_vec(self).ok()?;
            if bytes.len() <= MAX_RECORD_BYTES {
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
    /// Returns the state of a call that got an answer, without the answer if that is
    /// too large to keep.
    pub(crate) fn of_answer(answer: Answer) -> Self {
        match answer.size() <= MAX_ANSWER_BYTES {
            true => ClaimState::Done(answer),
            false => ClaimState::Ran,
        }
    }
}
