//! Simulates how often requests within an organisation's rate are refused. Only the
//! allowance logic runs, on a virtual clock:
//! `cargo run --release -p quota --example refusals`.
//!
//! Callers are spread unevenly: the first entry receives half of them. One
//! organisation sends five times its rate, the others 80 % of theirs. As in the
//! daemon, each request is charged for its longest possible answer, and settled
//! when it ends.

use quota::Admission;
use quota::ChargeId;
use quota::Escrow;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cmp;
use std::collections;
use std::time;
use world::Organisation;

const SEED: u64 = 0x5eed;
/// Time during which requests arrive, in seconds.
const DURATION_S: u64 = 120;
const ORGANISATIONS: usize = 5;
/// Tokens per second.
const RATE: u64 = 4_000;
/// Tokens that may be used at once.
const BURST: u64 = 24_000;
/// Mean tokens of a prompt.
const MEAN_PROMPT: u64 = 600;
/// Tokens of the longest possible answer.
const MAX_ANSWER: u64 = 512;
/// Mean tokens of an answer.
const MEAN_ANSWER: u64 = 150;
/// Time from the admission of a request to its settlement.
const RUN_MS: u64 = 2_000;
/// Longest time for which a request waits for tokens, as in the daemon.
const MAX_WAIT_MS: u64 = 250;
/// When an entry crashes.
const CRASH_MS: u64 = 40_000;
/// How long a crashed entry's share stays unused until it is divided anew.
const REDIVISION_MS: u64 = 15_000;

/// The parameters of one simulation.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    entries: usize,
    /// Whether entries lend each other tokens.
    loans: bool,
    /// Whether an entry crashes, and whether its share is then divided anew. While the
    /// store is down, it is not.
    crash: Option<Redivision>,
}

/// When the share of a crashed entry is divided among the others.
#[derive(Clone, Copy, PartialEq)]
enum Redivision {
    /// After [`REDIVISION_MS`].
    Delayed,
    Never,
}

/// An event of the simulation.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request of this organisation arrives.
    Arrive(usize),
    Retry(Request),
    End(Request),
    Crash,
    Redivide,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    /// When the request arrived or, once it is admitted, when that was; in
    /// milliseconds.
    since_ms: u64,
    organisation: usize,
    entry: usize,
    /// Tokens that are charged.
    tokens: u64,
    /// Tokens that are really used.
    used: u64,
    id: u64,
    /// Lending entries and the tokens they lent.
    loans: Vec<(usize, u64)>,
}

struct Simulation {
    case: Case,
    base: time::Instant,
    random: ChaCha8Rng,
    events: collections::BinaryHeap<cmp::Reverse<(u64, Event)>>,
    entries: Vec<Option<Escrow>>,
    requested: [u64; ORGANISATIONS],
    refused: [u64; ORGANISATIONS],
    request_count: u64,
}

impl Simulation {
    fn new(case: Case) -> Self {
        let mut simulation = Self {
            case,
            base: time::Instant::now(),
            random: ChaCha8Rng::seed_from_u64(SEED),
            events: collections::BinaryHeap::new(),
            entries: vec![Some(Escrow::new()); case.entries],
            requested: [0; ORGANISATIONS],
            refused: [0; ORGANISATIONS],
            request_count: 0,
        };
        simulation.divide(0);
        for organisation in 0..ORGANISATIONS {
            // All shares start empty; the first requests arrive once they are full.
            simulation.schedule(BURST * 1_000 / RATE, Event::Arrive(organisation));
        }
        if let Some(redivision) = case.crash {
            simulation.schedule(CRASH_MS, Event::Crash);
            if redivision == Redivision::Delayed {
                simulation.schedule(CRASH_MS + REDIVISION_MS, Event::Redivide);
            }
        }
        simulation
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events.push(cmp::Reverse((at, event)));
    }

    fn at(&self, now: u64) -> time::Instant {
        self.base + time::Duration::from_millis(now)
    }

    fn divide(&mut self, now: u64) {
        let at = self.at(now);
        let live = self.entries.iter().flatten().count();
        let all: Vec<Organisation> = (0..ORGANISATIONS).map(organisation).collect();
        for escrow in self.entries.iter_mut().flatten() {
            escrow.set_share(&all, 1.0 / live as f64, at);
        }
    }

    fn run(&mut self) {
        while let Some(cmp::Reverse((now, event))) = self.events.pop() {
            match event {
                Event::Arrive(organisation) if now < DURATION_S * 1_000 => {
                    self.arrive(organisation, now);
                }
                Event::Arrive(_) => {}
                Event::Retry(request) => self.try_admit(request, now),
                Event::End(request) => self.settle(&request, now),
                Event::Crash => self.entries[1] = None,
                Event::Redivide => self.divide(now),
            }
        }
    }

