//! How fast a host gets work that has just started or come back, until it has its full share.
//!
//! A host that has just started is empty, so that all entries would choose it at once; and one
//! that came back gets a test call from each of them. Here the entries share one window of
//! requests in flight at such a host. Each good answer widens it by one, a refusal, a slow
//! answer or a lost connection halves it. The entries take parts of the window in an order that
//! changes with the host and over time, so that no counter is shared. Of a rate that the
//! configuration declares for cold hosts, each entry has a fixed part.
//! See docs/design/pace.md.

use crate::hosts::host_pace::AnswerQuality;
use crate::hosts::host_pace::Cold;
use crate::hosts::host_pace::ColdRate;
use crate::hosts::host_pace::FULL_INTERVAL;
use crate::hosts::host_pace::HostPace;
use crate::hosts::notice_types::Incarnation;
use crate::peers::heard::Heard;
use std::collections;
use std::hash;
use std::hash::Hash;
use std::hash::Hasher;
use std::time;
use world::Name;

/// Requests in flight with which a window begins, on hosts with at least twice as many slots.
const FIRST_WINDOW: f64 = 4.0;
/// Requests in flight at a full host for each of its slots: those that run and as many that wait,
/// so that none of its slots is left idle.
const FULL_WINDOW: f64 = 2.0;
/// How long after its end a peer's report doesn't begin the pace of a host anew.
const MAX_REPORT_DELAY: time::Duration = time::Duration::from_secs(10);
/// Time after which the entries take their parts of a window in another order.
const TURN: time::Duration = time::Duration::from_millis(250);
/// An answer is slow that takes this many times as long as such answers of the service do.
const SLOW_FACTOR: f64 = 3.0;
/// Weight of the newest answer in the usual time of a service's answers.
const USUAL_WEIGHT: f64 = 0.05;
/// Hosts that a process hears of within this time after its start have run before.
const SETTLING_TIME: time::Duration = time::Duration::from_secs(5);

/// What an entry tells its peers of a host that is paced.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PaceReport {
    /// The host.
    #[serde(rename = "h")]
    pub host: Incarnation,
    /// Good answers that the sender has had since it paces the host.
    #[serde(rename = "g")]
    pub good: u64,
    /// Reductions of the window for which the sender had a cause.
    #[serde(rename = "c")]
    pub cuts: u64,
    /// Whether the host is paced because it was full.
    #[serde(default, rename = "f", skip_serializing_if = "std::ops::Not::not")]
    pub is_full: bool,
}

/// A change that is worth a log line.
#[derive(Clone, Debug, PartialEq)]
pub enum PaceEvent {
    /// A host is paced from now on, for this reason.
    Began(Incarnation, &'static str),
    /// A host has its full share after this time.
    Ended(Incarnation, time::Duration),
}

/// The hosts that have less than their full share.
#[derive(Clone, Debug, Default)]
pub struct HostPaces {
    /// Name of this entry and of the others.
    entry: Option<Name>,
    entries: Vec<Name>,
    /// The most entries that there were since the start of this process. Some that are lost
    /// to it may still send.
    most_entries: usize,
    /// Rises when the entries change.
    generation: u64,
    /// Whether the pace is learnt from answers, beside what is declared.
    is_learning: bool,
    started_at: Option<time::Instant>,
    hosts: collections::BTreeMap<Incarnation, HostPace>,
    /// When hosts had their full share again.
    ended: collections::BTreeMap<Incarnation, time::Instant>,
    /// Usual seconds of answers, by service.
    usual: collections::BTreeMap<Name, f64>,
    events: Vec<PaceEvent>,
}

impl HostPaces {
    /// Starts without hosts at an entry.
    pub fn new(entry: Name) -> Self {
        Self {
            entry: Some(entry),
            ..Self::default()
        }
    }

    /// Sets whether paces are learnt from answers.
    pub fn set_learning(&mut self, is_learning: bool) {
        self.is_learning = is_learning;
    }

    /// Sets the other entries.
    pub fn set_peers<'a>(&mut self, peers: impl Iterator<Item = &'a Name>) {
        let entries = peers.cloned().chain(self.entry.clone());
        let entries: Vec<Name> = entries.collect();
        self.most_entries = self.most_entries.max(entries.len());
        if entries != self.entries {
            self.entries = entries;
            self.generation += 1;
        }
    }

    /// Records that a host is in the list for the first time. Those in the first lists that an
    /// entry reads have run before.
    pub fn record_new(&mut self, host: &Incarnation, member: &seam::Member, now: time::Instant) {
        self.started_at.get_or_insert(now);
        if self.is_learning && !self.is_young(now) {
            self.begin(host, member, "started", now);
        }
    }

