//! Faults from outside, in an order that the seed gives; they overlap.

use crate::SoakPlan;
use crate::proxy::LinkMode;
use crate::proxy::Proxy;
use fake::free_address;
use fake::tracks::EntryDaemon;
use fake::tracks::TracksCluster;
use fake::tracks::TracksStoreMode;
use fake::tracks::Worker;
use rand::Rng;
use rand::SeedableRng;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

/// How long a start may take on a machine under load.
const START_TIME: time::Duration = time::Duration::from_secs(10);
/// Time between two looks.
const LOOK_GAP: time::Duration = time::Duration::from_millis(5);

/// One fault; each is undone after a while.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Proxy(usize, LinkMode),
    Link(usize, LinkMode),
    Pause(usize),
    Kill(usize),
    Term(usize),
    Store(TracksStoreMode),
    Compact,
    Configure,
    Breaks(usize),
    Drain(usize),
    Hangup(usize),
}

/// What faults strike.
pub(crate) struct Site {
    pub yard: sync::Mutex<TracksCluster>,
    /// Before each worker: engines first, then plain hosts.
    pub proxies: Vec<Proxy>,
    /// Between each entry and the store.
    pub links: Vec<Proxy>,
    /// How often each entry was started again.
    pub lives: Vec<atomic::AtomicU32>,
}

impl Site {
    /// Puts proxies before the workers and the store, then starts all entries.
    pub(crate) fn start(mut yard: TracksCluster) -> Self {
        let proxies = put_between(&yard);
        let links = put_before_store(&yard);
        yard.start();
        let lives = yard.entries.iter().map(|_| atomic::AtomicU32::new(0));
        Self {
            lives: lives.collect(),
            yard: sync::Mutex::new(yard),
            proxies,
            links,
        }
    }
}

/// Puts a proxy between each entry and the store.
fn put_before_store(yard: &TracksCluster) -> Vec<Proxy> {
    let store = yard.store.address();
    let between = |entry: &EntryDaemon| {
        let link = Proxy::start(free_address(), store);
        entry.edit_settings(
            &format!("address = \"{store}\""),
            &format!("address = \"{}\"", link.address),
        );
        link
    };
    yard.entries.iter().map(between).collect()
}

/// Puts a proxy before every worker and lists the workers there.
fn put_between(yard: &TracksCluster) -> Vec<Proxy> {
    let workers = yard.engines.iter().chain(&yard.hosts);
    let proxies: Vec<Proxy> = workers
        .map(|w| {
            let proxy = Proxy::start(free_address(), w.address());
            w.advertise(proxy.address);
            proxy
        })
        .collect();
    yard.list_workers("ready");
    proxies
}

/// Strikes until the plan is over, then undoes all that still holds; gives what was
/// done, with the time since the beginning.
pub(crate) fn strike(site: &Site, plan: SoakPlan) -> Vec<String> {
    let began = time::Instant::now();
    let mut done = Vec::new();
    let mut note = |what: &str, fault: Fault| {
        done.push(format!(
            "{} ms: {what} {fault:?}",
            began.elapsed().as_millis()
        ));
    };
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(plan.seed);
    let end = time::Instant::now() + plan.duration;
    let mut holding: Vec<(time::Instant, Fault)> = Vec::new();
    while time::Instant::now() < end {
        let fault = draw(&mut random, site.proxies.len());
        let until = time::Duration::from_millis(random.random_range(200..1_500));
        note("begin", fault);
        begin(site, fault);
        holding.push((time::Instant::now() + until, fault));
        thread::sleep(time::Duration::from_millis(random.random_range(50..500)));
        let now = time::Instant::now();
        let (over, left) = holding.into_iter().partition(|(at, _)| *at <= now);
        holding = left;
        for (_, fault) in over {
            note("undo", fault);
            undo(site, fault);
        }
    }
    for (_, fault) in holding {
        note("undo", fault);
        undo(site, fault);
    }
    done
}

