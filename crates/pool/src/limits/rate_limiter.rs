//! Rate limits of organisations over all entries, by their recent use.
//!
//! When one organisation sends many times its usual load, its excess is refused
//! at whichever entries it arrives. Entries report to each other what they have
//! admitted, as counters that only grow while a process runs, so that each entry
//! keeps a window of what the others admitted, also after one of them was killed.
//! An entry that has restarted takes over what its peers know. Until a peer has
//! told it, it assumes that the organisation used its rate, and the lead that the
//! store keeps of organisations that are well ahead of theirs.

use crate::limits::charge::Allowance;
use crate::limits::charge::Charge;
use crate::limits::charge::ExcessUse;
use crate::limits::charge::Tolerance;
use crate::limits::heavy_use::HeavyUse;
use crate::limits::restart::RestartState;
use crate::limits::tenant_use::TenantUse;
use crate::limits::usage_report::PeerUsage;
use crate::limits::usage_report::UsageReport;
use crate::peers::heard::Heard;
use std::collections;
use std::time;
use world::Name;

/// A peer that is silent for longer than this, and than its relays take, is assumed to use its equal share.
const PEER_SILENCE: time::Duration = time::Duration::from_millis(600);
/// A peer that is silent for this time and that the store doesn't list is no longer
/// counted: its host is gone.
const PEER_EXPIRY: time::Duration = time::Duration::from_secs(12);
/// Time over which the callers that several entries refuse are spread when they return.
const RETURN_SPREAD: time::Duration = time::Duration::from_millis(600);
/// Number of different points in that time.
const PHASES: u64 = 64;

/// Use of all organisations' allowances by this entry and its peers, in units of
/// the configured rates.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    window: time::Duration,
    /// Identifies this process to its peers.
    run: u64,
    /// Number of the last report.
    report_number: u64,
    restart: RestartState,
    tenants: collections::BTreeMap<Name, TenantUse>,
    peers: collections::BTreeMap<Name, PeerUsage>,
}

impl RateLimiter {
    /// Creates a limiter without recorded use, within the given tolerance.
    /// `run` must differ from that of all other processes.
    pub fn new(tolerance: Tolerance, run: u64) -> Self {
        Self {
            window: tolerance.window,
            run,
            report_number: 0,
            restart: RestartState::new(tolerance),
            tenants: collections::BTreeMap::new(),
            peers: collections::BTreeMap::new(),
        }
    }

    /// Records that this entry has restarted and does not know what was admitted
    /// before.
    pub fn record_restart(&mut self, now: time::Instant) {
        self.restart.record_restart(now);
    }

