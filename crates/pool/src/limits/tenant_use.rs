//! What was admitted and asked for on behalf of one organisation.

use crate::limits::charge::Allowance;
use crate::limits::charge::Charge;
use crate::limits::charge::ExcessUse;
use crate::limits::restart::MAX_UNKEPT_LEAD;
use crate::limits::usage_report::UsageGrowth;
use crate::limits::usage_report::UsedUnits;
use crate::limits::window::SlidingWindow;
use std::collections;
use std::time;

/// How long a refused request's place in the order of returns is kept after the
/// time at which it should return.
const RETURN_GRACE: time::Duration = time::Duration::from_millis(300);
/// Length of the steps in which one entry tells another what was admitted.
const HISTORY_STEP: time::Duration = time::Duration::from_millis(250);
/// Time within which the store has what entries admit.
const RECORD_LATENCY: time::Duration = time::Duration::from_millis(500);
/// Time within which a report of what was admitted reaches all peers directly.
const REPORT_LATENCY: time::Duration = time::Duration::from_millis(400);
/// Time over which an organisation's current demand is taken.
const DEMAND_SPAN: time::Duration = time::Duration::from_millis(1_000);
/// Requests of up to this fraction of the limit are small. They are shared out apart
/// from the large ones, and don't wait behind them.
const SMALL_FRACTION: f64 = 0.002;

/// What was admitted for one organisation.
#[derive(Clone, Debug)]
pub(crate) struct TenantUse {
    window: time::Duration,
    /// The organisation's allowance, once it has asked for units.
    allowance: Option<Allowance>,
    own: SlidingWindow,
    /// Units that this process has admitted since its start, less those given back.
    own_total: f64,
    /// When `own_total` last changed.
    changed_at: Option<time::Instant>,
    /// By how much peers' reports have grown, dated by their arrival.
    others: SlidingWindow,
    /// What others had admitted before their first report, or before this entry's
    /// restart.
    past: SlidingWindow,
    /// Part of the told history that no running process has reported as its own yet.
    unattributed: f64,
    /// By how many bursts the organisation was ahead of its rate when this entry
    /// restarted, as the store says.
    pub(crate) restored_lead: Option<u32>,
    /// Units asked for at this entry lately.
    own_demand: SlidingWindow,
    /// The part of them that small requests asked for.
    small_demand: SlidingWindow,
    /// Units asked for at peers lately.
    peer_demand: SlidingWindow,
    /// Units asked for at this entry since the start of this process.
    asked_total: f64,
    /// Large and small requests that this entry may admit of its part of the room.
    large_credit: f64,
    small_credit: f64,
    /// Units of refused requests, with the time at which each should return.
    returns: collections::VecDeque<(time::Instant, f64)>,
}

impl TenantUse {
    pub(crate) fn new(window: time::Duration) -> Self {
        Self {
            window,
            allowance: None,
            own: SlidingWindow::new(window),
            own_total: 0.0,
            changed_at: None,
            others: SlidingWindow::new(window),
            past: SlidingWindow::new(window),
            unattributed: 0.0,
            restored_lead: None,
            own_demand: SlidingWindow::new(DEMAND_SPAN),
            small_demand: SlidingWindow::new(DEMAND_SPAN),
            peer_demand: SlidingWindow::new(DEMAND_SPAN),
            asked_total: 0.0,
            large_credit: 0.0,
            small_credit: 0.0,
            returns: collections::VecDeque::new(),
        }
    }

    /// Returns what this entry has admitted within the window.
    pub(crate) fn own(&mut self, now: time::Instant) -> f64 {
        self.own.sum(now)
    }

    /// Charges units for a request that is admitted.
    pub(crate) fn charge(&mut self, units: f64, now: time::Instant) {
        self.own.add(units, now);
        self.own_total += units;
        self.changed_at = Some(now);
    }

    /// Gives back what a request was charged, unless it no longer counts.
    pub(crate) fn refund(&mut self, charge: &Charge, now: time::Instant) {
        if self.own.remove(charge.units, charge.charged_at) {
            self.own_total -= charge.units;
            self.changed_at = Some(now);
        }
    }