fn draw(random: &mut impl Rng, proxies: usize) -> Fault {
    let proxy = random.random_range(0..proxies);
    let entry = random.random_range(0..crate::ENTRIES);
    let slow = time::Duration::from_millis(random.random_range(5..150));
    match random.random_range(0..20) {
        0 | 1 => Fault::Proxy(proxy, LinkMode::Delay(slow)),
        2 => Fault::Proxy(proxy, LinkMode::StallReplies),
        3 => Fault::Proxy(proxy, LinkMode::StallAll),
        4 => Fault::Proxy(proxy, LinkMode::Reset),
        5 => Fault::Pause(entry),
        6 => Fault::Kill(entry),
        7 => Fault::Term(entry),
        8 => Fault::Store(TracksStoreMode::Unavailable),
        9 => Fault::Store(TracksStoreMode::Busy),
        10 => Fault::Store(TracksStoreMode::DropResponses),
        11 => Fault::Compact,
        12 => Fault::Configure,
        13 => Fault::Breaks(proxy),
        14 => Fault::Drain(proxy),
        15 => Fault::Link(entry, LinkMode::Delay(slow)),
        16 => Fault::Link(entry, LinkMode::StallReplies),
        17 => Fault::Link(entry, LinkMode::StallAll),
        18 => Fault::Link(entry, LinkMode::Reset),
        _ => Fault::Hangup(entry),
    }
}

/// Gives the organisation a name by which upstream hosts see the version.
fn name_version(agreement: &mut serde_json::Value) {
    let version = agreement["version"].as_u64().unwrap_or(0);
    agreement["tenants"][0]["name"] = serde_json::json!(format!("tenant-{version}"));
}

fn worker(yard: &TracksCluster, index: usize) -> (&Worker, &'static str) {
    match yard.engines.get(index) {
        Some(engine) => (engine, "llm"),
        None => (&yard.hosts[index - yard.engines.len()], "app"),
    }
}

/// Sends a signal; an entry that has ended gets none.
fn tell(yard: &TracksCluster, entry: usize, signal: &str) {
    let _ended = !yard.entries[entry].signal(signal);
}

/// Waits until a process that was just started listens: before it runs its own
/// code, any signal ends it, which is no fault of the product's.
fn await_listening(entry: &EntryDaemon) {
    let end = time::Instant::now() + START_TIME;
    while net::TcpStream::connect(entry.caller_address).is_err() && time::Instant::now() < end {
        thread::sleep(LOOK_GAP);
    }
}

fn begin(site: &Site, fault: Fault) {
    let mut yard = site.yard.lock().expect("no panic holds it");
    match fault {
        Fault::Proxy(index, way) => site.proxies[index].set_mode(way),
        Fault::Link(entry, way) => site.links[entry].set_mode(way),
        Fault::Pause(entry) => tell(&yard, entry, "STOP"),
        Fault::Kill(entry) => yard.entries[entry].kill(),
        Fault::Term(entry) => tell(&yard, entry, "TERM"),
        Fault::Hangup(entry) => tell(&yard, entry, "HUP"),
        Fault::Store(mode) => yard.store.set_mode(mode),
        Fault::Compact => yard.store.compact(),
        Fault::Configure => yard.configure(name_version),
        Fault::Breaks(index) => worker(&yard, index)
            .0
            .set_behaviour(|m| m.abort_after = Some(2)),
        Fault::Drain(index) => {
            let (worker, service) = worker(&yard, index);
            yard.list_worker(worker, service, "draining");
        }
    }
}

fn undo(site: &Site, fault: Fault) {
    let mut yard = site.yard.lock().expect("no panic holds it");
    match fault {
        Fault::Proxy(index, _) => site.proxies[index].set_mode(LinkMode::Pass),
        Fault::Link(entry, _) => site.links[entry].set_mode(LinkMode::Pass),
        Fault::Pause(entry) => tell(&yard, entry, "CONT"),
        // Whatever has ended is started again, as the platform does.
        Fault::Kill(entry) | Fault::Term(entry) => {
            tell(&yard, entry, "CONT");
            yard.entries[entry].restart();
            site.lives[entry].fetch_add(1, atomic::Ordering::SeqCst);
            await_listening(&yard.entries[entry]);
        }
        Fault::Store(_) => yard.store.set_mode(TracksStoreMode::Normal),
        Fault::Breaks(index) => worker(&yard, index)
            .0
            .set_behaviour(|m| m.abort_after = None),
        Fault::Drain(index) => {
            let (worker, service) = worker(&yard, index);
            yard.list_worker(worker, service, "ready");
        }
        Fault::Compact | Fault::Configure | Fault::Hangup(_) => {}
    }
}
