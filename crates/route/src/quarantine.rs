//! Quarantine for requests that crash engines; see docs/DESIGN.md, "Requests that
//! crash engines".

use std::collections;
use std::time;
use world::Name;
use xxhash_rust::xxh3;

/// Crashes after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 2;
/// How long after its last crash a request is remembered.
const RETENTION: time::Duration = time::Duration::from_secs(3_600);

/// Hash of a request's content, by which a resent request is recognised. Its text
/// form has 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
#[display("{_0:032x}")]
pub struct Digest(pub u128);

impl Digest {
    /// Hashes the model's name and the prompt.
    pub fn of_content(model: &str, prompt: &str) -> Self {
        Self::of_bytes(model.as_bytes(), prompt.as_bytes())
    }

    /// Hashes a request's body and a name that tells requests with equal bodies apart.
    pub fn of_bytes(name: &[u8], body: &[u8]) -> Self {
        let mut state = xxh3::Xxh3::new();
        state.update(name);
        state.update(&[0]);
        state.update(body);
        Self(state.digest128())
    }

    /// Parses the text form; `None` if `text` is no hexadecimal number of 128 bits.
    pub fn parse(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().map(Self)
    }
}

/// Identifies one crash, so that a crash reported twice counts once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashId {
    /// Host whose engine crashed.
    pub host: Name,
    /// Sequence number of the crash, counted by that host's agent.
    pub count: u64,
}

/// Crashes of engines by the content of the request that ran there.
///
/// A request with one crash is a suspect; one with two is quarantined.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: collections::BTreeMap<Digest, Crashes>,
}

/// Crashes in which the same request ran.
#[derive(Clone, Debug)]
struct Crashes {
    ids: collections::BTreeSet<CrashId>,
    last_crash: time::Instant,
}

impl Quarantine {
    /// Records a crash observed here or reported by a peer. Returns whether it was
    /// new.
    pub fn record_crash(&mut self, digest: Digest, id: CrashId, now: time::Instant) -> bool {
        self.crashes
            .retain(|_, c| now.saturating_duration_since(c.last_crash) < RETENTION);
        let crashes = self.crashes.entry(digest).or_insert_with(|| Crashes {
            ids: collections::BTreeSet::new(),
            last_crash: now,
        });
        crashes.last_crash = crashes.last_crash.max(now);
        crashes.ids.insert(id)
    }

    /// Clears a suspect after a complete answer, since another request must have
    /// caused the crash. A quarantined request stays quarantined.
    pub fn clear_suspect(&mut self, digest: Digest) {
        let suspect = self.crashes.get(&digest);
        if suspect.is_some_and(|c| c.ids.len() < QUARANTINE_CRASHES) {
            self.crashes.remove(&digest);
        }
    }

    /// Returns whether a request is quarantined and may not run.
    pub fn is_quarantined(&self, digest: Digest) -> bool {
        self.crashes
            .get(&digest)
            .is_some_and(|c| c.ids.len() >= QUARANTINE_CRASHES)
    }

    /// Returns whether a request is a suspect or quarantined.
    pub fn is_suspect(&self, digest: Digest) -> bool {
        self.crashes.contains_key(&digest)
    }
}
