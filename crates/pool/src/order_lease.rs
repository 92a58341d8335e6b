//! Who may give orders to engines.
//!
//! Answers races of entries, pauses and lost answers: one entry holds a leased
//! key, whose revision is the fence of its orders. It gives none before the
//! lease of its predecessor has run out, and none on a lease that it has not
//! just renewed.

use std::time;

/// Renewals for each life of the lease.
const RENEWALS: u32 = 3;

/// What the holder's task does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Look whether the key is free.
    Read,
    /// Take a lease, then the key.
    Claim,
    /// Renew the lease.
    Renew,
    /// Nothing yet.
    Idle,
}

/// One entry's claim to give orders.
#[derive(Clone, Debug)]
pub struct OrderLease {
    life: time::Duration,
    held: Option<Held>,
    looked: Option<time::Instant>,
    free: bool,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    lease: seam::LeaseId,
    fence: u64,
    since: time::Instant,
    renewed: time::Instant,
}

impl OrderLease {
    /// Begins without the key; `life` is the lease's.
    pub fn new(life: time::Duration) -> Self {
        Self {
            life,
            held: None,
            looked: None,
            free: false,
        }
    }

    /// What to do at `now`.
    pub fn next_step(&self, now: time::Instant) -> LeaseStep {
        let pause = self.life / RENEWALS;
        match self.held {
            Some(held) if now.saturating_duration_since(held.renewed) >= pause => LeaseStep::Renew,
            Some(_) => LeaseStep::Idle,
            None if self.free => LeaseStep::Claim,
            None => match self.looked {
                Some(looked) if now.saturating_duration_since(looked) < pause => LeaseStep::Idle,
                _ => LeaseStep::Read,
            },
        }
    }

    /// Notes whether the key was free when it was read.
    pub fn record_read(&mut self, free: bool, now: time::Instant) {
        self.looked = Some(now);
        self.free = free;
    }

    /// Notes that the key was taken at a revision, by a call sent at `sent`.
    pub fn record_claim(
        &mut self,
        lease: seam::LeaseId,
        fence: u64,
        sent: time::Instant,
        now: time::Instant,
    ) {
        self.free = false;
        self.held = Some(Held {
            lease,
            fence,
            since: now,
            renewed: sent,
        });
    }

    /// Notes that the lease was renewed by a call sent at `sent`.
    pub fn record_renewal(&mut self, sent: time::Instant) {
        if let Some(held) = &mut self.held {
            held.renewed = held.renewed.max(sent);
        }
    }

    /// Notes that the key is lost, or may be.
    pub fn record_loss(&mut self, now: time::Instant) {
        self.held = None;
        self.free = false;
        self.looked = Some(now);
    }

    /// The lease that is held.
    pub fn lease(&self) -> Option<seam::LeaseId> {
        self.held.map(|h| h.lease)
    }

    /// Tells whether the lease may have run out, by this entry's clock.
    pub fn is_expired(&self, now: time::Instant) -> bool {
        self.held
            .is_some_and(|h| now.saturating_duration_since(h.renewed) >= self.life)
    }

    /// The fence of orders, where one may be given by a call that reaches its
    /// engine within `travel`.
    pub fn fencing_number(&self, travel: time::Duration, now: time::Instant) -> Option<u64> {
        let held = self.held?;
        let settled = now.saturating_duration_since(held.since) >= self.life;
        let sure = now.saturating_duration_since(held.renewed) + travel < self.life / 2;
        (settled && sure).then_some(held.fence)
    }
}
