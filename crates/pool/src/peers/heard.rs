//! When a peer's update was sent, and by which way it came.

use std::time;

/// Longest time for which a relay holds an update before it passes it on.
pub const RELAY_DELAY: time::Duration = time::Duration::from_millis(250);

/// Arrival of a peer's update.
#[derive(Clone, Copy, Debug)]
pub struct Heard {
    /// When the update arrived.
    pub received_at: time::Instant,
    /// When it was sent; a relay says how long it held the update.
    pub sent_at: time::Instant,
    /// Whether a relay has passed it on.
    pub is_relayed: bool,
}

impl Heard {
    /// Creates the arrival of an update that a relay has held for this time.
    pub fn by_relay(held: time::Duration, now: time::Instant) -> Self {
        Self {
            received_at: now,
            sent_at: now.checked_sub(held).unwrap_or(now),
            is_relayed: true,
        }
    }

    /// Returns by how much later the next update may come than one that comes directly.
    pub fn delay(&self) -> time::Duration {
        match self.is_relayed {
            true => RELAY_DELAY,
            false => time::Duration::ZERO,
        }
    }

    /// Returns whether the update is valid, where one that came directly is valid for
    /// `ttl`.
    pub fn is_valid(&self, ttl: time::Duration, now: time::Instant) -> bool {
        now.saturating_duration_since(self.sent_at) < ttl + self.delay()
    }
}

/// An update that came directly from its peer.
impl From<time::Instant> for Heard {
    fn from(now: time::Instant) -> Self {
        Self {
            received_at: now,
            sent_at: now,
            is_relayed: false,
        }
    }
}
