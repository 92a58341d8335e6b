//! Tests that entries heed what workers say of themselves in their answers: that they are
//! leaving, or that they want no call for a time.

use fake::tracks::EntryResponse;
use fake::tracks::TracksCluster;
use fake::tracks::TracksStoreMode;
use fake::tracks::Worker;
use fake::tracks::names;
use std::path;
use std::thread;
use std::time;
use yare::parameterized;

/// Calls that practically always reach each of two equal hosts.
const MANY_CALLS: usize = 24;

fn start_cluster(stages: &[&'static str], hosts: usize, entries: usize) -> TracksCluster {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut cluster = TracksCluster::new(program, stages, hosts, entries);
    cluster.start();
    let knows_peers = |c: &TracksCluster| c.entries.iter().all(|e| e.log().contains("event=peer "));
    if entries > 1 {
        cluster.wait_until(knows_peers);
    }
    cluster
}

fn call(cluster: &TracksCluster, entry: usize) -> EntryResponse {
    cluster.request(entry, "GET", "/status/a", "", &[])
}

/// Makes calls one after another, each of which must be answered.
fn call_often(cluster: &TracksCluster, entry: usize, count: usize) {
    for _ in 0..count {
        let response = call(cluster, entry);
        assert_eq!(response.status, 200, "{response:?}");
        assert!(!response.headers.contains(names::SERVER_LEAVING));
    }
}

/// Makes calls until a host has received one.
fn call_until_received(cluster: &TracksCluster, host: &Worker) {
    cluster.wait_until(|c| {
        call(c, 0);
        !host.received().is_empty()
    });
}

/// Requests streams one after another, each of which must be complete.
fn stream_often(cluster: &TracksCluster, count: usize) {
    for _ in 0..count {
        let response = cluster.request_stream(0, "/resumable/a", &[]);
        assert!(response.complete && response.status == 200, "{response:?}");
        assert!(!response.headers.contains(names::SERVER_LEAVING));
    }
}

/// Counts the calls for reservations, prefills and streams that an engine received.
fn work_count(engine: &Worker) -> usize {
    let calls = engine.received();
    let is_work = |path: &str| path == names::RESERVE_PATH || path.starts_with("/resumable/");
    calls.iter().filter(|c| is_work(&c.path)).count()
}

/// Lists all workers anew and waits until the entry has read that.
fn list_again(cluster: &TracksCluster) {
    cluster.list_workers("draining");
    cluster.wait_until(|c| c.entries[0].log().contains("state=Draining"));
    let before = cluster.entries[0].log().len();
    cluster.list_workers("ready");
    cluster.wait_until(|c| c.entries[0].log()[before..].contains("state=Ready"));
}

/// Returns the value of a response's `Retry-After` in seconds.
fn retry_after(response: &EntryResponse) -> f64 {
    let (_, rest) = response
        .headers
        .split_once("\"retry-after\": \"")
        .expect("the response has the header");
    let (value, _) = rest.split_once('"').expect("the value ends");
    value.parse().expect("the value is a number")
}

#[test]
fn leaving_host_gets_no_new_call() {
    let cluster = start_cluster(&[], 2, 1);
    let host = &cluster.hosts[0];
    host.set_behaviour(|b| b.leaving = &["1"]);
    call_until_received(&cluster, host);
    call_often(&cluster, 0, MANY_CALLS);
    assert_eq!(host.received().len(), 1);
    // The list does not know yet that the host is leaving.
    list_again(&cluster);
    call_often(&cluster, 0, MANY_CALLS);
    assert_eq!(host.received().len(), 1);
}

#[test]
fn leaving_host_gets_no_new_call_while_the_store_is_away() {
    let cluster = start_cluster(&[], 2, 1);
    let host = &cluster.hosts[0];
    cluster.store.set_mode(TracksStoreMode::Unavailable);
    cluster.wait_until(|c| c.entries[0].log().contains("event=store_lost"));
    host.set_behaviour(|b| b.leaving = &["1"]);
    call_until_received(&cluster, host);
    call_often(&cluster, 0, MANY_CALLS);
    cluster.store.set_mode(TracksStoreMode::Normal);
    cluster.wait_until(|c| c.entries[0].log().contains("event=store_regained"));
    call_often(&cluster, 0, MANY_CALLS);
    assert_eq!(host.received().len(), 1);
}

#[test]
fn host_that_starts_again_under_its_id_is_used_again() {
    let cluster = start_cluster(&[], 2, 1);
    let host = &cluster.hosts[0];
    host.set_behaviour(|b| b.leaving = &["1"]);
    call_until_received(&cluster, host);
    call_often(&cluster, 0, MANY_CALLS);
    assert_eq!(host.received().len(), 1);
    host.set_behaviour(|b| {
        b.leaving = &[];
        b.started_ms += 9_000;
    });
    cluster.list_worker(host, "app", "ready");
    cluster.wait_until(|c| {
        call_often(c, 0, 1);
        host.received().len() > 2
    });
}

#[test]
fn peers_are_told_of_a_leaving_host() {
    let cluster = start_cluster(&[], 2, 2);
    let host = &cluster.hosts[0];
    host.set_behaviour(|b| b.leaving = &["1"]);
    call_until_received(&cluster, host);
    let told = "event=host_leaving upstream=host-0 ";
    cluster.wait_until(|c| c.entries[1].log().contains(told));
    call_often(&cluster, 1, MANY_CALLS);
    assert_eq!(host.received().len(), 1);
}

#[parameterized(
    zero = { &["0"] },
    garbage = { &["yes"] },
    empty = { &[""] },
    doubled = { &["1", "1"] },
)]
fn other_values_are_no_sign_of_leaving(values: &'static [&'static str]) {
    let cluster = start_cluster(&[], 2, 1);
    let host = &cluster.hosts[0];
    host.set_behaviour(|b| b.leaving = values);
    cluster.wait_until(|c| {
        call_often(c, 0, 1);
        host.received().len() > 2
    });
}

