//! How often work within an organisation's rate is refused, by the state machine
//! alone on a virtual clock: `cargo run --release -p quota --example refusals`.
//!
//! Callers are spread unevenly: the first entry gets half of them. One
//! organisation sends five times its rate, the others 80 %. Each request is
//! charged its longest answer and settled when it ends, as in the daemon.

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
const SECONDS: u64 = 120;
const ORGANISATIONS: usize = 5;
/// Tokens each second and at once.
const RATE: u64 = 4_000;
const BURST: u64 = 24_000;
/// Tokens of a prompt, of the longest answer and of the real one, on the mean.
const PROMPT: u64 = 600;
const LONGEST: u64 = 512;
const ANSWER: u64 = 150;
/// Time from admission to settlement, in milliseconds.
const RUN: u64 = 2_000;
/// As the daemon's: the wait for tokens that are about to come.
const PATIENCE: u64 = 250;
/// When an entry dies, and how long its slice then belongs to nobody.
const DEATH: u64 = 40_000;
const REDRAWN: u64 = 15_000;

/// What a run is like.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    entries: usize,
    transfers: bool,
    /// An entry dies; with the store out, its slice is never redrawn.
    death: Option<Redraw>,
}

#[derive(Clone, Copy, PartialEq)]
enum Redraw {
    InTime,
    Never,
}

/// What happens next at a moment, in milliseconds.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Retry(Request),
    End(Request),
    Die,
    Redraw,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    arrived: u64,
    organisation: usize,
    entry: usize,
    tokens: u64,
    used: u64,
    id: u64,
    loans: Vec<(usize, u64)>,
}

struct Site {
    case: Case,
    base: time::Instant,
    random: ChaCha8Rng,
    events: collections::BinaryHeap<cmp::Reverse<(u64, Event)>>,
    entries: Vec<Option<Escrow>>,
    asked: [u64; ORGANISATIONS],
    refused: [u64; ORGANISATIONS],
    count: u64,
}

impl Site {
    fn new(case: Case) -> Self {
        let mut site = Self {
            case,
            base: time::Instant::now(),
            random: ChaCha8Rng::seed_from_u64(SEED),
            events: collections::BinaryHeap::new(),
            entries: vec![Some(Escrow::new()); case.entries],
            asked: [0; ORGANISATIONS],
            refused: [0; ORGANISATIONS],
            count: 0,
        };
        site.divide(0);
        for organisation in 0..ORGANISATIONS {
            // Slices fill from nothing first.
            site.plan(BURST * 1_000 / RATE, Event::Arrive(organisation));
        }
        if let Some(redraw) = case.death {
            site.plan(DEATH, Event::Die);
            if redraw == Redraw::InTime {
                site.plan(DEATH + REDRAWN, Event::Redraw);
            }
        }
        site
    }

    fn plan(&mut self, at: u64, event: Event) {
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
                Event::Arrive(organisation) if now < SECONDS * 1_000 => {
                    self.arrive(organisation, now);
                }
                Event::Arrive(_) => {}
                Event::Retry(request) => self.ask(request, now),
                Event::End(request) => self.settle(&request, now),
                Event::Die => self.entries[1] = None,
                Event::Redraw => self.divide(now),
            }
        }
    }

    fn arrive(&mut self, organisation: usize, now: u64) {
        let sent = match organisation {
            0 => 5.0,
            _ => 0.8,
        };
        let rate = sent * RATE as f64 / (PROMPT + ANSWER) as f64;
        let gap = -self.random.random::<f64>().max(1e-12).ln() / rate;
        self.plan(
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
        self.count += 1;
        self.asked[organisation] += 1;
        let prompt = self.random.random_range(1..2 * PROMPT);
        let request = Request {
            arrived: now,
            organisation,
            entry,
            tokens: prompt + LONGEST,
            used: prompt + self.random.random_range(1..2 * ANSWER),
            id: self.count,
            loans: Vec::new(),
        };
        self.ask(request, now);
    }

    fn ask(&mut self, mut request: Request, now: u64) {
        let missing = match self.charge(&mut request, now) {
            Ok(()) => return self.plan(now + RUN, Event::End(request)),
            Err(missing) => missing,
        };
        let wait = (missing * 1_000.0 / RATE as f64).ceil() as u64;
        if now + wait > request.arrived + PATIENCE {
            self.refused[request.organisation] += 1;
            return;
        }
        self.plan(now + wait.max(10), Event::Retry(request));
    }

    /// Charges a request, with loans where that is allowed; gives the tokens
    /// that are missing everywhere.
    fn charge(&mut self, request: &mut Request, now: u64) -> Result<(), f64> {
        let at = self.at(now);
        let id = ChargeId(format!("{}@{now}", request.id));
        let name = organisation(request.organisation).name;
        let mut peers: Vec<usize> = (0..self.entries.len())
            .filter(|i| *i != request.entry && self.case.transfers)
            .collect();
        request.loans.clear();
        loop {
            let lent: u64 = request.loans.iter().map(|l| l.1).sum();
            let Some(own) = &mut self.entries[request.entry] else {
                return Err(f64::INFINITY);
            };
            let missing = match own.charge(&name, &id, request.tokens, lent as f64, at) {
                Admission::Admitted => {
                    request.arrived = now;
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
        let id = ChargeId(format!("{}@{}", request.id, request.arrived));
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
    println!("case | entries | transfers | within the rate: refused of asked | greedy: refused");
    for (name, death) in [
        ("calm, store in or out", None),
        ("an entry lost", Some(Redraw::InTime)),
        ("an entry lost, store out", Some(Redraw::Never)),
    ] {
        for entries in [3, 5] {
            for transfers in [true, false] {
                let mut site = Site::new(Case {
                    name,
                    entries,
                    transfers,
                    death,
                });
                site.run();
                print(&site);
            }
        }
    }
}

fn print(site: &Site) {
    let within: u64 = site.refused[1..].iter().sum();
    let asked: u64 = site.asked[1..].iter().sum();
    let greedy = 100.0 * site.refused[0] as f64 / site.asked[0] as f64;
    println!(
        "{} | {} | {} | {within} of {asked} ({:.2} %) | {greedy:.0} %",
        site.case.name,
        site.case.entries,
        site.case.transfers,
        100.0 * within as f64 / asked as f64,
    );
}
