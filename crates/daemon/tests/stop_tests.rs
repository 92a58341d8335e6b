//! Planned stops cut off no request.

mod session;

use fake::ClusterSpec;
use session::Session;
use std::path;
use std::sync::atomic;
use std::thread;
use std::time;
use yare::parameterized;

/// A leaving upstream receives no new work after this, in milliseconds.
const FEW_SECONDS: u64 = 3_000;

fn start() -> Session {
    let mut shape = ClusterSpec {
        entries: 2,
        prefill_engines: 2,
        decode_engines: 3,
        services: 2,
        ..ClusterSpec::small()
    };
    shape.engine.step_time = time::Duration::from_millis(10);
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    Session::start(shape, program, &[])
}

fn terminate(session: &Session, host: &str) {
    assert!(session.lab.signal(host, "TERM"));
}

/// What the callers of a load have seen so far.
#[derive(Default)]
struct Load {
    whole: atomic::AtomicUsize,
    over: atomic::AtomicBool,
}

impl Load {
    fn wait_for(&self, session: &Session, answers: usize) {
        let before = self.whole.load(atomic::Ordering::SeqCst);
        let answered = session.lab.wait_until(session::WAIT_LIMIT, |_| {
            self.whole.load(atomic::Ordering::SeqCst) >= before + answers
        });
        assert!(answered, "the callers get no answers");
    }

    /// Streams through an entry for as long as it listens.
    fn run(&self, session: &Session, entry: usize, key: &str, caller: usize) {
        let mut asked = 0;
        while !self.over.load(atomic::Ordering::SeqCst) {
            let prompt = format!("caller {caller} asks {asked} [len=30]");
            let response = session.stream_completion(entry, key, &prompt, 60);
            if response.status == 0 {
                // Refused connections are the balancer's to notice.
                return;
            }
            assert_eq!(
                response.text,
                fake::answer_text(&prompt, 60),
                "{response:?}"
            );
            assert!(response.finished, "{response:?}");
            asked += 1;
            self.whole.fetch_add(1, atomic::Ordering::SeqCst);
        }
    }
}

#[parameterized(
    entry = { "entry-1" },
    decode = { "decode-1" },
    prefill = { "prefill-1" },
    service = { "service-1" },
)]
fn stop_under_load_cuts_off_no_request(host: &str) {
    let mut session = start();
    let (_, key) = session.issue_key(session::RANGERS);
    let load = Load::default();
    thread::scope(|scope| {
        let (shared, load, key) = (&session, &load, &key);
        for caller in 0..12 {
            scope.spawn(move || load.run(shared, caller % 2, key, caller));
        }
        load.wait_for(shared, 24);
        terminate(shared, host);
        let daemon = &shared.lab.daemons[shared.lab.daemon_index(host)];
        let stopped = |_: &fake::TestCluster| daemon.log().contains("event=stopped");
        assert!(
            shared.lab.wait_until(session::WAIT_LIMIT, stopped),
            "{}",
            daemon.log()
        );
        load.wait_for(shared, 12);
        load.over.store(true, atomic::Ordering::SeqCst);
    });
    let i = session.lab.daemon_index(host);
    let code = session.lab.daemons[i].wait_for_exit(session::WAIT_LIMIT);
    assert_eq!(code, Some(0), "{}", session.lab.daemons[i].log());
    assert!(session.wait_idle(), "{:?}", session.lab.held_requests());
}

#[test]
fn plain_call_under_way_ends_before_its_agent() {
    let mut session = start();
    let (_, key) = session.issue_key(session::RANGERS);
    let slow = fake::ServiceFault::Delay(time::Duration::from_secs(4));
    session.lab.services.iter().for_each(|s| s.set_fault(slow));
    let url = session.url(0, "/dispatch/orders");
    let bearer = format!("Bearer {key}");
    let response = thread::scope(|scope| {
        let caller = scope.spawn(|| {
            let headers = [
                ("authorization", bearer.as_str()),
                ("idempotency-key", "order-1"),
            ];
            session::send_request("POST", &url, &headers, "{}")
        });
        let runs =
            |lab: &fake::TestCluster| lab.services.iter().any(|s| !s.executions().is_empty());
        assert!(session.lab.wait_until(session::WAIT_LIMIT, runs));
        terminate(&session, "service-1");
        terminate(&session, "service-2");
        caller.join().expect("the caller does not panic")
    });
    assert_eq!(response.status, 201, "{response:?}");
    for host in ["service-1", "service-2"] {
        let i = session.lab.daemon_index(host);
        let code = session.lab.daemons[i].wait_for_exit(session::WAIT_LIMIT);
        assert_eq!(code, Some(0));
    }
    // The outcome reached the store before the agents ended.
    let dump = format!("{:?}", session.lab.store.dump());
    assert!(dump.contains("done"), "{dump}");
}

#[test]
fn drained_host_gets_no_new_work() {
    let session = start();
    let (_, key) = session.issue_key(session::RANGERS);
    let (code, out) = session.run_client(&["drain", "decode-1"]);
    assert_eq!(code, 0, "{out}");
    session::sleep_ms(FEW_SECONDS);
    let before = session.lab.decode_engines[0].stats().streamed_tokens;
    for i in 0..12 {
        let response = session.stream_completion(i % 2, &key, &format!("after {i} [len=5]"), 9);
        assert!(response.finished, "{response:?}");
    }
    assert_eq!(
        session.lab.decode_engines[0].stats().streamed_tokens,
        before
    );
    let (code, out) = session.run_client(&["undrain", "decode-1"]);
    assert_eq!(code, 0, "{out}");
    let used = session.lab.wait_until(session::WAIT_LIMIT, |_| {
        session.stream_completion(0, &key, "again [len=5]", 9);
        session.lab.decode_engines[0].stats().streamed_tokens > before
    });
    assert!(used);
}

#[test]
fn host_that_the_platform_lists_as_leaving_gets_no_new_work() {
    let session = start();
    let (_, key) = session.issue_key(session::RANGERS);
    session.lab.hosts.mark_leaving("decode-2");
    session::sleep_ms(FEW_SECONDS);
    let before = session.lab.decode_engines[1].stats().streamed_tokens;
    for i in 0..12 {
        let response = session.stream_completion(i % 2, &key, &format!("after {i} [len=5]"), 9);
        assert!(response.finished, "{response:?}");
    }
    assert_eq!(
        session.lab.decode_engines[1].stats().streamed_tokens,
        before
    );
}