/// An engine says that it is leaving when it grants a reservation.
#[test]
fn leaving_engine_gets_no_stream_for_a_seat_it_granted() {
    let cluster = start_cluster(&["prefill", "decode", "decode"], 0, 1);
    let engine = &cluster.engines[1];
    engine.set_behaviour(|b| b.leaving = &["1"]);
    cluster.wait_until(|c| {
        stream_often(c, 1);
        work_count(engine) > 0
    });
    list_again(&cluster);
    stream_often(&cluster, MANY_CALLS);
    assert_eq!(work_count(engine), 1, "{:?}", engine.received());
    assert!(engine.received_under("/resumable/").is_empty());
}

/// The engine begins to leave while a prompt is prefilled for a seat that it granted, and
/// says so to other requests.
#[test]
fn seat_at_an_engine_that_begins_to_leave_is_given_up() {
    let mut cluster = start_cluster(&["prefill", "decode", "decode"], 0, 1);
    // Engines that are nearly empty are picked at random.
    cluster.configure(|c| c["services"][0]["engine"]["kv_capacity_tokens"] = 400_000.into());
    let version = format!("version={} ", cluster.configuration["version"]);
    cluster.wait_until(|c| c.entries[0].log().contains(&version));
    cluster.engines[0].set_behaviour(|b| b.prefill_paused = true);
    // The entry allows more than a second to prefill a prompt of this length.
    let long = [(names::TOKEN_COUNTS, "30000,100")];
    thread::scope(|scope| {
        let caller = scope.spawn(|| cluster.request(0, "POST", "/resumable/a", "", &long));
        let has_seat =
            |c: &TracksCluster| c.engines[1..].iter().any(|e| e.reservation_count() == 1);
        cluster.wait_until(has_seat);
        let (chosen, other) = match cluster.engines[1].reservation_count() {
            1 => (&cluster.engines[1], &cluster.engines[2]),
            _ => (&cluster.engines[2], &cluster.engines[1]),
        };
        chosen.set_behaviour(|b| b.leaving = &["1"]);
        // The others are to ask the engine that leaves.
        other.set_behaviour(|b| b.refuse_reservations = true);
        for _ in 0..12 {
            scope.spawn(|| cluster.request_stream(0, "/resumable/b", &[]));
        }
        cluster.wait_until(|c| c.entries[0].log().contains("event=host_leaving "));
        other.set_behaviour(|b| b.refuse_reservations = false);
        cluster.engines[0].set_behaviour(|b| b.prefill_paused = false);
        let response = caller.join().expect("the caller thread does not panic");
        assert_eq!(response.status, 200, "{response:?}");
    });
    assert!(streams_at_leaving(&cluster).is_empty());
}

/// Returns the paths of the streams that leaving engines received.
fn streams_at_leaving(cluster: &TracksCluster) -> Vec<String> {
    let log = cluster.entries[0].log();
    let is_leaving = |e: &&Worker| log.contains(&format!("event=host_leaving upstream={} ", e.id));
    let leaving = cluster.engines.iter().filter(is_leaving);
    let calls = leaving.flat_map(|e| e.received_under("/resumable/"));
    calls.map(|c| c.path).collect()
}

