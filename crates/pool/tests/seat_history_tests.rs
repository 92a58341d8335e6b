//! Histories of streams that wait for engines, get seats, are refused, grow, fail and end,
//! while engines leave and peers' reports come and lapse. The promises are checked after each
//! step.

use proptest::prelude::*;
use std::collections;
use std::net;
use std::time;
use world::Name;

const MILLI: time::Duration = time::Duration::from_millis(1);
const CAPACITY: u64 = 10_000;
const SLOTS: u32 = 3;
const ENGINES: usize = 3;
const CASES: u32 = 700;
/// How long a peer's report counts.
const LOAD_EXPIRY: time::Duration = time::Duration::from_secs(2);

#[derive(Clone, Debug)]
enum Event {
    Wait(u64),
    Arrive {
        tokens: u64,
        target_ms: u64,
        priority: u8,
        is_retry: bool,
    },
    /// Offers seats to the waiting streams.
    Offer,
    Grow(prop::sample::Index, u64),
    Pause(prop::sample::Index),
    /// A stream ends: complete, refused or failed.
    End(prop::sample::Index, u8),
    Leave(usize),
    Peer(usize, u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let index = any::<prop::sample::Index>;
    let arrival = (1_u64..6_000, 0_u64..1_200, 0_u8..3, any::<bool>());
    let event = prop_oneof![
        3 => (1_u64..400).prop_map(Event::Wait),
        5 => arrival.prop_map(|(tokens, target_ms, priority, is_retry)| Event::Arrive {
            tokens,
            target_ms,
            priority,
            is_retry,
        }),
        5 => Just(Event::Offer),
        2 => (index(), 0_u64..3_000).prop_map(|(which, by)| Event::Grow(which, by)),
        1 => index().prop_map(Event::Pause),
        4 => (index(), 0_u8..3).prop_map(|(which, end)| Event::End(which, end)),
        1 => (0..ENGINES * 3).prop_map(Event::Leave),
        1 => (0..ENGINES, 0_u64..12_000).prop_map(|(engine, tokens)| Event::Peer(engine, tokens)),
    ];
    prop::collection::vec(event, 1..100)
}

fn engine(index: usize) -> seam::Member {
    seam::Member {
        id: Name::from(format!("engine-{index}")),
        service: Name::from("chat"),
        address: net::SocketAddr::from(([10, 0, 0, 1], 80 + index as u16)),
        zone: Name::from("ruahine"),
        slots: SLOTS,
        state: seam::MemberState::Ready,
        role: Some(seam::Role::Decode),
        cold_left: std::time::Duration::ZERO,
        started_ms: 1,
    }
}

/// A stream with a seat.
#[derive(Clone, Debug)]
struct Seated {
    engine: Name,
    need: pool::MemoryForecast,
    is_paused: bool,
}

/// The pool and the queue with what they should hold by the test's own account.
struct Site {
    pool: pool::DecodePool,
    queue: pool::WaitQueue,
    waiting: collections::BTreeMap<pool::Ticket, pool::QueuedStream>,
    seated: Vec<Seated>,
    listed: Vec<bool>,
    peer: Option<(Name, pool::EngineLoad, time::Instant)>,
    next_ticket: u64,
}

impl Site {
    fn new() -> Self {
        let mut site = Self {
            pool: pool::DecodePool::default(),
            queue: pool::WaitQueue::default(),
            waiting: collections::BTreeMap::new(),
            seated: Vec::new(),
            listed: vec![true; ENGINES],
            peer: None,
            next_ticket: 0,
        };
        site.list();
        site
    }

    fn list(&mut self) {
        let spec = seam::EngineSpec {
            slots: SLOTS,
            capacity_tokens: CAPACITY,
            handle_ttl: time::Duration::ZERO,
            max_reservation: time::Duration::ZERO,
            switch_time: time::Duration::ZERO,
        };
        let all = (0..ENGINES).filter(|i| self.listed[*i]);
        let members: Vec<_> = all.map(engine).collect();
        self.pool.set_engines(members.iter(), &spec);
    }

