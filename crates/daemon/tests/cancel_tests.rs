//! Tests that the engines free a request's memory and seat when its caller disconnects.

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

/// The longest that engines may hold memory after a disconnect. In these tests, each stage would last
/// far longer without a cancellation.
const RELEASE_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Sends a request, waits until it reaches a stage and disconnects without reading the response.
fn send_and_disconnect(
    site: &TestSite,
    key: &str,
    prompt: &str,
    is_reached: fn(&TestCluster) -> bool,
) {
    let body = session::completion_body(prompt, 400, true);
    let mut stream =
        net::TcpStream::connect(site.cluster.caller_address(0)).expect("the entry listens");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("the entry reads");
    assert!(site.cluster.wait_until(session::WAIT_LIMIT, is_reached));
}

/// Describes a cluster with one decode engine, whose engines' configuration `change` edits.
fn slow_cluster(change: impl FnOnce(&mut fake::EngineConfig)) -> ClusterSpec {
    let mut spec = ClusterSpec::small();
    spec.decode_engines = 1;
    change(&mut spec.engine);
    spec
}

fn streamed_tokens(cluster: &TestCluster) -> u64 {
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
    streamed_tokens(cluster) > 0
}

#[parameterized(
    prefilling = { slow_cluster(|e| e.prefill_rate = 1.0), is_prefilling },
    transferring = { slow_cluster(|e| e.export_rate = 1.0), is_importing },
    streaming = { slow_cluster(|e| e.step_time = time::Duration::from_millis(100)), is_streaming },
)]
fn disconnect_frees_the_engines(spec: ClusterSpec, is_reached: fn(&TestCluster) -> bool) {
    let site = start(spec);
    let (_, key) = site.issue_key(session::RANGERS);
    let prompt = format!("{} [len=400]", "log ".repeat(80));
    send_and_disconnect(&site, &key, &prompt, is_reached);
    let released = site
        .cluster
        .wait_until(RELEASE_LIMIT, |cluster| cluster.held_requests().is_empty());
    assert!(released, "{:?}", site.cluster.held_requests());
    let tokens = streamed_tokens(&site.cluster);
    assert!(tokens < 400, "the engine streamed all {tokens} tokens");
}

#[test]
fn queued_request_is_not_started_after_disconnect() {
    let site = start(slow_cluster(|e| {
        e.seats = 1;
        e.step_time = time::Duration::from_millis(50);
    }));
    let (_, key) = site.issue_key(session::RANGERS);
    let first_prompt = "the first holds the only seat [len=100]";
    std::thread::scope(|scope| {
        let first = scope.spawn(|| site.stream_completion(0, &key, first_prompt, 400));
        assert!(site.cluster.wait_until(session::WAIT_LIMIT, is_streaming));
        send_and_disconnect(&site, &key, "the second waits [len=400]", is_bid_queued);
        let response = first.join().expect("the caller thread does not panic");
        assert!(response.finished, "{response:?}");
    });
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
    assert_eq!(streamed_tokens(&site.cluster), 100);
}

fn is_bid_queued(cluster: &TestCluster) -> bool {
    let agent = &cluster.daemons[cluster.daemon_index("decode-1")];
    session::read_metrics(agent.admin_address).contains("hornbeampitch_bids_waiting 1")
}
