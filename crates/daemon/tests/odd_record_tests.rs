//! Tests that a record of another writer in the store, whatever its bytes, ends no entry, stops
//! none from following the sound records, and gets no work.

use fake::tracks::TracksCluster;
use fake::tracks::names;
use std::path;
use std::thread;
use std::time;
use yare::parameterized;

/// Enough calls for each host to be picked if it may be.
const CALLS: usize = 16;
/// Several reads of the list.
const READS_TIME: time::Duration = time::Duration::from_millis(2_500);
/// Largest value that the store takes, in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

fn start_cluster() -> TracksCluster {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut cluster = TracksCluster::new(program, &[], 2, 1);
    cluster.start();
    cluster
}

/// Returns a record of a host of the plain service that nobody listens for, with one field
/// replaced.
fn record(field: &str, value: &str) -> Vec<u8> {
    let mut fields = vec![
        ("service", "\"app\""),
        ("address", "\"127.0.0.1:9\""),
        ("zone", "\"ruahine\""),
        ("version", "1"),
        ("slots", "6"),
        ("state", "\"ready\""),
        ("cold_left_ms", "0"),
        ("seq", "1"),
        ("born", "1"),
    ];
    fields.retain(|(name, _)| *name != field);
    fields.push((field, value));
    let fields = fields
        .iter()
        .map(|(name, value)| format!("\"{name}\":{value}"));
    format!("{{{}}}", fields.collect::<Vec<_>>().join(",")).into_bytes()
}

fn nested(open: &str, close: &str) -> String {
    format!("{}{}", open.repeat(100_000), close.repeat(100_000))
}

/// Checks that callers are served by sound hosts only and that the entry still follows the
/// list.
fn assert_follows(cluster: &TracksCluster) {
    for _ in 0..CALLS {
        let response = cluster.request(0, "GET", "/status/a", "", &[]);
        assert_eq!(response.status, 200, "{response:?}");
    }
    let sound: usize = cluster
        .hosts
        .iter()
        .map(|h| h.received_under("/status/").len())
        .sum();
    assert_eq!(
        sound,
        CALLS,
        "a call went elsewhere: {}",
        cluster.entries[0].log()
    );
    cluster.list_worker(&cluster.hosts[0], "app", "draining");
    cluster.wait_until(|c| c.entries[0].log().contains("id=host-0 state=Draining"));
    assert!(cluster.entries[0].id().is_some(), "the entry has ended");
}

#[parameterized(
    empty = { Vec::new() },
    no_json = { b"ready".to_vec() },
    no_utf8 = { record("zone", "\"\u{0}\"").into_iter().map(|b| if b == 0 { 0xff } else { b }).collect() },
    nested_lists = { nested("[", "]").into_bytes() },
    nested_field = { record("slots", &nested("[", "]")) },
    nested_unknown_field = { record("more", &nested("{\"a\":", "}").replace(":}", ":1}")) },
    slots_beyond_any_number = { record("slots", "1e400") },
    slots_beyond_64_bits = { record("slots", "36893488147419103232") },
    slots_of_all_bits = { record("slots", "4294967295") },
    slots_negative = { record("slots", "-1") },
    slots_zero = { record("slots", "0") },
    start_too_large = { record("born", "36893488147419103232") },
    port_out_of_range = { record("address", "\"127.0.0.1:70000\"") },
    port_zero = { record("address", "\"127.0.0.1:0\"") },
    address_of_no_host = { record("address", "\"0.0.0.0:9\"") },
    address_of_all_hosts = { record("address", "\"255.255.255.255:9\"") },
    service_is_a_number = { record("service", "7") },
    state_unknown = { record("state", "\"asleep\"") },
    as_large_as_the_store_takes = { vec![b'{'; MAX_VALUE_BYTES] },
)]
fn odd_record_names_no_host(value: Vec<u8>) {
    let cluster = start_cluster();
    cluster.store.put(&names::member_key("odd"), &value);
    thread::sleep(READS_TIME);
    assert_follows(&cluster);
    let log = cluster.entries[0].log();
    let lines: Vec<&str> = log
        .lines()
        .filter(|l| l.contains("member_unreadable"))
        .collect();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].len() < 1_000, "a line of {} bytes", lines[0].len());
}

/// The id stands in a header of each request to the host.
#[parameterized(
    line_break = { "odd\nid" },
    no_ascii = { "od\u{e9}" },
    space = { "odd id" },
    empty = { "" },
)]
fn odd_id_names_no_host(id: &str) {
    let cluster = start_cluster();
    cluster
        .store
        .put(&names::member_key(id), &record("version", "1"));
    thread::sleep(READS_TIME);
    assert_follows(&cluster);
}

#[test]
fn thousand_odd_records_keep_no_entry_from_the_sound_ones() {
    let cluster = start_cluster();
    for number in 0..1_000 {
        let value = vec![b'['; 100 + number];
        cluster
            .store
            .put(&names::member_key(&format!("odd-{number}")), &value);
    }
    thread::sleep(READS_TIME);
    assert_follows(&cluster);
}

/// A verdict on nothing would hold for every request.
#[parameterized(
    verdict_on_nothing = { "crash/odd", r#"{"verdict":{"elements":[],"crashes":[],"age_ms":0,"revision":null},"written_ms":4102444800000}"# },
    verdict_nested = { "crash/odd", "[[[[[[[[[[[[[[[[[[[[" },
    entry_without_port = { "entry/odd", "127.0.0.1:0" },
    entry_of_no_address = { "entry/odd", "nowhere" },
    use_of_no_json = { "usage", "{{{{" },
    other_key = { "other", "\u{0}" },
)]
fn odd_own_key_refuses_no_caller(key: &str, value: &str) {
    let cluster = start_cluster();
    cluster
        .store
        .put(&format!("hornbeampitch/{key}"), value.as_bytes());
    thread::sleep(READS_TIME);
    assert_follows(&cluster);
    let log = cluster.entries[0].log();
    let count = log.lines().filter(|l| l.contains("_unreadable")).count();
    assert!(count <= 1, "{log}");
}

/// A watch returns all keys that begin with its prefix.
#[test]
fn key_that_begins_like_the_configurations_is_none() {
    let cluster = start_cluster();
    let mut other = cluster.configuration.clone();
    other["version"] = 99.into();
    other["routes"] = serde_json::json!([]);
    let key = format!("{}-draft", names::CONFIGURATION_KEY);
    cluster.store.put(&key, other.to_string().as_bytes());
    thread::sleep(READS_TIME);
    assert_follows(&cluster);
}
