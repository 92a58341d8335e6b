//! Keeps the evidence of crashes and the verdicts, and says how requests stand.

use crate::crashes::evidence::Crash;
use crate::crashes::evidence::CrashId;
use crate::crashes::evidence::CrashReport;
use crate::crashes::evidence::CrashedRun;
use crate::crashes::evidence::Element;
use crate::crashes::evidence::ElementSet;
use crate::crashes::evidence::is_proven;
use crate::crashes::recent_answers::RecentAnswers;
use crate::crashes::verdict::VERDICT_TTL;
use crate::crashes::verdict::Verdict;
use crate::crashes::verdict::VerdictReport;
use seam::Revision;
use std::collections;
use std::time;

/// How long a crash is evidence.
pub(super) const EVIDENCE_TTL: time::Duration = VERDICT_TTL;
/// How long an answer speaks for what its request held.
const ANSWER_TTL: time::Duration = time::Duration::from_secs(30);
/// Time after a peer's crash before this entry runs a suspect of it.
const PEER_TRIAL_DELAY: time::Duration = time::Duration::from_millis(800);
/// Further time for each entry before this one, up to [`MAX_TRIAL_STEPS`] of them.
const TRIAL_STEP: time::Duration = time::Duration::from_millis(100);
/// Largest number of entries that are waited for.
const MAX_TRIAL_STEPS: u32 = 20;
/// How long a crash is told to peers.
const REPORT_TTL: time::Duration = time::Duration::from_secs(5);
/// Largest numbers of crashes and of answered elements in one message to peers.
const MAX_REPORTS: usize = 16;
const MAX_ANSWERED: usize = 128;

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing that it holds is suspected.
    Clear,
    /// Something that it holds was at a crash: it should run where little is lost.
    Suspect,
    /// It holds what crashes engines.
    Condemned,
}

/// The evidence of crashes and the verdicts.
///
/// A crash counts once, however many entries saw it and however often they tell it. It
/// counts against the requests whose answers had just begun; an answer clears what its
/// request held.
#[derive(Clone, Debug, Default)]
pub struct CrashQuarantine {
    pub(super) crashes: collections::BTreeMap<CrashId, Crash>,
    pub(super) answers: RecentAnswers,
    pub(super) verdicts: Vec<Verdict>,
    /// Elements that may have caused a crash.
    pub(super) suspects: ElementSet,
    /// Elements at crashes and in verdicts, also cleared ones.
    pub(super) known: ElementSet,
    pub(super) changes: VerdictChanges,
    /// What the verdicts named that an operator has removed, and when that was seen.
    pardons: Vec<(ElementSet, time::Instant)>,
}

/// Verdicts that were added and lifted, to be logged and kept in the store.
#[derive(Clone, Debug, Default)]
pub struct VerdictChanges {
    /// New verdicts.
    pub added: Vec<Verdict>,
    /// Verdicts that hold no more, or only for fewer elements.
    pub lifted: Vec<Verdict>,
}

impl CrashQuarantine {
    /// Returns how a request with these elements stands.
    pub fn standing(&self, elements: &ElementSet, now: time::Instant) -> Standing {
        if self.verdict_on(elements, now).is_some() {
            Standing::Condemned
        } else if elements.iter().any(|e| self.suspects.contains(e)) {
            Standing::Suspect
        } else {
            Standing::Clear
        }
    }

    /// Returns the verdict that condemns a request with these elements.
    pub fn verdict_on(&self, elements: &ElementSet, now: time::Instant) -> Option<&Verdict> {
        let mut verdicts = self.verdicts.iter().filter(|v| v.holds(now));
        verdicts.find(|v| v.elements.is_subset(elements))
    }

    /// Returns what a request with these elements holds that is suspected.
    pub fn suspected(&self, elements: &ElementSet) -> ElementSet {
        self.suspects.intersection(elements).cloned().collect()
    }