    /// Sets the peers that the store lists. One that has not reported yet counts as
    /// silent: since now, or, if this entry has no history, for as long as matters.
    pub fn set_peers<'a>(&mut self, names: impl Iterator<Item = &'a Name>, now: time::Instant) {
        self.restart.knows_peers = true;
        let silent_since = match self.restart.has_history() {
            true => Some(now),
            false => now.checked_sub(self.window),
        };
        for peer in self.peers.values_mut() {
            peer.is_listed = false;
        }
        for name in names {
            let peer = self
                .peers
                .entry(name.clone())
                .or_insert_with(|| PeerUsage::unheard(silent_since.unwrap_or(now)));
            peer.is_listed = true;
        }
    }

    /// Records that a request asked for units, whether it gets them or not.
    pub fn record_demand(&mut self, tenant: &seam::Tenant, units: f64, now: time::Instant) {
        if let Some(allowance) = self.allowance(tenant) {
            self.tenant_use(&tenant.name)
                .record_demand(units, allowance, now);
        }
    }

    /// Charges `units` to an organisation if they are within its limit; returns
    /// `None` for an organisation without a limit.
    ///
    /// # Errors
    ///
    /// Returns what has used up the limit, and when there may be room.
    pub fn charge(
        &mut self,
        tenant: &seam::Tenant,
        units: f64,
        now: time::Instant,
    ) -> Result<Option<Charge>, ExcessUse> {
        let Some(allowance) = self.allowance(tenant) else {
            return Ok(None);
        };
        self.expire(now);
        let limit = allowance.limit;
        let lead = self.tenant_use(&tenant.name).restored_lead;
        let unknown = self.restart.unknown_use(&allowance, lead, now);
        let assumed = self.silent_use(limit, now) + unknown;
        let report_age = self.report_age(now);
        let relay_delay = self.relay_delay();
        let use_of = self.tenant_use(&tenant.name);
        let own = use_of.own(now);
        let mut excess = ExcessUse {
            units,
            own,
            peers: use_of.all(now) - own,
            assumed,
            limit,
            report_age,
            wait: time::Duration::ZERO,
        };
        let room = excess.room();
        if use_of.may_take(units, room, relay_delay, now) {
            use_of.charge(units, now);
            return Ok(Some(Charge {
                tenant: tenant.name.clone(),
                units,
                charged_at: now,
            }));
        }
        let missing = units - room;
        excess.wait = match self.restart.unknown_wait(&allowance, missing, now) {
            Some(wait) => wait,
            None => self.tenant_use(&tenant.name).time_until_freed(missing, now),
        };
        Err(excess)
    }

    /// Returns when a request that exceeds its organisation's limit should return: when
    /// there is room for it and for those that were refused before it. `patience` is
    /// the longest time after which its caller would return.
    pub fn reserve_return(
        &mut self,
        tenant: &Name,
        excess: &ExcessUse,
        patience: time::Duration,
        now: time::Instant,
    ) -> time::Duration {
        let phase = RETURN_SPREAD.mul_f64((self.run % PHASES) as f64 / PHASES as f64);
        if !self.restart.has_history() {
            return excess.wait + phase;
        }
        let relay_delay = self.relay_delay();
        self.tenant_use(tenant)
            .reserve_return(excess, patience, phase, relay_delay, now)
    }

    /// Gives back the units of a request that never ran.
    pub fn refund(&mut self, charge: Charge, now: time::Instant) {
        self.tenant_use(&charge.tenant).refund(&charge, now);
    }

    /// Returns what the store should keep for the case that all entries are killed.
    pub fn heavy_use(&mut self, now: time::Instant) -> HeavyUse {
        self.expire(now);
        let has_history = self.restart.has_history();
        let leads = self.tenants.iter().filter_map(|(name, use_of)| {
            let lead = match has_history {
                true => use_of.heavy_lead(now),
                false => use_of.restored_lead,
            };
            lead.map(|l| (name.clone(), l))
        });
        HeavyUse {
            leads: leads.collect(),
        }
    }

    /// Takes over what the store kept over the restart of all entries.
    pub fn restore(&mut self, heavy: &HeavyUse) {
        if self.restart.has_history() {
            return;
        }
        for (name, lead) in &heavy.leads {
            self.tenant_use(name).restored_lead = Some(*lead);
        }
        self.restart.has_record = true;
    }

    /// Returns whether this entry knows what all entries admitted within the window.
    pub fn has_history(&self) -> bool {
        self.restart.has_history()
    }

    /// Returns what this entry tells its peers.
    pub fn report(&mut self, now: time::Instant) -> UsageReport {
        self.expire(now);
        self.report_number += 1;
        let since_restart = self.restart.time_since_restart(now);
        let has_history = self.restart.has_history();
        let peer_needs_history = self.peers.values().any(|p| !p.has_history);
        for use_of in self.tenants.values_mut() {
            use_of.expire(now);
        }
        let tenants = self.tenants.iter_mut();
        let used =
            tenants.filter_map(|(name, use_of)| Some((name.clone(), use_of.used_units(now)?)));
        let used = used.collect();
        let history = (has_history && peer_needs_history).then(|| {
            let tenants = self.tenants.iter();
            let histories = tenants.map(|(name, use_of)| (name.clone(), use_of.history(now)));
            histories.collect()
        });
        UsageReport {
            run: self.run,
            number: self.report_number,
            has_history,
            since_restart: since_restart.map(|s| s.as_millis() as u64),
            used,
            history,
        }
    }

    /// Applies a peer's report.
    pub fn update_peer(&mut self, peer: &Name, report: &UsageReport, heard: impl Into<Heard>) {
        let heard = heard.into();
        let now = heard.received_at;
        let mut known = self
            .peers
            .remove(peer)
            .unwrap_or_else(|| PeerUsage::unheard(now));
        let is_first = known.is_first(report);
        let since_restart = report.since_restart.map(time::Duration::from_millis);
        let is_told = is_first && self.restart.was_told_of(since_restart, now);
        for growth in known.apply(report, heard) {
            let use_of = self.tenant_use(&growth.tenant);
            match is_first {
                true => use_of.add_first_report(growth.admitted, is_told, now),
                false => use_of.add_growth(&growth, now),
            }
        }
        self.restart.knows_peers = true;
        self.peers.insert(peer.clone(), known);
        if let Some(history) = &report.history
            && !self.restart.has_history()
        {
            for (name, by_age) in history {
                self.tenant_use(name).take_history(by_age, now);
            }
            self.restart.record_history(now);
        }
    }

    /// Forgets peers that are gone and a restart that no longer matters.
    fn expire(&mut self, now: time::Instant) {
        self.peers
            .retain(|_, p| p.is_listed || p.silence(now) < PEER_EXPIRY);
        self.restart.expire(now);
    }

    /// Returns the units that silent peers are assumed to have admitted: an equal
    /// share of the limit, for the part of the window in which they were silent.
    fn silent_use(&self, limit: f64, now: time::Instant) -> f64 {
        let share = limit / (self.peers.len() + 1) as f64;
        let silent = self
            .peers
            .values()
            .filter(|p| p.silence(now) > PEER_SILENCE + p.delay());
        silent
            .map(|p| p.silence(now))
            .map(|silence| share * (silence.as_secs_f64() / self.window.as_secs_f64()).min(1.0))
            .sum()
    }

    fn allowance(&self, tenant: &seam::Tenant) -> Option<Allowance> {
        tenant.rate.map(|rate| Allowance {
            rate,
            burst: tenant.burst,
            limit: rate * self.window.as_secs_f64() + tenant.burst,
        })
    }

    fn report_age(&self, now: time::Instant) -> time::Duration {
        let ages = self.peers.values().map(|p| p.silence(now));
        ages.max().unwrap_or_default()
    }

    /// Returns by how much later the reports of some peers come than direct ones.
    fn relay_delay(&self) -> time::Duration {
        let delays = self.peers.values().map(PeerUsage::delay);
        delays.max().unwrap_or_default()
    }

    fn tenant_use(&mut self, tenant: &Name) -> &mut TenantUse {
        let window = self.window;
        self.tenants
            .entry(tenant.clone())
            .or_insert_with(|| TenantUse::new(window))
    }
}
