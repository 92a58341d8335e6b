//! Decides which elements of requests explain a list of crashes.

use crate::crashes::evidence::Element;
use crate::crashes::evidence::ElementSet;
use std::collections;

/// Crashes that condemn what was held in each of them, if it was suspected before one of
/// them, and each run had begun an answer.
const MIN_CRASHES: usize = 2;
/// Crashes that condemn it if it is not known that each run had begun, or if requests
/// without it could explain each of the crashes as well.
const MIN_UNCLEAR_CRASHES: usize = 3;
/// Crashes that condemn it if it was suspected before none of them: engines that crash
/// together for another reason all hold what many requests share.
const MIN_SURPRISING_CRASHES: usize = 5;

/// A request that may have caused a crash.
#[derive(Clone, Debug)]
pub(super) struct PossibleCause {
    pub(super) elements: ElementSet,
    /// Whether it was suspected before.
    pub(super) is_trial: bool,
}

/// A crash with the requests that may have caused it.
#[derive(Clone, Debug)]
pub(super) struct PossibleCauses {
    pub(super) runs: Vec<PossibleCause>,
    /// Whether these had begun an answer.
    pub(super) is_clear: bool,
}

impl PossibleCauses {
    /// Returns whether a request with the elements of this set ran at the crash.
    pub(super) fn is_explained_by(&self, verdict: &ElementSet) -> bool {
        self.runs.iter().any(|r| verdict.is_subset(&r.elements))
    }

    /// Returns whether a run that held the element was suspected before.
    fn is_trial_of(&self, element: &Element) -> bool {
        let mut runs = self.runs.iter();
        runs.any(|r| r.is_trial && r.elements.contains(element))
    }

    /// Returns whether some run held both elements.
    fn held_together(&self, a: &Element, b: &Element) -> bool {
        let mut runs = self.runs.iter();
        runs.any(|r| r.elements.contains(a) && r.elements.contains(b))
    }
}

/// The crashes in which each element was held, by their index.
pub(super) type Evidence<'a> = collections::BTreeMap<&'a Element, collections::BTreeSet<usize>>;

/// Returns for each element the crashes that it may have caused. A crash that a verdict
/// explains speaks against nothing else that was held there.
pub(super) fn evidence<'a>(crashes: &'a [PossibleCauses], verdicts: &[ElementSet]) -> Evidence<'a> {
    let mut evidence = Evidence::new();
    for (index, crash) in crashes.iter().enumerate() {
        let explaining: Vec<&ElementSet> = verdicts
            .iter()
            .filter(|v| crash.is_explained_by(v))
            .collect();
        for element in crash.runs.iter().flat_map(|r| &r.elements) {
            if explaining.is_empty() || explaining.iter().any(|v| v.contains(element)) {
                evidence.entry(element).or_default().insert(index);
            }
        }
    }
    evidence
}

/// Returns the sets that explain the crashes, the given ones included. A request is to be
/// refused if it holds all elements of a set: where two elements were always held
/// together, either may be the cause, and a request with only one of them is sound until
/// it crashes an engine itself.
pub(super) fn judge(crashes: &[PossibleCauses], known: &[ElementSet]) -> Vec<ElementSet> {
    let mut verdicts = known.to_vec();
    while let Some(found) = next_verdict(crashes, &verdicts) {
        verdicts.retain(|v| !found.is_subset(v));
        verdicts.push(found);
    }
    verdicts
}

fn next_verdict(crashes: &[PossibleCauses], verdicts: &[ElementSet]) -> Option<ElementSet> {
    let evidence = evidence(crashes, verdicts);
    let found = evidence
        .keys()
        .filter_map(|element| condemn(element, &evidence, crashes));
    let mut new = found.filter(|set| !verdicts.iter().any(|v| v.is_subset(set)));
    new.next()
}

/// Returns the set that is condemned because of an element, if it is held in enough
/// crashes and nothing else explains them better.
fn condemn(
    element: &Element,
    evidence: &Evidence<'_>,
    crashes: &[PossibleCauses],
) -> Option<ElementSet> {
    let held = evidence.get(element)?;
    let is_clear = held.iter().all(|i| crashes[*i].is_clear);
    let was_suspected = held.iter().any(|i| crashes[*i].is_trial_of(element));
    let minimum = match (was_suspected, is_clear) {
        (true, true) => MIN_CRASHES,
        (true, false) => MIN_UNCLEAR_CRASHES,
        (false, _) => MIN_SURPRISING_CRASHES,
    };
    if held.len() < minimum {
        return None;
    }
    let mut set = ElementSet::from([element.clone()]);
    // What was held in all of these crashes was held in the first of them.
    let first = held.first().map(|i| &crashes[*i].runs);
    let runs = first.into_iter().flatten();
    let candidates: collections::BTreeSet<&Element> = runs.flat_map(|r| &r.elements).collect();
    let others = candidates.into_iter().filter(|other| *other != element);
    let others = others.filter_map(|other| Some((other, evidence.get(other)?)));
    for (other, other_held) in others.filter(|(_, h)| held.is_subset(h)) {
        let together = held
            .iter()
            .all(|i| crashes[*i].held_together(element, other));
        if together && other_held.len() > held.len() {
            // The other one explains these crashes and more.
            return None;
        }
        if together {
            set.insert(other.clone());
        } else if held.len() < MIN_UNCLEAR_CRASHES {
            return None;
        }
    }
    Some(set)
}
