//! The order in which waiting requests are served.

use std::time;

/// Slacks within the same step of this length count as equal; the usage share then
/// decides.
const SLACK_STEP: time::Duration = time::Duration::from_millis(50);

/// Slack above this, which no class's target reaches, marks a request without a
/// deadline.
const NO_DEADLINE_SLACK: time::Duration = time::Duration::from_secs(86_400);

/// Deadline and targets of a request, from which its rank among waiting requests
/// follows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Urgency {
    /// Time at which the first token is due.
    pub due: time::Instant,
    /// Whether the request's class yields to other classes.
    pub yields: bool,
    /// Fraction of its rate that the request's organisation used recently; see
    /// [`RecentUsage`](crate::RecentUsage).
    pub usage_share: f64,
    /// Estimated time from the grant of a seat to the first token; in a prefill
    /// queue, the estimated time of the prefill.
    pub lead_time: time::Duration,
    /// Target for the time between tokens.
    pub gap_target: time::Duration,
}

/// Sort key of waiting requests; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    band: Band,
    /// Time left before the request must be served, in multiples of the slack step.
    slack: u128,
    /// Usage share in thousandths.
    share: u64,
}

/// Coarsest part of the rank: requests that can still meet the target for their
/// first token go before those that can't.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Band {
    /// On time, in a class that doesn't yield.
    OnTime,
    /// On time, in a class that yields to others.
    Yielding,
    /// Too late for the target of the first token.
    Late,
}

impl Urgency {
    /// Returns whether the first token can no longer arrive in time.
    pub(crate) fn is_late(&self, now: time::Instant) -> bool {
        self.due <= now + self.lead_time
    }

    /// Returns whether the request has no real deadline, so that only its time of
    /// arrival counts. The baseline policies, which are all except `goodput`, send
    /// their requests this way.
    pub(crate) fn has_no_deadline(&self, now: time::Instant) -> bool {
        self.due.saturating_duration_since(now) > NO_DEADLINE_SLACK
    }

    /// Returns the band of the request at `now`.
    pub(crate) fn band(&self, now: time::Instant) -> Band {
        match (self.is_late(now), self.yields) {
            (true, _) => Band::Late,
            (false, true) => Band::Yielding,
            (false, false) => Band::OnTime,
        }
    }

    /// Returns the sort key of the request at `now`.
    pub(crate) fn rank(&self, now: time::Instant) -> Rank {
        let slack = self.due.saturating_duration_since(now + self.lead_time);
        Rank {
            band: self.band(now),
            slack: slack.as_nanos() / SLACK_STEP.as_nanos(),
            share: (self.usage_share.max(0.0) * 1_000.0) as u64,
        }
    }
}
