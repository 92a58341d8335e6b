//! What an upstream host says of itself in its answers.

use crate::Target;
use std::time;
use world::Name;

/// A notice in the answer of an upstream host, on any call. An answer without one says
/// nothing and gives no notice.
#[derive(Clone, Debug, PartialEq)]
pub struct HostNotice {
    /// Process that answered.
    pub host: Target,
    /// Whether the host is leaving, so that it is to get nothing new.
    pub leaving: bool,
    /// How long the host wants no call, where it has refused one.
    pub retry_after: Option<RetryAfter>,
    /// Time that work takes on the host's machine at the moment, against the usual one, where
    /// the host shares its machine.
    pub pace: Option<f64>,
    /// When the head of the answer arrived.
    pub received_at: time::Instant,
}

/// How long an upstream host wants no call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// For this time; it may be too long to be meant.
    Delay(time::Duration),
    /// The host gave a value that is no number of seconds, such as this.
    Invalid(Name),
}
