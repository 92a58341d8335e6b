//! Tests of the time for which a decode engine is reserved.

use fake::tracks::TracksCluster;
use fake::tracks::names;
use std::path;
use std::time;

/// Longer than expected, but within the time that a prompt may take.
const PREFILL_TIME: time::Duration = time::Duration::from_millis(600);

#[test]
fn reservation_outlasts_a_late_prompt() {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut cluster = TracksCluster::new(program, &["prefill", "decode"], 0, 1);
    cluster.start();
    cluster.engines[0].set_behaviour(|b| b.prefill_time = PREFILL_TIME);
    let response = cluster.request_stream(0, "/resumable/a", &[]);
    assert_eq!(response.status, 200, "{response:?}");
    let calls = cluster.engines[1].received_under(names::RESERVE_PATH);
    let [call] = calls.as_slice() else {
        panic!("one reservation is needed: {calls:?}");
    };
    let body: serde_json::Value = serde_json::from_str(&call.body).expect("the body is JSON");
    let ttl = time::Duration::from_millis(body["ttl_ms"].as_u64().expect("it has a TTL"));
    assert!(ttl > PREFILL_TIME, "{ttl:?}");
}
