//! One order of waiting streams over all entries, by what they tell each other of it.
//!
//! With many entries, each one's queue holds a stream or two, and its order decides nothing:
//! an entry gives a place to a less urgent stream that a more urgent one needs elsewhere. Here
//! an entry knows, by priority, what arrives, begins and waits at all entries. From that follow
//! the memory that less urgent streams leave free, which of them hold back, and how long a new
//! stream would wait. See docs/design/contention.md.

use crate::limits::window::SlidingWindow;
use crate::peers::heard::Heard;
use std::collections;
use std::time;
use world::Name;

/// Window over which arrivals and begun streams are counted.
const WINDOW: time::Duration = time::Duration::from_secs(4);
/// A peer's report is valid for this time.
const REPORT_EXPIRY: time::Duration = time::Duration::from_millis(800);
/// Time in which room that is kept for urgent streams is free again after one has taken it:
/// that of a message between entries, and until other streams end.
const REFILL_TIME: time::Duration = time::Duration::from_millis(500);
/// Standard deviations of the urgent arrivals of that time for which room is kept.
const DEVIATIONS: f64 = 2.0;
/// Weight of the newest stream in the mean memory of streams.
const MEMORY_WEIGHT: f64 = 0.05;
/// Begun streams a second that are assumed at least, so that a pool which has served nothing
/// for a moment does not refuse all.
const MIN_START_RATE: f64 = 1.0;

/// What an entry tells of its streams of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct BandReport {
    /// The priority; 0 is the most urgent.
    #[serde(rename = "p")]
    pub priority: u8,
    /// Streams that arrive in a second.
    #[serde(rename = "a")]
    pub arrivals: f64,
    /// Streams that begin in a second.
    #[serde(rename = "b")]
    pub starts: f64,
    /// Mean memory that a stream needs, in tokens.
    #[serde(rename = "m")]
    pub memory: f64,
    /// Waiting streams that can still be on time.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// Memory that all waiting streams need, in tokens.
    #[serde(rename = "t")]
    pub tokens: u64,
}

/// What this entry and its peers know of the streams of one service.
#[derive(Clone, Debug, Default)]
pub struct SharedOrder {
    own: collections::BTreeMap<u8, Band>,
    peers: collections::BTreeMap<Name, (Heard, Vec<BandReport>)>,
}

#[derive(Clone, Debug)]
struct Band {
    arrivals: SlidingWindow,
    starts: SlidingWindow,
    memory: f64,
    waiting: u32,
    tokens: u64,
}

/// The streams of all entries that are more urgent than a priority.
#[derive(Clone, Copy, Debug, Default)]
struct UrgentStreams {
    /// Streams that arrive in a second.
    arrivals: f64,
    /// Memory that those of a second need, in tokens.
    memory: f64,
    /// Memory that waiting ones need, in tokens.
    waiting_tokens: u64,
}

impl UrgentStreams {
    /// Returns the memory that a stream needs in the mean, in tokens; 0 if none arrive.
    fn mean_memory(self) -> f64 {
        match self.arrivals > 0.0 {
            true => self.memory / self.arrivals,
            false => 0.0,
        }
    }
}

impl Band {
    fn new(tokens: u64) -> Self {
        Self {
            arrivals: SlidingWindow::new(WINDOW),
            starts: SlidingWindow::new(WINDOW),
            memory: tokens as f64,
            waiting: 0,
            tokens: 0,
        }
    }
}

impl SharedOrder {
    /// Records a stream that arrives and will need so many tokens of memory.
    pub fn record_arrival(&mut self, priority: u8, tokens: u64, now: time::Instant) {
        let band = self.band(priority, tokens);
        band.arrivals.add(1.0, now);
        band.memory += MEMORY_WEIGHT * (tokens as f64 - band.memory);
    }

    /// Records that a stream has a place at an engine.
    pub fn record_start(&mut self, priority: u8, now: time::Instant) {
        self.band(priority, 0).starts.add(1.0, now);
    }

    /// Sets what waits at this entry: for each priority, the number of streams that can still
    /// be on time and the memory of all.
    pub fn set_waiting(&mut self, waiting: &collections::BTreeMap<u8, (u32, u64)>) {
        for (priority, band) in &mut self.own {
            (band.waiting, band.tokens) = waiting.get(priority).copied().unwrap_or_default();
        }
    }

