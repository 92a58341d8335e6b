//! Requests that crash engines; see docs/DESIGN.md, "Requests that crash engines".

use std::collections;
use std::time;
use world::Name;
use xxhash_rust::xxh3;

/// Crashes after which a request is run no more.
const MOST_CRASHES: usize = 2;
/// How long crashes are remembered.
const MEMORY: time::Duration = time::Duration::from_secs(3_600);

/// Names a request by its content, so that a resend is known again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
#[display("{_0:032x}")]
pub struct Digest(pub u128);

impl Digest {
    /// Digests what an engine is given.
    pub fn of_content(model: &str, prompt: &str) -> Self {
        Self::of_bytes(model.as_bytes(), prompt.as_bytes())
    }

    /// Digests a request by what names it and its body.
    pub fn of_bytes(name: &[u8], body: &[u8]) -> Self {
        let mut state = xxh3::Xxh3::new();
        state.update(name);
        state.update(&[0]);
        state.update(body);
        Self(state.digest128())
    }

    /// Reads the text form.
    pub fn parse(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().map(Self)
    }
}

/// Names one crash, so that hearing of it twice counts once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashId {
    /// The host whose engine crashed.
    pub host: Name,
    /// Counts the crashes seen by that host's agent.
    pub count: u64,
}

/// Requests that have crashed upstreams, by content.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: collections::BTreeMap<Digest, Crashes>,
}

#[derive(Clone, Debug)]
struct Crashes {
    ids: collections::BTreeSet<CrashId>,
    last: time::Instant,
}

impl Quarantine {
    /// Notes a crash, also one heard from a peer; tells whether it was new.
    pub fn record_crash(&mut self, digest: Digest, id: CrashId, now: time::Instant) -> bool {
        self.crashes
            .retain(|_, c| now.saturating_duration_since(c.last) < MEMORY);
        let crashes = self.crashes.entry(digest).or_insert_with(|| Crashes {
            ids: collections::BTreeSet::new(),
            last: now,
        });
        crashes.last = crashes.last.max(now);
        crashes.ids.insert(id)
    }

    /// Forgets a suspect that was answered whole: another was to blame.
    pub fn clear_suspect(&mut self, digest: Digest) {
        let suspect = self.crashes.get(&digest);
        if suspect.is_some_and(|c| c.ids.len() < MOST_CRASHES) {
            self.crashes.remove(&digest);
        }
    }

    /// Tells whether a request may no longer run.
    pub fn is_quarantined(&self, digest: Digest) -> bool {
        self.crashes
            .get(&digest)
            .is_some_and(|c| c.ids.len() >= MOST_CRASHES)
    }

    /// Tells whether a request has crashed an upstream before.
    pub fn is_suspect(&self, digest: Digest) -> bool {
        self.crashes.contains_key(&digest)
    }
}