#[test]
fn leaving_prefill_engine_gets_no_other_prompt() {
    let cluster = start_cluster(&["prefill", "prefill", "decode"], 0, 1);
    let engine = &cluster.engines[0];
    engine.set_behaviour(|b| b.leaving = &["1"]);
    cluster.wait_until(|c| {
        stream_often(c, 1);
        work_count(engine) > 0
    });
    stream_often(&cluster, MANY_CALLS);
    assert_eq!(work_count(engine), 1, "{:?}", engine.received());
}

#[test]
fn host_gets_no_call_until_its_retry_time() {
    let cluster = start_cluster(&[], 2, 1);
    let host = &cluster.hosts[0];
    host.set_behaviour(|b| b.retry_after = Some("1.5"));
    call_until_received(&cluster, host);
    let end = time::Instant::now() + time::Duration::from_millis(1_300);
    while time::Instant::now() < end {
        call_often(&cluster, 0, 1);
    }
    assert_eq!(host.received().len(), 1);
    host.set_behaviour(|b| b.retry_after = None);
    cluster.wait_until(|c| {
        call_often(c, 0, 1);
        host.received().len() > 3
    });
}

#[test]
fn call_is_refused_at_once_if_all_hosts_want_none() {
    let cluster = start_cluster(&[], 2, 1);
    for (host, delay) in cluster.hosts.iter().zip(["4", "6"]) {
        host.set_behaviour(|b| b.retry_after = Some(delay));
    }
    for _ in 0..MANY_CALLS {
        let sent = time::Instant::now();
        let response = call(&cluster, 0);
        assert_eq!(response.status, 503, "{response:?}");
        assert!(sent.elapsed() < time::Duration::from_millis(1_500));
        let delay = retry_after(&response);
        assert!(delay <= 5.0, "{delay}");
    }
    let delay = retry_after(&call(&cluster, 0));
    assert!(delay > 1.0, "{delay}");
    for host in &cluster.hosts {
        assert_eq!(host.received().len(), 1);
    }
}

#[test]
fn calls_do_not_all_return_at_the_end_of_a_retry_time() {
    let cluster = start_cluster(&[], 1, 1);
    let host = &cluster.hosts[0];
    host.set_behaviour(|b| b.retry_after = Some("0.6"));
    assert_eq!(call(&cluster, 0).status, 503);
    // The entry returns up to a quarter of that time later.
    thread::sleep(time::Duration::from_millis(800));
    thread::scope(|scope| {
        for _ in 0..12 {
            scope.spawn(|| assert_eq!(call(&cluster, 0).status, 503));
        }
    });
    assert_eq!(host.received().len(), 2);
}

#[test]
fn engine_gets_no_call_of_any_kind_until_its_retry_time() {
    let cluster = start_cluster(&["prefill", "decode", "decode"], 0, 1);
    let engine = &cluster.engines[1];
    engine.set_behaviour(|b| b.retry_after = Some("2.5"));
    cluster.wait_until(|c| {
        stream_often(c, 1);
        work_count(engine) > 0
    });
    let end = time::Instant::now() + time::Duration::from_millis(2_000);
    let before = engine.received().len();
    while time::Instant::now() < end {
        stream_often(&cluster, 1);
    }
    assert_eq!(engine.received().len(), before);
    engine.set_behaviour(|b| b.retry_after = None);
    cluster.wait_until(|c| {
        stream_often(c, 1);
        !engine.received_under("/resumable/").is_empty()
    });
}

#[test]
fn prefill_engine_gets_no_prompt_until_its_retry_time() {
    let cluster = start_cluster(&["prefill", "prefill", "decode"], 0, 1);
    let engine = &cluster.engines[0];
    engine.set_behaviour(|b| b.retry_after = Some("2.5"));
    cluster.wait_until(|c| {
        stream_often(c, 1);
        work_count(engine) > 0
    });
    let end = time::Instant::now() + time::Duration::from_millis(2_000);
    while time::Instant::now() < end {
        stream_often(&cluster, 1);
    }
    assert_eq!(engine.received().len(), 1);
}

