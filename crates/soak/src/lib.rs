//! Soak test that injects faults around real entries on fakes of the Tracks Unit's
//! platform, and checks the system's guarantees against what callers and upstream hosts observe.
//!
//! A seed determines the order of faults. See docs/SOAK.md.

mod callers;
mod checks;
mod faults;
mod proxy;

pub use callers::{ObservedResponse, RequestKind};
pub use proxy::{LinkMode, Proxy};

use fake::tracks::TracksCluster;
use std::path;
use std::sync::atomic;
use std::thread;
use std::time;

/// Number of entries.
const ENTRY_COUNT: usize = 2;
/// Number of concurrent callers.
const CALLER_COUNT: u64 = 8;
/// Number of hosts of the plain service.
const HOST_COUNT: usize = 3;
/// Initial stage of each engine.
const ENGINE_STAGES: [&str; 5] = ["prefill", "prefill", "decode", "decode", "decode"];

/// Seed and duration of a soak run.
#[derive(Clone, Copy, Debug)]
pub struct SoakPlan {
    /// Determines the order of faults and of the callers' requests.
    pub seed: u64,
    /// How long faults are injected.
    pub duration: time::Duration,
}

/// Result of a soak run.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Violated guarantees, one text each.
    pub violations: Vec<String>,
    /// Injected and reverted faults in order, with the time since the start.
    pub faults: Vec<String>,
    /// Number of requests sent by callers.
    pub request_count: usize,
}

/// Runs a soak test with the daemon `program`. Returns after all faults are reverted and
/// all guarantees are checked.
pub fn run(program: &path::Path, plan: SoakPlan) -> SoakReport {
    let cluster = TracksCluster::new(program, &ENGINE_STAGES, HOST_COUNT, ENTRY_COUNT);
    for engine in &cluster.engines {
        engine.set_behaviour(|b| b.event_interval = time::Duration::from_millis(20));
    }
    let targets = faults::FaultTargets::start(cluster);
    let stop = atomic::AtomicBool::new(false);
    let entry_targets = callers::entry_targets(&targets);
    let mut responses = Vec::new();
    let mut violations = Vec::new();
    let mut faults = Vec::new();
    thread::scope(|scope| {
        let (entry_targets, stop) = (&entry_targets, &stop);
        let callers: Vec<_> = (0..CALLER_COUNT)
            .map(|n| {
                scope.spawn(move || callers::send_until_stopped(entry_targets, plan.seed, n, stop))
            })
            .collect();
        let _stop_on_drop = StopOnDrop(stop);
        faults = faults::inject_faults(&targets, plan);
        violations.extend(checks::check_recovery(&targets));
        stop.store(true, atomic::Ordering::Relaxed);
        for caller in callers {
            match caller.join() {
                Ok(received) => responses.extend(received),
                Err(_) => violations.push("a caller panicked".to_owned()),
            }
        }
    });
    let cluster = targets
        .cluster
        .into_inner()
        .expect("the mutex is not poisoned");
    violations.extend(checks::check_guarantees(&cluster, &responses));
    SoakReport {
        violations,
        faults,
        request_count: responses.len(),
    }
}

/// Stops the callers when dropped, also if injecting a fault panics.
struct StopOnDrop<'a>(&'a atomic::AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, atomic::Ordering::Relaxed);
    }
}
