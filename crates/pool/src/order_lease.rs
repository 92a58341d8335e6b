//! The lease that allows one entry to order engines to change their roles.
//!
//! One entry at a time holds a leased key in the store; the key's revision is
//! the fencing number of its orders. Entries may race for the key, be paused or
//! lose responses of the store. The holder therefore gives no order before its
//! predecessor's lease has expired, and only on a lease that it has just renewed.

use std::time;

/// Number of renewals within the lease's time to live.
const RENEWALS: u32 = 3;

/// The next request to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Read whether the key is free.
    Read,
    /// Request a lease and claim the key with it.
    Claim,
    /// Renew the lease.
    Renew,
    /// No request is due.
    Idle,
}

/// This entry's claim to the lease.
#[derive(Clone, Debug)]
pub struct OrderLease {
    ttl: time::Duration,
    held: Option<HeldLease>,
    last_read: Option<time::Instant>,
    free: bool,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    lease: seam::LeaseId,
    fencing_number: u64,
    since: time::Instant,
    renewed: time::Instant,
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
        let interval = self.ttl / RENEWALS;
        match self.held {
            Some(held) if now.saturating_duration_since(held.renewed) >= interval => {
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

    /// Records that the key was claimed by a request sent at `sent`. The revision
    /// at which that happened becomes the fencing number.
    pub fn record_claim(
        &mut self,
        lease: seam::LeaseId,
        fencing_number: u64,
        sent: time::Instant,
        now: time::Instant,
    ) {
        self.free = false;
        self.held = Some(HeldLease {
            lease,
            fencing_number,
            since: now,
            renewed: sent,
        });
    }

    /// Records that the lease was renewed by a request sent at `sent`.
    pub fn record_renewal(&mut self, sent: time::Instant) {
        if let Some(held) = &mut self.held {
            held.renewed = held.renewed.max(sent);
        }
    }

    /// Records that the key is lost or may be lost.
    pub fn record_loss(&mut self, now: time::Instant) {
        self.held = None;
        self.free = false;
        self.last_read = Some(now);
    }

    /// Returns the lease that is held.
    pub fn lease(&self) -> Option<seam::LeaseId> {
        self.held.map(|h| h.lease)
    }

    /// Returns whether the lease is held but may have expired, by this entry's
    /// clock.
    pub fn is_expired(&self, now: time::Instant) -> bool {
        self.held
            .is_some_and(|h| now.saturating_duration_since(h.renewed) >= self.ttl)
    }

    /// Returns the fencing number for an order that reaches its engine within
    /// `travel`, or `None` if no order may be given.
    pub fn fencing_number(&self, travel: time::Duration, now: time::Instant) -> Option<u64> {
        let held = self.held?;
        let predecessor_expired = now.saturating_duration_since(held.since) >= self.ttl;
        let in_time = now.saturating_duration_since(held.renewed) + travel < self.ttl / 2;
        (predecessor_expired && in_time).then_some(held.fencing_number)
    }
}
