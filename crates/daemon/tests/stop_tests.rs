//! Tests that stopping or draining a host interrupts no request.

mod session;

use fake::ClusterSpec;
use session::TestSite;
use std::path;
use std::sync::atomic;
use std::thread;
use std::time;
use yare::parameterized;

/// The time after which a draining or leaving host must get no new requests, in milliseconds.
const DRAIN_DELAY_MS: u64 = 3_000;

fn start() -> TestSite {
    let mut spec = ClusterSpec {
        entries: 2,
        prefill_engines: 2,
        decode_engines: 3,
        services: 2,
        ..ClusterSpec::small()
    };
    spec.engine.step_time = time::Duration::from_millis(10);
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    TestSite::start(spec, program, &[])
}

fn terminate(site: &TestSite, host: &str) {
    assert!(site.cluster.signal(host, "TERM"));
}

/// State of the callers that keep a site busy, shared between their threads.
#[derive(Default)]
struct CallerLoad {
    /// How many complete answers the callers have received.
    answers: atomic::AtomicUsize,
    /// Set when the callers are to end.
    stop: atomic::AtomicBool,
}

impl CallerLoad {
    /// Waits until the callers have received this many more answers.
    fn wait_for_answers(&self, site: &TestSite, count: usize) {
        let before = self.answers.load(atomic::Ordering::SeqCst);
        let answered = site.cluster.wait_until(session::WAIT_LIMIT, |_| {
            self.answers.load(atomic::Ordering::SeqCst) >= before + count
        });
        assert!(answered, "the callers received too few answers");
    }

    /// Streams completions through an entry until the load ends or the entry stops listening.
    fn run_caller(&self, site: &TestSite, entry: usize, key: &str, caller: usize) {
        let mut sent = 0;
        while !self.stop.load(atomic::Ordering::SeqCst) {
            let prompt = format!("caller {caller} asks {sent} [len=30]");
            let response = site.stream_completion(entry, key, &prompt, 60);
            if response.status == 0 {
                // The entry has closed its listener; a load balancer would use another entry.
                return;
            }
            assert_eq!(
                response.text,
                fake::answer_text(&prompt, 60),
                "{response:?}"
            );
            assert!(response.finished, "{response:?}");
            sent += 1;
            self.answers.fetch_add(1, atomic::Ordering::SeqCst);
        }
    }
}

#[parameterized(
    entry = { "entry-1" },
    decode = { "decode-1" },
    prefill = { "prefill-1" },
    service = { "service-1" },
)]
fn stop_under_load_interrupts_no_request(host: &str) {
    let mut site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    let load = CallerLoad::default();
    thread::scope(|scope| {
        let (site, load, key) = (&site, &load, &key);
        for caller in 0..12 {
            scope.spawn(move || load.run_caller(site, caller % 2, key, caller));
        }
        load.wait_for_answers(site, 24);
        terminate(site, host);
        let daemon = &site.cluster.daemons[site.cluster.daemon_index(host)];
        let stopped = |_: &fake::TestCluster| daemon.log().contains("event=stopped");
        assert!(
            site.cluster.wait_until(session::WAIT_LIMIT, stopped),
            "{}",
            daemon.log()
        );
        load.wait_for_answers(site, 12);
        load.stop.store(true, atomic::Ordering::SeqCst);
    });
    let i = site.cluster.daemon_index(host);
    let code = site.cluster.daemons[i].wait_for_exit(session::WAIT_LIMIT);
    assert_eq!(code, Some(0), "{}", site.cluster.daemons[i].log());
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
}

#[test]
fn agent_stops_after_its_running_calls() {
    let mut site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    let slow = fake::ServiceFault::Delay(time::Duration::from_secs(4));
    site.cluster.services.iter().for_each(|s| s.set_fault(slow));
    let url = site.url(0, "/dispatch/orders");
    let bearer = format!("Bearer {key}");
    let response = thread::scope(|scope| {
        let caller = scope.spawn(|| {
            let headers = [
                ("authorization", bearer.as_str()),
                ("idempotency-key", "order-1"),
            ];
            session::send_request("POST", &url, &headers, "{}")
        });
        let is_running = |cluster: &fake::TestCluster| {
            cluster.services.iter().any(|s| !s.executions().is_empty())
        };
        assert!(site.cluster.wait_until(session::WAIT_LIMIT, is_running));
        terminate(&site, "service-1");
        terminate(&site, "service-2");
        caller.join().expect("the caller thread does not panic")
    });
    assert_eq!(response.status, 201, "{response:?}");
    for host in ["service-1", "service-2"] {
        let i = site.cluster.daemon_index(host);
        let code = site.cluster.daemons[i].wait_for_exit(session::WAIT_LIMIT);
        assert_eq!(code, Some(0));
    }
    // The call's outcome was stored before the agents stopped.
    let dump = format!("{:?}", site.cluster.store.dump());
    assert!(dump.contains("done"), "{dump}");
}

#[test]
fn drained_host_gets_no_new_work() {
    let site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    let (code, out) = site.run_client(&["drain", "decode-1"]);
    assert_eq!(code, 0, "{out}");
    session::sleep_ms(DRAIN_DELAY_MS);
    let before = site.cluster.decode_engines[0].stats().streamed_tokens;
    for i in 0..12 {
        let response = site.stream_completion(i % 2, &key, &format!("after {i} [len=5]"), 9);
        assert!(response.finished, "{response:?}");
    }
    assert_eq!(
        site.cluster.decode_engines[0].stats().streamed_tokens,
        before
    );
    let (code, out) = site.run_client(&["undrain", "decode-1"]);
    assert_eq!(code, 0, "{out}");
    let used = site.cluster.wait_until(session::WAIT_LIMIT, |_| {
        site.stream_completion(0, &key, "again [len=5]", 9);
        site.cluster.decode_engines[0].stats().streamed_tokens > before
    });
    assert!(used);
}

#[test]
fn host_listed_as_leaving_gets_no_new_work() {
    let site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster.host_list.mark_leaving("decode-2");
    session::sleep_ms(DRAIN_DELAY_MS);
    let before = site.cluster.decode_engines[1].stats().streamed_tokens;
    for i in 0..12 {
        let response = site.stream_completion(i % 2, &key, &format!("after {i} [len=5]"), 9);
        assert!(response.finished, "{response:?}");
    }
    assert_eq!(
        site.cluster.decode_engines[1].stats().streamed_tokens,
        before
    );
}
