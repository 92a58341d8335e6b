//! A journey leaves nothing open at agents, gives each token once and in order,
//! and ends: for random orders of answers, faults, late and crossed events.

use conf::Policy;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use route::Action;
use route::AgentView;
use route::Context;
use route::CrashId;
use route::Digest;
use route::Event;
use route::Failure;
use route::Fault;
use route::Fleet;
use route::LoadReport;
use route::PrefixHashes;
use route::Quarantine;
use route::RequestLifecycle;
use route::RequestSpec;
use route::RetryBudget;
use route::Stage;
use std::collections;
use std::time;
use world::Name;
use world::Role;
use yare::parameterized;

const TOTAL: u32 = 5;

/// What happens next, among what can happen.
#[derive(Clone, Copy, Debug)]
enum Op {
    /// The n-th open bid is granted, or fails.
    Seat(usize, Answer),
    /// The open prefill ends.
    Prefill(Answer),
    /// The held seat's import or next token comes, or the stream fails.
    Stream(Answer),
    /// A token comes again, or one is missing.
    Repeat,
    Gap,
    /// An event of a round or run that is over.
    Crossed(u32, usize),
    Wake(u64),
    Gone,
    Withdrawn,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Answer {
    Well,
    Fault(Fault),
}

struct World {
    base: time::Instant,
    now: u64,
    fleet: Fleet,
    budget: RetryBudget,
    quarantine: Quarantine,
    journey: RequestLifecycle,
    seats: collections::BTreeSet<(u32, Name)>,
    granted: Option<(u32, Name)>,
    imported: bool,
    prefill: Option<u32>,
    offset: u32,
    text: String,
    over: bool,
    failure: Option<Failure>,
    wrong: Option<String>,
    /// A decode host whose engine does not answer: it grants nothing.
    silent: Option<Name>,
}

fn host(role: &str, i: usize) -> Name {
    format!("{role}-{i}").into()
}

fn report() -> LoadReport {
    LoadReport {
        free_seats: 20,
        free_pieces: 200,
        waiting_bids: 0,
        backlog_tokens: 0,
        token_rate: 8_000.0,
        full_rate: 0.0,
    }
}

fn fleet(policy: Policy) -> Fleet {
    let mut fleet = Fleet::new(policy);
    let report = report();
    for i in 0..3 {
        for (word, role) in [("prefill", Role::Prefill), ("decode", Role::Decode)] {
            let zone = format!("zone-{i}").into();
            fleet.add_agent(host(word, i), AgentView::new(zone, role, "summary".into()));
            fleet.update_load(&host(word, i), report);
        }
    }
    fleet
}

fn work() -> RequestSpec {
    RequestSpec {
        upstream: "summary".into(),
        digest: Digest::of_content("summary-1", "log"),
        prefixes: PrefixHashes::of_prompt("log"),
        prompt_tokens: 100,
        max_tokens: TOTAL,
        pieces: 1,
        gap_target: time::Duration::from_millis(31),
        strictest_target: time::Duration::from_millis(31),
    }
}

impl World {
    fn new(policy: Policy) -> Self {
        let base = time::Instant::now();
        let mut world = Self {
            base,
            now: 0,
            fleet: fleet(policy),
            budget: RetryBudget::new(base),
            quarantine: Quarantine::default(),
            journey: RequestLifecycle::new(work()),
            seats: collections::BTreeSet::new(),
            granted: None,
            imported: false,
            prefill: None,
            offset: 0,
            text: String::new(),
            over: false,
            failure: None,
            wrong: None,
            silent: None,
        };
        let actions = world.decide(None);
        world.act(actions);
        world
    }

    fn decide(&mut self, event: Option<Event>) -> Vec<Action> {
        let mut cx = Context {
            fleet: &mut self.fleet,
            budget: &mut self.budget,
            quarantine: &mut self.quarantine,
            now: self.base + time::Duration::from_millis(self.now),
        };
        match event {
            None => self.journey.start(&mut cx),
            Some(event) => self.journey.step(event, &mut cx),
        }
    }

    fn event(&mut self, event: Event) {
        let actions = self.decide(Some(event));
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            if self.over && !matches!(action, Action::Release(..)) {
                self.wrong = Some(format!("{action:?} after the end"));
            }
            match action {
                Action::Bid(round, host) => {
                    self.seats.insert((round, host));
                }
                Action::Release(round, host) => self.close(round, &host),
                Action::Prefill(run, _) => {
                    if self.prefill.replace(run).is_some() {
                        self.wrong = Some("two prefills at once".into());
                    }
                }
                Action::CancelPrefill(run) => {
                    self.prefill.take_if(|open| *open == run);
                }
                Action::StartDecode(round, host, offset) => {
                    if self.granted != Some((round, host)) {
                        self.wrong = Some("started without a seat".into());
                    }
                    self.offset = offset;
                    self.imported = false;
                }
                Action::EmitText(text) => self.text += &text,
                Action::Finish(_, tokens) => {
                    if self.text != whole() || tokens != TOTAL {
                        self.wrong = Some(format!("finished with {:?}", self.text));
                    }
                    self.over = true;
                }
                Action::Fail(failure) => {
                    self.failure = Some(failure);
                    self.over = true;
                }
                Action::ReportCrash(..) | Action::SetTimer(_) => {}
            }
        }
    }

