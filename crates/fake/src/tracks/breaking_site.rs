//! Test cluster of one entry whose workers break off answers.

use crate::tracks::BreakingEngine;
use crate::tracks::EntryResponse;
use crate::tracks::StreamScript;
use crate::tracks::TracksCluster;
use crate::tracks::names;
use std::path;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

/// Number of callers at a time.
const CALLER_COUNT: usize = 8;
/// Workers for each request; one that breaks off gets no work for a while.
const WORKERS_PER_REQUEST: usize = 3;
/// How often a request may be refused while the workers that broke off get no work.
const MAX_REFUSALS: usize = 100;
/// Within this time an entry has written its log.
const LOG_DELAY: time::Duration = time::Duration::from_millis(800);
/// Time until a refused request is sent again.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// An entry and the workers of a service, which follow scripts.
pub struct BreakingSite {
    /// The entry and its store.
    pub cluster: TracksCluster,
    /// The workers, which share one address.
    pub engine: BreakingEngine,
    count: usize,
}

impl BreakingSite {
    /// Starts an entry with workers of a service for these scripts.
    pub fn start(
        program: &path::Path,
        service: &str,
        scripts: &[StreamScript],
        events: Vec<String>,
    ) -> Self {
        let mut cluster = TracksCluster::new(program, &[], 0, 1);
        let engine = BreakingEngine::start(scripts.to_vec(), events);
        for number in 0..scripts.len() * WORKERS_PER_REQUEST {
            let key = names::member_key(&format!("engine-{number}"));
            let record = engine.member_record(service);
            cluster.store.put(&key, record.as_bytes());
        }
        let entry = &cluster.entries[0];
        entry.set_setting("retry_budget_ratio", "5.0");
        entry.set_setting("budget_slack", "10000");
        cluster.start();
        Self {
            cluster,
            engine,
            count: scripts.len(),
        }
    }

    /// Returns the lines about the request of a script in the entry's log.
    pub fn log_of_request(&self, number: usize) -> String {
        // The entry writes its log a few times a second.
        thread::sleep(LOG_DELAY);
        let log = self.cluster.entries[0].log();
        let marker = format!("request={number:08x}");
        let lines = log.lines().filter(|l| l.contains(&marker));
        lines.fold(String::new(), |text, line| text + line + "\n")
    }

    /// Makes the request of each script on a route, several at a time, and returns the
    /// answers in their order, each with the number of calls that it led to.
    pub fn request_all(&self, route: &str) -> Vec<(EntryResponse, usize)> {
        let next = atomic::AtomicUsize::new(0);
        let answers = sync::Mutex::new(vec![Default::default(); self.count]);
        thread::scope(|scope| {
            for _ in 0..CALLER_COUNT {
                scope.spawn(|| {
                    loop {
                        let number = next.fetch_add(1, atomic::Ordering::Relaxed);
                        if number >= self.count {
                            return;
                        }
                        let answer = self.request(route, number);
                        answers.lock().expect("the mutex is not poisoned")[number] = answer;
                    }
                });
            }
        });
        answers.into_inner().expect("the mutex is not poisoned")
    }

    /// Makes the request of a script. One that was refused and reached no worker is made
    /// again, as its caller would do.
    fn request(&self, route: &str, number: usize) -> (EntryResponse, usize) {
        for attempt in 0..MAX_REFUSALS {
            let id = format!("{number:08x}{attempt:08x}");
            let headers = [(names::REQUEST_ID, id.as_str())];
            let path = format!("/{route}/{number}");
            let response = self.cluster.request_stream(0, &path, &headers);
            let call_count = self.engine.call_count(&id);
            if response.status != 503 || call_count > 0 {
                return (response, call_count);
            }
            thread::sleep(RETRY_DELAY);
        }
        panic!("request {number} was refused {MAX_REFUSALS} times");
    }
}
