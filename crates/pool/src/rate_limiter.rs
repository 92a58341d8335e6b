//! Allowances of organisations over all entries, by what each has used lately.
//!
//! Answers the load of one organisation that sends many times its usual: its
//! excess is refused, at whichever entries it arrives. Entries tell each other
//! what they have let through in the window; one that is silent is taken to use
//! its equal part. One that was started again has forgotten what it let through:
//! for a window's time it is taken to have used its equal part of the rate before,
//! or a loss of all entries would give every organisation its whole window anew.

use crate::window::SlidingWindow;
use std::collections;
use std::time;
use world::Name;

/// After this silence a peer is taken to use its equal part at least.
const PEER_SILENCE: time::Duration = time::Duration::from_millis(1_500);
/// After this silence a peer counts no more: its host is gone, and a new one
/// has told of itself.
const PEER_MEMORY: time::Duration = time::Duration::from_secs(12);

/// Use of allowances by this entry and its peers.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    span: time::Duration,
    restart: Option<time::Instant>,
    own: collections::BTreeMap<Name, SlidingWindow>,
    peers: collections::BTreeMap<Name, Peer>,
}

#[derive(Clone, Debug)]
struct Peer {
    used: collections::BTreeMap<Name, f64>,
    restart: Option<time::Instant>,
    heard: time::Instant,
}

impl RateLimiter {
    /// Begins with nothing used, over windows of `span`.
    pub fn new(span: time::Duration) -> Self {
        Self {
            span,
            restart: None,
            own: collections::BTreeMap::new(),
            peers: collections::BTreeMap::new(),
        }
    }

    /// Notes that this entry was started again, and so has let through what it no
    /// longer knows of.
    pub fn note_restart(&mut self, now: time::Instant) {
        self.restart = Some(now);
    }

    /// How long ago this entry was started again, while that matters.
    pub fn time_since_restart(&self, now: time::Instant) -> Option<time::Duration> {
        let since = now.saturating_duration_since(self.restart?);
        (since < self.span).then_some(since)
    }

    /// Charges a request if its organisation has units left; else tells how
    /// long it takes until the rate has made room.
    pub fn charge(
        &mut self,
        tenant: &seam::Tenant,
        units: f64,
        now: time::Instant,
    ) -> Result<(), time::Duration> {
        let Some(rate) = tenant.rate else {
            return Ok(());
        };
        let limit = rate * self.span.as_secs_f64() + tenant.burst;
        let others = self.others(&tenant.name, limit, now);
        let forgotten = rate * self.forgotten(now).as_secs_f64();
        let own = self.window(&tenant.name);
        let used = own.sum(now) + others + forgotten + units;
        if used > limit {
            let wait = (used - limit) / rate.max(1.0);
            return Err(time::Duration::from_secs_f64(wait.min(60.0)));
        }
        own.add(units, now);
        Ok(())
    }

    /// Gives units back that were charged to a request that never ran.
    pub fn refund(&mut self, tenant: &Name, units: f64, now: time::Instant) {
        self.window(tenant).add(-units, now);
    }

    /// What this entry has let through in the window, by organisation.
    pub fn usage(&mut self, now: time::Instant) -> collections::BTreeMap<Name, f64> {
        self.own
            .iter_mut()
            .map(|(name, window)| (name.clone(), window.sum(now)))
            .filter(|(_, used)| *used > 0.0)
            .collect()
    }

    /// Hears what a peer has let through, and how long ago it was started again.
    pub fn update_peer(
        &mut self,
        peer: &Name,
        used: collections::BTreeMap<Name, f64>,
        since: Option<time::Duration>,
        now: time::Instant,
    ) {
        let heard = Peer {
            used,
            restart: since.and_then(|s| now.checked_sub(s)),
            heard: now,
        };
        self.peers.insert(peer.clone(), heard);
    }

    fn others(&mut self, tenant: &Name, limit: f64, now: time::Instant) -> f64 {
        self.peers
            .retain(|_, p| now.saturating_duration_since(p.heard) < PEER_MEMORY);
        let part = limit / (self.peers.len() + 1) as f64;
        self.peers
            .values()
            .map(|p| {
                let told = p.used.get(tenant).copied().unwrap_or(0.0);
                match now.saturating_duration_since(p.heard) > PEER_SILENCE {
                    true => told.max(part),
                    false => told,
                }
            })
            .sum()
    }

    /// The part of the window that entries no longer know of, on average.
    fn forgotten(&self, now: time::Instant) -> time::Duration {
        let peers = self.peers.values().map(|p| p.restart);
        let lost = peers.chain([self.restart]).map(|restart| {
            restart.map_or(time::Duration::ZERO, |r| {
                self.span.saturating_sub(now.saturating_duration_since(r))
            })
        });
        lost.sum::<time::Duration>() / (self.peers.len() as u32 + 1)
    }

    fn window(&mut self, tenant: &Name) -> &mut SlidingWindow {
        self.own
            .entry(tenant.clone())
            .or_insert_with(|| SlidingWindow::new(self.span))
    }
}
