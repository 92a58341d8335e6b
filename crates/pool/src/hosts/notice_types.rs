//! Upstream processes, the calls to them and why one is not made.

use std::time;
use world::Name;

/// One process of an upstream host, from its start to its end.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Incarnation {
    /// Id of the host.
    pub id: Name,
    /// Start time in Unix milliseconds.
    pub started_ms: u64,
}

impl From<&seam::Target> for Incarnation {
    fn from(target: &seam::Target) -> Self {
        Self {
            id: target.id.clone(),
            started_ms: target.started_ms,
        }
    }
}

impl From<&seam::Member> for Incarnation {
    fn from(member: &seam::Member) -> Self {
        Self {
            id: member.id.clone(),
            started_ms: member.started_ms,
        }
    }
}

/// What a call asks of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum CallKind {
    /// New work, which a leaving host must not get.
    #[display("work")]
    Work,
    /// Work for which the host has granted a reservation.
    #[display("granted")]
    Granted,
    /// A report, a check, or the release of what the host holds.
    #[display("control")]
    Control,
}

/// Why a call must not be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Withheld {
    /// The host is leaving.
    #[display("leaving")]
    Leaving,
    /// The host wants no call yet.
    #[display("paused")]
    Paused,
    /// Another call tests whether the host takes calls again.
    #[display("probed")]
    Probed,
    /// The host's zone is evacuated.
    #[display("evacuated")]
    Evacuated,
    /// The host is cold and tolerates no other request yet.
    #[display("cold")]
    Cold,
}

/// Permission to make a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// Nothing speaks against the call.
    Usual,
    /// The call tests whether the host takes calls again. It is told from other tests by
    /// the time at which it started.
    Probe(time::Instant),
}

/// What a notice has changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeEffect {
    /// Whether it was not known yet that the host is leaving.
    pub leaves: bool,
    /// How long the host gets no call from the arrival of the notice on.
    pub pause: Option<time::Duration>,
}
