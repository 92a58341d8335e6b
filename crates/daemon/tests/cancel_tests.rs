//! A caller who goes at any stage leaves nothing behind at the engines.

mod session;

use fake::ClusterSpec;
use fake::TestCluster;
use session::Session;
use std::io::Write;
use std::net;
use std::path;
use std::time;
use yare::parameterized;

fn start(shape: ClusterSpec) -> Session {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    Session::start(shape, program, &[])
}

/// Far less than a stage lasts here unless the request is cancelled.
const LIMIT: time::Duration = time::Duration::from_secs(20);

/// Sends a request, waits for a stage and goes away without reading.
fn ask_and_go(session: &Session, key: &str, prompt: &str, reached: fn(&TestCluster) -> bool) {
    let body = session::completion_body(prompt, 400, true);
    let mut stream =
        net::TcpStream::connect(session.lab.caller_address(0)).expect("the entry listens");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("the entry reads");
    assert!(session.lab.wait_until(session::WAIT_LIMIT, reached));
}

fn slow(change: impl FnOnce(&mut fake::EngineConfig)) -> ClusterSpec {
    let mut shape = ClusterSpec::small();
    shape.decode_engines = 1;
    change(&mut shape.engine);
    shape
}

fn streamed(lab: &TestCluster) -> u64 {
    lab.decode_engines
        .iter()
        .map(|e| e.stats().streamed_tokens)
        .sum()
}

fn is_prefilling(lab: &TestCluster) -> bool {
    lab.prefill_engines
        .iter()
        .any(|e| !e.held_requests().is_empty())
}

fn is_importing(lab: &TestCluster) -> bool {
    lab.decode_engines
        .iter()
        .any(|e| !e.held_requests().is_empty())
}

fn is_streaming(lab: &TestCluster) -> bool {
    streamed(lab) > 0
}

#[parameterized(
    prefilling = { slow(|e| e.prefill_rate = 1.0), is_prefilling },
    transferring = { slow(|e| e.export_rate = 1.0), is_importing },
    streaming = { slow(|e| e.step_time = time::Duration::from_millis(100)), is_streaming },
)]
fn caller_gone_frees_the_engines(shape: ClusterSpec, reached: fn(&TestCluster) -> bool) {
    let session = start(shape);
    let (_, key) = session.issue_key(session::RANGERS);
    let prompt = format!("{} [len=400]", "log ".repeat(80));
    ask_and_go(&session, &key, &prompt, reached);
    let empty = session
        .lab
        .wait_until(LIMIT, |lab| lab.held_requests().is_empty());
    assert!(empty, "{:?}", session.lab.held_requests());
    let tokens = streamed(&session.lab);
    assert!(tokens < 400, "{tokens} tokens for nobody");
}

#[test]
fn caller_gone_while_waiting_is_never_started() {
    let session = start(slow(|e| {
        e.seats = 1;
        e.step_time = time::Duration::from_millis(50);
    }));
    let (_, key) = session.issue_key(session::RANGERS);
    let busy = "the first holds the only seat [len=100]";
    std::thread::scope(|scope| {
        let first = scope.spawn(|| session.stream_completion(0, &key, busy, 400));
        assert!(session.lab.wait_until(session::WAIT_LIMIT, is_streaming));
        ask_and_go(&session, &key, "the second waits [len=400]", bid_waits);
        let response = first.join().expect("the caller does not panic");
        assert!(response.finished, "{response:?}");
    });
    assert!(session.wait_idle(), "{:?}", session.lab.held_requests());
    assert_eq!(streamed(&session.lab), 100);
}

fn bid_waits(lab: &TestCluster) -> bool {
    let agent = &lab.daemons[lab.daemon_index("decode-1")];
    session::read_metrics(agent.admin).contains("hornbeampitch_bids_waiting 1")
}