    fn arrive(&mut self, organisation: usize, now: u64) {
        let load = match organisation {
            0 => 5.0,
            _ => 0.8,
        };
        let rate = load * RATE as f64 / (MEAN_PROMPT + MEAN_ANSWER) as f64;
        let gap = -self.random.random::<f64>().max(1e-12).ln() / rate;
        self.schedule(
            now + (gap * 1_000.0) as u64 + 1,
            Event::Arrive(organisation),
        );
        let entry = loop {
            let entry = match self.random.random::<f64>() < 0.5 {
                true => 0,
                false => self.random.random_range(0..self.entries.len()),
            };
            if self.entries[entry].is_some() {
                break entry;
            }
        };
        self.request_count += 1;
        self.requested[organisation] += 1;
        let prompt = self.random.random_range(1..2 * MEAN_PROMPT);
        let request = Request {
            since_ms: now,
            organisation,
            entry,
            tokens: prompt + MAX_ANSWER,
            used: prompt + self.random.random_range(1..2 * MEAN_ANSWER),
            id: self.request_count,
            loans: Vec::new(),
        };
        self.try_admit(request, now);
    }

    fn try_admit(&mut self, mut request: Request, now: u64) {
        let missing = match self.charge(&mut request, now) {
            Ok(()) => return self.schedule(now + RUN_MS, Event::End(request)),
            Err(missing) => missing,
        };
        let wait = (missing * 1_000.0 / RATE as f64).ceil() as u64;
        if now + wait > request.since_ms + MAX_WAIT_MS {
            self.refused[request.organisation] += 1;
            return;
        }
        self.schedule(now + wait.max(10), Event::Retry(request));
    }

    /// Charges a request, with loans if the case allows them. The error is the
    /// number of tokens that are still missing.
    fn charge(&mut self, request: &mut Request, now: u64) -> Result<(), f64> {
        let at = self.at(now);
        let id = ChargeId(format!("{}@{now}", request.id));
        let name = organisation(request.organisation).name;
        let mut peers: Vec<usize> = (0..self.entries.len())
            .filter(|i| *i != request.entry && self.case.loans)
            .collect();
        request.loans.clear();
        loop {
            let lent: u64 = request.loans.iter().map(|l| l.1).sum();
            let Some(own) = &mut self.entries[request.entry] else {
                return Err(f64::INFINITY);
            };
            let missing = match own.charge(&name, &id, request.tokens, lent as f64, at) {
                Admission::Admitted => {
                    request.since_ms = now;
                    return Ok(());
                }
                Admission::TooLarge => return Err(f64::INFINITY),
                Admission::Insufficient(missing) => missing,
            };
            let Some(peer) = peers.pop() else {
                self.repay(request, &id, 0, at);
                return Err(missing);
            };
            if let Some(escrow) = &mut self.entries[peer] {
                let lent = escrow.lend(&name, &id, missing.ceil(), at);
                request.loans.push((peer, lent as u64));
            }
        }
    }

    fn settle(&mut self, request: &Request, now: u64) {
        let at = self.at(now);
        let id = ChargeId(format!("{}@{}", request.id, request.since_ms));
        let lent: u64 = request.loans.iter().map(|l| l.1).sum();
        let own = request.used.min(request.tokens.saturating_sub(lent));
        if let Some(escrow) = &mut self.entries[request.entry] {
            let name = organisation(request.organisation).name;
            escrow.settle(&name, &id, own as f64, at);
        }
        self.repay(request, &id, request.used - own, at);
    }

    fn repay(&mut self, request: &Request, id: &ChargeId, mut used: u64, at: time::Instant) {
        let name = organisation(request.organisation).name;
        for (peer, lent) in &request.loans {
            let spent = used.min(*lent);
            used -= spent;
            if let Some(escrow) = &mut self.entries[*peer] {
                escrow.settle(&name, id, spent as f64, at);
            }
        }
    }
}

fn organisation(i: usize) -> Organisation {
    Organisation {
        name: format!("organisation-{i}").into(),
        rate: RATE,
        burst: BURST,
    }
}

fn main() {
    println!("case | entries | loans | within the rate: refused of requested | greedy: refused");
    for (name, crash) in [
        ("no crash, store up or down", None),
        ("an entry crashes", Some(Redivision::Delayed)),
        ("an entry crashes, store down", Some(Redivision::Never)),
    ] {
        for entries in [3, 5] {
            for loans in [true, false] {
                let mut simulation = Simulation::new(Case {
                    name,
                    entries,
                    loans,
                    crash,
                });
                simulation.run();
                print(&simulation);
            }
        }
    }
}

fn print(simulation: &Simulation) {
    let within: u64 = simulation.refused[1..].iter().sum();
    let requested: u64 = simulation.requested[1..].iter().sum();
    let greedy = 100.0 * simulation.refused[0] as f64 / simulation.requested[0] as f64;
    println!(
        "{} | {} | {} | {within} of {requested} ({:.2} %) | {greedy:.0} %",
        simulation.case.name,
        simulation.case.entries,
        simulation.case.loans,
        100.0 * within as f64 / requested as f64,
    );
}
