//! Verdicts on what crashes engines.

use crate::crashes::evidence::CrashId;
use crate::crashes::evidence::ElementSet;
use seam::Revision;
use std::collections;
use std::time;

/// How long after its last crash a verdict holds.
pub(super) const VERDICT_TTL: time::Duration = time::Duration::from_secs(3_600);
/// Crashes after which no request is let through any more to test a verdict.
const MAX_TESTED_CRASHES: usize = 3;
/// Time from the last crash, or from the last test, to a test of a verdict.
const TEST_DELAY: time::Duration = time::Duration::from_secs(5);
/// Largest number of crashes that a report names.
const MAX_REPORTED_CRASHES: usize = 8;

/// A set of elements that crashes engines: a request that holds all of them is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// What the refused requests hold.
    pub elements: ElementSet,
    /// The known crashes.
    pub crashes: collections::BTreeSet<CrashId>,
    /// When the last of them happened.
    pub last_crash: time::Instant,
    /// Revision of its key in the store, once it is there.
    pub revision: Option<Revision>,
    /// When a request was last let through to test it.
    pub(super) tested_at: Option<time::Instant>,
}

/// A verdict as entries tell it to each other and keep it in the store.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct VerdictReport {
    /// What the refused requests hold.
    pub elements: ElementSet,
    /// Some of the crashes.
    pub crashes: Vec<CrashId>,
    /// Milliseconds since the last crash.
    pub age_ms: u64,
    /// Revision of its key in the store, once it is there.
    pub revision: Option<Revision>,
}

impl Verdict {
    pub(super) fn new(elements: ElementSet, last_crash: time::Instant) -> Self {
        Self {
            elements,
            crashes: collections::BTreeSet::new(),
            last_crash,
            revision: None,
            tested_at: None,
        }
    }

    /// Returns the verdict for peers or for the store.
    pub fn report(&self, now: time::Instant) -> VerdictReport {
        let age = now.saturating_duration_since(self.last_crash);
        VerdictReport {
            elements: self.elements.clone(),
            crashes: self
                .crashes
                .iter()
                .take(MAX_REPORTED_CRASHES)
                .cloned()
                .collect(),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            revision: self.revision,
        }
    }

    /// Returns the elements as they are written in logs.
    pub fn label(&self) -> String {
        let labels: Vec<String> = self.elements.iter().map(ToString::to_string).collect();
        labels.join("+")
    }

    /// Returns the hosts that crashed, as they are written in logs.
    pub fn hosts(&self) -> String {
        let hosts: Vec<&str> = self.crashes.iter().map(|c| &*c.host).collect();
        hosts.join(",")
    }

    pub(super) fn holds(&self, now: time::Instant) -> bool {
        now.saturating_duration_since(self.last_crash) < VERDICT_TTL
    }

    /// Returns whether one request may be let through, so that a verdict on the sound
    /// does not last. One with many crashes is certain.
    pub(super) fn is_test_due(&self, now: time::Instant) -> bool {
        if self.crashes.len() >= MAX_TESTED_CRASHES {
            return false;
        }
        let last = self
            .tested_at
            .map_or(self.last_crash, |t| t.max(self.last_crash));
        now.saturating_duration_since(last) >= TEST_DELAY
    }
}