    /// Returns from when on this entry, which is the `index`th, may run a suspect. The
    /// entries that saw the crash come first: they soon know whether it crashes again.
    pub fn trial_start(
        &self,
        elements: &ElementSet,
        index: usize,
        now: time::Instant,
    ) -> time::Instant {
        let step = TRIAL_STEP
            * u32::try_from(index)
                .unwrap_or(MAX_TRIAL_STEPS)
                .min(MAX_TRIAL_STEPS);
        let holds = |c: &Crash| c.runs.iter().any(|r| !r.elements.is_disjoint(elements));
        let crashes = self.crashes.values().filter(|c| holds(c));
        let starts = crashes.map(|c| match c.own {
            true => c.at,
            false => c.at + PEER_TRIAL_DELAY + step,
        });
        starts.max().unwrap_or(now)
    }

    /// Lets one condemned request through if a test of its verdict is due. Returns
    /// whether it may run, alone.
    pub fn start_test(&mut self, elements: &ElementSet, now: time::Instant) -> bool {
        let verdicts = self.verdicts.iter_mut();
        let mut condemning: Vec<&mut Verdict> = verdicts
            .filter(|v| v.holds(now) && v.elements.is_subset(elements))
            .collect();
        let is_due = condemning.iter().all(|v| v.is_test_due(now));
        if is_due {
            for verdict in &mut condemning {
                verdict.tested_at = Some(now);
            }
        }
        is_due
    }

    /// Records a crash that this entry saw and a request that ran there. Returns whether
    /// the crash is new.
    pub fn record_own(&mut self, id: CrashId, run: CrashedRun, now: time::Instant) -> bool {
        // What answers speak for is left out first, so that it takes no room.
        let elements = run.elements.into_iter();
        let suspected = elements.filter(|e| !self.is_excused(e, now)).collect();
        let run = CrashedRun {
            elements: suspected,
            ..run
        };
        let is_new = self.add_crash(id, now, true, vec![run], now);
        self.update(now);
        is_new
    }

    /// Records a crash that a peer reported. Returns whether it is new.
    pub fn record_report(&mut self, report: CrashReport, now: time::Instant) -> bool {
        let age = time::Duration::from_millis(report.age_ms);
        let Some(at) = now.checked_sub(age).filter(|_| age < EVIDENCE_TTL) else {
            return false;
        };
        let known = self.crashes.get(&report.id).map_or(0, |c| c.runs.len());
        let is_new = self.add_crash(report.id.clone(), at, false, report.runs, now);
        if is_new || self.crashes.get(&report.id).map_or(0, |c| c.runs.len()) != known {
            self.update(now);
        }
        is_new
    }

    /// Returns whether a stream with this many complete events from one engine speaks for
    /// what its request holds.
    pub fn is_proven(events: u64) -> bool {
        is_proven(events)
    }

    /// Records that a request with these elements was answered, which speaks for them.
    pub fn record_answer(&mut self, elements: &ElementSet, at: time::Instant) {
        let mut clears = false;
        for element in elements {
            let is_condemned = self.verdicts.iter().any(|v| v.elements.contains(element));
            clears |= is_condemned || self.suspects.contains(element);
            // Requests as a whole are too many to remember all of them.
            if self.known.contains(element) || matches!(element, Element::Part(_)) {
                self.answers.record(element, at);
            }
        }
        if clears {
            self.update(at);
        }
    }

    /// Records a verdict of a peer or of the store.
    pub fn record_verdict(&mut self, report: &VerdictReport, now: time::Instant) {
        let age = time::Duration::from_millis(report.age_ms);
        let Some(last_crash) = now.checked_sub(age).filter(|_| age < VERDICT_TTL) else {
            return;
        };
        let is_pardoned = |(elements, at): &(ElementSet, time::Instant)| {
            *elements == report.elements && last_crash <= *at
        };
        if self.pardons.iter().any(is_pardoned) {
            return;
        }
        let position = self
            .verdicts
            .iter()
            .position(|v| v.elements == report.elements);
        if let Some(index) = position {
            let verdict = &mut self.verdicts[index];
            verdict.crashes.extend(report.crashes.iter().cloned());
            verdict.last_crash = verdict.last_crash.max(last_crash);
            verdict.revision = verdict.revision.max(report.revision);
            return;
        }
        let before = self.verdicts.clone();
        let mut verdict = Verdict::new(report.elements.clone(), last_crash);
        verdict.crashes.extend(report.crashes.iter().cloned());
        verdict.revision = report.revision;
        self.verdicts.push(verdict);
        self.update_since(&before, now);
    }

