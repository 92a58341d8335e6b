//! What a rate limiter charges for a request, and why it refuses one.

use std::time;
use world::Name;

/// The window over which use is counted, and by how much it may pass the limit because
/// entries learn of each other's use late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the window.
    pub window: time::Duration,
    /// Fraction of the limit.
    pub overage: f64,
    /// Units besides.
    pub slack: f64,
}

/// What an organisation may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Allowance {
    /// Units per second.
    pub(crate) rate: f64,
    /// Units that may be spent at once on top of the rate.
    pub(crate) burst: f64,
    /// Units within a window.
    pub(crate) limit: f64,
}

/// Units that were charged for a request; they can be given back if it has not run.
#[derive(Clone, Debug, PartialEq)]
pub struct Charge {
    pub(crate) tenant: Name,
    pub(crate) units: f64,
    pub(crate) charged_at: time::Instant,
}

/// Why a request exceeds its organisation's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExcessUse {
    /// Units that the request asked for.
    pub units: f64,
    /// Units admitted by this entry within the window.
    pub own: f64,
    /// Units that peers have admitted within the window.
    pub peers: f64,
    /// Units that silent peers, or entries before their restart, are assumed to
    /// have admitted.
    pub assumed: f64,
    /// Units that the organisation may use within the window.
    pub limit: f64,
    /// Age of the oldest report among the peers that are counted.
    pub report_age: time::Duration,
    /// Time after which there will be room for this request alone, at most a window.
    pub wait: time::Duration,
}

impl ExcessUse {
    /// Returns the units that are left of the limit; negative if it is passed already.
    pub(crate) fn room(&self) -> f64 {
        self.limit - self.own - self.peers - self.assumed
    }
}