#[test]
fn stream_is_refused_at_once_if_all_engines_want_none() {
    let cluster = start_cluster(&["prefill", "decode", "decode"], 0, 1);
    for engine in &cluster.engines[1..] {
        engine.set_behaviour(|b| b.retry_after = Some("4"));
    }
    for _ in 0..6 {
        let sent = time::Instant::now();
        let response = cluster.request_stream(0, "/resumable/a", &[]);
        assert_eq!(response.status, 503, "{response:?}");
        assert!(sent.elapsed() < time::Duration::from_millis(1_500));
        let delay = retry_after(&response);
        assert!(delay > 1.0 && delay < 5.0, "{delay}");
    }
    for engine in &cluster.engines[1..] {
        assert_eq!(engine.received().len(), 1, "{:?}", engine.received());
    }
}

/// The engine has one slot, so streams wait while another one runs.
#[test]
fn waiting_streams_are_refused_once_all_engines_want_none() {
    let mut cluster = start_cluster(&["prefill", "decode"], 0, 1);
    cluster.configure(|c| c["services"][0]["engine"]["slots"] = 1.into());
    let version = format!("version={} ", cluster.configuration["version"]);
    cluster.wait_until(|c| c.entries[0].log().contains(&version));
    let engine = &cluster.engines[1];
    engine.set_behaviour(|b| {
        b.event_count = 8;
        b.event_interval = time::Duration::from_millis(100);
    });
    thread::scope(|scope| {
        let running = scope.spawn(|| cluster.request_stream(0, "/resumable/a", &[]));
        cluster.wait_until(|_| engine.active_streams() == 1);
        engine.set_behaviour(|b| b.retry_after = Some("6"));
        let sent = time::Instant::now();
        let waiting: Vec<_> = (0..4)
            .map(|_| scope.spawn(|| cluster.request_stream(0, "/resumable/b", &[])))
            .collect();
        for caller in waiting {
            let response = caller.join().expect("the caller thread does not panic");
            assert_eq!(response.status, 503, "{response:?}");
            assert!(retry_after(&response) > 3.0, "{response:?}");
        }
        assert!(sent.elapsed() < time::Duration::from_millis(2_500));
        let response = running.join().expect("the caller thread does not panic");
        assert!(response.complete, "{response:?}");
    });
    let reservations = engine.received_under(names::RESERVE_PATH);
    assert_eq!(reservations.len(), 2, "{reservations:?}");
}

#[test]
fn host_that_starts_again_is_not_bound_by_a_retry_time() {
    let cluster = start_cluster(&[], 1, 1);
    let host = &cluster.hosts[0];
    host.set_behaviour(|b| b.retry_after = Some("30"));
    assert_eq!(call(&cluster, 0).status, 503);
    host.set_behaviour(|b| {
        b.retry_after = None;
        b.started_ms += 9_000;
    });
    cluster.list_worker(host, "app", "ready");
    let sent = time::Instant::now();
    cluster.wait_until(|c| call(c, 0).status == 200);
    assert!(sent.elapsed() < time::Duration::from_secs(20));
}

#[test]
fn retry_time_binds_only_the_entry_that_was_refused() {
    let cluster = start_cluster(&[], 1, 2);
    let host = &cluster.hosts[0];
    host.set_behaviour(|b| b.retry_after = Some("30"));
    assert_eq!(call(&cluster, 0).status, 503);
    host.set_behaviour(|b| b.retry_after = None);
    // Peers have exchanged messages several times by then.
    thread::sleep(time::Duration::from_secs(1));
    call_often(&cluster, 1, 2);
    assert_eq!(call(&cluster, 0).status, 503);
}

#[parameterized(
    zero = { "0", "pause_ms=0 " },
    negative = { "-5", "pause_ms=1000 " },
    garbage = { "soon", "pause_ms=1000 " },
    date = { "Fri, 04 Dec 2026 21:00:00 GMT", "pause_ms=1000 " },
    long = { "600", "pause_ms=600000 " },
    huge = { "1e300", "pause_ms=3600000 " },
    infinite = { "inf", "pause_ms=1000 " },
    fraction = { "0.25", "pause_ms=250 " },
)]
fn value_of_retry_after_is_bounded_and_logged(value: &'static str, pause: &str) {
    let cluster = start_cluster(&[], 2, 1);
    let host = &cluster.hosts[0];
    host.set_behaviour(|b| b.retry_after = Some(value));
    call_until_received(&cluster, host);
    let line = |c: &TracksCluster| {
        let log = c.entries[0].log();
        let mut lines = log.lines().map(str::to_owned);
        lines.find(|l| l.contains("event=host_pause upstream=host-0 "))
    };
    cluster.wait_until(|c| line(c).is_some());
    let line = line(&cluster).expect("the line is there");
    assert!(line.contains(pause), "{line}");
}
