//! Injects overlapping faults from outside the daemons, in an order that the seed
//! determines.

use crate::SoakPlan;
use crate::proxy::LinkMode;
use crate::proxy::Proxy;
use fake::free_address;
use fake::tracks::EntryDaemon;
use fake::tracks::TracksCluster;
use fake::tracks::TracksStoreCopy;
use fake::tracks::TracksStoreMode;
use fake::tracks::Worker;
use rand::Rng;
use rand::SeedableRng;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

/// Longest wait for an entry to listen after its start, also on a machine under load.
const START_LIMIT: time::Duration = time::Duration::from_secs(10);
/// Longest wait for an entry to exit after SIGTERM; longer than its grace period.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(20);
/// Part of the faults that are returns of the store from a copy.
const RESTORE_PART: f64 = 0.06;
/// Part of the faults that are workers which send pages in place of answers.
const SPOIL_PART: f64 = 0.08;
/// Time between two checks whether an entry listens.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// A fault that is reverted after a while. Indices of workers count the engines first.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The proxy in front of a worker changes its mode.
    WorkerLink(usize, LinkMode),
    /// A worker falls silent and goes on later.
    Silence(usize),
    /// All workers of a service, the engines or the plain hosts, fall silent and go on
    /// later.
    SilenceAll(&'static str),
    /// The proxy between an entry and the store changes its mode.
    StoreLink(usize, LinkMode),
    /// An entry is stopped by SIGSTOP and continued later.
    Pause(usize),
    /// An entry is killed and restarted later.
    Kill(usize),
    /// An entry gets SIGTERM and is restarted later.
    Terminate(usize),
    /// The store changes how it responds.
    Store(TracksStoreMode),
    /// The store discards its history of changes.
    Compact,
    /// The store comes back from a copy that is as old as the fault.
    Restore,
    /// A new version of the configuration is written.
    Configure,
    /// A worker aborts its streams early.
    AbortStreams(usize),
    /// A worker sends pages in place of its answers.
    SpoilAnswers(usize),
    /// A worker is listed as draining.
    Drain(usize),
    /// An entry gets SIGHUP, which makes it reload its settings.
    Hangup(usize),
}

/// Cluster and proxies that faults are injected into.
pub(crate) struct FaultTargets {
    /// The cluster with the entries, the store and the workers.
    pub cluster: sync::Mutex<TracksCluster>,
    /// A proxy in front of each worker: engines first, then plain hosts.
    pub worker_proxies: Vec<Proxy>,
    /// A proxy between each entry and the store.
    pub store_proxies: Vec<Proxy>,
    /// Copies of the store, the latest last.
    pub store_copies: sync::Mutex<Vec<TracksStoreCopy>>,
    /// How often each entry was restarted.
    pub restart_counts: Vec<atomic::AtomicU32>,
    /// A number for each entry that changes before and after it is killed.
    pub kill_counts: Vec<atomic::AtomicU32>,
}

impl FaultTargets {
    /// Starts proxies in front of the workers and the store, then all entries.
    pub(crate) fn start(mut cluster: TracksCluster) -> Self {
        let worker_proxies = proxy_workers(&cluster);
        let store_proxies = proxy_store(&cluster);
        cluster.start();
        let counts = || cluster.entries.iter().map(|_| atomic::AtomicU32::new(0));
        Self {
            store_copies: sync::Mutex::default(),
            restart_counts: counts().collect(),
            kill_counts: counts().collect(),
            cluster: sync::Mutex::new(cluster),
            worker_proxies,
            store_proxies,
        }
    }

    /// Kills an entry, so that the requests that it has then are known.
    fn kill(&self, cluster: &mut TracksCluster, entry: usize) {
        let count = || self.kill_counts[entry].fetch_add(1, atomic::Ordering::SeqCst);
        count();
        cluster.entries[entry].kill();
        count();
    }
}

/// Starts a proxy between each entry and the store and writes it to the entry's settings.
fn proxy_store(cluster: &TracksCluster) -> Vec<Proxy> {
    let store = cluster.store.address();
    let connect_by_proxy = |entry: &EntryDaemon| {
        let proxy = Proxy::start(free_address(), store);
        entry.edit_settings(
            &format!("address = \"{store}\""),
            &format!("address = \"{}\"", proxy.address),
        );
        proxy
    };
    cluster.entries.iter().map(connect_by_proxy).collect()
}

/// Starts a proxy in front of each worker and lists the worker at the proxy's address.
fn proxy_workers(cluster: &TracksCluster) -> Vec<Proxy> {
    let workers = cluster.engines.iter().chain(&cluster.hosts);
    let worker_proxies: Vec<Proxy> = workers
        .map(|w| {
            let proxy = Proxy::start(free_address(), w.address());
            w.advertise(proxy.address);
            proxy
        })
        .collect();
    cluster.list_workers("ready");
    worker_proxies
}