    fn close(&mut self, round: u32, host: &Name) {
        let seat = (round, host.clone());
        self.seats.remove(&seat);
        self.granted.take_if(|held| *held == seat);
    }

    fn step(&mut self, op: Op) {
        match op {
            Op::Seat(n, answer) => self.seat(n, answer),
            Op::Prefill(answer) => {
                let Some(run) = self.prefill else { return };
                match answer {
                    Answer::Well => self.event(Event::PrefillDone(run, 100, 0)),
                    Answer::Fault(fault) => {
                        self.prefill = None;
                        self.event(Event::PrefillFault(run, fault));
                    }
                }
            }
            Op::Stream(answer) => self.stream(answer),
            Op::Repeat => self.token_at(self.offset.saturating_sub(1)),
            Op::Gap => self.token_at(self.offset + 1),
            Op::Crossed(age, n) => self.cross(age, n),
            Op::Wake(millis) => {
                self.now += millis;
                self.event(Event::TimerFired);
            }
            Op::Gone => self.event(Event::CallerGone),
            Op::Withdrawn => self.event(Event::KeyWithdrawn),
        }
    }

    fn seat(&mut self, n: usize, answer: Answer) {
        let silent = self.silent.as_ref();
        let open = self.seats.iter().filter(|(_, h)| Some(h) != silent);
        let open: Vec<_> = open.cloned().collect();
        if open.is_empty() {
            return;
        }
        let (round, host) = open[n % open.len()].clone();
        match answer {
            Answer::Well if self.granted.is_none() => {
                self.granted = Some((round, host.clone()));
                self.event(Event::SeatGranted(round, host));
            }
            Answer::Well => {}
            Answer::Fault(fault) => {
                self.close(round, &host);
                self.event(Event::DecodeFault(round, host, fault));
            }
        }
    }

    fn stream(&mut self, answer: Answer) {
        let started = matches!(
            self.journey.stage(),
            Stage::Importing(..) | Stage::Streaming(_)
        );
        let Some((round, host)) = self.granted.clone().filter(|_| started) else {
            return;
        };
        match answer {
            Answer::Well if !self.imported => {
                self.imported = true;
                self.event(Event::ImportDone(round, time::Duration::from_millis(5)));
            }
            Answer::Well if self.offset < TOTAL => {
                let offset = self.offset;
                self.offset += 1;
                self.event(Event::Chunk(round, offset, format!("{offset} ")));
            }
            Answer::Well => self.event(Event::StreamEnded(round, "stop".into(), TOTAL)),
            Answer::Fault(fault) => {
                self.close(round, &host);
                self.event(Event::DecodeFault(round, host, fault));
            }
        }
    }

    fn token_at(&mut self, offset: u32) {
        if let Some((round, _)) = self.granted.clone().filter(|_| self.imported) {
            self.event(Event::Chunk(round, offset, format!("{offset} ")));
        }
    }

    /// Sends what an attempt that is over might still send.
    fn cross(&mut self, age: u32, n: usize) {
        let decode = host("decode", n % 3);
        let round = 1_000 + age;
        let events = [
            Event::SeatGranted(round, decode.clone()),
            Event::PrefillDone(round, 100, 0),
            Event::PrefillFault(round, Fault::Lost),
            Event::ImportDone(round, time::Duration::ZERO),
            Event::Chunk(round, age % TOTAL, "crossed ".into()),
            Event::StreamEnded(round, "stop".into(), TOTAL),
            Event::DecodeFault(round, decode, Fault::Lost),
        ];
        self.event(events[n % events.len()].clone());
    }

    /// One host's engine falls silent; its agent says so with the next report.
    fn silence(&mut self, i: usize) {
        if i < 3 {
            self.silent = Some(host("decode", i));
        }
    }

    fn report(&mut self) {
        for i in 0..3 {
            let host = host("decode", i);
            let free_seats = match self.silent.as_ref() == Some(&host) {
                true => 0,
                false => 20,
            };
            self.fleet.update_load(
                &host,
                LoadReport {
                    free_seats,
                    ..report()
                },
            );
        }
    }

    fn calm_down(&mut self) {
        for _ in 0..200 {
            if self.over {
                return;
            }
            self.report();
            self.step(Op::Wake(1_000));
            self.step(Op::Seat(0, Answer::Well));
            self.step(Op::Prefill(Answer::Well));
            for _ in 0..TOTAL + 2 {
                self.step(Op::Stream(Answer::Well));
            }
        }
    }

