//! Tests that entries follow a store that has come back from a copy, where revisions and
//! lease ids of before are given out again for other things.

use fake::tracks::TracksCluster;
use fake::tracks::names;
use std::path;
use std::time;

/// Enough writes for revisions of before and after a restore to be told apart.
const WRITES: usize = 20;
/// Enough calls for each of a few hosts to be picked.
const CALLS: usize = 24;
/// The longest that a stop takes.
const EXIT_LIMIT: time::Duration = time::Duration::from_secs(30);
/// Key of the first entry in the store.
const ENTRY_KEY: &str = "hornbeampitch/entry/entry-0";
/// Key of the entry that orders engines.
const HOLDER_KEY: &str = "hornbeampitch/holder";

fn prepare(stages: &[&'static str], hosts: usize) -> TracksCluster {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    TracksCluster::new(program, stages, hosts, 1)
}

/// Moves the store's revision on.
fn write_others(cluster: &TracksCluster) {
    for number in 0..WRITES {
        cluster
            .store
            .put("other/key", number.to_string().as_bytes());
    }
}

fn drain(cluster: &TracksCluster, host: usize) {
    cluster.list_worker(&cluster.hosts[host], "app", "draining");
}

/// Returns how many requests of callers a host has received.
fn request_count(cluster: &TracksCluster, host: usize) -> usize {
    cluster.hosts[host].received_under("/status/").len()
}

#[test]
fn leaving_host_gets_no_request_after_the_store_came_back() {
    let mut cluster = prepare(&[], 3);
    cluster.start();
    let copy = cluster.store.copy();
    write_others(&cluster);
    drain(&cluster, 0);
    let is_draining = |c: &TracksCluster, host: usize| {
        let line = format!("event=upstream id=host-{host} state=Draining");
        c.entries[0].log().contains(&line)
    };
    cluster.wait_until(|c| is_draining(c, 0));
    cluster.store.restore(&copy);
    drain(&cluster, 1);
    cluster.wait_until(|c| is_draining(c, 1));
    for _ in 0..CALLS {
        let response = cluster.request(0, "GET", "/status/a", "", &[]);
        assert_eq!(response.status, 200, "{response:?}");
    }
    let counts = [0, 1, 2].map(|host| request_count(&cluster, host));
    assert_eq!(counts, [0, 0, CALLS], "{}", cluster.entries[0].log());
}

#[test]
fn configuration_written_after_a_return_is_in_force() {
    let mut cluster = prepare(&[], 1);
    cluster.start();
    let mut copy = cluster.store.copy();
    write_others(&cluster);
    cluster.configure(|_| {});
    let is_in_force = |c: &TracksCluster| {
        let line = format!("version={} ", c.configuration["version"]);
        c.entries[0].log().contains(&line)
    };
    cluster.wait_until(is_in_force);
    let version = cluster.configuration["version"].as_u64().unwrap_or(0) + 1;
    cluster.configuration["version"] = version.into();
    let text = cluster.configuration.to_string();
    copy.put(names::CONFIGURATION_KEY, text.as_bytes());
    for _ in 0..2 * WRITES {
        copy.put("other/key", b"later");
    }
    cluster.store.restore(&copy);
    cluster.wait_until(is_in_force);
}

#[test]
fn entry_is_listed_again_after_the_store_came_back() {
    let mut cluster = prepare(&["prefill", "decode"], 0);
    let copy = cluster.store.copy();
    cluster.start();
    let has_keys = |c: &TracksCluster| {
        [ENTRY_KEY, HOLDER_KEY]
            .iter()
            .all(|k| c.store.value(k).is_some())
    };
    cluster.wait_until(has_keys);
    cluster.store.restore(&copy);
    // The ids of the entry's leases now name those of others.
    cluster.store.put_leased("other/first", b"");
    cluster.store.put_leased("other/second", b"");
    cluster.wait_until(has_keys);
}

#[test]
fn stopping_entry_revokes_no_lease_granted_anew() {
    let mut cluster = prepare(&["prefill", "decode"], 0);
    let copy = cluster.store.copy();
    cluster.start();
    cluster.wait_until(|c| c.store.value(HOLDER_KEY).is_some());
    cluster.store.restore(&copy);
    let others = ["other/first", "other/second"];
    others.iter().for_each(|k| cluster.store.put_leased(k, b""));
    assert!(cluster.entries[0].signal("TERM"));
    assert_eq!(cluster.entries[0].wait_for_exit(EXIT_LIMIT), Some(0));
    for key in others {
        assert!(cluster.store.value(key).is_some(), "{key} was removed");
    }
}
