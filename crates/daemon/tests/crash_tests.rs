//! Tests entries against engines that crash on a part of a prompt, or for other reasons.

use fake::tracks::EntryResponse;
use fake::tracks::TracksCluster;
use fake::tracks::names;
use std::path;

/// Part of every prompt of the route.
const SHARED_PART: &str = "5c1e07a2";
/// Part on which engines crash.
const CRASHING_PART: &str = "bad0bad0";
/// Crashes after which a part must be known.
const MAX_CRASHES: usize = 5;

/// Starts two prefill engines, nine decode engines that crash on [`CRASHING_PART`], and
/// entries that know each other.
fn start_cluster(entries: usize) -> TracksCluster {
    let mut stages = vec!["prefill"; 2];
    stages.resize(11, "decode");
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut cluster = TracksCluster::new(program, &stages, 0, entries);
    for engine in &cluster.engines {
        engine.set_behaviour(|b| b.crash_part = Some(CRASHING_PART));
    }
    cluster.start();
    let knows_peers = |c: &TracksCluster| c.entries.iter().all(|e| e.log().contains("event=peer "));
    if entries > 1 {
        cluster.wait_until(knows_peers);
    }
    cluster
}

/// Sends a request with a body of its own and these shared parts.
fn send(cluster: &TracksCluster, entry: usize, number: usize, parts: &[&str]) -> EntryResponse {
    let shared: String = parts.iter().map(|p| format!("{p}:300,")).collect();
    let prefix = format!("{shared}{number:08x}:400");
    let headers = [
        (names::MODEL, "m"),
        (names::TOKEN_COUNTS, "1000,100"),
        (names::PROMPT_PREFIX, prefix.as_str()),
    ];
    let path = format!("/resumable/{number}");
    cluster.request(entry, "POST", &path, &format!("prompt {number}"), &headers)
}

fn crash_count(cluster: &TracksCluster) -> usize {
    cluster.engines.iter().filter(|e| e.crashed()).count()
}

/// Counts the requests with a part that engines received, prefills included.
fn count_received(cluster: &TracksCluster, part: &str) -> usize {
    let calls = cluster.engines.iter().flat_map(|e| e.received());
    calls.filter(|c| c.has_part(part)).count()
}

/// Requests with a crashing part are never alike, so none is recognised as a repeat.
#[test]
fn requests_with_a_crashing_part_stop_reaching_engines() {
    let cluster = start_cluster(2);
    for number in 0..12 {
        let own = format!("{:08x}", 0xa000 + number);
        send(
            &cluster,
            number % 2,
            number,
            &[SHARED_PART, CRASHING_PART, &own],
        );
        let sound = send(&cluster, number % 2, 100 + number, &[SHARED_PART, &own]);
        assert!(sound.complete && sound.status == 200, "{sound:?}");
    }
    assert!(
        crash_count(&cluster) <= MAX_CRASHES,
        "{}",
        crash_count(&cluster)
    );
    let before = count_received(&cluster, CRASHING_PART);
    for number in 200..206 {
        let refused = send(&cluster, number % 2, number, &[SHARED_PART, CRASHING_PART]);
        assert_eq!(refused.status, 503, "{refused:?}");
    }
    assert_eq!(count_received(&cluster, CRASHING_PART), before);
}
