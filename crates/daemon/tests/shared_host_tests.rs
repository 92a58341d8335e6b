//! Tests that several entries that share a host each keep to what it says of itself.

use fake::tracks::EntryResponse;
use fake::tracks::TracksCluster;
use fake::tracks::names;
use std::path;
use std::thread;
use std::time;
use yare::parameterized;

/// Longest wait for an entry to exit after SIGTERM; longer than its grace period.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(20);
const ENTRIES: usize = 8;
/// Calls that practically always reach each of two equal hosts.
const MANY_CALLS: usize = 16;

fn start_cluster(stages: &[&'static str], hosts: usize, entries: usize) -> TracksCluster {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut cluster = TracksCluster::new(program, stages, hosts, entries);
    cluster.start();
    cluster
}

fn call(cluster: &TracksCluster, entry: usize) -> EntryResponse {
    cluster.request(entry, "GET", "/status/a", "", &[])
}

fn knows_leaving(cluster: &TracksCluster, entry: usize) -> bool {
    let line = "event=host_leaving upstream=host-0 ";
    cluster.entries[entry].log().contains(line)
}

/// Makes calls at all entries at the same time.
fn call_everywhere(cluster: &TracksCluster, count: usize) {
    thread::scope(|scope| {
        for entry in 0..ENTRIES {
            scope.spawn(move || {
                for _ in 0..count {
                    assert_eq!(call(cluster, entry).status, 200);
                }
            });
        }
    });
}

#[test]
fn leaving_host_gets_no_new_call_from_any_entry() {
    let cluster = start_cluster(&[], 2, ENTRIES);
    let host = &cluster.hosts[0];
    host.set_behaviour(|b| b.leaving = &["1"]);
    cluster.wait_until(|c| {
        assert_eq!(call(c, 0).status, 200);
        (0..ENTRIES).all(|entry| knows_leaving(c, entry))
    });
    let before = host.received().len();
    call_everywhere(&cluster, MANY_CALLS);
    assert_eq!(host.received().len(), before);
}

/// Each entry calls the host until it is told not to, which binds no other entry.
#[test]
fn each_entry_makes_one_call_to_a_host_that_wants_none() {
    let cluster = start_cluster(&[], 2, ENTRIES);
    let host = &cluster.hosts[0];
    host.set_behaviour(|b| b.retry_after = Some("60"));
    let has_paused = |c: &TracksCluster, entry: usize| {
        let line = "event=host_pause upstream=host-0 ";
        c.entries[entry].log().contains(line)
    };
    cluster.wait_until(|c| {
        (0..ENTRIES).for_each(|entry| assert_eq!(call(c, entry).status, 200));
        (0..ENTRIES).all(|entry| has_paused(c, entry))
    });
    call_everywhere(&cluster, MANY_CALLS);
    assert_eq!(host.received().len(), ENTRIES);
}

/// A restarted entry has forgotten what hosts said; its peers tell it again.
#[test]
fn restarted_entry_is_told_of_a_leaving_host() {
    let mut cluster = start_cluster(&[], 2, 2);
    cluster.hosts[0].set_behaviour(|b| b.leaving = &["1"]);
    cluster.wait_until(|c| {
        assert_eq!(call(c, 0).status, 200);
        knows_leaving(c, 1)
    });
    let entry = &mut cluster.entries[1];
    entry.signal("TERM");
    assert_eq!(entry.wait_for_exit(STOP_LIMIT), Some(0));
    entry.start();
    // The log goes on in the same file.
    let told = |c: &TracksCluster| {
        let log = c.entries[1].log();
        log.matches("event=host_leaving upstream=host-0 ").count() == 2
    };
    cluster.wait_until(told);
    cluster.wait_until(|c| c.is_ready(1));
    let before = cluster.hosts[0].received().len();
    for _ in 0..MANY_CALLS {
        assert_eq!(call(&cluster, 1).status, 200);
    }
    assert_eq!(cluster.hosts[0].received().len(), before);
}

/// A prefill engine says in its answer to a prompt that it is leaving.
#[parameterized(
    refused_prompt = { true },
    accepted_prompt = { false },
)]
fn leaving_is_read_in_answers_to_prompts(sheds: bool) {
    let cluster = start_cluster(&["prefill", "prefill", "decode"], 0, 1);
    let engine = &cluster.engines[0];
    engine.set_behaviour(|b| {
        b.leaving = &["1"];
        b.shed_prefills = sheds;
    });
    cluster.wait_until(|c| {
        c.request_stream(0, "/resumable/a", &[]);
        !engine.received_under("/resumable/").is_empty()
    });
    for _ in 0..MANY_CALLS {
        let response = cluster.request_stream(0, "/resumable/a", &[]);
        assert!(response.complete && response.status == 200, "{response:?}");
        assert!(!response.headers.contains(names::SERVER_LEAVING));
    }
    assert_eq!(engine.received_under("/resumable/").len(), 1);
}

/// A plain service's error tells of its leaving as its success does.
#[test]
fn leaving_is_read_in_an_error() {
    let cluster = start_cluster(&[], 2, 1);
    let host = &cluster.hosts[0];
    host.set_behaviour(|b| {
        b.leaving = &["1"];
        b.status = 500;
    });
    cluster.wait_until(|c| {
        call(c, 0);
        knows_leaving(c, 0)
    });
    let before = host.received().len();
    for _ in 0..MANY_CALLS {
        assert_eq!(call(&cluster, 0).status, 200);
    }
    assert_eq!(host.received().len(), before);
}