/// Injects faults for the duration of the plan, then reverts those still active. Returns a
/// line for each fault injected or reverted, with the time since the start.
pub(crate) fn inject_faults(targets: &FaultTargets, plan: SoakPlan) -> Vec<String> {
    let started_at = time::Instant::now();
    let mut log = Vec::new();
    let mut record = |what: &str, fault: Fault| {
        log.push(format!(
            "{} ms: {what} {fault:?}",
            started_at.elapsed().as_millis()
        ));
    };
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(plan.seed);
    // These have numbers of their own, so that kept seeds go on to inject the other faults as before.
    let mut restore_rng = rand_chacha::ChaCha8Rng::seed_from_u64(!plan.seed);
    let mut spoil_rng = rand_chacha::ChaCha8Rng::seed_from_u64(plan.seed.rotate_left(32));
    let end = time::Instant::now() + plan.duration;
    let mut active: Vec<(time::Instant, Fault)> = Vec::new();
    while time::Instant::now() < end {
        let mut fault = random_fault(&mut rng, targets.worker_proxies.len());
        if restore_rng.random_bool(RESTORE_PART) {
            fault = Fault::Restore;
        }
        if spoil_rng.random_bool(SPOIL_PART) {
            let worker = spoil_rng.random_range(0..targets.worker_proxies.len());
            fault = Fault::SpoilAnswers(worker);
        }
        let duration = random_duration(&mut rng, fault);
        record("inject", fault);
        inject(targets, fault);
        active.push((time::Instant::now() + duration, fault));
        thread::sleep(time::Duration::from_millis(rng.random_range(50..500)));
        let now = time::Instant::now();
        let (expired, left) = active.into_iter().partition(|(ends_at, _)| *ends_at <= now);
        active = left;
        for (_, fault) in expired {
            record("revert", fault);
            revert(targets, fault);
        }
    }
    for (_, fault) in active {
        record("revert", fault);
        revert(targets, fault);
    }
    log
}

/// Returns how long a fault lasts. A sound worker may be silent for 2.5 s.
fn random_duration(rng: &mut impl Rng, fault: Fault) -> time::Duration {
    let range_ms = match fault {
        Fault::Silence(_) | Fault::SilenceAll(_) => 500..2_500,
        _ => 200..1_500,
    };
    time::Duration::from_millis(rng.random_range(range_ms))
}

fn random_fault(rng: &mut impl Rng, worker_count: usize) -> Fault {
    let worker = rng.random_range(0..worker_count);
    let entry = rng.random_range(0..crate::ENTRY_COUNT);
    let delay = time::Duration::from_millis(rng.random_range(5..150));
    match rng.random_range(0..24) {
        0 | 1 => Fault::WorkerLink(worker, LinkMode::Delay(delay)),
        2 => Fault::WorkerLink(worker, LinkMode::StallReplies),
        3 => Fault::WorkerLink(worker, LinkMode::StallAll),
        4 => Fault::WorkerLink(worker, LinkMode::Reset),
        5 => Fault::Pause(entry),
        6 => Fault::Kill(entry),
        7 => Fault::Terminate(entry),
        8 => Fault::Store(TracksStoreMode::Unavailable),
        9 => Fault::Store(TracksStoreMode::Busy),
        10 => Fault::Store(TracksStoreMode::DropResponses),
        11 => Fault::Compact,
        12 => Fault::Configure,
        13 => Fault::AbortStreams(worker),
        14 => Fault::Drain(worker),
        15 => Fault::StoreLink(entry, LinkMode::Delay(delay)),
        16 => Fault::StoreLink(entry, LinkMode::StallReplies),
        17 => Fault::StoreLink(entry, LinkMode::StallAll),
        18 => Fault::StoreLink(entry, LinkMode::Reset),
        19..22 => Fault::Silence(worker),
        22 => Fault::SilenceAll(["llm", "app"][worker % 2]),
        _ => Fault::Hangup(entry),
    }
}

/// Puts the configuration's version into the organisation's name, which upstream hosts
/// receive with each request.
fn put_version_in_tenant(configuration: &mut serde_json::Value) {
    let version = configuration["version"].as_u64().unwrap_or(0);
    configuration["tenants"][0]["name"] = serde_json::json!(format!("tenant-{version}"));
}

/// Returns the worker at an index, which counts the engines first, and the name of its
/// service.
fn worker(cluster: &TracksCluster, index: usize) -> (&Worker, &'static str) {
    match cluster.engines.get(index) {
        Some(engine) => (engine, "llm"),
        None => (&cluster.hosts[index - cluster.engines.len()], "app"),
    }
}

