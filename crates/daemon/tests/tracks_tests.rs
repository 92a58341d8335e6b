//! Tests entries as real processes against fakes of the Tracks Unit's platform: its store, engines
//! and hosts.

use fake::tracks::EntryDaemon;
use fake::tracks::EntryResponse;
use fake::tracks::TracksCluster;
use fake::tracks::TracksStoreMode;
use fake::tracks::Worker;
use fake::tracks::names;
use std::path;
use std::thread;
use std::time;

/// The longest that a test waits for a process to exit by itself.
const EXIT_LIMIT: time::Duration = time::Duration::from_secs(30);

fn program() -> &'static path::Path {
    path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"))
}

/// Starts a cluster with one entry and waits until the entry is ready.
fn start_cluster(stages: &[&'static str], hosts: usize) -> TracksCluster {
    let mut cluster = TracksCluster::new(program(), stages, hosts, 1);
    cluster.start();
    cluster
}

/// Returns the ids of the events in the body of a stream.
fn event_ids(body: &str) -> Vec<u64> {
    let lines = body.lines().filter_map(|l| l.strip_prefix("id: "));
    lines.filter_map(|i| i.parse().ok()).collect()
}

/// Counts the client requests that a worker received, which excludes prefills and internal calls.
fn request_count(worker: &Worker) -> usize {
    worker
        .received()
        .iter()
        .filter(|call| call.is_client_request())
        .count()
}

/// Counts the client requests that all hosts together received.
fn host_request_count(cluster: &TracksCluster) -> usize {
    cluster.hosts.iter().map(request_count).sum()
}

#[test]
fn stream_reserves_a_decode_seat_before_it_runs() {
    let cluster = start_cluster(&["prefill", "decode"], 0);
    let response = cluster.request_stream(0, "/resumable/a?b=c", &[]);
    assert_eq!(
        (response.status, response.complete),
        (200, true),
        "{response:?}"
    );
    assert_eq!(event_ids(&response.body), [1, 2, 3, 4, 5]);
    assert!(response.headers.contains("seal-"), "{response:?}");
    let decode = cluster.engines[1].received();
    assert_eq!(decode[0].path, names::RESERVE_PATH);
    let stream_call = &decode[1];
    assert_eq!(
        (stream_call.path.as_str(), stream_call.body.as_str()),
        ("/resumable/a?b=c", "a prompt")
    );
    let source = format!("{}/h1", cluster.engines[0].address());
    assert_eq!(stream_call.header(names::KV_SOURCE), source);
    assert_eq!(stream_call.header(names::KV_HOLD), "d1");
    assert_eq!(stream_call.header(names::EXPECT_INSTANCE), "engine-1");
    assert_eq!(stream_call.header(names::TENANT), "tenant-a");
    assert_eq!(stream_call.header("api-key"), "");
    let remaining_ms: u64 = stream_call
        .header(names::DEADLINE_MS)
        .parse()
        .expect("a number");
    assert!(remaining_ms <= 8_000, "{remaining_ms}");
}

#[test]
fn platform_headers_from_callers_are_replaced_or_dropped() {
    let cluster = start_cluster(&["prefill", "decode"], 1);
    let forged = [
        (names::TENANT, "tenant-b"),
        (names::KV_HOLD, "forged"),
        (names::KV_SOURCE, "forged"),
        (names::KV_BACKUP, "forged"),
        (names::PIN_MS, "4000"),
        (names::SERVING_STAGE, "prefill"),
        (names::EXPECT_INSTANCE, "forged"),
        (names::EXPECT_VERSION, "7"),
        (names::PRIORITY, "0"),
        ("kv-fetch", "forged"),
        ("x-kept", "kept"),
    ];
    let response = cluster.request_stream(0, "/once/a", &forged);
    assert_eq!(response.status, 200, "{response:?}");
    let response = cluster.request(0, "GET", "/status/a", "", &forged);
    assert_eq!(response.status, 200, "{response:?}");
    let stream_call = cluster.engines[1].received_under("/once/").remove(0);
    let plain_call = cluster.hosts[0].received_under("/status/").remove(0);
    for call in [&stream_call, &plain_call] {
        assert_eq!(call.header(names::TENANT), "tenant-a");
        assert_eq!(call.header("x-kept"), "kept");
        let dropped = [
            names::KV_BACKUP,
            names::PIN_MS,
            names::EXPECT_VERSION,
            names::PRIORITY,
        ];
        for name in dropped {
            assert_eq!(call.header(name), "", "{name}");
        }
        assert_eq!(call.header("kv-fetch"), "");
        assert_ne!(call.header(names::KV_HOLD), "forged");
        assert_ne!(call.header(names::KV_SOURCE), "forged");
    }
    assert_eq!(plain_call.header(names::SERVING_STAGE), "");
}

#[test]
fn draining_engine_gets_no_stream_after_prefill() {
    let cluster = start_cluster(&["prefill", "decode", "decode"], 0);
    cluster.engines[0].set_behaviour(|b| b.prefill_paused = true);
    // The entry allows several seconds to prefill a prompt of this length.
    let long = [(names::TOKEN_COUNTS, "39000,100")];
    thread::scope(|scope| {
        let caller = scope.spawn(|| cluster.request(0, "POST", "/resumable/a", "", &long));
        let has_reservation =
            |c: &TracksCluster| c.engines[1..].iter().any(|e| e.reservation_count() == 1);
        cluster.wait_until(has_reservation);
        let chosen = cluster.engines[1..]
            .iter()
            .find(|e| e.reservation_count() == 1);
        let chosen = chosen.expect("an engine holds a reservation");
        cluster.list_worker(chosen, "llm", "draining");
        cluster.wait_until(|c| c.entries[0].log().contains("state=Draining"));
        cluster.engines[0].set_behaviour(|b| b.prefill_paused = false);
        let response = caller.join().expect("the caller thread does not panic");
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(request_count(chosen), 0, "{}", cluster.entries[0].log());
    });
}

#[test]
fn interrupted_stream_resumes_without_gap_or_repeat() {
    let cluster = start_cluster(&["prefill", "decode", "decode"], 0);
    for engine in &cluster.engines[1..] {
        engine.set_behaviour(|b| b.event_count = 9);
    }
    cluster.engines[1].set_behaviour(|b| b.abort_after = Some(4));
    // The entry chooses at random between equal engines; 64 requests practically always reach both.
    for _ in 0..64 {
        let response = cluster.request_stream(0, "/resumable/a", &[]);
        if response.complete && request_count(&cluster.engines[1]) == 0 {
            continue;
        }
        assert_eq!(
            event_ids(&response.body),
            (1..=9).collect::<Vec<_>>(),
            "{response:?}"
        );
        let resumed = cluster.engines[2].received_under("/resumable/");
        let last_ids = resumed
            .iter()
            .map(|call| call.header("last-event-id").to_owned());
        assert!(last_ids.into_iter().any(|id| id == "4"), "{resumed:?}");
        return;
    }
    panic!("the entry never chose the engine that aborts its streams");
}

#[test]
fn interrupted_non_idempotent_stream_is_not_repeated() {
    let cluster = start_cluster(&["prefill", "decode", "decode"], 0);
    for engine in &cluster.engines[1..] {
        engine.set_behaviour(|b| b.abort_after = Some(2));
    }
    let response = cluster.request_stream(0, "/once/a", &[]);
    assert!(!response.complete, "{response:?}");
    let received: usize = cluster.engines[1..].iter().map(request_count).sum();
    assert_eq!(received, 1);
}

/// An engine in trouble sends bytes that are no event, as fast as they are read. They
/// must not fill the entry's memory until the caller's deadline.
#[test]
fn event_without_end_is_cut_off() {
    let cluster = start_cluster(&["prefill", "decode"], 0);
    cluster.engines[1].set_behaviour(|b| b.noise_interval = Some(time::Duration::ZERO));
    let response = cluster.request_stream(0, "/once/a", &[]);
    assert!(!response.complete, "{:?}", response.headers);
    cluster.wait_until(|c| c.engines[1].active_streams() == 0);
    // 64 KB each: one event of at most 1 MB, and what was on its way.
    assert!(cluster.engines[1].noise_count() < 1_000);
}

/// A stalled engine that sends a byte now and then is stalled all the same.
#[test]
fn stream_of_single_bytes_is_cut_off_as_stalled() {
    let cluster = start_cluster(&["prefill", "decode"], 0);
    cluster.engines[1].set_behaviour(|b| {
        b.noise_interval = Some(time::Duration::from_millis(100));
        b.noise_bytes = 1;
    });
    let response = cluster.request_stream(0, "/once/a", &[]);
    assert!(!response.complete, "{response:?}");
    cluster.wait_until(|c| c.engines[1].active_streams() == 0);
    // The request's own timeout would let it send about a hundred.
    assert!(cluster.engines[1].noise_count() < 50);
}

#[test]
fn body_without_end_is_cut_off() {
    let cluster = start_cluster(&[], 1);
    cluster.hosts[0].set_behaviour(|b| b.noise_interval = Some(time::Duration::ZERO));
    let response = cluster.request(0, "POST", "/order/a", "an order", &[]);
    assert!(matches!(response.status, 502 | 504), "{response:?}");
    cluster.wait_until(|c| c.hosts[0].active_streams() == 0);
    // 64 KB each: 8 MB, and what was on its way.
    assert!(cluster.hosts[0].noise_count() < 1_000);
}

#[test]
fn reservation_and_kv_cache_are_released_after_the_caller_disconnects() {
    let cluster = start_cluster(&["prefill", "decode"], 0);
    cluster.engines[0].set_behaviour(|b| b.prefill_time = time::Duration::from_millis(400));
    thread::scope(|scope| {
        scope.spawn(|| {
            use std::io::Write;
            let mut stream = std::net::TcpStream::connect(cluster.entries[0].caller_address)
                .expect("the entry listens");
            let head = format!(
                "POST /once/a HTTP/1.1\r\nhost: agency.example\r\napi-key: key-a\r\n\
                {}: 77\r\n{}: 1000,100\r\ncontent-length: 0\r\n\r\n",
                names::REQUEST_ID,
                names::TOKEN_COUNTS,
            );
            stream.write_all(head.as_bytes()).expect("the entry reads");
            cluster.wait_until(|c| c.engines[1].reservation_count() == 1);
        });
    });
    cluster
        .wait_until(|c| c.engines[1].reservation_count() == 0 && c.engines[0].handle_count() == 0);
    assert_eq!(request_count(&cluster.engines[1]), 0);
}

#[test]
fn failed_idempotent_call_is_retried_once() {
    let cluster = start_cluster(&[], 2);
    cluster.hosts[0].set_behaviour(|b| b.status = 500);
    cluster.hosts[1].set_behaviour(|b| b.status = 500);
    let response = cluster.request(0, "GET", "/status/a", "", &[]);
    assert_eq!(response.status, 500);
    assert!(response.headers.contains("seal-"), "{response:?}");
    assert_eq!(host_request_count(&cluster), 2);
}

#[test]
fn failed_non_idempotent_call_is_not_retried() {
    let cluster = start_cluster(&[], 2);
    for host in &cluster.hosts {
        host.set_behaviour(|b| b.status = 500);
    }
    let response = cluster.request(0, "POST", "/order/a", "an order", &[]);
    assert_eq!(response.status, 500);
    assert_eq!(host_request_count(&cluster), 1);
}

#[test]
fn non_idempotent_call_with_lost_response_is_not_retried() {
    let cluster = start_cluster(&[], 2);
    for host in &cluster.hosts {
        host.set_behaviour(|b| b.drop_responses = true);
    }
    let response = cluster.request(0, "POST", "/order/a", "an order", &[]);
    assert!(matches!(response.status, 502 | 504), "{response:?}");
    assert_eq!(host_request_count(&cluster), 1);
}

#[test]
fn refused_call_has_a_retry_after_header() {
    let cluster = start_cluster(&[], 1);
    cluster.hosts[0].set_behaviour(|b| b.shed_calls = true);
    let response = cluster.request(0, "POST", "/order/a", "an order", &[]);
    assert_eq!(response.status, 503);
    assert!(response.headers.contains("retry-after"), "{response:?}");
}

#[test]
fn unproven_refusal_by_a_host_is_not_relayed() {
    let cluster = start_cluster(&[], 1);
    cluster.hosts[0].set_behaviour(|b| b.status = 503);
    let response = cluster.request(0, "POST", "/order/a", "an order", &[]);
    assert_eq!(response.status, 502, "{response:?}");
    assert!(!response.headers.contains("seal-"), "{response:?}");
}

#[test]
fn invalid_requests_get_matching_statuses() {
    let cluster = start_cluster(&[], 1);
    let status = |response: EntryResponse| response.status;
    assert_eq!(
        status(cluster.request(0, "GET", "/status/a", "", &[("api-key", "key-x")])),
        401
    );
    assert_eq!(
        status(cluster.request(0, "GET", "/status/a", "", &[("api-key", "")])),
        401
    );
    assert_eq!(
        status(cluster.request(0, "GET", "/nowhere/a", "", &[])),
        404
    );
    assert_eq!(
        status(cluster.request(0, "GET", "/open/a", "", &[("api-key", "")])),
        200
    );
    let large = "x".repeat(100_001);
    assert_eq!(
        status(cluster.request(0, "POST", "/order/a", &large, &[])),
        413
    );
    let bad = [(names::DEADLINE_MS, "soon")];
    assert_eq!(
        status(cluster.request(0, "GET", "/status/a", "", &bad)),
        400
    );
}

#[test]
fn requests_over_the_allowance_get_a_retry_after_header() {
    let cluster = start_cluster(&[], 1);
    let headers = [("api-key", "key-b")];
    let started = time::Instant::now();
    let responses: Vec<EntryResponse> = (0..40)
        .map(|_| cluster.request(0, "GET", "/status/a", "", &headers))
        .collect();
    let served = responses.iter().filter(|r| r.status == 200).count();
    // The allowance is 500 units per second over a window of 8 s and a burst of 500; each call costs
    // 200 units. That makes 22 calls, and more if the requests take long, as the rate continues.
    let extra_calls = (started.elapsed().as_secs_f64() * 500.0 / 200.0) as usize;
    assert!(
        (22..=22 + extra_calls).contains(&served),
        "{served} calls served, at most 22 + {extra_calls} expected"
    );
    let refused = responses
        .iter()
        .find(|r| r.status == 429)
        .expect("some are refused");
    assert!(refused.headers.contains("retry-after"), "{refused:?}");
}

#[test]
fn entry_without_a_configuration_is_not_ready() {
    let mut cluster = TracksCluster::new(program(), &[], 1, 1);
    cluster.entries[0].start();
    cluster.wait_until(|c| c.request(0, "GET", "/status/a", "", &[]).status == 503);
    assert!(!cluster.is_ready(0));
    cluster.configure(|_| {});
    cluster.wait_until(|c| c.is_ready(0));
    assert_eq!(cluster.request(0, "GET", "/status/a", "", &[]).status, 200);
}

#[test]
fn newer_configuration_is_adopted_and_older_one_ignored() {
    let mut cluster = start_cluster(&[], 1);
    let old = cluster.configuration.to_string();
    cluster.configure(|config| config["routes"][3]["prefix"] = "/moved/".into());
    cluster.wait_until(|c| c.request(0, "GET", "/moved/a", "", &[]).status == 200);
    assert_eq!(cluster.request(0, "GET", "/status/a", "", &[]).status, 404);
    cluster.store.put(names::CONFIGURATION_KEY, old.as_bytes());
    cluster.wait_until(|c| c.entries[0].log().contains("event=configuration_older"));
    assert_eq!(cluster.request(0, "GET", "/moved/a", "", &[]).status, 200);
}

#[test]
fn unreadable_configuration_is_ignored() {
    let cluster = start_cluster(&[], 1);
    cluster.store.put(
        names::CONFIGURATION_KEY,
        b"{\"version\": 99, \"routes\": 7}",
    );
    cluster.wait_until(|c| {
        c.entries[0]
            .log()
            .contains("event=configuration_unreadable")
    });
    assert_eq!(cluster.request(0, "GET", "/status/a", "", &[]).status, 200);
}

#[test]
fn configuration_is_read_again_after_the_store_compacts_its_history() {
    let mut cluster = start_cluster(&[], 1);
    cluster.store.compact();
    cluster.configure(|config| config["routes"][3]["prefix"] = "/moved/".into());
    cluster.wait_until(|c| c.request(0, "GET", "/moved/a", "", &[]).status == 200);
}

#[test]
fn malformed_member_records_are_ignored() {
    let cluster = start_cluster(&[], 1);
    cluster
        .store
        .put(&names::member_key("odd-1"), b"\xff\xfe not text");
    cluster.store.put(
        &names::member_key("odd-2"),
        br#"{"service":"app","address":7}"#,
    );
    cluster.wait_until(|c| c.entries[0].log().contains("event=member_unreadable"));
    assert_eq!(cluster.request(0, "GET", "/status/a", "", &[]).status, 200);
}

#[test]
fn store_outage_does_not_interrupt_service() {
    let cluster = start_cluster(&["prefill", "decode"], 1);
    for mode in [
        TracksStoreMode::Unavailable,
        TracksStoreMode::Busy,
        TracksStoreMode::DropResponses,
    ] {
        cluster.store.set_mode(mode);
        thread::sleep(time::Duration::from_millis(300));
        assert_eq!(
            cluster.request(0, "GET", "/status/a", "", &[]).status,
            200,
            "{mode:?}"
        );
        assert_eq!(
            cluster.request_stream(0, "/resumable/a", &[]).status,
            200,
            "{mode:?}"
        );
    }
    cluster.store.set_mode(TracksStoreMode::Normal);
    cluster.wait_until(|c| c.entries[0].log().contains("event=store_regained"));
}

#[test]
fn host_removed_from_the_list_gets_no_calls() {
    let cluster = start_cluster(&[], 2);
    cluster.store.remove(&names::member_key("host-0"));
    cluster.wait_until(|c| c.entries[0].log().contains("id=host-0 state=Gone"));
    let before = request_count(&cluster.hosts[0]);
    for _ in 0..10 {
        assert_eq!(cluster.request(0, "GET", "/status/a", "", &[]).status, 200);
    }
    assert_eq!(request_count(&cluster.hosts[0]), before);
}

#[test]
fn stopping_entry_lets_a_stream_finish() {
    let mut cluster = start_cluster(&["prefill", "decode"], 0);
    cluster.engines[1].set_behaviour(|b| {
        b.event_count = 40;
        b.event_interval = time::Duration::from_millis(100);
    });
    thread::scope(|scope| {
        let caller = scope.spawn(|| cluster.request_stream(0, "/once/a", &[]));
        cluster.wait_until(|c| request_count(&c.engines[1]) == 1);
        assert!(cluster.entries[0].signal("TERM"));
        cluster.wait_until(|c| !c.is_ready(0));
        let response = caller.join().expect("the caller thread does not panic");
        assert!(response.complete, "{response:?}");
        assert_eq!(event_ids(&response.body).len(), 40);
    });
    assert_eq!(cluster.entries[0].wait_for_exit(EXIT_LIMIT), Some(0));
}

#[test]
fn settings_are_reloaded_on_a_signal() {
    let cluster = start_cluster(&[], 1);
    assert!(cluster.entries[0].signal("HUP"));
    cluster.wait_until(|c| c.entries[0].log().contains("event=reload changed=false"));
    cluster.entries[0].edit_settings("grace_s = 8", "grace_s = 9");
    assert!(cluster.entries[0].signal("HUP"));
    cluster.wait_until(|c| c.entries[0].log().contains("event=reload changed=true"));
    assert_eq!(cluster.request(0, "GET", "/status/a", "", &[]).status, 200);
}

#[test]
fn reload_signal_before_the_settings_are_read_does_not_stop_the_entry() {
    let mut cluster = TracksCluster::new(program(), &[], 1, 1);
    cluster.configure(|_| {});
    cluster.entries[0].start_with_delayed_settings(|e| assert!(e.signal("HUP")));
    cluster.wait_until(|c| c.is_ready(0));
    assert_eq!(cluster.request(0, "GET", "/status/a", "", &[]).status, 200);
}

#[test]
fn stop_signal_before_the_settings_are_read_is_obeyed() {
    let mut cluster = TracksCluster::new(program(), &[], 1, 1);
    cluster.configure(|_| {});
    cluster.entries[0].start_with_delayed_settings(|e| assert!(e.signal("TERM")));
    assert_eq!(cluster.entries[0].wait_for_exit(EXIT_LIMIT), Some(0));
}

#[test]
fn changed_settings_are_reloaded_without_a_signal() {
    let cluster = start_cluster(&[], 1);
    cluster.entries[0].edit_settings("budget_slack = 56", "budget_slack = 57");
    cluster.wait_until(|c| c.entries[0].log().contains("event=reload changed=true"));
}

#[test]
fn invalid_settings_are_ignored() {
    let cluster = start_cluster(&[], 1);
    cluster.entries[0].edit_settings("grace_s = 8", "grace_s = \"long\"");
    assert!(cluster.entries[0].signal("HUP"));
    let refused = "event=settings_refused fault=\"bounds.grace_s: expected a number";
    cluster.wait_until(|c| c.entries[0].log().contains(refused));
    assert_eq!(cluster.request(0, "GET", "/status/a", "", &[]).status, 200);
}

#[test]
fn orders_carry_the_lease_holder_and_its_fencing_number() {
    let stages = [
        "prefill", "prefill", "prefill", "prefill", "decode", "decode",
    ];
    let mut cluster = TracksCluster::new(program(), &stages, 0, 2);
    for engine in &cluster.engines {
        // Slow events make streams hold memory for a while, so that the load is mostly decoding.
        engine.set_behaviour(|b| b.event_interval = time::Duration::from_millis(60));
    }
    cluster.start();
    // The entry knows a prefill engine's speed only after that engine has processed a prompt.
    let all_prefilled = |c: &TracksCluster| {
        c.engines[..4]
            .iter()
            .all(|e| !e.received_under("/once/").is_empty())
    };
    cluster.wait_until(|c| {
        for entry in 0..2 {
            c.request_stream(entry, "/once/a", &[]);
        }
        all_prefilled(c)
    });
    cluster.wait_until(|c| {
        c.request_stream(0, "/once/a", &[]);
        c.engines
            .iter()
            .any(|e| !e.received_under(names::ORDER_PATH).is_empty())
    });
    let orders = cluster
        .engines
        .iter()
        .flat_map(|e| e.received_under(names::ORDER_PATH));
    let fence = cluster.store.revision("hornbeampitch/holder");
    let holder = cluster
        .store
        .value("hornbeampitch/holder")
        .unwrap_or_default();
    for order in orders {
        let body: serde_json::Value = serde_json::from_str(&order.body).expect("an order is JSON");
        assert_eq!(body["fence"], fence);
        assert_eq!(
            body["holder"].as_str().map(str::as_bytes),
            Some(&holder[..])
        );
        assert_eq!(
            (&body["op"], &body["stage"]),
            (&"stage".into(), &"decode".into())
        );
        assert!(!order.header(names::EXPECT_INSTANCE).is_empty());
    }
}

#[test]
fn entry_gets_a_missed_configuration_from_its_peer() {
    let mut cluster = TracksCluster::new(program(), &[], 1, 2);
    cluster.start();
    cluster.wait_until(|c| c.entries.iter().all(|e| e.log().contains("event=peer ")));
    // The first entry is suspended, misses a version, and finds the store unavailable afterwards.
    assert!(cluster.entries[0].signal("STOP"));
    cluster.configure(|config| config["routes"][3]["prefix"] = "/moved/".into());
    cluster.wait_until(|c| c.request(1, "GET", "/moved/a", "", &[]).status == 200);
    cluster.store.set_mode(TracksStoreMode::Unavailable);
    assert!(cluster.entries[0].signal("CONT"));
    cluster.wait_until(|c| c.request(0, "GET", "/moved/a", "", &[]).status == 200);
}

#[test]
fn request_that_crashes_two_hosts_is_not_run_on_a_third() {
    let mut cluster = TracksCluster::new(program(), &[], 3, 2);
    cluster.start();
    cluster.wait_until(|c| c.entries.iter().all(|e| e.log().contains("event=peer ")));
    for host in &cluster.hosts {
        host.set_behaviour(|b| b.crash_body = Some("poison"));
    }
    let send_crashing = |c: &TracksCluster| c.request(0, "POST", "/order/a", "poison", &[]).status;
    let crashed = |c: &TracksCluster| c.hosts.iter().filter(|h| h.crashed()).count();
    for count in 1..=2 {
        assert!(matches!(send_crashing(&cluster), 502 | 504));
        assert_eq!(crashed(&cluster), count);
        let recorded =
            |c: &TracksCluster| c.entries[1].log().matches("event=crash ").count() == count;
        cluster.wait_until(recorded);
        // The platform removes crashed hosts from its list.
        for host in cluster.hosts.iter().filter(|h| h.crashed()) {
            cluster.store.remove(&names::member_key(&host.id));
        }
        let all_removed = |e: &EntryDaemon| e.log().matches("state=Gone").count() == count;
        cluster.wait_until(|c| c.entries.iter().all(all_removed));
    }
    // Repeats of the request are refused, also by the other entry; a different request still runs.
    assert_eq!(send_crashing(&cluster), 503);
    assert_eq!(
        cluster.request(1, "POST", "/order/a", "poison", &[]).status,
        503
    );
    assert_eq!(crashed(&cluster), 2);
    assert_eq!(
        cluster.request(1, "POST", "/order/a", "sound", &[]).status,
        200
    );
}

#[test]
fn slow_prefill_is_not_repeated() {
    let cluster = start_cluster(&["prefill", "prefill", "decode"], 0);
    for engine in &cluster.engines[..2] {
        engine.set_behaviour(|b| b.prefill_time = time::Duration::from_millis(480));
    }
    let response = cluster.request_stream(0, "/once/a", &[]);
    assert_eq!(response.status, 200, "{response:?}");
    let prefill_count = |w: &Worker| w.received_under("/once/").len();
    assert_eq!(
        prefill_count(&cluster.engines[0]) + prefill_count(&cluster.engines[1]),
        1
    );
}

#[test]
fn stopping_entry_closes_keep_alive_connections() {
    let cluster = start_cluster(&[], 1);
    let before = cluster.request(0, "GET", "/status/a", "", &[]);
    assert!(!before.headers.contains("close"), "{before:?}");
    assert!(cluster.entries[0].signal("TERM"));
    cluster.wait_until(|c| !c.is_ready(0));
    let after = cluster.request(0, "GET", "/status/a", "", &[]);
    assert_eq!(after.status, 200);
    assert!(
        after.headers.contains("\"connection\": \"close\""),
        "{after:?}"
    );
}

#[test]
fn stopping_entry_refuses_connections_late_in_its_grace_period() {
    let cluster = start_cluster(&["prefill", "decode"], 1);
    cluster.engines[1].set_behaviour(|b| {
        b.event_count = 60;
        b.event_interval = time::Duration::from_millis(100);
    });
    thread::scope(|scope| {
        let caller = scope.spawn(|| cluster.request_stream(0, "/once/a", &[]));
        cluster.wait_until(|c| request_count(&c.engines[1]) == 1);
        assert!(cluster.entries[0].signal("TERM"));
        let refused =
            |c: &TracksCluster| std::net::TcpStream::connect(c.entries[0].caller_address).is_err();
        cluster.wait_until(refused);
        let before = request_count(&cluster.hosts[0]);
        assert_eq!(cluster.request(0, "GET", "/status/a", "", &[]).status, 0);
        assert_eq!(request_count(&cluster.hosts[0]), before);
        let response = caller.join().expect("the caller thread does not panic");
        assert!(response.complete, "{response:?}");
    });
}

/// Time after the signal to stop for which an entry accepts requests.
const ACCEPT_TIME: time::Duration = time::Duration::from_millis(2_700);

/// Sends a request on a connection that was open before the entry was told to stop, about
/// when the entry stops accepting requests. Returns what the caller read until the end.
fn request_at_end_of_accept_time(
    entry: &fake::tracks::EntryDaemon,
    delay: time::Duration,
) -> String {
    use std::io::Read;
    use std::io::Write;
    let stream = std::net::TcpStream::connect(entry.caller_address);
    let mut stream = stream.expect("the entry listens");
    assert!(entry.signal("TERM"));
    thread::sleep(delay);
    let head = format!(
        "POST /once/a HTTP/1.1\r\nhost: agency.example\r\napi-key: key-a\r\n\
        {}: {:x}\r\n{}: 1000,100\r\ncontent-length: 0\r\n\r\n",
        names::REQUEST_ID,
        delay.as_micros(),
        names::TOKEN_COUNTS,
    );
    let mut answer = Vec::new();
    // The entry may have closed the connection already.
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// A request that is read in the last moment before a stopping entry would exit has to
/// keep it, also while its prompt is processed.
#[test]
fn request_read_as_a_stopping_entry_would_exit_is_answered() {
    let mut cluster = TracksCluster::new(program(), &["prefill", "decode"], 0, 12);
    cluster.start();
    cluster.engines[0].set_behaviour(|b| b.prefill_time = time::Duration::from_millis(400));
    let answers: Vec<String> = thread::scope(|scope| {
        let callers = cluster.entries.iter().enumerate().map(|(i, entry)| {
            let delay = ACCEPT_TIME - time::Duration::from_millis(20);
            let delay = delay + time::Duration::from_millis(2) * i as u32;
            scope.spawn(move || request_at_end_of_accept_time(entry, delay))
        });
        let callers: Vec<_> = callers.collect();
        let join = |c: thread::ScopedJoinHandle<'_, String>| c.join().expect("the caller ends");
        callers.into_iter().map(join).collect()
    });
    let passed_on = cluster.engines[0].received_under("/once/").len();
    let is_refused = |a: &str| a.starts_with("HTTP/1.1 503") && a.contains("retry-after");
    let (answered, others): (Vec<_>, Vec<_>) =
        answers.iter().partition(|a| a.starts_with("HTTP/1.1 200"));
    let whole = answered.iter().filter(|a| a.ends_with("0\r\n\r\n"));
    assert_eq!(whole.count(), passed_on, "{answers:#?}");
    assert!(
        others.iter().all(|a| a.is_empty() || is_refused(a)),
        "{answers:#?}"
    );
    assert!(passed_on > 0, "no request was read in time: {answers:#?}");
}
