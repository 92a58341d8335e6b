//! Load reports of a process, as sequenced deltas.
//!
//! A report is pushed when something changes and otherwise as a heartbeat without
//! any changes, after Dulberg, "Zero-Latency Kubernetes"; docs/DECISIONS.md has
//! the measurement against polling.

use crate::border;

/// The complete load of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadState {
    /// The number of free decode seats.
    pub free_seats: u32,
    /// The number of free pieces of engine memory.
    pub free_pieces: u32,
    /// The number of bids that wait for a seat or, at a plain service, of calls in
    /// progress.
    pub waiting_requests: u32,
    /// The number of uncached prompt tokens that wait or run at a prefill agent.
    pub backlog_tokens: u64,
    /// The measured rate in tokens per second: of prefills at a prefill agent, of each
    /// stream with one more request at a decode agent; 0 while unknown.
    pub token_rate: f64,
    /// The rate of each stream with all seats taken, in tokens per second; 0 while
    /// unknown.
    pub saturated_rate: f64,
    /// The revision of the configuration in force.
    pub revision: u64,
    /// The epoch of the division of allowances in force.
    pub epoch: u64,
    /// Whether the process is draining and takes no new work.
    pub draining: bool,
}

/// Creates the load reports of one subscription.
#[derive(Debug, Default)]
pub struct LoadReporter {
    seq: u64,
    last: Option<LoadState>,
}

impl LoadReporter {
    /// Returns the next report. The first one is full; each later one contains only
    /// the fields that have changed.
    pub fn next_report(&mut self, current: LoadState) -> border::Load {
        let last = self.last.replace(current);
        self.seq += 1;
        border::Load {
            seq: self.seq,
            full: last.is_none(),
            seats: changed(last.map(|l| l.free_seats), current.free_seats),
            pieces: changed(last.map(|l| l.free_pieces), current.free_pieces),
            waiting: changed(last.map(|l| l.waiting_requests), current.waiting_requests),
            backlog: changed(last.map(|l| l.backlog_tokens), current.backlog_tokens),
            pace: changed(last.map(|l| l.token_rate), current.token_rate),
            crowded: changed(last.map(|l| l.saturated_rate), current.saturated_rate),
            revision: changed(last.map(|l| l.revision), current.revision),
            epoch: changed(last.map(|l| l.epoch), current.epoch),
            draining: changed(last.map(|l| l.draining), current.draining),
        }
    }
}

/// Returns the current value if it differs from the last reported one or none was
/// reported yet.
fn changed<T: PartialEq>(last: Option<T>, current: T) -> Option<T> {
    match last {
        Some(last) if last == current => None,
        _ => Some(current),
    }
}

/// Applies the load reports of one subscription in order.
#[derive(Debug, Default)]
pub struct LoadReceiver {
    seq: u64,
    state: LoadState,
}

impl LoadReceiver {
    /// Applies a report and returns the resulting state, or `None` if an earlier
    /// report is missing, so that the caller must subscribe again.
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