    /// Returns what this entry tells its peers; `None` if nothing has changed within
    /// the window and nothing is asked for.
    pub(crate) fn used_units(&mut self, now: time::Instant) -> Option<UsedUnits> {
        let age = self.changed_at.map(|at| now.saturating_duration_since(at));
        let has_changed = age.is_some_and(|age| age < self.window);
        let is_wanted = has_changed || self.own_demand.sum(now) > 0.0;
        is_wanted.then(|| UsedUnits {
            admitted: self.own_total.round() as u64,
            in_window: self.own.sum(now).round() as u64,
            asked: self.asked_total.round() as u64,
        })
    }

    /// Drops what has left the windows.
    pub(crate) fn expire(&mut self, now: time::Instant) {
        for window in [
            &mut self.own,
            &mut self.others,
            &mut self.past,
            &mut self.own_demand,
            &mut self.small_demand,
            &mut self.peer_demand,
        ] {
            window.sum(now);
        }
    }

    /// Returns what all entries are known to have admitted within the window.
    pub(crate) fn all(&mut self, now: time::Instant) -> f64 {
        self.own.sum(now) + self.others.sum(now) + self.past.sum(now)
    }

    /// Adds the use that a process of a peer stated in its first report; with `told`
    /// it is part of a total that is counted already.
    pub(crate) fn add_first_report(&mut self, admitted: f64, told: bool, now: time::Instant) {
        let known = match told {
            true => self.unattributed.min(admitted),
            false => 0.0,
        };
        self.unattributed -= known;
        self.past.add(admitted - known, now);
    }

    /// Adds what has changed since a peer's last report.
    pub(crate) fn add_growth(&mut self, growth: &UsageGrowth, now: time::Instant) {
        self.peer_demand.add(growth.asked, now);
        match growth.admitted >= 0.0 {
            true => self.others.add(growth.admitted, now),
            false => {
                let left = self.others.remove_newest(-growth.admitted);
                self.past.remove_newest(left);
            }
        }
    }

    /// Returns what all entries have admitted, by its age in steps of [`HISTORY_STEP`].
    pub(crate) fn history(&self, now: time::Instant) -> Vec<u64> {
        let step = |age: time::Duration| (age.as_millis() / HISTORY_STEP.as_millis()) as usize;
        let mut by_age = vec![0.0; step(self.window) + 1];
        for (age, amount) in self.ages(now) {
            let index = step(age).min(by_age.len() - 1);
            by_age[index] += amount;
        }
        by_age.into_iter().map(|u| u.round() as u64).collect()
    }

    /// Takes over what all entries have admitted, by its age in steps, as a peer
    /// tells an entry that has restarted.
    pub(crate) fn take_history(&mut self, by_age: &[u64], now: time::Instant) {
        let total = by_age.iter().copied().fold(0, u64::saturating_add);
        let known = self.own.sum(now) + self.others.sum(now);
        self.unattributed = (total as f64 - known).max(0.0);
        self.past = SlidingWindow::new(self.window);
        let part = self.unattributed / (total as f64).max(1.0);
        for (index, units) in by_age.iter().enumerate() {
            let age = HISTORY_STEP * index as u32;
            self.past
                .add_past(*units as f64 * part, now.checked_sub(age).unwrap_or(now));
        }
    }