    /// Records that a host is cold for this time, and what it tolerates.
    pub fn record_cold(
        &mut self,
        host: &Incarnation,
        member: &seam::Member,
        left: time::Duration,
        rate: ColdRate,
        now: time::Instant,
    ) {
        self.started_at.get_or_insert(now);
        let pace = self.hosts.entry(host.clone()).or_insert_with(|| {
            let event = PaceEvent::Began(host.clone(), "cold");
            self.events.push(event);
            HostPace::new(member, None, now)
        });
        let until = now + left;
        let until = pace.cold.map_or(until, |c| c.until.max(until));
        pace.cold = Some(Cold { until, rate });
    }

    /// Ends the paces of hosts that are not in the list any more, and those that are over.
    pub fn retain(&mut self, is_listed: impl Fn(&Incarnation) -> bool, now: time::Instant) {
        let (events, ended) = (&mut self.events, &mut self.ended);
        ended.retain(|_, at| now.saturating_duration_since(*at) < MAX_REPORT_DELAY);
        self.hosts.retain(|host, pace| {
            if !is_listed(host) {
                return false;
            }
            let is_kept = pace.is_kept(now);
            if !is_kept {
                let took = now.saturating_duration_since(pace.began_at);
                events.push(PaceEvent::Ended(host.clone(), took));
                ended.insert(host.clone(), now);
            }
            is_kept
        });
    }

    /// Returns whether the declared bound of a host lets this entry send it a request.
    pub fn allows(&self, host: &Incarnation, now: time::Instant) -> bool {
        let pace = self.hosts.get(host);
        let cold = pace.and_then(|p| p.cold.filter(|c| c.until > now).map(|c| (p, c)));
        cold.is_none_or(|(pace, cold)| {
            let (senders, interval) = cold.rate.parts(self.most_entries);
            // The process before this one may have sent until this one started.
            let is_young = self.is_young(now);
            let interval = match is_young {
                true => interval.max(FULL_INTERVAL),
                false => interval,
            };
            let last = pace.last_sent.or(self.started_at.filter(|_| is_young));
            let is_due = last.is_none_or(|at| now.saturating_duration_since(at) >= interval);
            is_due && self.rank(host, pace, 0) < senders
        })
    }

    /// Returns whether this entry has its part of a host's window in flight, so that another
    /// host is better.
    pub fn is_filled(&self, host: &Incarnation, now: time::Instant) -> bool {
        let Some(pace) = self.hosts.get(host) else {
            return false;
        };
        let Some(window) = pace.window else {
            return false;
        };
        let count = self.entries.len().max(1);
        let window = window as usize;
        let turn = now.saturating_duration_since(pace.began_at).as_millis() / TURN.as_millis();
        let extra = usize::from(self.rank(host, pace, turn as u64) < window % count);
        pace.in_flight as usize >= window / count + extra
    }

    /// Returns whether no host is paced.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Records that a request is sent to a host.
    pub fn record_send(&mut self, host: &Incarnation, now: time::Instant) {
        if let Some(pace) = self.hosts.get_mut(host) {
            pace.in_flight += 1;
            pace.last_sent = Some(now);
        }
    }

    /// Records how a host answered after this time.
    pub fn record_answer(
        &mut self,
        host: &Incarnation,
        member: Option<&seam::Member>,
        quality: AnswerQuality,
        took: Option<time::Duration>,
        now: time::Instant,
    ) {
        if !self.is_learning && !self.hosts.contains_key(host) {
            return;
        }
        let is_slow = member.zip(took).is_some_and(|(member, took)| {
            quality == AnswerQuality::Good && self.record_time(&member.service, took)
        });
        if let Some(member) = member.filter(|_| self.is_learning) {
            match quality {
                AnswerQuality::Unreachable => self.begin(host, member, "unreachable", now),
                AnswerQuality::Refused if member.role.is_none() => {
                    self.begin_full(host, member, now);
                }
                _ => {}
            }
        }
        let Some(pace) = self.hosts.get_mut(host) else {
            return;
        };
        pace.in_flight = pace.in_flight.saturating_sub(1);
        if quality == AnswerQuality::Unreachable {
            pace.lost_at = now;
        }
        match quality {
            AnswerQuality::Good if !is_slow => {
                pace.good += 1;
                pace.widen(1.0);
            }
            AnswerQuality::Good | AnswerQuality::Refused | AnswerQuality::Unreachable => {
                if pace.cut(now) {
                    pace.cuts += 1;
                }
            }
            AnswerQuality::Unclear => {}
        }
    }

