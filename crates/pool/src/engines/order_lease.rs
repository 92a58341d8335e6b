//! The lease that allows one entry to order engines to change their roles.
//!
//! One entry at a time holds a leased key in the store; the key's revision is
//! the fencing token of its orders. Entries may race for the key, be paused or
//! lose responses from the store. The holder therefore gives no order before its
//! predecessor's lease has expired, and only on a lease that it has just renewed.

use seam::LeaseId;
use seam::Revision;
use std::time;

/// Number of times that the lease is renewed, or the key is read, within the
/// lease's time to live.
const STEPS_PER_TTL: u32 = 3;

/// The next request to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Read the key, to learn whether another entry holds it.
    Read,
    /// Request a new lease and write the key with it.
    Claim,
    /// Renew the lease.
    Renew,
    /// No request is due.
    Idle,
}

/// What one entry knows of the lease, whether it holds it or not.
#[derive(Clone, Debug)]
pub struct OrderLease {
    ttl: time::Duration,
    held: Option<HeldLease>,
    /// When the key was last read or lost.
    last_read: Option<time::Instant>,
    /// Whether no entry held the key when it was last read.
    free: bool,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    lease: LeaseId,
    fence: Revision,
    /// When the response arrived that confirmed the claim.
    claimed_at: time::Instant,
    /// When the last request that renewed the lease was sent.
    renewed_at: time::Instant,
}

impl OrderLease {
    /// Starts without the key; `ttl` is the lease's time to live.
    pub fn new(ttl: time::Duration) -> Self {
        Self {
            ttl,
            held: None,
            last_read: None,
            free: false,
        }
    }

    /// Returns the request that is due now.
    pub fn next_step(&self, now: time::Instant) -> LeaseStep {
        let interval = self.ttl / STEPS_PER_TTL;
        match self.held {
            Some(held) if now.saturating_duration_since(held.renewed_at) >= interval => {
                LeaseStep::Renew
            }
            Some(_) => LeaseStep::Idle,
            None if self.free => LeaseStep::Claim,
            None => match self.last_read {
                Some(read) if now.saturating_duration_since(read) < interval => LeaseStep::Idle,
                _ => LeaseStep::Read,
            },
        }
    }

    /// Records whether the key was free when it was read.
    pub fn record_read(&mut self, free: bool, now: time::Instant) {
        self.last_read = Some(now);
        self.free = free;
    }

    /// Records that this entry claimed the key with a request sent at `sent`. The
    /// store revision at which the key was written is the fencing token.
    pub fn record_claim(
        &mut self,
        lease: LeaseId,
        fence: Revision,
        sent: time::Instant,
        now: time::Instant,
    ) {
        self.free = false;
        self.held = Some(HeldLease {
            lease,
            fence,
            claimed_at: now,
            renewed_at: sent,
        });
    }

    /// Records that the lease was renewed by a request sent at `sent`.
    pub fn record_renewal(&mut self, sent: time::Instant) {
        if let Some(held) = &mut self.held {
            held.renewed_at = held.renewed_at.max(sent);
        }
    }

    /// Records that the key is lost or may be lost.
    pub fn record_loss(&mut self, now: time::Instant) {
        self.held = None;
        self.free = false;
        self.last_read = Some(now);
    }

    /// Returns the id of the lease, or `None` if this entry does not hold it.
    pub fn lease(&self) -> Option<LeaseId> {
        self.held.map(|h| h.lease)
    }

    /// Returns whether the lease is held but may have expired, by this entry's
    /// clock.
    pub fn is_expired(&self, now: time::Instant) -> bool {
        self.held
            .is_some_and(|h| now.saturating_duration_since(h.renewed_at) >= self.ttl)
    }

    /// Returns the fencing token for an order that reaches its engine within
    /// `delivery_time`, or `None` if no order may be given. The order must arrive
    /// in the first half of the lease's time to live, counted from its renewal.
    pub fn fence(&self, delivery_time: time::Duration, now: time::Instant) -> Option<Revision> {
        let held = self.held?;
        let predecessor_expired = now.saturating_duration_since(held.claimed_at) >= self.ttl;
        let in_time = now.saturating_duration_since(held.renewed_at) + delivery_time < self.ttl / 2;
        (predecessor_expired && in_time).then_some(held.fence)
    }
}
