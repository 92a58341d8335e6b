//! A fault soak: real entries on stand-ins of the platform, faults from outside,
//! and the promises checked by what callers and upstream hosts see.
//!
//! One seed gives one order of faults. See docs/SOAK.md.

mod callers;
mod faults;
mod proxy;
mod verdict;

pub use callers::{ObservedResponse, RequestKind};
pub use proxy::{LinkMode, Proxy};

use fake::tracks::TracksCluster;
use std::path;
use std::sync::atomic;
use std::thread;
use std::time;

/// Entries of one soak.
const ENTRIES: usize = 2;
/// Callers that ask at the same time.
const CALLERS: u64 = 8;
/// Plain hosts.
const HOSTS: usize = 3;
/// Engines, by their stage at the start.
const STAGES: [&str; 5] = ["prefill", "prefill", "decode", "decode", "decode"];

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct SoakPlan {
    /// Gives the order of faults and of what callers ask.
    pub seed: u64,
    /// How long faults go on.
    pub duration: time::Duration,
}

/// What a soak has shown.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// Promises that were broken.
    pub violations: Vec<String>,
    /// The faults in their order, with the time since the beginning.
    pub faults: Vec<String>,
    /// How many requests callers have sent.
    pub request_count: usize,
}

/// Plays one soak.
pub fn run(program: &path::Path, plan: SoakPlan) -> SoakReport {
    let yard = TracksCluster::new(program, &STAGES, HOSTS, ENTRIES);
    for engine in &yard.engines {
        engine.set_behaviour(|m| m.event_interval = time::Duration::from_millis(20));
    }
    let site = faults::Site::start(yard);
    let stop = atomic::AtomicBool::new(false);
    let fronts = callers::fronts(&site);
    let mut seen = Vec::new();
    let mut violations = Vec::new();
    let mut faults = Vec::new();
    thread::scope(|scope| {
        let (fronts, stop) = (&fronts, &stop);
        let asking: Vec<_> = (0..CALLERS)
            .map(|n| scope.spawn(move || callers::ask_on(fronts, plan.seed, n, stop)))
            .collect();
        let _stopped = Stopped(stop);
        faults = faults::strike(&site, plan);
        violations.extend(verdict::recovered(&site));
        stop.store(true, atomic::Ordering::Relaxed);
        for caller in asking {
            match caller.join() {
                Ok(all) => seen.extend(all),
                Err(_) => violations.push("a caller panicked".to_owned()),
            }
        }
    });
    let yard = site.yard.into_inner().expect("no panic holds it");
    violations.extend(verdict::judge(&yard, &seen));
    SoakReport {
        violations,
        faults,
        request_count: seen.len(),
    }
}

/// Stops the callers, also where a fault could not be made.
struct Stopped<'a>(&'a atomic::AtomicBool);

impl Drop for Stopped<'_> {
    fn drop(&mut self) {
        self.0.store(true, atomic::Ordering::Relaxed);
    }
}
