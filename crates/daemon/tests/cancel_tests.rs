//! A caller who goes at any stage leaves nothing behind at the engines.

mod session;

use fake::ClusterSpec;
use fake::TestCluster;
use session::TestSite;
use std::io::Write;
use std::net;
use std::path;
use std::time;
use yare::parameterized;

fn start(spec: ClusterSpec) -> TestSite {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    TestSite::start(spec, program, &[])
}

/// Far less than a stage lasts here unless the request is cancelled.
const LIMIT: time::Duration = time::Duration::from_secs(20);

/// Sends a request, waits for a stage and goes away without reading.
fn ask_and_go(site: &TestSite, key: &str, prompt: &str, reached: fn(&TestCluster) -> bool) {
    let body = session::completion_body(prompt, 400, true);
    let mut stream =
        net::TcpStream::connect(site.cluster.caller_address(0)).expect("the entry listens");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("the entry reads");
    assert!(site.cluster.wait_until(session::WAIT_LIMIT, reached));
}

fn slow(change: impl FnOnce(&mut fake::EngineConfig)) -> ClusterSpec {
    let mut spec = ClusterSpec::small();
    spec.decode_engines = 1;
    change(&mut spec.engine);
    spec
}

fn streamed(cluster: &TestCluster) -> u64 {
    cluster
        .decode_engines
        .iter()
        .map(|e| e.stats().streamed_tokens)
        .sum()
}

fn is_prefilling(cluster: &TestCluster) -> bool {
    cluster
        .prefill_engines
        .iter()
        .any(|e| !e.held_requests().is_empty())
}

fn is_importing(cluster: &TestCluster) -> bool {
    cluster
        .decode_engines
        .iter()
        .any(|e| !e.held_requests().is_empty())
}

fn is_streaming(cluster: &TestCluster) -> bool {
    streamed(cluster) > 0
}

#[parameterized(
    prefilling = { slow(|e| e.prefill_rate = 1.0), is_prefilling },
    transferring = { slow(|e| e.export_rate = 1.0), is_importing },
    streaming = { slow(|e| e.step_time = time::Duration::from_millis(100)), is_streaming },
)]
fn caller_gone_frees_the_engines(spec: ClusterSpec, reached: fn(&TestCluster) -> bool) {
    let site = start(spec);
    let (_, key) = site.issue_key(session::RANGERS);
    let prompt = format!("{} [len=400]", "log ".repeat(80));
    ask_and_go(&site, &key, &prompt, reached);
    let empty = site
        .cluster
        .wait_until(LIMIT, |cluster| cluster.held_requests().is_empty());
    assert!(empty, "{:?}", site.cluster.held_requests());
    let tokens = streamed(&site.cluster);
    assert!(tokens < 400, "{tokens} tokens for nobody");
}

#[test]
fn caller_gone_while_waiting_is_never_started() {
    let site = start(slow(|e| {
        e.seats = 1;
        e.step_time = time::Duration::from_millis(50);
    }));
    let (_, key) = site.issue_key(session::RANGERS);
    let busy = "the first holds the only seat [len=100]";
    std::thread::scope(|scope| {
        let first = scope.spawn(|| site.stream_completion(0, &key, busy, 400));
        assert!(site.cluster.wait_until(session::WAIT_LIMIT, is_streaming));
        ask_and_go(&site, &key, "the second waits [len=400]", bid_waits);
        let response = first.join().expect("the caller does not panic");
        assert!(response.finished, "{response:?}");
    });
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
    assert_eq!(streamed(&site.cluster), 100);
}

fn bid_waits(cluster: &TestCluster) -> bool {
    let agent = &cluster.daemons[cluster.daemon_index("decode-1")];
    session::read_metrics(agent.admin).contains("hornbeampitch_bids_waiting 1")
}