    fn left_open(&self) -> usize {
        self.seats.len() + usize::from(self.prefill.is_some())
    }
}

fn whole() -> String {
    (0..TOTAL).map(|i| format!("{i} ")).collect()
}

fn answer() -> impl Strategy<Value = Answer> {
    let fault = prop_oneof![
        Just(Fault::Draining),
        Just(Fault::Stalled),
        Just(Fault::Lost),
        (0..4u64).prop_map(Fault::Crashed),
        Just(Fault::Expired),
    ];
    prop_oneof![4 => Just(Answer::Well), 1 => fault.prop_map(Answer::Fault)]
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        20 => (any::<usize>(), answer()).prop_map(|(n, a)| Op::Seat(n, a)),
        20 => answer().prop_map(Op::Prefill),
        40 => answer().prop_map(Op::Stream),
        4 => Just(Op::Repeat),
        1 => Just(Op::Gap),
        10 => (0..9u32, any::<usize>()).prop_map(|(a, n)| Op::Crossed(a, n)),
        10 => (0..1_000u64).prop_map(Op::Wake),
        1 => Just(Op::Gone),
        1 => Just(Op::Withdrawn),
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

proptest! {
    #![proptest_config(histories(20_000))]

    #[test]
    fn journey_ends_and_leaves_nothing_open(
        ops in prop::collection::vec(op(), 0..120),
        silent in 0..4usize,
    ) {
        let mut world = World::new(Policy::Goodput);
        world.silence(silent);
        for op in ops {
            world.step(op);
        }
        world.calm_down();
        prop_assert_eq!(&world.wrong, &None);
        prop_assert!(world.over, "{:?}", world.journey);
        prop_assert_eq!(world.left_open(), 0);
        prop_assert!(whole().starts_with(&world.text));
    }
}

#[parameterized(
    goodput = { Policy::Goodput },
    round_robin = { Policy::RoundRobin },
    least_loaded = { Policy::LeastLoaded },
    prefix = { Policy::Prefix },
)]
fn journey_without_faults_answers_whole(policy: Policy) {
    let mut world = World::new(policy);
    world.calm_down();
    assert_eq!(world.text, whole());
    assert_eq!(world.failure, None);
}

#[test]
fn two_crashes_quarantine() {
    let mut world = World::new(Policy::Goodput);
    for count in 1..=2 {
        world.step(Op::Seat(0, Answer::Well));
        world.step(Op::Prefill(Answer::Fault(Fault::Crashed(count))));
        world.step(Op::Wake(1_000));
    }
    assert_eq!(world.failure, Some(Failure::Quarantined));
    assert_eq!(world.left_open(), 0);
}

#[test]
fn suspect_leaves_a_silent_host_for_one_with_room() {
    let mut world = World::new(Policy::Goodput);
    world.step(Op::Seat(0, Answer::Well));
    world.step(Op::Prefill(Answer::Fault(Fault::Crashed(1))));
    // A suspect bids at one host, and this one falls silent.
    let bids: Vec<_> = world.seats.iter().map(|(_, h)| h.clone()).collect();
    assert_eq!(bids.len(), 1, "{bids:?}");
    world.silent = Some(bids[0].clone());
    world.calm_down();
    assert_eq!(world.text, whole());
    assert_eq!(world.left_open(), 0);
}

#[test]
fn crash_heard_of_while_waiting_stops_the_prefill() {
    let mut world = World::new(Policy::Goodput);
    for count in 1..=2 {
        let id = CrashId {
            host: host("prefill", 1),
            count,
        };
        let at = world.base;
        world.quarantine.record_crash(work().digest, id, at);
    }
    world.step(Op::Seat(0, Answer::Well));
    assert_eq!(world.failure, Some(Failure::Quarantined));
    assert_eq!((world.prefill, world.left_open()), (None, 0));
}

#[test]
fn prefills_that_all_failed_are_waited_for() {
    let mut world = World::new(Policy::Goodput);
    world.step(Op::Seat(0, Answer::Well));
    for _ in 0..3 {
        assert!(world.prefill.is_some(), "{:?}", world.journey);
        world.step(Op::Prefill(Answer::Fault(Fault::Draining)));
    }
    // Asking the same three again at once would only fail again.
    assert!(matches!(world.journey.stage(), Stage::SeatHeld(_)));
    world.calm_down();
    assert_eq!(world.text, whole());
}

#[test]
fn grant_after_the_end_is_given_back() {
    let mut world = World::new(Policy::Goodput);
    let late = world.seats.iter().next().cloned().expect("it has bid");
    world.step(Op::Gone);
    let actions = world.decide(Some(Event::SeatGranted(late.0, late.1.clone())));
    assert_eq!(actions, vec![Action::Release(late.0, late.1)]);
}
