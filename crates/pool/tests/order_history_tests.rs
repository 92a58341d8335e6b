//! Histories of entries that share the lease for role orders: answers of the store come late
//! or not at all, entries pause, and the store comes back from a copy of any age, so that it
//! gives revisions and lease ids out again. The promises are checked after each step.

use pool::LeaseStep;
use pool::RoleCandidate;
use proptest::prelude::*;
use seam::Era;
use seam::LeaseId;
use seam::Revision;
use std::collections;
use std::time;
use world::Name;

const MILLI: time::Duration = time::Duration::from_millis(1);
const TTL: time::Duration = time::Duration::from_millis(3_000);
const ORDER_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
const ENTRIES: usize = 3;
const CASES: u32 = 300;

/// What befalls one entry's next request, and how long it takes.
#[derive(Clone, Debug)]
enum Event {
    Step {
        entry: usize,
        wait_ms: u64,
        /// From the sending to the store, and back.
        there_ms: u64,
        back_ms: u64,
        /// Whether the request is lost on its way, or the answer.
        loss: u8,
    },
    Pause(usize, u64),
    Order(usize, u64),
    /// The store comes back from a copy of this age.
    Restore(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let entry = || 0..ENTRIES;
    let slow = || prop_oneof![5 => 0_u64..20, 1 => 0_u64..1_200, 1 => 1_000_u64..5_000];
    let step = (entry(), 0_u64..400, slow(), slow(), 0_u8..12);
    let event = prop_oneof![
        12 => step.prop_map(|(entry, wait_ms, there_ms, back_ms, loss)| Event::Step {
            entry,
            wait_ms,
            there_ms,
            back_ms,
            loss,
        }),
        1 => (entry(), 500_u64..9_000).prop_map(|(entry, ms)| Event::Pause(entry, ms)),
        6 => (entry(), 0_u64..1_000).prop_map(|(entry, ms)| Event::Order(entry, ms)),
        1 => (0_u64..15_000).prop_map(Event::Restore),
    ];
    prop::collection::vec(event, 1..200)
}

/// The store's key with the lease that holds it.
#[derive(Clone, Debug, Default)]
struct Store {
    era: Era,
    revision: u64,
    next_lease: u64,
    /// Ends of the leases.
    leases: collections::BTreeMap<u64, time::Instant>,
    /// Lease and revision of the key.
    key: Option<(u64, u64)>,
}

impl Store {
    fn expire(&mut self, now: time::Instant) {
        self.leases.retain(|_, end| *end > now);
        let leases = &self.leases;
        self.key = self.key.filter(|(lease, _)| leases.contains_key(lease));
    }

    /// Comes back from a copy that was taken at `taken_at`; its leases go on from there.
    fn restore(&mut self, copy: Store, taken_at: time::Instant, now: time::Instant) {
        let era = Era(self.era.0 + 1);
        *self = Store { era, ..copy };
        for end in self.leases.values_mut() {
            *end += now - taken_at;
        }
    }

