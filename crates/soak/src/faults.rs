//! Faults from outside, in an order that the seed gives; they overlap.

use crate::Plan;
use crate::proxy::Proxy;
use crate::proxy::Way;
use fake::free_address;
use fake::tracks::StoreMode;
use fake::tracks::Worker;
use fake::tracks::Yard;
use rand::Rng;
use rand::SeedableRng;
use std::sync;
use std::thread;
use std::time;

/// One fault; each is undone after a while.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Proxy(usize, Way),
    Pause(usize),
    Kill(usize),
    Term(usize),
    Store(StoreMode),
    Compact,
    Configure,
    Breaks(usize),
    Drain(usize),
    Hangup(usize),
}

/// Puts a proxy before every worker and lists the workers there.
pub(crate) fn put_between(yard: &Yard) -> Vec<Proxy> {
    let workers = yard.engines.iter().chain(&yard.hosts);
    let proxies: Vec<Proxy> = workers
        .map(|w| {
            let proxy = Proxy::start(free_address(), w.address());
            w.show(proxy.address);
            proxy
        })
        .collect();
    yard.list("ready");
    proxies
}

/// Strikes until the plan is over, then undoes all that still holds.
pub(crate) fn strike(yard: &sync::Mutex<Yard>, proxies: &[Proxy], plan: Plan) {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(plan.seed);
    let end = time::Instant::now() + plan.length;
    let mut holding: Vec<(time::Instant, Fault)> = Vec::new();
    while time::Instant::now() < end {
        let fault = draw(&mut random, proxies.len());
        let until = time::Duration::from_millis(random.random_range(200..1_500));
        begin(yard, proxies, fault);
        holding.push((time::Instant::now() + until, fault));
        thread::sleep(time::Duration::from_millis(random.random_range(50..500)));
        let now = time::Instant::now();
        let (over, left) = holding.into_iter().partition(|(at, _)| *at <= now);
        holding = left;
        undo_all(yard, proxies, over);
    }
    undo_all(yard, proxies, holding);
}

fn undo_all(yard: &sync::Mutex<Yard>, proxies: &[Proxy], faults: Vec<(time::Instant, Fault)>) {
    for (_, fault) in faults {
        undo(yard, proxies, fault);
    }
}

fn draw(random: &mut impl Rng, proxies: usize) -> Fault {
    let proxy = random.random_range(0..proxies);
    let entry = random.random_range(0..crate::ENTRIES);
    let slow = time::Duration::from_millis(random.random_range(5..150));
    match random.random_range(0..16) {
        0 | 1 => Fault::Proxy(proxy, Way::Slow(slow)),
        2 => Fault::Proxy(proxy, Way::OneWay),
        3 => Fault::Proxy(proxy, Way::Silent),
        4 => Fault::Proxy(proxy, Way::Reset),
        5 => Fault::Pause(entry),
        6 => Fault::Kill(entry),
        7 => Fault::Term(entry),
        8 => Fault::Store(StoreMode::Out),
        9 => Fault::Store(StoreMode::Busy),
        10 => Fault::Store(StoreMode::Mute),
        11 => Fault::Compact,
        12 => Fault::Configure,
        13 => Fault::Breaks(proxy),
        14 => Fault::Drain(proxy),
        _ => Fault::Hangup(entry),
    }
}

fn worker(yard: &Yard, index: usize) -> (&Worker, &'static str) {
    match yard.engines.get(index) {
        Some(engine) => (engine, "llm"),
        None => (&yard.hosts[index - yard.engines.len()], "app"),
    }
}

fn begin(yard: &sync::Mutex<Yard>, proxies: &[Proxy], fault: Fault) {
    let mut yard = yard.lock().expect("no panic holds it");
    match fault {
        Fault::Proxy(index, way) => proxies[index].turn(way),
        Fault::Pause(entry) => yard.entries[entry].try_signal("STOP"),
        Fault::Kill(entry) => yard.entries[entry].kill(),
        Fault::Term(entry) => yard.entries[entry].try_signal("TERM"),
        Fault::Hangup(entry) => yard.entries[entry].try_signal("HUP"),
        Fault::Store(mode) => yard.store.behave(mode),
        Fault::Compact => yard.store.compact(),
        Fault::Configure => yard.configure(|_| {}),
        Fault::Breaks(index) => worker(&yard, index).0.behave(|m| m.breaks = Some(2)),
        Fault::Drain(index) => {
            let (worker, service) = worker(&yard, index);
            yard.list_one(worker, service, "draining");
        }
    }
}

fn undo(yard: &sync::Mutex<Yard>, proxies: &[Proxy], fault: Fault) {
    let mut yard = yard.lock().expect("no panic holds it");
    match fault {
        Fault::Proxy(index, _) => proxies[index].turn(Way::Open),
        Fault::Pause(entry) => yard.entries[entry].try_signal("CONT"),
        // Whatever has ended is started again, as the platform does.
        Fault::Kill(entry) | Fault::Term(entry) => {
            yard.entries[entry].try_signal("CONT");
            yard.entries[entry].restart();
        }
        Fault::Store(_) => yard.store.behave(StoreMode::Well),
        Fault::Breaks(index) => worker(&yard, index).0.behave(|m| m.breaks = None),
        Fault::Drain(index) => {
            let (worker, service) = worker(&yard, index);
            yard.list_one(worker, service, "ready");
        }
        Fault::Compact | Fault::Configure | Fault::Hangup(_) => {}
    }
}