    /// Returns the verdicts that were added and lifted since the last call.
    pub fn take_changes(&mut self) -> VerdictChanges {
        std::mem::take(&mut self.changes)
    }

    /// Records that the store holds a verdict with this revision.
    pub fn record_stored(&mut self, elements: &ElementSet, revision: Revision) {
        for verdict in self.verdicts.iter_mut().filter(|v| v.elements == *elements) {
            verdict.revision = verdict.revision.max(Some(revision));
        }
    }

    /// Lifts the verdicts that were in the store and are no longer among `stored`, because
    /// an operator removed them; `revision` is that of the list. Those that were written
    /// before the store came back from a copy are to be written again. Returns what was
    /// lifted.
    pub fn lift_removed(
        &mut self,
        stored: &[ElementSet],
        revision: Revision,
        now: time::Instant,
    ) -> Vec<Verdict> {
        for verdict in &mut self.verdicts {
            let is_lost = verdict.revision.is_some_and(|r| r.era < revision.era);
            if is_lost && !stored.contains(&verdict.elements) {
                verdict.revision = None;
            }
        }
        let is_removed = |v: &Verdict| {
            let written = v.revision.is_some_and(|r| r <= revision);
            written && !stored.contains(&v.elements)
        };
        let (removed, kept) = self.verdicts.drain(..).partition(is_removed);
        self.verdicts = kept;
        let removed: Vec<Verdict> = removed;
        let is_valid = |at: time::Instant| now.saturating_duration_since(at) < VERDICT_TTL;
        self.pardons.retain(|(_, at)| is_valid(*at));
        for verdict in &removed {
            self.pardons.push((verdict.elements.clone(), now));
            let explains = |run: &CrashedRun| verdict.elements.is_subset(&run.elements);
            self.crashes.retain(|_, c| !c.runs.iter().any(explains));
            self.suspects.retain(|e| !verdict.elements.contains(e));
        }
        self.changes.lifted.extend(removed.iter().cloned());
        removed
    }

    /// Returns the verdicts that hold.
    pub fn verdicts(&self, now: time::Instant) -> impl Iterator<Item = &Verdict> {
        self.verdicts.iter().filter(move |v| v.holds(now))
    }

    /// Returns the recent crashes that this entry saw, for its peers.
    pub fn own_reports(&self, now: time::Instant) -> Vec<CrashReport> {
        let age = |crash: &Crash| now.saturating_duration_since(crash.at);
        let mut recent: Vec<(&CrashId, &Crash)> = self
            .crashes
            .iter()
            .filter(|(_, c)| c.own && age(c) < REPORT_TTL)
            .collect();
        recent.sort_by_key(|(_, c)| age(c));
        recent
            .into_iter()
            .take(MAX_REPORTS)
            .map(|(id, crash)| CrashReport {
                id: id.clone(),
                age_ms: u64::try_from(age(crash).as_millis()).unwrap_or(u64::MAX),
                runs: crash.runs.clone(),
            })
            .collect()
    }

    /// Returns the elements at crashes or in verdicts that this entry has seen answered
    /// lately, with the milliseconds since then, for its peers.
    pub fn answered(&self, now: time::Instant) -> Vec<(Element, u64)> {
        let answered = self.known.iter().filter_map(|e| {
            let age = now.saturating_duration_since(self.answers.last(e)?);
            let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            (age < ANSWER_TTL).then(|| (e.clone(), age_ms))
        });
        answered.take(MAX_ANSWERED).collect()
    }

    /// Returns the number of elements under suspicion.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    fn add_crash(
        &mut self,
        id: CrashId,
        at: time::Instant,
        own: bool,
        runs: Vec<CrashedRun>,
        now: time::Instant,
    ) -> bool {
        let is_new = !self.crashes.contains_key(&id);
        let crash = self.crashes.entry(id).or_insert_with(|| Crash {
            at: at.min(now),
            own,
            runs: Vec::new(),
        });
        crash.own |= own;
        for run in runs {
            crash.add_run(run);
        }
        is_new
    }

    /// Returns whether an answer speaks for an element at the time of a crash.
    pub(super) fn is_excused(&self, element: &Element, crash: time::Instant) -> bool {
        let last = self.answers.last(element);
        last.is_some_and(|at| crash < at + ANSWER_TTL)
    }
}
