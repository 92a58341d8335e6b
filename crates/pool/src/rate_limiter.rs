//! Rate limits of organisations over all entries, by their recent use.
//!
//! When one organisation sends many times its usual load, its excess is refused
//! at whichever entries it arrives. Entries report to each other what they have
//! admitted within the window; an entry that is silent is assumed to use its
//! equal share. An entry that has restarted no longer knows what it admitted
//! before: for the length of one window, it is assumed to have used its equal
//! share of the rate. Otherwise, a restart of all entries would grant every
//! organisation a whole new window.

use crate::window::SlidingWindow;
use std::collections;
use std::time;
use world::Name;

/// A peer that is silent for longer than this is assumed to use at least its equal
/// share.
const PEER_SILENCE: time::Duration = time::Duration::from_millis(1_500);
/// A peer that is silent for this time is no longer counted: its host is gone, and
/// the replacement has sent reports of its own.
const PEER_EXPIRY: time::Duration = time::Duration::from_secs(12);

/// Use of all organisations' allowances by this entry and its peers, in units of
/// the configured rates.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    window: time::Duration,
    restarted_at: Option<time::Instant>,
    own: collections::BTreeMap<Name, SlidingWindow>,
    peers: collections::BTreeMap<Name, Peer>,
}

/// The last report of a peer.
#[derive(Clone, Debug)]
struct Peer {
    usage: collections::BTreeMap<Name, f64>,
    restarted_at: Option<time::Instant>,
    received_at: time::Instant,
}

impl RateLimiter {
    /// Creates a limiter without recorded use, with windows of the given length.
    pub fn new(window: time::Duration) -> Self {
        Self {
            window,
            restarted_at: None,
            own: collections::BTreeMap::new(),
            peers: collections::BTreeMap::new(),
        }
    }

    /// Records that this entry has restarted and no longer knows what it
    /// admitted before.
    pub fn record_restart(&mut self, now: time::Instant) {
        self.restarted_at = Some(now);
    }

    /// Returns the time since this entry's restart, or `None` once a whole
    /// window has passed since.
    pub fn time_since_restart(&self, now: time::Instant) -> Option<time::Duration> {
        let elapsed = now.saturating_duration_since(self.restarted_at?);
        (elapsed < self.window).then_some(elapsed)
    }

    /// Charges `units` to an organisation if they are within its limit.
    ///
    /// # Errors
    ///
    /// Returns the time after which the rate will have made room for them, at
    /// most a minute.
    pub fn charge(
        &mut self,
        tenant: &seam::Tenant,
        units: f64,
        now: time::Instant,
    ) -> Result<(), time::Duration> {
        let Some(rate) = tenant.rate else {
            return Ok(());
        };
        let limit = rate * self.window.as_secs_f64() + tenant.burst;
        let by_peers = self.peer_usage(&tenant.name, limit, now);
        let unknown = rate * self.unknown_time(now).as_secs_f64();
        let own = self.own_window(&tenant.name);
        let used = own.sum(now) + by_peers + unknown + units;
        if used > limit {
            let wait = (used - limit) / rate.max(1.0);
            return Err(time::Duration::from_secs_f64(wait.min(60.0)));
        }
        own.add(units, now);
        Ok(())
    }

    /// Gives back units that were charged for a request that never ran.
    pub fn refund(&mut self, tenant: &Name, units: f64, now: time::Instant) {
        self.own_window(tenant).add(-units, now);
    }

    /// Returns the units that this entry has admitted within the window, by
    /// organisation.
    pub fn usage(&mut self, now: time::Instant) -> collections::BTreeMap<Name, f64> {
        self.own
            .iter_mut()
            .map(|(name, window)| (name.clone(), window.sum(now)))
            .filter(|(_, used)| *used > 0.0)
            .collect()
    }

    /// Stores a peer's report: the units it has admitted within the window, and
    /// the time since its restart, if that lies within the window.
    pub fn update_peer(
        &mut self,
        peer: &Name,
        usage: collections::BTreeMap<Name, f64>,
        since_restart: Option<time::Duration>,
        now: time::Instant,
    ) {
        let report = Peer {
            usage,
            restarted_at: since_restart.and_then(|s| now.checked_sub(s)),
            received_at: now,
        };
        self.peers.insert(peer.clone(), report);
    }

    /// Returns the units that peers have reported or are assumed to have used.
    fn peer_usage(&mut self, tenant: &Name, limit: f64, now: time::Instant) -> f64 {
        self.peers
            .retain(|_, p| now.saturating_duration_since(p.received_at) < PEER_EXPIRY);
        let share = limit / (self.peers.len() + 1) as f64;
        self.peers
            .values()
            .map(|p| {
                let reported = p.usage.get(tenant).copied().unwrap_or(0.0);
                match now.saturating_duration_since(p.received_at) > PEER_SILENCE {
                    true => reported.max(share),
                    false => reported,
                }
            })
            .sum()
    }

    /// Returns how much of the window lies before the entries' restarts, so that
    /// its use is unknown, as an average over all entries.
    fn unknown_time(&self, now: time::Instant) -> time::Duration {
        let peers = self.peers.values().map(|p| p.restarted_at);
        let unknown = peers.chain([self.restarted_at]).map(|restarted| {
            restarted.map_or(time::Duration::ZERO, |r| {
                self.window.saturating_sub(now.saturating_duration_since(r))
            })
        });
        unknown.sum::<time::Duration>() / (self.peers.len() as u32 + 1)
    }

    fn own_window(&mut self, tenant: &Name) -> &mut SlidingWindow {
        self.own
            .entry(tenant.clone())
            .or_insert_with(|| SlidingWindow::new(self.window))
    }
}
