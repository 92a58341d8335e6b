//! What upstream hosts have said of themselves: that they are leaving, or that they want
//! no call for a time.
//!
//! A notice holds for one incarnation of a host, its process from start to end, so that a
//! process that starts again under the same id is usable at once. No other source takes a
//! notice back: the membership list may be older than it. At the end of the time for which
//! a host wants no call, a single call tests whether it takes calls again, so that not all
//! that wait return together.

use crate::hosts::host_pace::ColdRate;
use crate::hosts::machine_pace::MachinePaces;
use crate::hosts::notice_types::CallKind;
use crate::hosts::notice_types::Incarnation;
use crate::hosts::notice_types::NoticeEffect;
use crate::hosts::notice_types::Permit;
use crate::hosts::notice_types::Withheld;
use crate::hosts::pace::HostPaces;
use std::cell;
use std::collections;
use std::hash;
use std::hash::Hash;
use std::hash::Hasher;
use std::rc;
use std::time;
use world::Name;

/// The longest time for which a host gets no call, whatever it asks for. Up to it, a host
/// gets none for all the time that it asks for: even a test call a minute would be more
/// than it wants.
pub const MAX_PAUSE: time::Duration = time::Duration::from_secs(3_600);
/// How long a host gets no call that asks for a time that can't be read.
pub const DEFAULT_PAUSE: time::Duration = time::Duration::from_secs(1);
/// A host refuses at once, so a call that has no answer after this time was taken.
pub const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// The part of a pause by which entries return later than its end, each at another time.
const RETURN_SPREAD: f64 = 0.25;
/// The longest time by which entries return later.
const MAX_RETURN_SPREAD: time::Duration = time::Duration::from_millis(300);
/// How long it is remembered that a host is leaving after it was removed from the list.
const LEAVING_EXPIRY: time::Duration = time::Duration::from_secs(600);
/// How long peers are told that a host is leaving that is not in the list.
const TELL_TIME: time::Duration = time::Duration::from_secs(30);

/// The notices as the pools of an entry share them.
pub type SharedNotices = rc::Rc<cell::RefCell<HostNotices>>;

/// Notices of the upstream hosts of all services.
#[derive(Clone, Debug, Default)]
pub struct HostNotices {
    /// Name of this entry; without one, it returns to hosts at the end of their pauses.
    entry: Option<Name>,
    /// The hosts in the membership list.
    pub(crate) listed: collections::BTreeMap<Name, seam::Member>,
    /// Zones that are evacuated.
    pub(crate) evacuated: collections::BTreeSet<Name>,
    /// What cold hosts tolerate, by service.
    pub(crate) cold_rates: collections::BTreeMap<Name, ColdRate>,
    /// Hosts that have less than their full share of work.
    pub paces: HostPaces,
    /// How fast the machines of hosts are.
    pub machines: MachinePaces,
    leaving: collections::BTreeMap<Incarnation, Leaving>,
    pauses: collections::BTreeMap<Incarnation, Pause>,
}

#[derive(Clone, Copy, Debug)]
struct Leaving {
    known_at: time::Instant,
    /// Whether the host has said so to this entry itself.
    is_own: bool,
}

/// A time for which a host wants no call, and the test after it.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: time::Instant,
    probe: Option<Probe>,
}

/// A call that was made after a pause and that has no answer yet.
#[derive(Clone, Copy, Debug)]
struct Probe {
    started_at: time::Instant,
    kind: CallKind,
}

impl Pause {
    fn withheld(&self, now: time::Instant) -> Option<Withheld> {
        if self.until > now {
            return Some(Withheld::Paused);
        }
        let started_at = self.probe?.started_at;
        (started_at + PROBE_TIMEOUT > now).then_some(Withheld::Probed)
    }

    /// Returns whether a call has tested whether the host takes work again. A host may
    /// answer a control call although it would refuse work.
    fn is_tested(&self) -> bool {
        self.probe.is_some_and(|p| p.kind != CallKind::Control)
    }
}

impl HostNotices {
    /// Creates notices of an entry that shares its hosts with others.
    pub fn new(entry: Name) -> Self {
        Self {
            paces: HostPaces::new(entry.clone()),
            entry: Some(entry),
            ..Self::default()
        }
    }

