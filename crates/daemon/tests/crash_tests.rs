//! Tests entries against engines that crash on a part of a prompt, or for other reasons.

use fake::tracks::EntryResponse;
use fake::tracks::TracksCluster;
use fake::tracks::TracksStoreMode;
use fake::tracks::names;
use std::path;
use std::thread;
use std::time;

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

/// Sends a request with a body of its own and these shared parts, on a route whose streams
/// may be resumed.
fn send(cluster: &TracksCluster, entry: usize, number: usize, parts: &[&str]) -> EntryResponse {
    send_to(cluster, entry, "resumable", number, parts)
}

fn send_to(
    cluster: &TracksCluster,
    entry: usize,
    route: &str,
    number: usize,
    parts: &[&str],
) -> EntryResponse {
    let shared: String = parts.iter().map(|p| format!("{p}:300,")).collect();
    let prefix = format!("{shared}{number:08x}:400");
    let headers = [
        (names::MODEL, "m"),
        (names::TOKEN_COUNTS, "1000,100"),
        (names::PROMPT_PREFIX, prefix.as_str()),
    ];
    let path = format!("/{route}/{number}");
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

/// Sends requests with a part, each with a part of its own beside it, until the part is
/// condemned by itself.
fn condemn(cluster: &TracksCluster, part: &str) {
    send(cluster, 0, 900, &[SHARED_PART]);
    let verdict = format!("event=condemned holds=part:{part} ");
    for number in 0..MAX_CRASHES {
        let own = format!("{:08x}", 0xb000 + number);
        send(cluster, 0, 901 + number, &[SHARED_PART, part, &own]);
        if cluster.entries[0].log().contains(&verdict) {
            break;
        }
    }
    let is_known = |c: &TracksCluster| c.entries.iter().all(|e| e.log().contains(&verdict));
    cluster.wait_until(is_known);
}

#[test]
fn crashing_part_is_found_where_streams_may_not_be_resumed() {
    let cluster = start_cluster(2);
    for number in 0..12 {
        let own = format!("{:08x}", 0xa000 + number);
        let parts = [SHARED_PART, CRASHING_PART, &own];
        send_to(&cluster, number % 2, "once", number, &parts);
        let sound = send_to(
            &cluster,
            number % 2,
            "once",
            100 + number,
            &[SHARED_PART, &own],
        );
        assert!(sound.complete && sound.status == 200, "{sound:?}");
    }
    assert!(
        crash_count(&cluster) <= MAX_CRASHES,
        "{}",
        crash_count(&cluster)
    );
}

#[test]
fn crashing_first_part_is_told_from_the_parts_behind_it() {
    let cluster = start_cluster(1);
    for number in 0..8 {
        send(&cluster, 0, number, &[CRASHING_PART, "5e55104a"]);
        let sound = send(&cluster, 0, 100 + number, &[SHARED_PART, "5e55104a"]);
        assert!(sound.complete && sound.status == 200, "{sound:?}");
    }
    assert!(
        crash_count(&cluster) <= MAX_CRASHES,
        "{}",
        crash_count(&cluster)
    );
}

#[test]
fn crashing_part_is_known_after_a_restart_of_all_entries() {
    let mut cluster = start_cluster(2);
    condemn(&cluster, CRASHING_PART);
    let key = format!("hornbeampitch/crash/part:{CRASHING_PART}");
    cluster.wait_until(|c| c.store.value(&key).is_some());
    for entry in &mut cluster.entries {
        entry.kill();
    }
    let before: Vec<usize> = cluster.entries.iter().map(|e| e.log().len()).collect();
    for entry in &mut cluster.entries {
        entry.start();
    }
    for (entry, length) in before.into_iter().enumerate() {
        cluster.wait_until(|c| c.is_ready(entry));
        cluster.wait_until(|c| c.entries[entry].log()[length..].contains("event=condemned "));
    }
    let received = count_received(&cluster, CRASHING_PART);
    for entry in 0..2 {
        let refused = send(&cluster, entry, 300 + entry, &[SHARED_PART, CRASHING_PART]);
        assert_eq!(refused.status, 503, "{refused:?}");
    }
    assert_eq!(count_received(&cluster, CRASHING_PART), received);
}

#[test]
fn operator_lifts_a_verdict_by_deleting_its_key() {
    let cluster = start_cluster(2);
    condemn(&cluster, CRASHING_PART);
    let key = format!("hornbeampitch/crash/part:{CRASHING_PART}");
    cluster.wait_until(|c| c.store.value(&key).is_some());
    for engine in &cluster.engines {
        engine.set_behaviour(|b| b.crash_part = None);
    }
    cluster.store.remove(&key);
    for entry in 0..2 {
        cluster.wait_until(|c| send(c, entry, 400, &[SHARED_PART, CRASHING_PART]).status == 200);
    }
    for entry in &cluster.entries {
        cluster.wait_until(|_| entry.log().contains("event=condemned_lifted "));
    }
    assert!(cluster.store.value(&key).is_none());
}

/// Writes a verdict on a part to the store, as an entry would.
fn store_verdict(cluster: &TracksCluster, part: &str) {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let now = now.expect("the clock is right").as_millis();
    let verdict = format!(
        r#"{{"verdict":{{"elements":[{{"Part":"{part}"}}],"crashes":[],"age_ms":0,"revision":null}},"written_ms":{now}}}"#
    );
    let key = format!("hornbeampitch/crash/part:{part}");
    cluster.store.put(&key, verdict.as_bytes());
}

#[test]
fn request_in_prefill_is_refused_once_its_part_is_condemned() {
    let cluster = start_cluster(1);
    for engine in &cluster.engines[..2] {
        engine.set_behaviour(|b| b.prefill_paused = true);
    }
    // The entry allows several seconds to prefill a prompt of this length.
    let headers = [
        (names::MODEL, "m"),
        (names::TOKEN_COUNTS, "39000,100"),
        (names::PROMPT_PREFIX, "bad0bad0:300,1:400"),
        (names::DEADLINE_MS, "60000"),
    ];
    thread::scope(|scope| {
        let cluster = &cluster;
        let caller = scope.spawn(|| cluster.request(0, "POST", "/resumable/a", "", &headers));
        cluster.wait_until(|c| count_received(c, CRASHING_PART) == 1);
        store_verdict(cluster, CRASHING_PART);
        let refused = caller.join().expect("the caller ends");
        assert_eq!(refused.status, 503, "{refused:?}");
    });
    cluster.wait_until(|c| c.entries[0].log().contains("reason=quarantined"));
    assert_eq!(count_received(&cluster, CRASHING_PART), 1);
    cluster.wait_until(|c| c.engines.iter().all(|e| e.reservation_count() == 0));
}

#[test]
fn verdict_reaches_peers_in_an_outage_and_the_store_after_it() {
    let cluster = start_cluster(2);
    cluster.store.set_mode(TracksStoreMode::Unavailable);
    condemn(&cluster, CRASHING_PART);
    let received = count_received(&cluster, CRASHING_PART);
    let refused = send(&cluster, 1, 300, &[SHARED_PART, CRASHING_PART]);
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(count_received(&cluster, CRASHING_PART), received);
    cluster.store.set_mode(TracksStoreMode::Normal);
    let key = format!("hornbeampitch/crash/part:{CRASHING_PART}");
    cluster.wait_until(|c| c.store.value(&key).is_some());
}

#[test]
fn unreadable_verdict_is_reported_with_its_key_and_the_others_hold() {
    let cluster = start_cluster(1);
    cluster
        .store
        .put("hornbeampitch/crash/part:5c1e07a2", b"{\"verdict\":");
    store_verdict(&cluster, CRASHING_PART);
    cluster.wait_until(|c| {
        c.entries[0]
            .log()
            .contains("event=condemned holds=part:bad0bad0")
    });
    let log = cluster.entries[0].log();
    let line = "event=verdict_unreadable key=hornbeampitch/crash/part:5c1e07a2";
    assert!(log.contains(line), "{log}");
    let sound = send(&cluster, 0, 1, &[SHARED_PART]);
    assert_eq!(sound.status, 200, "{sound:?}");
}
