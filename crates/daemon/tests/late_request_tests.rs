//! Tests that a request which an entry reads or holds late in its planned stop is refused
//! unrun, so that it can go elsewhere, instead of being cut at the end.

use fake::tracks::TracksCluster;
use fake::tracks::names;
use std::io::Read;
use std::io::Write;
use std::net;
use std::path;
use std::thread;
use std::time;
use yare::parameterized;

/// Longer than connections are accepted after the signal to stop.
const LATE: time::Duration = time::Duration::from_millis(3_400);
/// Longest wait for an answer.
const PATIENCE: time::Duration = time::Duration::from_secs(30);
const BODY: &str = "a prompt";

fn prepare(grace_s: u32) -> TracksCluster {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let cluster = TracksCluster::new(program, &["prefill", "decode"], 1, 1);
    cluster.entries[0].set_setting("grace_s", &grace_s.to_string());
    cluster
}

/// A caller's connection on which the begin of a request was sent.
struct BegunRequest(net::TcpStream);

impl BegunRequest {
    /// Sends the head and the first bytes of the body.
    fn send(cluster: &TracksCluster, path: &str) -> Self {
        let address = cluster.entries[0].caller_address;
        let mut stream = net::TcpStream::connect(address).expect("the entry listens");
        let set = stream.set_read_timeout(Some(PATIENCE));
        set.expect("the option can be set");
        let length = BODY.len();
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: agency.example\r\nApi-Key: key-a\r\n\
             {}: 5f1c\r\n{}: m\r\n{}: 1000,100\r\n{}: 14000\r\n\
             Content-Length: {length}\r\n\r\n",
            names::REQUEST_ID,
            names::MODEL,
            names::TOKEN_COUNTS,
            names::DEADLINE_MS,
        );
        let sent = stream.write_all(head.as_bytes());
        sent.and_then(|()| stream.write_all(&BODY.as_bytes()[..3]))
            .expect("the entry reads");
        Self(stream)
    }

    fn send_rest(&mut self) {
        let sent = self.0.write_all(&BODY.as_bytes()[3..]);
        sent.expect("the entry reads");
    }

    /// Reads until the connection ends.
    fn read_answer(mut self) -> String {
        let mut answer = Vec::new();
        // A reset ends the answer as well.
        let _ = self.0.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).to_lowercase()
    }
}

fn assert_refused(answer: &str, cluster: &TracksCluster) {
    let log = cluster.entries[0].log();
    assert!(answer.starts_with("http/1.1 503"), "{answer:?} {log}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
}

/// Returns the number of requests of callers that all workers have received.
fn run_count(cluster: &TracksCluster) -> usize {
    let workers = cluster.engines.iter().chain(&cluster.hosts);
    let calls = workers.flat_map(|w| w.received());
    calls.filter(|call| call.is_client_request()).count()
}

fn stop(cluster: &TracksCluster) {
    assert!(cluster.entries[0].signal("TERM"));
    cluster.wait_until(|c| c.entries[0].log().contains("event=stopping"));
}

/// What may last longer than the stop is not begun in its second half.
#[parameterized(
    stream_once = { "/once/a" },
    stream_resumable = { "/resumable/a" },
    order = { "/order/a" },
    status = { "/status/a" },
)]
fn request_whose_body_ends_late_in_a_stop_is_refused(path: &str) {
    let mut cluster = prepare(6);
    cluster.start();
    let mut request = BegunRequest::send(&cluster, path);
    stop(&cluster);
    thread::sleep(LATE);
    request.send_rest();
    assert_refused(&request.read_answer(), &cluster);
    assert_eq!(run_count(&cluster), 0);
}

#[parameterized(
    stream = { "/once/a" },
    plain = { "/order/a" },
)]
fn request_whose_body_never_ends_is_refused_at_the_end(path: &str) {
    let mut cluster = prepare(4);
    cluster.start();
    let request = BegunRequest::send(&cluster, path);
    stop(&cluster);
    assert_refused(&request.read_answer(), &cluster);
    assert_eq!(run_count(&cluster), 0);
}

#[test]
fn stream_that_waits_for_a_seat_is_refused_in_a_short_stop() {
    let mut cluster = prepare(2);
    cluster.engines[1].set_behaviour(|b| b.refuse_reservations = true);
    cluster.start();
    let mut request = BegunRequest::send(&cluster, "/once/a");
    request.send_rest();
    cluster.wait_until(|c| !c.engines[1].received().is_empty());
    stop(&cluster);
    assert_refused(&request.read_answer(), &cluster);
    assert_eq!(run_count(&cluster), 0);
}

/// A request that was passed on has all of the time that is left.
#[test]
fn stream_passed_on_before_a_stop_ends_whole() {
    let mut cluster = prepare(8);
    cluster.engines[1].set_behaviour(|b| {
        b.event_interval = time::Duration::from_millis(250);
        b.event_count = 18;
    });
    cluster.start();
    let response = thread::scope(|scope| {
        let caller = scope.spawn(|| cluster.request_stream(0, "/once/a", &[]));
        cluster.wait_until(|c| run_count(c) == 1);
        stop(&cluster);
        caller.join().expect("the caller thread does not panic")
    });
    assert_eq!(
        (response.status, response.complete),
        (200, true),
        "{response:?}"
    );
    assert!(response.body.contains("id: 18"), "{response:?}");
}