    /// Returns what to tell the peers.
    pub fn reports(&mut self, now: time::Instant) -> Vec<BandReport> {
        let seconds = WINDOW.as_secs_f64();
        let reports = self.own.iter_mut().map(|(priority, band)| BandReport {
            priority: *priority,
            arrivals: band.arrivals.sum(now) / seconds,
            starts: band.starts.sum(now) / seconds,
            memory: band.memory.round(),
            waiting: band.waiting,
            tokens: band.tokens,
        });
        let is_told = |r: &BandReport| r.arrivals > 0.0 || r.starts > 0.0 || r.tokens > 0;
        reports.filter(is_told).collect()
    }

    /// Replaces what a peer tells. Numbers that can't be meant are left out.
    pub fn update_peer(&mut self, peer: &Name, reports: &[BandReport], heard: impl Into<Heard>) {
        let is_sound = |r: &&BandReport| {
            let numbers = [r.arrivals, r.starts, r.memory];
            numbers
                .iter()
                .all(|n| n.is_finite() && (0.0..1e9).contains(n))
        };
        let sound = reports.iter().filter(is_sound).copied().collect();
        self.peers.insert(peer.clone(), (heard.into(), sound));
    }

    /// Returns the memory in tokens that streams of a priority leave free for more urgent ones:
    /// for those that are likely to come before it is free again, and those that wait.
    pub fn kept_tokens(&mut self, priority: u8, now: time::Instant) -> u64 {
        let urgent = self.more_urgent(priority, now);
        let expected = urgent.arrivals * REFILL_TIME.as_secs_f64();
        let streams = expected + DEVIATIONS * expected.sqrt();
        let tokens = (streams * urgent.mean_memory()) as u64;
        urgent.waiting_tokens.saturating_add(tokens)
    }

    /// Returns the mean memory of the streams that are more urgent, in tokens.
    pub fn urgent_memory(&mut self, priority: u8, now: time::Instant) -> u64 {
        self.more_urgent(priority, now).mean_memory() as u64
    }

    /// Sums the streams of all entries that are more urgent than a priority.
    fn more_urgent(&mut self, priority: u8, now: time::Instant) -> UrgentStreams {
        let mut urgent = UrgentStreams::default();
        for report in self.all(now).filter(|r| r.priority < priority) {
            urgent.arrivals += report.arrivals;
            urgent.memory += report.arrivals * report.memory;
            urgent.waiting_tokens = urgent.waiting_tokens.saturating_add(report.tokens);
        }
        urgent
    }

    /// Returns how long a new stream would wait behind all that go before it: those that are
    /// more urgent, and those of its priority that can still be on time.
    pub fn expected_wait(&mut self, priority: u8, now: time::Instant) -> time::Duration {
        let (mut ahead, mut starts) = (0.0, 0.0);
        for report in self.all(now) {
            starts += report.starts;
            if report.priority <= priority {
                ahead += f64::from(report.waiting);
            }
        }
        time::Duration::from_secs_f64((ahead / f64::max(starts, MIN_START_RATE)).min(60.0))
    }

    /// Returns whether streams of this priority or more urgent ones, which can still be on
    /// time, wait at a peer.
    pub fn waits_elsewhere(&self, priority: u8, now: time::Instant) -> bool {
        let mut reports = self.valid(now);
        reports.any(|r| r.priority <= priority && r.waiting > 0)
    }

    /// Returns the number of streams that begin at all entries in a second.
    pub fn start_rate(&mut self, now: time::Instant) -> f64 {
        self.all(now).map(|r| r.starts).sum()
    }

    fn all(&mut self, now: time::Instant) -> impl Iterator<Item = BandReport> {
        let own = self.reports(now);
        let peers: Vec<BandReport> = self.valid(now).collect();
        own.into_iter().chain(peers)
    }

    fn valid(&self, now: time::Instant) -> impl Iterator<Item = BandReport> {
        let reports = self.peers.values();
        let valid = reports.filter(move |(heard, _)| heard.is_valid(REPORT_EXPIRY, now));
        valid.flat_map(|(_, reports)| reports.iter().copied())
    }

    fn band(&mut self, priority: u8, tokens: u64) -> &mut Band {
        self.own
            .entry(priority)
            .or_insert_with(|| Band::new(tokens))
    }
}