    /// Returns what to tell the peers of the hosts that are paced by their answers.
    pub fn reports(&self) -> Vec<PaceReport> {
        let learnt = self.hosts.iter().filter(|(_, p)| p.window.is_some());
        let reports = learnt.map(|(host, pace)| PaceReport {
            host: host.clone(),
            good: pace.good,
            cuts: pace.cuts,
            is_full: pace.full.is_none(),
        });
        reports.collect()
    }

    /// Applies a peer's report of a host that is in the list. What the peer paces, this entry
    /// paces too.
    pub fn apply_report(
        &mut self,
        peer: &Name,
        report: &PaceReport,
        member: &seam::Member,
        heard: Heard,
    ) {
        if !self.is_learning {
            return;
        }
        let now = heard.received_at;
        let ended_at = self.ended.get(&report.host);
        let is_over =
            ended_at.is_some_and(|at| now.saturating_duration_since(*at) < MAX_REPORT_DELAY);
        if !self.hosts.contains_key(&report.host) && !is_over {
            match report.is_full {
                true => self.begin_full(&report.host, member, now),
                false => self.begin(&report.host, member, "peer", now),
            }
        }
        let Some(pace) = self.hosts.get_mut(&report.host) else {
            return;
        };
        let told = (report.good, report.cuts);
        let before = pace.peers.insert(peer.clone(), told).unwrap_or_default();
        // A peer that has started again counts anew.
        let new = |now: u64, before: u64| now.checked_sub(before).unwrap_or(now);
        let good = new(report.good, before.0);
        if new(report.cuts, before.1) > 0 {
            pace.cut(now);
        }
        pace.widen(good as f64);
    }

    /// Takes the changes since the last call.
    pub fn take_events(&mut self) -> Vec<PaceEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the number of paced hosts, for the metrics.
    pub fn count(&self) -> usize {
        self.hosts.len()
    }

    /// Returns whether this process has begun a moment ago.
    fn is_young(&self, now: time::Instant) -> bool {
        let started_at = self.started_at;
        started_at.is_none_or(|at| now.saturating_duration_since(at) <= SETTLING_TIME)
    }

    /// Begins to pace a host by its answers, or to do so anew after it was lost.
    fn begin(
        &mut self,
        host: &Incarnation,
        member: &seam::Member,
        cause: &'static str,
        now: time::Instant,
    ) {
        let window = (f64::from(member.slots) / 2.0).clamp(1.0, FIRST_WINDOW);
        if let Some(pace) = self.hosts.get_mut(host) {
            if pace.window.is_none() {
                pace.window = Some(window);
                pace.lost_at = now;
            }
            return;
        }
        let pace = HostPace::new(member, Some(window), now);
        self.hosts.insert(host.clone(), pace);
        self.events.push(PaceEvent::Began(host.clone(), cause));
    }

    /// Begins to bound what all entries send to a host that is full, so that calls wait at the
    /// entries in their order and not in the host's queue.
    fn begin_full(&mut self, host: &Incarnation, member: &seam::Member, now: time::Instant) {
        let most = f64::from(member.slots.max(1)) * FULL_WINDOW;
        if let Some(pace) = self.hosts.get_mut(host) {
            pace.lost_at = now;
            return;
        }
        let mut pace = HostPace::new(member, Some(most), now);
        (pace.full, pace.most) = (None, most);
        self.hosts.insert(host.clone(), pace);
        self.events.push(PaceEvent::Began(host.clone(), "full"));
    }

    /// Records the time of an answer, and returns whether it was slow.
    fn record_time(&mut self, service: &Name, took: time::Duration) -> bool {
        let seconds = took.as_secs_f64();
        let usual = self.usual.entry(service.clone()).or_insert(seconds);
        let is_slow = seconds > *usual * SLOW_FACTOR;
        *usual += USUAL_WEIGHT * (seconds.min(*usual * SLOW_FACTOR) - *usual);
        is_slow
    }

    /// Returns the place of this entry among all in an order that depends on a host and a turn.
    fn rank(&self, host: &Incarnation, pace: &HostPace, turn: u64) -> usize {
        let Some(entry) = &self.entry else {
            return 0;
        };
        let known = pace.rank.get();
        if let Some((_, _, rank)) = known.filter(|(t, g, _)| (*t, *g) == (turn, self.generation)) {
            return rank;
        }
        let key = |name: &Name| {
            let mut hasher = hash::DefaultHasher::new();
            (name, host, turn).hash(&mut hasher);
            hasher.finish()
        };
        let own = key(entry);
        let others = self.entries.iter().filter(|e| *e != entry);
        let rank = others.filter(|e| key(e) < own).count();
        pace.rank.set(Some((turn, self.generation, rank)));
        rank
    }
}