    /// Returns all amounts within the window with their ages.
    fn ages(&self, now: time::Instant) -> impl Iterator<Item = (time::Duration, f64)> + '_ {
        self.windows().flat_map(move |w| w.ages(now))
    }

    /// Returns the windows of all that was admitted.
    fn windows(&self) -> impl Iterator<Item = &SlidingWindow> {
        [&self.own, &self.others, &self.past].into_iter()
    }

    /// Returns by how many of its bursts the organisation is or will soon be ahead of
    /// its rate, if that is so far that its use must not be forgotten.
    pub(crate) fn heavy_lead(&self, now: time::Instant) -> Option<u32> {
        let allowance = self.allowance?;
        let demand =
            self.own_demand.recent(DEMAND_SPAN, now) + self.peer_demand.recent(DEMAND_SPAN, now);
        let ahead = demand / DEMAND_SPAN.as_secs_f64() - allowance.rate;
        let lead = self.lead(allowance.rate, now) + ahead.max(0.0) * RECORD_LATENCY.as_secs_f64();
        let bursts = (lead / allowance.burst.max(1.0)).ceil() as u32;
        (bursts > MAX_UNKEPT_LEAD).then_some(bursts)
    }

    /// Returns by how many units the organisation is ahead of its rate at most, over
    /// all spans of time that end now.
    fn lead(&self, rate: f64, now: time::Instant) -> f64 {
        let mut steps: Vec<_> = self.ages(now).collect();
        steps.sort_by_key(|(age, _)| *age);
        let (mut used, mut lead) = (0.0, 0.0_f64);
        for (age, amount) in steps {
            used += amount;
            lead = lead.max(used - rate * age.as_secs_f64());
        }
        lead
    }

    /// Records that a request asked for units.
    pub(crate) fn record_demand(&mut self, units: f64, allowance: Allowance, now: time::Instant) {
        self.allowance = Some(allowance);
        self.own_demand.add(units, now);
        self.asked_total += units;
        if self.is_small(units) {
            self.small_demand.add(units, now);
        }
    }

    fn is_small(&self, units: f64) -> bool {
        self.allowance
            .is_some_and(|a| units <= a.limit * SMALL_FRACTION)
    }

    /// Returns whether a request may take its units of the room that is left.
    ///
    /// Entries don't see for [`REPORT_LATENCY`] what the others take of the same
    /// room. Where more will be asked for within that time, each entry admits the
    /// same part of the requests, so that all of them together take the room once.
    /// Relays add `relay_delay` to that time.
    pub(crate) fn may_take(
        &mut self,
        units: f64,
        room: f64,
        relay_delay: time::Duration,
        now: time::Instant,
    ) -> bool {
        let is_small = self.is_small(units);
        let (own, peers) = (self.own_demand.sum(now), self.peer_demand.sum(now));
        let small_part = self.small_demand.sum(now) / own.max(1.0);
        let latency = (REPORT_LATENCY + relay_delay).as_secs_f64() / DEMAND_SPAN.as_secs_f64();
        // A large request leaves room for the small ones of the next second.
        let (part, room) = match is_small {
            true => (small_part, room),
            false => (1.0, room - (own + peers) * small_part),
        };
        let by_peers = peers * latency * part;
        let by_all = by_peers + own * latency * part;
        if units > room {
            return false;
        }
        let credit = match is_small {
            true => &mut self.small_credit,
            false => &mut self.large_credit,
        };
        *credit = (*credit + room / by_all.max(units)).min(1.0);
        let granted = room >= units + by_peers || *credit >= 0.5;
        if granted {
            *credit = (*credit - 1.0).max(-0.5);
        }
        granted
    }

    /// Returns when a refused request should return: when so much of the window's use
    /// has left it that this entry's part of the room suffices for the request and
    /// for those of its size that were refused before it. A request whose caller
    /// has the patience takes a place in that order. `phase` differs between entries,
    /// so that their callers don't return at the same instant to the same room.
    pub(crate) fn reserve_return(
        &mut self,
        excess: &ExcessUse,
        patience: time::Duration,
        phase: time::Duration,
        relay_delay: time::Duration,
        now: time::Instant,
    ) -> time::Duration {
        let (units, room) = (excess.units, excess.room());
        self.returns.retain(|(at, _)| *at + RETURN_GRACE > now);
        let before = self.returns.iter().map(|(_, u)| *u).filter(|u| *u <= units);
        let own = self.own_demand.sum(now);
        let part = own / (own + self.peer_demand.sum(now)).max(units);
        let missing = (before.sum::<f64>() + units) / part - room;
        let latency = REPORT_LATENCY + relay_delay;
        let wait = self.time_until_freed(missing, now).max(latency) + phase;
        if wait <= patience {
            self.returns.push_back((now + wait, units));
        }
        wait
    }

    /// Returns the time after which so many units have left the window, at most the
    /// window's length.
    pub(crate) fn time_until_freed(&self, units: f64, now: time::Instant) -> time::Duration {
        if units <= 0.0 {
            return time::Duration::ZERO;
        }
        let mut departures: Vec<_> = self.windows().flat_map(|w| w.departures()).collect();
        departures.sort_by_key(|(at, _)| *at);
        let mut left = units;
        for (at, amount) in departures {
            left -= amount;
            if left <= 0.0 {
                return at.saturating_duration_since(now);
            }
        }
        self.window
    }
}