    fn own_load(&self, id: &Name) -> pool::EngineLoad {
        let at_engine = self.seated.iter().filter(|s| s.engine == *id);
        at_engine.fold(pool::EngineLoad::default(), |sum, stream| {
            let load = pool::EngineLoad {
                memory: stream.need,
                streams: 1,
                paused: u32::from(stream.is_paused),
            };
            sum + load
        })
    }

    fn load(&self, id: &Name, now: time::Instant) -> pool::EngineLoad {
        let own = self.own_load(id);
        match &self.peer {
            Some((engine, load, at)) if engine == id && now - *at < LOAD_EXPIRY => own + *load,
            _ => own,
        }
    }

    /// Offers seats in the order of the queue, as an entry does.
    fn offer(&mut self, now: time::Instant) -> Result<(), TestCaseError> {
        let order = self.queue.ordered(now);
        self.check_order(&order, now)?;
        for (ticket, stream) in order {
            let Some(picked) = self.pool.pick(stream.memory, "ruahine", || 0.5, now) else {
                if stream.allows_overtaking(now) {
                    continue;
                }
                return Ok(());
            };
            let load = self.load(&picked, now);
            prop_assert!(load.streams < SLOTS, "no slot is free at {picked}");
            prop_assert!((load.memory + stream.memory).peak() <= CAPACITY);
            prop_assert_eq!(load.paused, 0);
            let index = (0..ENGINES).find(|i| engine(*i).id == picked);
            prop_assert!(index.is_some_and(|i| self.listed[i]));
            self.pool.start_stream(&picked, stream.memory, now);
            self.queue.remove(ticket);
            self.waiting.remove(&ticket);
            self.seated.push(Seated {
                engine: picked,
                need: stream.memory,
                is_paused: false,
            });
        }
        Ok(())
    }

    /// Streams on time go first; among equals the first that came.
    fn check_order(
        &self,
        order: &[(pool::Ticket, pool::QueuedStream)],
        now: time::Instant,
    ) -> Result<(), TestCaseError> {
        let tickets: collections::BTreeSet<_> = order.iter().map(|(t, _)| *t).collect();
        prop_assert!(
            tickets.iter().eq(self.waiting.keys()),
            "each stream is offered once"
        );
        for pair in order.windows(2) {
            let [(first, a), (second, b)] = pair else {
                continue;
            };
            prop_assert!(a.is_late(now) <= b.is_late(now));
            if a.is_late(now) == b.is_late(now) {
                prop_assert!(a.priority <= b.priority);
                let is_equal = (a.priority, a.is_retry) == (b.priority, b.is_retry);
                prop_assert!(!is_equal || first < second);
                prop_assert!(a.priority < b.priority || a.is_retry >= b.is_retry);
            }
        }
        Ok(())
    }

    fn apply(&mut self, event: Event, now: time::Instant) -> Result<(), TestCaseError> {
        match event {
            Event::Wait(_) => {}
            Event::Arrive {
                tokens,
                target_ms,
                priority,
                is_retry,
            } => {
                let stream = pool::QueuedStream {
                    memory: pool::MemoryForecast::constant(tokens),
                    due: now + MILLI * target_ms as u32,
                    caller_deadline: now + MILLI * 3_000,
                    is_retry,
                    is_suspect: false,
                    is_urgent: false,
                    priority,
                    queued_at: now,
                };
                self.next_ticket += 1;
                let ticket = pool::Ticket(self.next_ticket);
                self.queue.insert(ticket, stream);
                self.waiting.insert(ticket, stream);
            }
            Event::Offer => self.offer(now)?,
            Event::Grow(which, by) if !self.seated.is_empty() => {
                let index = which.index(self.seated.len());
                let stream = &mut self.seated[index];
                let need = stream.need + pool::MemoryForecast::constant(by);
                self.pool.update_stream(&stream.engine, stream.need, need);
                stream.need = need;
            }
            Event::Pause(which) if !self.seated.is_empty() => {
                let index = which.index(self.seated.len());
                let stream = &mut self.seated[index];
                stream.is_paused = !stream.is_paused;
                self.pool.set_paused(&stream.engine, stream.is_paused);
            }
            Event::End(which, end) if !self.seated.is_empty() => {
                let stream = self.seated.remove(which.index(self.seated.len()));
                self.end(&stream, end, now);
            }
            Event::Leave(index) => {
                // Two of three times an engine is back.
                let is_back = index >= ENGINES;
                self.listed[index % ENGINES] = is_back;
                self.list();
            }
            Event::Peer(index, tokens) => {
                let id = engine(index).id;
                let load = pool::EngineLoad {
                    memory: pool::MemoryForecast::constant(tokens),
                    streams: 1,
                    paused: 0,
                };
                let loads = collections::BTreeMap::from([(id.clone(), load)]);
                self.pool.update_peer(&Name::from("peer"), loads, now);
                self.peer = Some((id, load, now));
            }
            Event::Grow(..) | Event::Pause(_) | Event::End(..) => {}
        }
        Ok(())
    }