/// Sets how the links of all workers of a service forward bytes.
fn set_modes(targets: &FaultTargets, cluster: &TracksCluster, service: &str, mode: LinkMode) {
    for (index, proxy) in targets.worker_proxies.iter().enumerate() {
        if worker(cluster, index).1 == service {
            proxy.set_mode(mode);
        }
    }
}

/// Sends a signal to an entry, unless its process has exited.
fn send_signal(cluster: &TracksCluster, entry: usize, signal: &str) {
    let _exited = !cluster.entries[entry].signal(signal);
}

/// Waits until an entry that was just started listens. Before its own code runs, any
/// signal ends the process, which would not be a fault of the daemon.
fn wait_until_listening(entry: &EntryDaemon) {
    let end = time::Instant::now() + START_LIMIT;
    while net::TcpStream::connect(entry.caller_address).is_err() && time::Instant::now() < end {
        thread::sleep(POLL_INTERVAL);
    }
}

/// Starts a fault.
fn inject(targets: &FaultTargets, fault: Fault) {
    let mut cluster = targets.cluster.lock().expect("the mutex is not poisoned");
    match fault {
        Fault::WorkerLink(index, mode) => targets.worker_proxies[index].set_mode(mode),
        Fault::Silence(index) => targets.worker_proxies[index].set_mode(LinkMode::StallReplies),
        Fault::SilenceAll(service) => {
            set_modes(targets, &cluster, service, LinkMode::StallReplies);
        }
        Fault::StoreLink(entry, mode) => targets.store_proxies[entry].set_mode(mode),
        Fault::Pause(entry) => send_signal(&cluster, entry, "STOP"),
        Fault::Kill(entry) => targets.kill(&mut cluster, entry),
        Fault::Terminate(entry) => send_signal(&cluster, entry, "TERM"),
        Fault::Hangup(entry) => send_signal(&cluster, entry, "HUP"),
        Fault::Store(mode) => cluster.store.set_mode(mode),
        Fault::Compact => cluster.store.compact(),
        Fault::Restore => {
            let copy = cluster.store.copy();
            let mut copies = targets.store_copies.lock();
            copies
                .as_mut()
                .expect("the mutex is not poisoned")
                .push(copy);
        }
        Fault::Configure => cluster.configure(put_version_in_tenant),
        Fault::AbortStreams(index) => worker(&cluster, index)
            .0
            .set_behaviour(|b| b.abort_after = Some(2)),
        Fault::SpoilAnswers(index) => worker(&cluster, index)
            .0
            .set_behaviour(|b| b.answers_with_page = true),
        Fault::Drain(index) => {
            let (worker, service) = worker(&cluster, index);
            cluster.list_worker(worker, service, "draining");
        }
    }
}

/// Ends a fault, if it does not end by itself.
fn revert(targets: &FaultTargets, fault: Fault) {
    let mut cluster = targets.cluster.lock().expect("the mutex is not poisoned");
    match fault {
        Fault::WorkerLink(index, _) | Fault::Silence(index) => {
            targets.worker_proxies[index].set_mode(LinkMode::Pass);
        }
        Fault::SilenceAll(service) => set_modes(targets, &cluster, service, LinkMode::Pass),
        Fault::StoreLink(entry, _) => targets.store_proxies[entry].set_mode(LinkMode::Pass),
        Fault::Pause(entry) => send_signal(&cluster, entry, "CONT"),
        // Restarts the entry as the platform restarts an exited process. It is continued first, as
        // another fault may have paused it.
        Fault::Kill(entry) | Fault::Terminate(entry) => {
            send_signal(&cluster, entry, "CONT");
            // Its exit code does not matter here.
            let _ = cluster.entries[entry].wait_for_exit(STOP_LIMIT);
            // The revert of another fault may have started it again, and nothing has told
            // that process to stop.
            if cluster.entries[entry].id().is_some() {
                targets.kill(&mut cluster, entry);
            }
            cluster.entries[entry].start();
            targets.restart_counts[entry].fetch_add(1, atomic::Ordering::SeqCst);
            wait_until_listening(&cluster.entries[entry]);
        }
        Fault::Store(_) => cluster.store.set_mode(TracksStoreMode::Normal),
        Fault::Restore => {
            let mut copies = targets.store_copies.lock();
            let copy = copies.as_mut().expect("the mutex is not poisoned").pop();
            cluster
                .store
                .restore_and_rewrite(&copy.expect("the fault was injected"));
        }
        Fault::AbortStreams(index) => worker(&cluster, index)
            .0
            .set_behaviour(|b| b.abort_after = None),
        Fault::SpoilAnswers(index) => worker(&cluster, index)
            .0
            .set_behaviour(|b| b.answers_with_page = false),
        Fault::Drain(index) => {
            let (worker, service) = worker(&cluster, index);
            cluster.list_worker(worker, service, "ready");
        }
        Fault::Compact | Fault::Configure | Fault::Hangup(_) => {}
    }
}