    /// Runs a call. A lease is known by its number alone, as on the wire.
    fn run(&mut self, step: LeaseStep, lease: Option<LeaseId>, now: time::Instant) -> Answer {
        self.expire(now);
        match step {
            LeaseStep::Idle => Answer::None,
            LeaseStep::Read => Answer::Read(self.key.is_none()),
            LeaseStep::Claim if self.key.is_some() => Answer::Taken,
            LeaseStep::Claim => {
                self.next_lease += 1;
                self.revision += 1;
                self.leases.insert(self.next_lease, now + TTL);
                self.key = Some((self.next_lease, self.revision));
                let lease = LeaseId {
                    era: self.era,
                    number: self.next_lease,
                };
                Answer::Claimed(lease, Revision::new(self.era, self.revision))
            }
            LeaseStep::Renew => {
                let end = lease.and_then(|l| self.leases.get_mut(&l.number));
                let is_renewed = end.map(|e| *e = now + TTL).is_some();
                Answer::Renewed(is_renewed && lease.is_some_and(|l| l.era == self.era))
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Answer {
    None,
    Read(bool),
    Taken,
    Claimed(LeaseId, Revision),
    Renewed(bool),
    Lost,
}

/// A request of an entry that waits for its answer.
#[derive(Clone, Debug)]
struct Request {
    step: LeaseStep,
    lease: Option<LeaseId>,
    sent: time::Instant,
    runs_at: Option<time::Instant>,
    answered_at: time::Instant,
    answer: Answer,
    /// Era of the answer.
    era: Era,
}

struct Entry {
    state: pool::OrderLease,
    /// The highest era that an answer has shown.
    era: Era,
    request: Option<Request>,
    paused_until: time::Instant,
}

impl Entry {
    fn apply(&mut self, request: &Request, now: time::Instant) {
        let answer = match request.answer {
            _ if request.era < self.era => Answer::Lost,
            answer => answer,
        };
        if !matches!(answer, Answer::Lost) {
            self.era = request.era;
        }
        match answer {
            Answer::None => {}
            Answer::Read(free) => self.state.record_read(free, now),
            Answer::Claimed(lease, fence) => {
                self.state.record_claim(lease, fence, request.sent, now);
            }
            Answer::Renewed(true) => self.state.record_renewal(request.sent),
            Answer::Taken | Answer::Renewed(false) => self.state.record_loss(now),
            // A lost renewal is sent again; what was lost otherwise counts as held by others.
            Answer::Lost => match request.step {
                LeaseStep::Read => self.state.record_read(false, now),
                LeaseStep::Claim => self.state.record_loss(now),
                LeaseStep::Renew | LeaseStep::Idle => {}
            },
        }
    }
}

struct Site {
    store: Store,
    entries: Vec<Entry>,
    /// Arrivals of orders at the engine, with their fences.
    orders: Vec<(time::Instant, Revision)>,
    /// Copies of the store with the times at which they were taken.
    copies: Vec<(time::Instant, Store)>,
}

impl Site {
    fn new(now: time::Instant) -> Self {
        let entry = || Entry {
            state: pool::OrderLease::new(TTL),
            era: Era::default(),
            request: None,
            paused_until: now,
        };
        Self {
            store: Store::default(),
            entries: (0..ENTRIES).map(|_| entry()).collect(),
            orders: Vec::new(),
            copies: vec![(now, Store::default())],
        }
    }

    /// Lets the store run, and the entries read, what has come until now, in order.
    fn advance(&mut self, now: time::Instant) {
        loop {
            let runs = self.entries.iter().enumerate().filter_map(|(i, e)| {
                let at = e.request.as_ref()?.runs_at?;
                Some((at, i))
            });
            let Some((at, index)) = runs.min().filter(|(at, _)| *at <= now) else {
                break;
            };
            let request = self.entries[index].request.as_mut();
            let request = request.expect("it waits to run");
            let answer = self.store.run(request.step, request.lease, at);
            request.runs_at = None;
            request.era = self.store.era;
            if !matches!(request.answer, Answer::Lost) {
                request.answer = answer;
            }
        }
        self.store.expire(now);
        for entry in &mut self.entries {
            let is_due = entry.request.as_ref().is_some_and(|r| r.answered_at <= now);
            if is_due && entry.paused_until <= now {
                let request = entry.request.take().expect("it is due");
                entry.apply(&request, now);
            }
        }
    }

    /// Does what an entry's loop does next, if it has no request open.
    fn step(
        &mut self,
        index: usize,
        there: time::Duration,
        back: time::Duration,
        loss: u8,
        now: time::Instant,
    ) {
        let entry = &mut self.entries[index];
        if entry.paused_until > now || entry.request.is_some() {
            return;
        }
        if entry.state.is_expired(now) {
            entry.state.record_loss(now);
        }
        let step = entry.state.next_step(now);
        if step == LeaseStep::Idle {
            return;
        }
        let lease = entry.state.lease();
        if lease.is_some_and(|l| l.era < entry.era) {
            // No call is made with a lease of an era that is over.
            entry.state.record_loss(now);
            return;
        }
        entry.request = Some(Request {
            step,
            lease,
            era: entry.era,
            sent: now,
            runs_at: (loss != 0).then_some(now + there),
            answered_at: now + there + back,
            answer: if loss <= 1 {
                Answer::Lost
            } else {
                Answer::None
            },
        });
    }

    /// Returns the fences that entries could order with now.
    fn fences(&self, delivery: time::Duration, now: time::Instant) -> Vec<Revision> {
        let entries = self.entries.iter();
        entries
            .filter_map(|e| e.state.fence(delivery, now))
            .collect()
    }

    /// Lets the store come back from the newest copy that is at least this old.
    fn restore(&mut self, age: time::Duration, now: time::Instant) {
        self.store.expire(now);
        let is_old = |(at, _): &&(time::Instant, Store)| now - *at >= age;
        let copy = self.copies.iter().rev().find(is_old);
        let (taken_at, copy) = copy.unwrap_or(&self.copies[0]).clone();
        self.store.restore(copy, taken_at, now);
    }
}

proptest! {
    #![proptest_config(seeded::config(CASES))]

    /// At most one entry orders, paused or not, and engines see fences that never go back.
    #[test]
    fn one_holder_orders_and_fences_never_go_back(events in events()) {
        let start = time::Instant::now();
        let mut now = start;
        let mut site = Site::new(now);
        for event in events {
            match event {
                Event::Step { entry, wait_ms, there_ms, back_ms, loss } => {
                    for _ in 0..wait_ms / 20 {
                        now += 20 * MILLI;
                        site.advance(now);
                    }
                    let (there, back) = (MILLI * there_ms as u32, MILLI * back_ms as u32);
                    site.step(entry, there, back, loss, now);
                    site.advance(now);
                }
                Event::Pause(entry, ms) => {
                    site.entries[entry].paused_until = now + MILLI * ms as u32;
                }
                Event::Order(entry, delay_ms) => {
                    let fence = site.entries[entry].state.fence(ORDER_TIMEOUT, now);
                    if let Some(fence) = fence {
                        site.orders.push((now + MILLI * delay_ms as u32, fence));
                    }
                }
                Event::Restore(age_ms) => site.restore(MILLI * age_ms as u32, now),
            }
            site.copies.push((now, site.store.clone()));
            let fences = site.fences(time::Duration::ZERO, now);
            prop_assert!(fences.len() <= 1, "{fences:?} may order");
            let (era, revision) = (site.store.era, site.store.revision);
            prop_assert!(fences.iter().all(|f| *f <= Revision::new(era, revision)));
            if let Some(fence) = fences.first().filter(|f| f.era == era) {
                // The holder's key is there, so that no other entry can write it.
                prop_assert_eq!(site.store.key.map(|(_, revision)| revision), Some(fence.number));
            }
        }
        site.orders.sort_by_key(|(at, _)| *at);
        prop_assert!(site.orders.is_sorted_by_key(|(_, fence)| *fence), "{:?}", site.orders);
        // Once nothing is lost any more, one entry holds the lease and may order.
        for entry in &mut site.entries {
            entry.paused_until = now;
        }
        let mut may_order = false;
        for _ in 0..1_500 {
            now += 20 * MILLI;
            site.advance(now);
            (0..ENTRIES).for_each(|i| site.step(i, MILLI, MILLI, u8::MAX, now));
            may_order |= !site.fences(time::Duration::ZERO, now).is_empty();
        }
        prop_assert!(may_order, "no entry orders for half a minute");
    }
}

#[derive(Clone, Debug)]
enum RoleEvent {
    Wait(u64),
    /// Engine time that prefill and decode ask for.
    Demand(f64, f64),
    /// An engine ends, starts or accepts no call, or its speed becomes known.
    End(prop::sample::Index),
    Start(bool),
    Withhold(prop::sample::Index),
    Measure(prop::sample::Index, f64),
    /// The order is refused or lost, so that it is recorded and nothing changes.
    Lose,
}

fn role_events() -> impl Strategy<Value = Vec<RoleEvent>> {
    let index = any::<prop::sample::Index>;
    let demand = || prop_oneof![0.0..12.0, prop::num::f64::POSITIVE];
    let event = prop_oneof![
        8 => (50_u64..900).prop_map(RoleEvent::Wait),
        2 => (demand(), demand()).prop_map(|(prefill, decode)| RoleEvent::Demand(prefill, decode)),
        1 => index().prop_map(RoleEvent::End),
        2 => any::<bool>().prop_map(RoleEvent::Start),
        1 => index().prop_map(RoleEvent::Withhold),
        3 => (index(), 1.0..60_000.0).prop_map(|(which, speed)| RoleEvent::Measure(which, speed)),
        1 => Just(RoleEvent::Lose),
    ];
    prop::collection::vec(event, 1..120)
}

fn count(engines: &[RoleCandidate], role: seam::Role) -> usize {
    engines.iter().filter(|e| e.role == role).count()
}

proptest! {
    #![proptest_config(seeded::config(CASES * 2))]

    /// No order takes the last engine of a role, none goes to an engine that takes none, and
    /// orders keep their interval unless nothing runs prefill.
    #[test]
    fn role_orders_keep_both_stages_and_their_interval(events in role_events()) {
        let mut now = time::Instant::now();
        let mut balancer = pool::RoleBalancer::new();
        let mut engines: Vec<RoleCandidate> = Vec::new();
        let (mut prefill, mut decode, mut loses) = (0.0, 0.0, false);
        let mut last_order: Option<time::Instant> = None;
        for (number, event) in events.into_iter().enumerate() {
            match event {
                RoleEvent::Wait(ms) => now += MILLI * ms as u32,
                RoleEvent::Demand(p, d) => (prefill, decode) = (p, d),
                RoleEvent::Start(is_prefill) if engines.len() < 9 => engines.push(RoleCandidate {
                    id: Name::from(format!("engine-{number}")),
                    role: if is_prefill { seam::Role::Prefill } else { seam::Role::Decode },
                    load: number as u64,
                    speed: None,
                    accepts_calls: true,
                }),
                RoleEvent::End(which) if !engines.is_empty() => {
                    engines.remove(which.index(engines.len()));
                }
                RoleEvent::Withhold(which) if !engines.is_empty() => {
                    let index = which.index(engines.len());
                    engines[index].accepts_calls = !engines[index].accepts_calls;
                }
                RoleEvent::Measure(which, speed) if !engines.is_empty() => {
                    let index = which.index(engines.len());
                    engines[index].speed = Some(speed);
                }
                RoleEvent::Lose => loses = true,
                RoleEvent::Start(_) | RoleEvent::End(_) | RoleEvent::Withhold(_) => {}
                RoleEvent::Measure(..) => {}
            }
            let before = (count(&engines, seam::Role::Prefill), engines.len());
            let Some(change) = balancer.decide(&engines, prefill, decode, now) else {
                continue;
            };
            let interval = last_order.map(|at| now - at);
            let is_urgent = before.0 == 0;
            prop_assert!(is_urgent || interval.is_none_or(|i| i >= 2_500 * MILLI));
            let chosen = engines.iter_mut().find(|e| e.id == change.id);
            let chosen = chosen.expect("the engine is known");
            prop_assert!(chosen.accepts_calls);
            prop_assert_ne!(chosen.role, change.role);
            balancer.record_order(now);
            last_order = Some(now);
            if !std::mem::take(&mut loses) {
                chosen.role = change.role;
                prop_assert!(count(&engines, seam::Role::Prefill) > 0);
                prop_assert!(count(&engines, seam::Role::Decode) > 0);
                prop_assert!(before.1 < 6 || change.role == seam::Role::Prefill || before.0 > 2);
            }
        }
    }
}
