//! Crashes of upstream hosts and what the requests held that ran there.

use std::collections;
use std::time;
use world::Name;

/// Largest number of elements of one run that are kept.
pub(super) const MAX_RUN_ELEMENTS: usize = 32;
/// Largest number of runs of one crash that are kept.
pub(super) const MAX_RUNS: usize = 8;
/// Complete events after which an answer has shown that its request crashes no engine:
/// an engine crashes as it begins to write.
const PROVEN_EVENTS: u64 = 8;

/// Something that a request holds and that may crash engines.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    derive_more::Display,
    serde::Serialize,
    serde::Deserialize,
)]
pub enum Element {
    /// A shared part of the prompt, by its id.
    #[display("part:{_0}")]
    Part(Name),
    /// The request as a whole, by its digest.
    #[display("request:{_0}")]
    Request(Name),
}

/// What a request holds, or what a verdict names.
pub type ElementSet = collections::BTreeSet<Element>;

/// Identifies one crash: a process of an upstream host ends only once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct CrashId {
    /// Id of the process.
    pub host: Name,
    /// Its start in Unix milliseconds, as an id may be used again; 0 if unknown.
    pub started_ms: u64,
}

/// How far an answer had come when its host crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Progress {
    /// The host had begun to answer and had not completed an event.
    Begun,
    /// The host had not begun, or had just completed its first events.
    Unclear,
}

impl Progress {
    /// Returns the progress of a stream; `None` if it has shown that its request did not
    /// crash the host.
    pub fn of_stream(events: u64) -> Option<Self> {
        match events {
            0 => Some(Progress::Begun),
            events if is_proven(events) => None,
            _ => Some(Progress::Unclear),
        }
    }
}

/// Returns whether a stream with this many complete events from one engine has shown
/// that its request crashes none.
pub(super) fn is_proven(events: u64) -> bool {
    events >= PROVEN_EVENTS
}

/// A request that ran at a host when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CrashedRun {
    /// What the request held.
    pub elements: ElementSet,
    /// How far its answer had come.
    pub progress: Progress,
    /// Whether it was suspected already and ran apart from others like it.
    pub is_trial: bool,
}

/// A crash as an entry saw it and tells it to its peers.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CrashReport {
    /// The process that crashed.
    pub id: CrashId,
    /// Milliseconds since the crash.
    pub age_ms: u64,
    /// The entry's own requests that may have caused it.
    pub runs: Vec<CrashedRun>,
}

/// A crash with the runs that any entry has reported.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) at: time::Instant,
    /// Whether this entry saw it.
    pub(super) own: bool,
    pub(super) runs: Vec<CrashedRun>,
}

impl Crash {
    /// Adds a run unless it holds nothing, is known or there are too many.
    pub(super) fn add_run(&mut self, run: CrashedRun) {
        let is_known = run.elements.is_empty() || self.runs.contains(&run);
        if self.runs.len() >= MAX_RUNS || is_known {
            return;
        }
        let mut run = run;
        while run.elements.len() > MAX_RUN_ELEMENTS {
            run.elements.pop_last();
        }
        self.runs.push(run);
    }
}
