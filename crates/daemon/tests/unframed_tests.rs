//! Tests answers with neither a length nor chunks, which end with their connection.

use fake::tracks::EntryResponse;
use fake::tracks::RAW_BODY;
use fake::tracks::RawCall;
use fake::tracks::RawWorker;
use fake::tracks::TracksCluster;
use fake::tracks::names;
use std::io;
use std::io::Write;
use std::net;
use std::path;
use std::sync::atomic;
use std::thread;

/// Length of the first of the two events of [`RAW_BODY`].
const FIRST_EVENT_BYTES: usize = RAW_BODY.len() / 2;

/// Starts an entry with this many workers of a service, one for each request of a test, as
/// a worker that breaks off gets no work for a while.
fn start_cluster(service: &str, stage: Option<&'static str>, count: usize) -> TracksCluster {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut cluster = TracksCluster::new(program, &[], 0, 1);
    for number in 0..count {
        let worker = RawWorker::start(&format!("raw-{number}"), stage);
        let record = worker.member_record(service);
        cluster
            .store
            .put(&names::member_key(&worker.id), record.as_bytes());
    }
    cluster.start();
    cluster
}

fn request_stream(cluster: &TracksCluster, answer: &str) -> EntryResponse {
    cluster.request_stream(0, &format!("/once/{answer}"), &[])
}

#[test]
fn unframed_stream_is_complete_only_at_the_end_of_an_event() {
    let cluster = start_cluster("llm", Some("decode"), RAW_BODY.len() + 1);
    for length in 0..=RAW_BODY.len() {
        let response = request_stream(&cluster, &format!("200-{length}-fin"));
        let whole = [FIRST_EVENT_BYTES, RAW_BODY.len()].contains(&length);
        assert_eq!(
            response.complete, whole,
            "after {length} bytes: {response:?}"
        );
        if whole {
            assert_eq!(response.body, RAW_BODY[..length]);
        }
    }
}

#[test]
fn unframed_stream_that_is_reset_is_not_complete() {
    let lengths = [0, FIRST_EVENT_BYTES, FIRST_EVENT_BYTES + 3, RAW_BODY.len()];
    let cluster = start_cluster("llm", Some("decode"), lengths.len());
    for length in lengths {
        let response = request_stream(&cluster, &format!("200-{length}-reset"));
        assert!(!response.complete, "after {length} bytes: {response:?}");
    }
}

/// The body of a failure is no stream of events.
#[test]
fn failure_on_a_route_of_streams_is_passed_on_whole() {
    let lengths = [0, 5, FIRST_EVENT_BYTES, RAW_BODY.len()];
    let cluster = start_cluster("llm", Some("decode"), lengths.len());
    for length in lengths {
        let response = request_stream(&cluster, &format!("500-{length}-fin"));
        assert_eq!(
            (response.status, response.complete),
            (500, true),
            "{response:?}"
        );
        assert_eq!(response.body, RAW_BODY[..length]);
        assert!(response.headers.contains("seal-"), "{response:?}");
    }
}

#[test]
fn unframed_plain_answer_ends_with_its_connection() {
    let cluster = start_cluster("app", None, 4);
    for length in 0..=RAW_BODY.len() {
        let path = format!("/order/200-{length}-fin");
        let response = cluster.request(0, "POST", &path, "an order", &[]);
        assert_eq!(
            (response.status, response.complete),
            (200, true),
            "{response:?}"
        );
        assert_eq!(response.body, RAW_BODY[..length]);
    }
}

#[test]
fn unframed_plain_answer_that_is_reset_is_no_success() {
    let lengths = [0, 1, FIRST_EVENT_BYTES, RAW_BODY.len()];
    let cluster = start_cluster("app", None, lengths.len());
    for length in lengths {
        let path = format!("/order/200-{length}-reset");
        let response = cluster.request(0, "POST", &path, "an order", &[]);
        assert!(matches!(response.status, 502 | 504), "{response:?}");
    }
}

/// A peer whose replies end with their connection: its first replies to messages, and its
/// first configurations, each after so many bytes.
struct CutPeer {
    reply: String,
    reply_count: atomic::AtomicUsize,
    configuration: String,
    /// Lengths of the first configurations; those after them are whole.
    lengths: Vec<usize>,
    configuration_count: atomic::AtomicUsize,
}

impl CutPeer {
    /// Returns what the peer sends next on this path.
    fn next(&self, path: &str) -> &str {
        if path.ends_with("/agreement") {
            let count = self
                .configuration_count
                .fetch_add(1, atomic::Ordering::Relaxed);
            let length = self.lengths.get(count).copied();
            return &self.configuration[..length.unwrap_or(self.configuration.len())];
        }
        let count = self.reply_count.fetch_add(1, atomic::Ordering::Relaxed);
        &self.reply[..count.min(self.reply.len())]
    }

    fn serve(&self, stream: &mut net::TcpStream) -> io::Result<()> {
        let Some(call) = RawCall::read(stream)? else {
            return Ok(());
        };
        stream.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{}", self.next(&call.path)).as_bytes())
    }
}

#[test]
fn unframed_reply_of_a_peer_is_used_only_if_it_is_whole() {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut cluster = TracksCluster::new(program, &[], 1, 1);
    cluster.start();
    let mut newer = cluster.configuration.clone();
    newer["version"] = serde_json::json!(9);
    newer["routes"][3]["prefix"] = serde_json::json!("/moved/");
    let configuration = newer.to_string();
    let whole = configuration.len();
    let peer = CutPeer {
        reply: r#"{"version":{"number":9,"era":0}}"#.to_owned(),
        reply_count: atomic::AtomicUsize::new(0),
        configuration,
        lengths: vec![0, 1, whole / 2, whole - 1],
        configuration_count: atomic::AtomicUsize::new(0),
    };
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            // A call that fails is repeated by the entry.
            let _ = peer.serve(&mut stream);
        }
    });
    cluster.store.put(
        "hornbeampitch/entry/cut-peer",
        address.to_string().as_bytes(),
    );
    cluster.wait_until(|c| c.request(0, "GET", "/moved/a", "", &[]).status == 200);
    cluster.wait_until(|c| {
        c.entries[0]
            .log()
            .contains("event=configuration from=cut-peer")
    });
    let log = cluster.entries[0].log();
    assert!(
        log.matches("event=configuration_unreadable").count() >= 4,
        "{log}"
    );
    assert_eq!(
        log.matches("event=configuration from=cut-peer").count(),
        1,
        "{log}"
    );
}
