//! The order among requests that wait.

use std::time;

/// Slacks closer than this count as equal, so that fairness decides.
const SLACK_STEP: time::Duration = time::Duration::from_millis(50);

/// Slack beyond any class's target.
const NO_DEADLINE_SLACK: time::Duration = time::Duration::from_secs(86_400);

/// How pressing a request is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Urgency {
    /// When its first token is due.
    pub due: time::Instant,
    /// Whether its class yields to others.
    pub yields: bool,
    /// The part of its allowance that its organisation has used lately.
    pub usage_share: f64,
    /// Time from a grant to its first token, as its entry expects it.
    pub lead_time: time::Duration,
    /// Its target between tokens.
    pub gap_target: time::Duration,
}

/// The order in which waiting work is taken; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    band: Band,
    slack: u128,
    share: u64,
}

/// Work that can still meet its target goes before work that cannot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Band {
    OnTime,
    Yielding,
    Late,
}

impl Urgency {
    /// Tells whether its first token can no longer come in time.
    pub(crate) fn is_late(&self, now: time::Instant) -> bool {
        self.due <= now + self.lead_time
    }

    /// Tells whether its target is so far off that only its arrival counts, as
    /// for all work of a baseline.
    pub(crate) fn has_no_deadline(&self, now: time::Instant) -> bool {
        self.due.saturating_duration_since(now) > NO_DEADLINE_SLACK
    }

    /// Tells what the request can still reach at `now`.
    pub(crate) fn band(&self, now: time::Instant) -> Band {
        match (self.is_late(now), self.yields) {
            (true, _) => Band::Late,
            (false, true) => Band::Yielding,
            (false, false) => Band::OnTime,
        }
    }

    /// Ranks the request at `now`.
    pub(crate) fn rank(&self, now: time::Instant) -> Rank {
        let slack = self.due.saturating_duration_since(now + self.lead_time);
        Rank {
            band: self.band(now),
            slack: slack.as_nanos() / SLACK_STEP.as_nanos(),
            share: (self.usage_share.max(0.0) * 1_000.0) as u64,
        }
    }
}