    /// Sets the hosts in the membership list. Notices of others are dropped only after a
    /// long time, since a host may be missing from one list and be in the next.
    pub fn set_listed<'a>(
        &mut self,
        members: impl Iterator<Item = &'a seam::Member>,
        now: time::Instant,
    ) {
        let before = std::mem::take(&mut self.listed);
        self.listed = members.map(|m| (m.id.clone(), m.clone())).collect();
        self.update_paces(&before, now);
        let listed = &self.listed;
        let is_listed = |host: &Incarnation| is_listed(listed, host);
        self.leaving.retain(|host, leaving| {
            let age = now.saturating_duration_since(leaving.known_at);
            is_listed(host) || age < LEAVING_EXPIRY
        });
        self.pauses.retain(|host, pause| {
            pause.withheld(now).is_some() || (is_listed(host) && !pause.is_tested())
        });
    }

    /// Returns whether nothing keeps any host from getting work.
    fn has_no_bounds(&self) -> bool {
        let is_quiet = self.leaving.is_empty() && self.pauses.is_empty();
        is_quiet && self.evacuated.is_empty() && self.paces.is_empty()
    }

    /// Records a notice that this entry has received. A pause counts from its arrival, and
    /// does not shorten a longer one.
    pub fn record(&mut self, notice: &seam::HostNotice) -> NoticeEffect {
        let host = Incarnation::from(&notice.host);
        let mut effect = NoticeEffect::default();
        if let Some(pace) = notice.pace {
            self.machines.record(&host.id, pace, notice.received_at);
        }
        if notice.leaving {
            let known = self.leaving.get(&host).copied();
            effect.leaves = known.is_none();
            let known_at = known.map_or(notice.received_at, |l| l.known_at);
            let leaving = Leaving {
                known_at,
                is_own: true,
            };
            self.leaving.insert(host.clone(), leaving);
        }
        if let Some(retry_after) = &notice.retry_after {
            let pause = match retry_after {
                seam::RetryAfter::Delay(delay) => (*delay).min(MAX_PAUSE),
                seam::RetryAfter::Invalid(_) => DEFAULT_PAUSE,
            };
            effect.pause = Some(pause);
            let mut until = notice.received_at + pause + self.return_delay(&host, pause);
            if let Some(known) = self.pauses.get(&host) {
                until = until.max(known.until);
            }
            if !pause.is_zero() {
                let probe = None;
                self.pauses.insert(host, Pause { until, probe });
            }
        }
        effect
    }

    /// Records the hosts that have told a peer that they are leaving, and returns those of
    /// which this entry did not know it.
    pub fn record_peer(&mut self, hosts: &[Incarnation], now: time::Instant) -> Vec<Incarnation> {
        let mut new = hosts.to_vec();
        new.retain(|h| !self.leaving.contains_key(h));
        for host in &new {
            let leaving = Leaving {
                known_at: now,
                is_own: false,
            };
            self.leaving.insert(host.clone(), leaving);
        }
        new
    }

    /// Returns the hosts that have told this entry itself that they are leaving, for its
    /// peers.
    pub fn own_leaving(&self, now: time::Instant) -> Vec<Incarnation> {
        let own = self.leaving.iter().filter(|(_, l)| l.is_own);
        let told = own.filter(|(host, leaving)| {
            let age = now.saturating_duration_since(leaving.known_at);
            is_listed(&self.listed, host) || age < TELL_TIME
        });
        told.map(|(host, _)| host.clone()).collect()
    }

    /// Returns whether a host in the membership list is leaving by its own word.
    pub fn is_leaving(&self, id: &Name) -> bool {
        let host = self.listed_incarnation(id);
        host.is_some_and(|h| self.leaving.contains_key(&h))
    }

    /// Returns whether a host in the membership list may be picked for new work.
    pub fn allows(&self, id: &Name, now: time::Instant) -> bool {
        if self.has_no_bounds() {
            return true;
        }
        let host = self.listed_incarnation(id);
        host.is_none_or(|h| self.withheld(&h, CallKind::Work, now).is_none())
    }

    /// Returns whether a host in the membership list still takes work for which it has granted
    /// a reservation.
    pub fn allows_granted(&self, id: &Name, now: time::Instant) -> bool {
        if self.has_no_bounds() {
            return true;
        }
        let host = self.listed_incarnation(id);
        host.is_none_or(|h| self.withheld(&h, CallKind::Granted, now).is_none())
    }

    /// Returns when the first of these hosts takes calls again, if each of them that is not
    /// leaving wants none now.
    pub fn retry_at<'a>(
        &self,
        ids: impl Iterator<Item = &'a Name>,
        now: time::Instant,
    ) -> Option<time::Instant> {
        if self.pauses.is_empty() {
            return None;
        }
        let mut earliest: Option<time::Instant> = None;
        for id in ids.filter(|id| !self.is_leaving(id) && !self.is_evacuated(id)) {
            let host = self.listed_incarnation(id)?;
            let until = self.pauses.get(&host)?.until;
            if until <= now {
                return None;
            }
            earliest = Some(earliest.map_or(until, |e| e.min(until)));
        }
        earliest
    }

    /// Returns whether a call tests at the moment whether one of these hosts takes calls
    /// again.
    pub fn is_probing<'a>(
        &self,
        mut ids: impl Iterator<Item = &'a Name>,
        now: time::Instant,
    ) -> bool {
        ids.any(|id| {
            let host = self.listed_incarnation(id);
            host.and_then(|h| self.withheld(&h, CallKind::Work, now)) == Some(Withheld::Probed)
        })
    }

    /// Decides whether a call may be made, and records it if so. The first work after a
    /// pause tests whether the host takes calls again; a control call before it keeps
    /// others back only while it lasts.
    pub fn start_call(
        &mut self,
        host: &Incarnation,
        kind: CallKind,
        now: time::Instant,
    ) -> Result<Permit, Withheld> {
        if let Some(withheld) = self.withheld(host, kind, now) {
            return Err(withheld);
        }
        let Some(pause) = self.pauses.get_mut(host) else {
            return Ok(Permit::Usual);
        };
        if pause.is_tested() {
            self.pauses.remove(host);
            return Ok(Permit::Usual);
        }
        let started_at = now;
        pause.probe = Some(Probe { started_at, kind });
        Ok(Permit::Probe(started_at))
    }

    /// Records that a call has ended, after its notice if it brought one. A test with work
    /// that brought no new pause ends the old one.
    pub fn end_call(&mut self, host: &Incarnation, permit: Permit) {
        let Permit::Probe(started_at) = permit else {
            return;
        };
        let probed = self.pauses.get_mut(host);
        let probed = probed.filter(|p| p.probe.is_some_and(|p| p.started_at == started_at));
        let Some(pause) = probed else {
            return;
        };
        match pause.is_tested() {
            true => {
                self.pauses.remove(host);
            }
            false => pause.probe = None,
        }
    }

    /// Returns how long after a pause this entry returns to the host. Entries are in another
    /// order at each host.
    fn return_delay(&self, host: &Incarnation, pause: time::Duration) -> time::Duration {
        let Some(entry) = &self.entry else {
            return time::Duration::ZERO;
        };
        let mut hasher = hash::DefaultHasher::new();
        (entry, host).hash(&mut hasher);
        let share = hasher.finish() as f64 / u64::MAX as f64;
        pause
            .mul_f64(RETURN_SPREAD)
            .min(MAX_RETURN_SPREAD)
            .mul_f64(share)
    }

    fn withheld(&self, host: &Incarnation, kind: CallKind, now: time::Instant) -> Option<Withheld> {
        if kind != CallKind::Control {
            if self.leaving.contains_key(host) {
                return Some(Withheld::Leaving);
            }
            if is_listed(&self.listed, host) && self.is_evacuated(&host.id) {
                return Some(Withheld::Evacuated);
            }
        }
        if kind == CallKind::Work && !self.paces.allows(host, now) {
            return Some(Withheld::Cold);
        }
        self.pauses.get(host)?.withheld(now)
    }

    pub(crate) fn listed_incarnation(&self, id: &Name) -> Option<Incarnation> {
        self.listed.get(id).map(Incarnation::from)
    }
}

/// Returns the member of a list that is this process of a host.
pub(crate) fn listed_member<'a>(
    listed: &'a collections::BTreeMap<Name, seam::Member>,
    host: &Incarnation,
) -> Option<&'a seam::Member> {
    let member = listed.get(&host.id);
    member.filter(|m| m.started_ms == host.started_ms)
}

/// Returns whether a list holds this process of a host.
pub(crate) fn is_listed(
    listed: &collections::BTreeMap<Name, seam::Member>,
    host: &Incarnation,
) -> bool {
    listed_member(listed, host).is_some()
}
