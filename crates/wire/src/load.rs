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
    pub free_seats: u32,
    /// Free pieces of engine memory.
    pub free_pieces: u32,
    /// Work that waits.
    pub waiting_requests: u32,
    /// Prompt tokens that wait.
    pub backlog_tokens: u64,
    /// Measured speed, in tokens per second.
    pub token_rate: f64,
    /// Streams' speed with all seats taken; 0 where it isn't known yet.
    pub saturated_rate: f64,
    /// The configuration in force.
    pub revision: u64,
    /// The division of allowances in force.
    pub epoch: u64,
    /// Whether it takes no new work.
    pub draining: bool,
}

/// The sending end of one subscription.
#[derive(Debug, Default)]
pub struct LoadReporter {
    seq: u64,
    last: Option<LoadState>,
}

impl LoadReporter {
    /// Writes the next report: full at first, then only what changed.
    pub fn next_report(&mut self, now: LoadState) -> border::Load {
        let last = self.last.replace(now);
        self.seq += 1;
        border::Load {
            seq: self.seq,
            full: last.is_none(),
            seats: changed(last.map(|l| l.free_seats), now.free_seats),
            pieces: changed(last.map(|l| l.free_pieces), now.free_pieces),
            waiting: changed(last.map(|l| l.waiting_requests), now.waiting_requests),
            backlog: changed(last.map(|l| l.backlog_tokens), now.backlog_tokens),
            pace: changed(last.map(|l| l.token_rate), now.token_rate),
            crowded: changed(last.map(|l| l.saturated_rate), now.saturated_rate),
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
pub struct LoadReceiver {
    seq: u64,
    state: LoadState,
}

impl LoadReceiver {
    /// Takes a report and gives the state it leads to; none where a report
    /// before it is missing, so that the subscription must be opened anew.
    pub fn apply(&mut self, load: &border::Load) -> Option<LoadState> {
        if !load.full && load.seq != self.seq + 1 {
            return None;
        }
        self.seq = load.seq;
        let old = self.state;
        self.state = LoadState {
            free_seats: load.seats.unwrap_or(old.free_seats),
            free_pieces: load.pieces.unwrap_or(old.free_pieces),
            waiting_requests: load.waiting.unwrap_or(old.waiting_requests),
            backlog_tokens: load.backlog.unwrap_or(old.backlog_tokens),
            token_rate: load.pace.unwrap_or(old.token_rate),
            saturated_rate: load.crowded.unwrap_or(old.saturated_rate),
            revision: load.revision.unwrap_or(old.revision),
            epoch: load.epoch.unwrap_or(old.epoch),
            draining: load.draining.unwrap_or(old.draining),
        };
        Some(self.state)
    }
}
