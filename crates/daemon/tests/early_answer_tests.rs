//! Tests that a part of an answer, whose worker resets the connection while the entry still
//! writes a long body, is no answer, and neither is one without a status of the protocol.

use fake::tracks::RAW_BODY;
use fake::tracks::RawWorker;
use fake::tracks::TracksCluster;
use fake::tracks::names;
use std::path;
use yare::parameterized;

/// Longer than the buffers between an entry and a worker.
const BODY_BYTES: usize = 8_000_000;
/// Times from the answer to the reset in milliseconds.
const RESETS_AFTER_MS: [u32; 6] = [0, 1, 5, 20, 60, 200];

/// Starts an entry with this many workers, one for each request of a test, as a worker that
/// breaks off gets no work for a while.
fn start_cluster(service: &str, stage: Option<&'static str>, count: usize) -> TracksCluster {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut cluster = TracksCluster::new(program, &[], 0, 1);
    cluster.configure(|c| c["limits"]["max_body_bytes"] = (BODY_BYTES + 1).into());
    for number in 0..count {
        let worker = RawWorker::start(&format!("raw-{number}"), stage);
        let record = worker.member_record(service);
        let key = names::member_key(&worker.id);
        cluster.store.put(&key, record.as_bytes());
    }
    cluster.start();
    cluster
}

#[parameterized(
    order = { "order", "app", None },
    status = { "status", "app", None },
    once = { "once", "llm", Some("decode") },
)]
fn answer_that_is_reset_during_the_upload_is_not_complete(
    route: &str,
    service: &str,
    stage: Option<&'static str>,
) {
    let cluster = start_cluster(service, stage, 2 * RESETS_AFTER_MS.len());
    let body = "x".repeat(BODY_BYTES);
    for millis in RESETS_AFTER_MS {
        // Half of the body is one whole event.
        let path = format!("/{route}/200-{}-early-{millis}", RAW_BODY.len() / 2);
        let headers = [(names::MODEL, "m"), (names::TOKEN_COUNTS, "1000,100")];
        let response = cluster.request(0, "POST", &path, &body, &headers);
        let is_success = response.status == 200 && response.complete;
        assert!(!is_success, "after {millis} ms: {response:?}");
    }
}

#[parameterized(
    zero = { "000" },
    below_hundred = { "099" },
    above_all = { "600" },
    highest = { "999" },
    four_digits = { "1000" },
    signed = { "+20" },
    letters = { "2OO" },
)]
fn answer_without_a_status_of_the_protocol_is_none(status: &str) {
    for (route, service, stage) in [("order", "app", None), ("once", "llm", Some("decode"))] {
        let cluster = start_cluster(service, stage, 2);
        let path = format!("/{route}/{status}-{}-fin", RAW_BODY.len());
        let headers = [(names::MODEL, "m"), (names::TOKEN_COUNTS, "1000,100")];
        let response = cluster.request(0, "POST", &path, "small", &headers);
        assert_eq!(response.status, 502, "{route}: {response:?}");
        assert!(!response.headers.contains("seal-"), "{route}: {response:?}");
    }
}
