//! Derives verdicts and suspects from the evidence.

use crate::crashes::evidence::Crash;
use crate::crashes::evidence::CrashId;
use crate::crashes::evidence::ElementSet;
use crate::crashes::evidence::Progress;
use crate::crashes::judge;
use crate::crashes::quarantine::CrashQuarantine;
use crate::crashes::quarantine::EVIDENCE_TTL;
use crate::crashes::verdict::Verdict;
use std::time;

/// Largest number of crashes that are kept.
const MAX_CRASHES: usize = 64;
/// Largest number of verdicts that are kept.
const MAX_VERDICTS: usize = 64;
/// How long a crash without possible causes is kept, so that a late report of it is
/// recognised.
const EXCUSED_TTL: time::Duration = time::Duration::from_secs(10);

impl CrashQuarantine {
    /// Derives verdicts and suspects anew from the evidence.
    pub(super) fn update(&mut self, now: time::Instant) {
        let before = self.verdicts.clone();
        self.update_since(&before, now);
    }

    /// Does the same, and records how the verdicts differ from those `before`.
    pub(super) fn update_since(&mut self, before: &[Verdict], now: time::Instant) {
        self.derive(now);
        let is_in = |v: &Verdict, list: &[Verdict]| list.iter().any(|o| o.elements == v.elements);
        let added = self.verdicts.iter().filter(|v| !is_in(v, before));
        self.changes.added.extend(added.cloned());
        let lifted = before.iter().filter(|v| !is_in(v, &self.verdicts));
        self.changes.lifted.extend(lifted.cloned());
    }

    fn derive(&mut self, now: time::Instant) {
        self.drop_excused(now);
        let (ids, causes): (Vec<CrashId>, Vec<judge::PossibleCauses>) = self
            .crashes
            .iter()
            .map(|(id, crash)| (id.clone(), self.possible_causes(crash)))
            .unzip();
        let known: Vec<ElementSet> = self.verdicts.iter().map(|v| v.elements.clone()).collect();
        let sets = judge::judge(&causes, &known);
        let before = std::mem::take(&mut self.verdicts);
        for set in &sets {
            let explained: Vec<&CrashId> = ids
                .iter()
                .zip(&causes)
                .filter(|(_, c)| c.is_explained_by(set))
                .map(|(id, _)| id)
                .collect();
            let times = explained.iter().filter_map(|id| self.crashes.get(*id));
            let last_crash = times.map(|c| c.at).max();
            let known = before.iter().find(|v| v.elements == *set).cloned();
            let mut verdict =
                known.unwrap_or_else(|| Verdict::new(set.clone(), last_crash.unwrap_or(now)));
            verdict.last_crash = verdict
                .last_crash
                .max(last_crash.unwrap_or(verdict.last_crash));
            verdict.crashes.extend(explained.into_iter().cloned());
            self.verdicts.push(verdict);
        }
        if self.verdicts.len() > MAX_VERDICTS {
            self.verdicts
                .sort_by_key(|v| std::cmp::Reverse(v.last_crash));
            self.verdicts.truncate(MAX_VERDICTS);
        }
        let evidence = judge::evidence(&causes, &sets);
        self.suspects = evidence.into_keys().cloned().collect();
        let held = self.crashes.values().flat_map(|c| &c.runs);
        let held = held.flat_map(|r| &r.elements);
        let condemned = self.verdicts.iter().flat_map(|v| &v.elements);
        self.known = held.chain(condemned).cloned().collect();
    }

    /// Drops what is too old, and what answers have cleared.
    fn drop_excused(&mut self, now: time::Instant) {
        let mut verdicts = std::mem::take(&mut self.verdicts);
        for verdict in &mut verdicts {
            let (last_crash, count) = (verdict.last_crash, verdict.elements.len());
            verdict.elements.retain(|e| !self.is_excused(e, last_crash));
            if verdict.elements.len() != count {
                // The store has it under its wider name.
                verdict.revision = None;
            }
        }
        verdicts.retain(|v| v.holds(now) && !v.elements.is_empty());
        // Narrowed by answers, one verdict may cover another.
        verdicts.sort_by_key(|v| v.elements.len());
        for verdict in verdicts {
            let mut narrower = self.verdicts.iter();
            if !narrower.any(|v| v.elements.is_subset(&verdict.elements)) {
                self.verdicts.push(verdict);
            }
        }
        let mut crashes = std::mem::take(&mut self.crashes);
        crashes.retain(|_, crash| {
            let age = now.saturating_duration_since(crash.at);
            let mut held = crash.runs.iter().flat_map(|r| &r.elements);
            let limit = match held.all(|e| self.is_excused(e, crash.at)) {
                true => EXCUSED_TTL,
                false => EVIDENCE_TTL,
            };
            age < limit
        });
        while crashes.len() > MAX_CRASHES {
            let oldest = crashes.iter().min_by_key(|(_, c)| c.at);
            let Some(id) = oldest.map(|(id, _)| id.clone()) else {
                break;
            };
            crashes.remove(&id);
        }
        self.crashes = crashes;
    }

    /// Returns the runs that may have caused a crash: those that had begun an answer, or
    /// if there is none, the others.
    fn possible_causes(&self, crash: &Crash) -> judge::PossibleCauses {
        let held = |progress: Progress| -> Vec<judge::PossibleCause> {
            let runs = crash.runs.iter().filter(|r| r.progress == progress);
            let causes = runs.map(|r| {
                let held = r.elements.iter();
                let suspected = held.filter(|e| !self.is_excused(e, crash.at));
                judge::PossibleCause {
                    elements: suspected.cloned().collect(),
                    is_trial: r.is_trial,
                }
            });
            causes.filter(|c| !c.elements.is_empty()).collect()
        };
        let begun = held(Progress::Begun);
        let is_clear = !begun.is_empty();
        let runs = match is_clear {
            true => begun,
            false => held(Progress::Unclear),
        };
        judge::PossibleCauses { runs, is_clear }
    }
}
