//! A key runs at most once and "not run" is true: for random orders of resends
//! to several homes, crashes, store outages, lost and late answers.

use once::Action;
use once::Answer;
use once::Call;
use once::CallId;
use once::CallOutcome;
use once::ClaimTracker;
use once::Event;
use once::KeyHash;
use once::ReadResult;
use once::Shard;
use once::ShardRecord;
use once::WriteResult;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections;
use std::time;
use yare::parameterized;

const HOMES: usize = 3;
const KEYS: usize = 3;
const SHARD: Shard = Shard(0);

#[derive(Clone, Debug)]
enum Op {
    /// A home gets a call of a key, whose caller waits for so long.
    Call(usize, usize, u64),
    /// The store answers the n-th waiting errand in this way.
    Store(usize, Reply),
    /// The service ends the n-th running call in this way.
    Service(usize, Ended),
    Advance(u64),
    Crash(usize),
}

#[derive(Clone, Copy, Debug)]
enum Reply {
    Well,
    /// It is done, but the answer is lost.
    Lost,
    /// It is not done, and that is known.
    Refused,
    /// It is done only after others, and the answer is lost at once.
    Late,
}

#[derive(Clone, Copy, Debug)]
enum Ended {
    Ran,
    NotSent,
    AnswerLost,
}

struct Errand {
    home: usize,
    incarnation: u64,
    action: Action,
    answered: bool,
}

struct World {
    base: time::Instant,
    now: u64,
    homes: Vec<ClaimTracker>,
    incarnations: Vec<u64>,
    stored: Option<(u64, Vec<u8>)>,
    revision: u64,
    errands: Vec<Errand>,
    running: Vec<(usize, u64, CallId, usize)>,
    keys: collections::BTreeMap<CallId, usize>,
    /// Calls that came when their key had run already.
    late: collections::BTreeSet<CallId>,
    /// Runs of each key that the service has seen.
    ran: [u32; KEYS],
    /// Keys that were answered, with their answer.
    answers: [Option<u16>; KEYS],
    wrong: Option<String>,
    calls: u64,
    writes: u64,
}

fn key(k: usize) -> KeyHash {
    KeyHash::of_parts(&[b"rangers", k.to_string().as_bytes()])
}

fn answer(status: u16) -> Answer {
    Answer {
        status,
        headers: Vec::new(),
        body: String::new(),
    }
}

impl World {
    fn new() -> Self {
        Self {
            base: time::Instant::now(),
            now: 0,
            homes: (0..HOMES)
                .map(|h| ClaimTracker::new(format!("{h}-0")))
                .collect(),
            incarnations: vec![0; HOMES],
            stored: None,
            revision: 1,
            errands: Vec::new(),
            running: Vec::new(),
            keys: collections::BTreeMap::new(),
            late: collections::BTreeSet::new(),
            ran: [0; KEYS],
            answers: [None; KEYS],
            wrong: None,
            calls: 0,
            writes: 0,
        }
    }

    fn event(&mut self, home: usize, event: Event) {
        let now = self.base + time::Duration::from_millis(self.now);
        let wall = time::Duration::from_secs(1_000_000) + time::Duration::from_millis(self.now);
        for action in self.homes[home].step(event, now, wall) {
            match action {
                Action::ReadShard(_) | Action::WriteShard(..) => self.errands.push(Errand {
                    home,
                    incarnation: self.incarnations[home],
                    action,
                    answered: false,
                }),
                Action::RunCall(id) => {
                    let k = self.keys[&id];
                    self.running.push((home, self.incarnations[home], id, k));
                }
                Action::SendReply(id, verdict) => self.check(id, &verdict),
            }
        }
    }

