//! Load reports as sequenced deltas.
//!
//! Reports are pushed when something changes and otherwise as bare heartbeats,
//! after Dulberg, "Zero-Latency Kubernetes"; docs/DECISIONS.md has the
//! measurement against polling.

use crate::border;

/// What a process reports of itself, whole.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadState {
    /// Free decode seats.
    pub seats: u32,
    /// Free pieces of engine memory.
    pub pieces: u32,
    /// Work that waits.
    pub waiting: u32,
    /// Prompt tokens that wait.
    pub backlog: u64,
    /// Measured speed, in tokens per second.
    pub pace: f64,
    /// Streams' speed with all seats taken; 0 where it isn't known yet.
    pub crowded: f64,
    /// The configuration in force.
    pub revision: u64,
    /// The division of allowances in force.
    pub epoch: u64,
    /// Whether it takes no new work.
    pub draining: bool,
}

/// The sending end of one subscription.
#[derive(Debug, Default)]
pub struct Reporter {
    seq: u64,
    last: Option<LoadState>,
}

impl Reporter {
    /// Writes the next report: full at first, then only what changed.
    pub fn next(&mut self, now: LoadState) -> border::Load {
        let last = self.last.replace(now);
        self.seq += 1;
        border::Load {
            seq: self.seq,
            full: last.is_none(),
            seats: changed(last.map(|l| l.seats), now.seats),
            pieces: changed(last.map(|l| l.pieces), now.pieces),
            waiting: changed(last.map(|l| l.waiting), now.waiting),
            backlog: changed(last.map(|l| l.backlog), now.backlog),
            pace: changed(last.map(|l| l.pace), now.pace),
            crowded: changed(last.map(|l| l.crowded), now.crowded),
            revision: changed(last.map(|l| l.revision), now.revision),
            epoch: changed(last.map(|l| l.epoch), now.epoch),
            draining: changed(last.map(|l| l.draining), now.draining),
        }
    }
}

fn changed<T: PartialEq>(last: Option<T>, now: T) -> Option<T> {
    match last {
        Some(last) if last == now => None,
        _ => Some(now),
    }
}

/// The receiving end of one subscription.
#[derive(Debug, Default)]
pub struct Listener {
    seq: u64,
    state: LoadState,
}

impl Listener {
    /// Takes a report and gives the state it leads to; none where a report
    /// before it is missing, so that the subscription must be opened anew.
    pub fn take(&mut self, load: &border::Load) -> Option<LoadState> {
        if !load.full && load.seq != self.seq + 1 {
            return None;
        }
        self.seq = load.seq;
        let old = self.state;
        self.state = LoadState {
            seats: load.seats.unwrap_or(old.seats),
            pieces: load.pieces.unwrap_or(old.pieces),
            waiting: load.waiting.unwrap_or(old.waiting),
            backlog: load.backlog.unwrap_or(old.backlog),
            pace: load.pace.unwrap_or(old.pace),
            crowded: load.crowded.unwrap_or(old.crowded),
            revision: load.revision.unwrap_or(old.revision),
            epoch: load.epoch.unwrap_or(old.epoch),
            draining: load.draining.unwrap_or(old.draining),
        };
        Some(self.state)
    }
}
