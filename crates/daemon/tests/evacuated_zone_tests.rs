//! Tests that hosts of a zone that the operator evacuates get no request, until it is taken
//! back, at entries that reach the store, that don't, and that have just started.

use fake::tracks::TracksCluster;
use fake::tracks::TracksStoreMode;
use serde_json::Value;
use std::path;
use std::thread;
use std::time;

/// The zone of the entries, whose host they prefer.
const KEY: &str = "op/evacuate/ruahine";
const OTHER_ZONE: &str = "tararua";
/// Requests that would reach each of two hosts.
const REQUESTS: usize = 24;
/// Time in which a change is known everywhere, and the log is written.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(1_500);

/// Starts entries and two hosts, the first of which is in another zone.
fn start(entries: usize, prepare: impl FnOnce(&TracksCluster)) -> TracksCluster {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut cluster = TracksCluster::new(program, &[], 2, entries);
    for entry in &cluster.entries {
        entry.edit_settings("lease_ms = 3000", "lease_ms = 3000\nevacuate_ms = 5000");
    }
    let record = cluster.hosts[0].member_record("app", "ready");
    let mut record: Value = serde_json::from_str(&record).expect("the record is JSON");
    record["zone"] = OTHER_ZONE.into();
    let key = fake::tracks::names::member_key(&cluster.hosts[0].id);
    cluster.store.put(&key, record.to_string().as_bytes());
    prepare(&cluster);
    cluster.start();
    cluster
}

/// Makes requests at an entry, and returns how many the host in the zone got of them.
fn requests_in_zone(cluster: &TracksCluster, entry: usize) -> usize {
    let received = || cluster.hosts[1].received_under("/status/").len();
    let before = received();
    for _ in 0..REQUESTS {
        let response = cluster.request(entry, "GET", "/status/a", "", &[]);
        assert_eq!(response.status, 200, "{response:?}");
    }
    received() - before
}

#[test]
fn evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let cluster = start(1, |_| {});
    assert_eq!(requests_in_zone(&cluster, 0), REQUESTS);
    cluster.store.put(KEY, b"{}");
    thread::sleep(SETTLE_TIME);
    assert_eq!(requests_in_zone(&cluster, 0), 0);
    cluster.store.remove(KEY);
    cluster.wait_until(|c| requests_in_zone(c, 0) == REQUESTS);
}

#[test]
fn entry_without_store_learns_from_its_peer() {
    let mut cluster = start(2, |_| {});
    let own = cluster.store.branch();
    let entry = &mut cluster.entries[1];
    entry.kill();
    let address = cluster.store.address().to_string();
    entry.edit_settings(&address, &own.address().to_string());
    entry.start();
    cluster.wait_until(|c| c.is_ready(1));
    own.set_mode(TracksStoreMode::Unavailable);
    cluster.store.put(KEY, b"{}");
    thread::sleep(SETTLE_TIME);
    assert_eq!(requests_in_zone(&cluster, 1), 0);
    cluster.store.remove(KEY);
    cluster.wait_until(|c| requests_in_zone(c, 1) == REQUESTS);
}

#[test]
fn started_entry_knows_before_it_serves() {
    let cluster = start(1, |c| c.store.put(KEY, b"{}"));
    assert_eq!(requests_in_zone(&cluster, 0), 0);
}

/// Another writer may leave any key and any bytes.
#[test]
fn odd_keys_are_logged_and_hold_nothing_up() {
    let cluster = start(1, |c| {
        c.store.put("op/evacuate/", b"");
        c.store.put("op/evacuate/a/b", &[0xff, 0]);
    });
    cluster.store.put(KEY, &[0xff; 40]);
    thread::sleep(SETTLE_TIME);
    assert_eq!(requests_in_zone(&cluster, 0), 0);
    let log = cluster.entries[0].log();
    let lines = log.lines().filter(|l| l.contains("evacuation_unreadable"));
    assert_eq!(lines.count(), 2, "{log}");
}