    fn check(&mut self, id: CallId, verdict: &CallOutcome) {
        let k = self.keys[&id];
        match verdict {
            CallOutcome::NotRun(_) if self.late.contains(&id) => {
                self.wrong = Some(format!("key {k} was refused as not run, but had run"));
            }
            CallOutcome::Answered(answer, _) => {
                if self.answers[k].is_some_and(|first| first != answer.status) {
                    self.wrong = Some(format!("key {k} got two answers"));
                }
                self.answers[k] = Some(answer.status);
            }
            CallOutcome::NotRun(_) | CallOutcome::AttemptNotRun(_) | CallOutcome::Unknown(_) => {}
            CallOutcome::Mismatch => self.wrong = Some(format!("key {k} was mixed up")),
        }
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Call(home, k, wait) => {
                self.calls += 1;
                let id = CallId(self.calls);
                self.keys.insert(id, k);
                if self.ran[k] > 0 {
                    self.late.insert(id);
                }
                let call = Call {
                    id,
                    shard: SHARD,
                    key: key(k),
                    content: KeyHash::of_parts(&[b"the order"]),
                    deadline: self.base + time::Duration::from_millis(self.now + wait),
                };
                self.event(home, Event::CallReceived(call));
            }
            Op::Store(index, reply) => self.store(index, reply),
            Op::Service(index, ended) => self.service(index, ended),
            Op::Advance(millis) => {
                self.now += millis;
                for home in 0..HOMES {
                    self.event(home, Event::Timer);
                }
            }
            Op::Crash(home) => {
                self.incarnations[home] += 1;
                let me = format!("{home}-{}", self.incarnations[home]);
                self.homes[home] = ClaimTracker::new(me);
            }
        }
    }

    fn store(&mut self, index: usize, reply: Reply) {
        if self.errands.is_empty() {
            return;
        }
        let i = index % self.errands.len();
        if let Reply::Late = reply
            && matches!(self.errands[i].action, Action::WriteShard(..))
            && !self.errands[i].answered
        {
            // The caller hears that the answer is lost; the write comes later.
            self.errands[i].answered = true;
            let (home, incarnation) = (self.errands[i].home, self.errands[i].incarnation);
            self.tell(
                home,
                incarnation,
                Event::ShardWritten(SHARD, WriteResult::Unknown),
            );
            return;
        }
        let errand = self.errands.swap_remove(i);
        let event = match (&errand.action, reply) {
            (Action::ReadShard(_), Reply::Well) => {
                let (at, record) = self.current();
                Event::ShardRead(SHARD, ReadResult::Found(at, record))
            }
            (Action::ReadShard(_), _) => Event::ShardRead(SHARD, ReadResult::Failed),
            (Action::WriteShard(..), Reply::Refused) => {
                Event::ShardWritten(SHARD, WriteResult::NoEffect)
            }
            (Action::WriteShard(_, expected, bytes), reply) => {
                let written = self.swap(*expected, bytes);
                match reply {
                    Reply::Well => Event::ShardWritten(SHARD, written),
                    Reply::Lost | Reply::Late | Reply::Refused => {
                        Event::ShardWritten(SHARD, WriteResult::Unknown)
                    }
                }
            }
            (Action::RunCall(_) | Action::SendReply(..), _) => return,
        };
        if !errand.answered {
            self.tell(errand.home, errand.incarnation, event);
        }
    }

    fn tell(&mut self, home: usize, incarnation: u64, event: Event) {
        if self.incarnations[home] == incarnation {
            self.event(home, event);
        }
    }

    fn current(&self) -> (u64, ShardRecord) {
        match &self.stored {
            None => (0, ShardRecord::default()),
            Some((at, bytes)) => {
                let record = serde_json::from_slice(bytes).expect("the ledger writes JSON");
                (*at, record)
            }
        }
    }

    fn swap(&mut self, expected: u64, bytes: &[u8]) -> WriteResult {
        let at = self.stored.as_ref().map_or(0, |(at, _)| *at);
        if at != expected {
            let (at, record) = self.current();
            return WriteResult::Conflict(at, record);
        }
        self.revision += 1;
        self.writes += 1;
        self.stored = Some((self.revision, bytes.to_vec()));
        WriteResult::Written(self.revision)
    }

    fn service(&mut self, index: usize, ended: Ended) {
        if self.running.is_empty() {
            return;
        }
        let i = index % self.running.len();
        let (home, incarnation, id, k) = self.running.swap_remove(i);
        let event = match ended {
            Ended::Ran => {
                self.ran[k] += 1;
                let status = 200 + u16::try_from(self.ran[k]).expect("few runs");
                Event::CallRan(id, answer(status))
            }
            Ended::AnswerLost => {
                self.ran[k] += 1;
                Event::OutcomeUnknown(id, "lost".into())
            }
            Ended::NotSent => Event::CallNotRun(id, "not sent".into()),
        };
        if self.ran[k] > 1 {
            self.wrong = Some(format!("key {k} ran twice"));
        }
        self.tell(home, incarnation, event);
    }

    /// Lets everything that is under way end well.
    fn calm_down(&mut self) {
        for _ in 0..400 {
            self.step(Op::Advance(50));
            while !self.errands.is_empty() {
                self.store(0, Reply::Well);
            }
            while !self.running.is_empty() {
                self.service(0, Ended::Ran);
            }
        }
    }
}

fn op() -> impl Strategy<Value = Op> {
    let reply = prop_oneof![
        6 => Just(Reply::Well),
        1 => Just(Reply::Lost),
        1 => Just(Reply::Refused),
        1 => Just(Reply::Late),
    ];
    let ended = prop_oneof![
        4 => Just(Ended::Ran),
        2 => Just(Ended::NotSent),
        1 => Just(Ended::AnswerLost),
    ];
    let any_index = any::<usize>();
    prop_oneof![
        6 => (0..HOMES, 0..KEYS, 0..2_000u64).prop_map(|(h, k, w)| Op::Call(h, k, w)),
        12 => (any_index, reply).prop_map(|(i, r)| Op::Store(i, r)),
        4 => (any_index, ended).prop_map(|(i, e)| Op::Service(i, e)),
        8 => prop_oneof![0..10u64, 10..400u64].prop_map(Op::Advance),
        1 => (0..HOMES).prop_map(Op::Crash),
    ]
}

fn histories(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(0x5eed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn run(ops: Vec<Op>) -> World {
    let mut world = World::new();
    for op in ops {
        world.step(op);
        if world.wrong.is_some() {
            return world;
        }
    }
    world.calm_down();
    world
}

proptest! {
    #![proptest_config(histories(20_000))]

    #[test]
    fn key_runs_at_most_once(ops in prop::collection::vec(op(), 1..150)) {
        let world = run(ops);
        prop_assert_eq!(&world.wrong, &None);
        for home in &world.homes {
            prop_assert!(home.is_idle(), "a call is left without an answer");
        }
    }
}

#[test]
fn claims_that_come_together_share_a_write() {
    let mut world = World::new();
    for i in 0..50 {
        world.step(Op::Call(0, i % KEYS, 5_000));
    }
    world.calm_down();
    assert_eq!(world.ran, [1; KEYS]);
    // One for the claims, one for the outcomes.
    assert!(world.writes <= 2, "{} writes", world.writes);
}

#[parameterized(
    soon = { 100 },
    at_once = { 0 },
)]
fn call_in_an_outage_is_refused_in_time(wait: u64) {
    let mut world = World::new();
    world.step(Op::Call(0, 0, wait));
    world.step(Op::Advance(wait + 10));
    assert_eq!(world.homes[0].calls(), 0);
    assert_eq!(world.ran, [0; KEYS]);
    // The store's answer comes after all; nothing is run for it.
    world.calm_down();
    assert_eq!(world.ran, [0; KEYS]);
}