    fn end(&mut self, stream: &Seated, end: u8, now: time::Instant) {
        if stream.is_paused {
            self.pool.set_paused(&stream.engine, false);
        }
        let ran = end == 0;
        self.pool.end_stream(&stream.engine, stream.need, ran);
        match end {
            0 => self.pool.record_success(&stream.engine),
            1 => self.pool.record_refusal(&stream.engine, now),
            _ => self.pool.record_failure(&stream.engine, now),
        }
    }

    fn check(&mut self, now: time::Instant) -> Result<(), TestCaseError> {
        let own = self.pool.own_loads();
        for index in 0..ENGINES {
            let id = engine(index).id;
            let expected = self.own_load(&id);
            prop_assert_eq!(own.get(&id).copied().unwrap_or_default(), expected);
            prop_assert_eq!(self.pool.load(&id, now), self.load(&id, now));
        }
        let tokens: u64 = self.waiting.values().map(|s| s.memory.peak()).sum();
        prop_assert_eq!(self.queue.len(), self.waiting.len());
        prop_assert_eq!(self.queue.queued_tokens(), tokens);
        for ticket in self.queue.expired(now) {
            let stream = self.waiting.remove(&ticket);
            let stream = stream.expect("an expired stream waits");
            prop_assert!(stream.is_late(now) || now + 260 * MILLI > stream.caller_deadline);
            self.queue.remove(ticket);
        }
        let kept = self.waiting.values();
        let overdue = kept.filter(|s| now + 260 * MILLI > s.caller_deadline);
        prop_assert_eq!(overdue.count(), 0, "a caller waits in vain");
        Ok(())
    }
}

proptest! {
    #![proptest_config(seeded::config(CASES))]

    /// Seats are given once, within memory and slots, and given back once. Once the engines
    /// are idle, each stream that waits gets one, of whatever class.
    #[test]
    fn seats_are_given_and_given_back_once(events in events()) {
        let mut now = time::Instant::now();
        let mut site = Site::new();
        for event in events {
            if let Event::Wait(ms) = event {
                now += MILLI * ms as u32;
            }
            site.apply(event, now)?;
            site.check(now)?;
        }
        for stream in std::mem::take(&mut site.seated) {
            site.end(&stream, 0, now);
        }
        site.listed = vec![true; ENGINES];
        site.list();
        site.check(now)?;
        prop_assert!(site.pool.own_loads().is_empty());
        // Back-offs and peers' reports end; callers wait as long.
        now += 5_000 * MILLI;
        let streams: Vec<_> = site.waiting.iter().map(|(t, s)| (*t, *s)).collect();
        for (ticket, mut stream) in streams {
            stream.caller_deadline = now + 3_000 * MILLI;
            stream.due = now;
            stream.is_retry = true;
            site.queue.insert(ticket, stream);
            site.waiting.insert(ticket, stream);
        }
        for _ in 0..=site.waiting.len() {
            site.offer(now)?;
            for stream in std::mem::take(&mut site.seated) {
                site.end(&stream, 0, now);
            }
        }
        prop_assert!(site.waiting.is_empty(), "{:?} starve", site.waiting.keys());
    }
}
