//! Thirty entries share one host of few slots that refuses all their calls for a time: none
//! of them calls it in that time, they don't all return at its end, and all are served.

use pool::CallKind;
use pool::HostNotices;
use pool::Incarnation;
use pool::Permit;
use rand::Rng;
use rand::SeedableRng;
use std::time;
use yare::parameterized;

const ENTRIES: usize = 30;
/// Calls that come to each entry while the host wants none.
const CALLS: usize = 4;
/// The host's slots, and how many calls wait there for one.
const SLOTS: usize = 8;
const QUEUE: usize = 4;
/// Time for which the host refuses all calls, and for which it wants none after that when it
/// is full.
const PAUSE_MS: u64 = 1_500;
const FULL_PAUSE_MS: u64 = 500;
/// Spread of the times at which callers return that were refused.
const RETURN_SPREAD_MS: u64 = 500;
/// The same for streams that wait at their entry, which looks so often for a seat.
const POLL_MS: u64 = 25;
/// Calls are judged in spans of this length.
const SPAN_MS: u64 = 100;
const END_MS: u64 = 30_000;

/// A call that is to be made at an entry.
#[derive(Clone, Copy, Debug)]
struct Call {
    due_ms: u64,
    is_served: bool,
}

struct Entry {
    notices: HostNotices,
    calls: Vec<Call>,
}

/// A call at the host: the entry that made it, its permit and when it ends.
struct Running {
    entry: usize,
    permit: Permit,
    end_ms: u64,
}

struct Play {
    start: time::Instant,
    target: seam::Target,
    rng: rand_chacha::ChaCha8Rng,
    /// Spread of the times at which calls are made after a pause.
    spread_ms: u64,
    entries: Vec<Entry>,
    running: Vec<Running>,
    /// When the calls reached the host.
    arrivals: Vec<u64>,
}

impl Play {
    fn new(seed: u64, spread_ms: u64) -> Self {
        let start = time::Instant::now();
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let target = seam::Target {
            id: "a".into(),
            address: "10.1.0.1:80".parse().expect("an address"),
            started_ms: 1,
        };
        let member = seam::Member {
            id: "a".into(),
            service: "app".into(),
            address: target.address,
            zone: "ruahine".into(),
            slots: SLOTS as u32,
            state: seam::MemberState::Ready,
            role: None,
            cold_left: std::time::Duration::ZERO,
            started_ms: 1,
        };
        let entries = (0..ENTRIES).map(|index| {
            let mut notices = HostNotices::new(format!("entry-{index}").into());
            notices.set_listed([member.clone()].iter(), start);
            let pause = time::Duration::from_millis(PAUSE_MS);
            notices.record(&notice(&target, start, pause));
            let calls = (0..CALLS).map(|_| Call {
                due_ms: PAUSE_MS + rng.random_range(0..spread_ms),
                is_served: false,
            });
            Entry {
                notices,
                calls: calls.collect(),
            }
        });
        let entries = entries.collect();
        Self {
            start,
            target,
            rng,
            spread_ms,
            entries,
            running: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    /// Ends the calls at the host that are done.
    fn end_calls(&mut self, now_ms: u64) {
        let host = Incarnation::from(&self.target);
        for done in self.running.extract_if(.., |r| r.end_ms <= now_ms) {
            self.entries[done.entry]
                .notices
                .end_call(&host, done.permit);
        }
    }

    /// Makes the calls that are due at an entry, as far as the host's notice allows.
    fn make_calls(&mut self, entry: usize, now_ms: u64) {
        let now = self.start + time::Duration::from_millis(now_ms);
        let host = Incarnation::from(&self.target);
        let Entry { notices, calls } = &mut self.entries[entry];
        for call in calls {
            if call.is_served || call.due_ms > now_ms {
                continue;
            }
            let ids = [self.target.id.clone()];
            if let Some(at) = notices.retry_at(ids.iter(), now) {
                let wait = (at - now).as_millis() as u64;
                call.due_ms = now_ms + wait + self.rng.random_range(0..self.spread_ms);
                continue;
            }
            let Ok(permit) = notices.start_call(&host, CallKind::Work, now) else {
                continue;
            };
            self.arrivals.push(now_ms);
            if self.running.len() < SLOTS + QUEUE {
                call.is_served = true;
                let waits = u64::from(self.running.len() >= SLOTS);
                let end_ms = now_ms + (1 + waits) * self.rng.random_range(60..100);
                self.running.push(Running {
                    entry,
                    permit,
                    end_ms,
                });
                continue;
            }
            let pause = time::Duration::from_millis(FULL_PAUSE_MS);
            notices.record(&notice(&self.target, now, pause));
            notices.end_call(&host, permit);
            call.due_ms = now_ms + FULL_PAUSE_MS + self.rng.random_range(0..self.spread_ms);
        }
    }

    fn is_over(&self) -> bool {
        let mut calls = self.entries.iter().flat_map(|e| &e.calls);
        calls.all(|c| c.is_served)
    }
}

fn notice(
    target: &seam::Target,
    received_at: time::Instant,
    pause: time::Duration,
) -> seam::HostNotice {
    seam::HostNotice {
        host: target.clone(),
        leaving: false,
        retry_after: Some(seam::RetryAfter::Delay(pause)),
        pace: None,
        received_at,
    }
}

/// No more calls than there are entries reach the host in any such span, though four times as
/// many wait.
#[parameterized(
    returning_1 = { 1, RETURN_SPREAD_MS },
    returning_2 = { 2, RETURN_SPREAD_MS },
    returning_3 = { 3, RETURN_SPREAD_MS },
    returning_4 = { 4, RETURN_SPREAD_MS },
    returning_5 = { 5, RETURN_SPREAD_MS },
    waiting_1 = { 1, POLL_MS },
    waiting_2 = { 2, POLL_MS },
    waiting_3 = { 3, POLL_MS },
    waiting_4 = { 4, POLL_MS },
    waiting_5 = { 5, POLL_MS },
)]
fn entries_do_not_rush_back_to_a_shared_host(seed: u64, spread_ms: u64) {
    let mut play = Play::new(seed, spread_ms);
    let mut now_ms = 0;
    while !play.is_over() && now_ms < END_MS {
        play.end_calls(now_ms);
        for entry in 0..ENTRIES {
            play.make_calls(entry, now_ms);
        }
        now_ms += 5;
    }
    assert!(play.is_over(), "not all calls are served after {now_ms} ms");
    let first = play.arrivals.first().copied().unwrap_or_default();
    assert!(first >= PAUSE_MS, "a call arrived at {first} ms");
    let counts = play.arrivals.iter().enumerate().map(|(index, first)| {
        let in_span = |at: &&u64| **at < first + SPAN_MS;
        play.arrivals[index..].iter().take_while(in_span).count()
    });
    let most = counts.max().unwrap_or_default();
    assert!(most <= ENTRIES, "{most} calls within {SPAN_MS} ms");
}
