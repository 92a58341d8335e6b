//! Entries as real processes against stand-ins of the Tracks Unit's platform.

use fake::tracks::EntryDaemon;
use fake::tracks::EntryResponse;
use fake::tracks::TracksCluster;
use fake::tracks::TracksStoreMode;
use fake::tracks::Worker;
use fake::tracks::names;
use std::path;
use std::thread;
use std::time;

/// Longest wait for a process to end by itself.
const END: time::Duration = time::Duration::from_secs(30);

fn program() -> &'static path::Path {
    path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"))
}

/// A yard with one entry that serves.
fn yard(stages: &[&'static str], hosts: usize) -> TracksCluster {
    let mut yard = TracksCluster::new(program(), stages, hosts, 1);
    yard.start();
    yard
}

fn ids(body: &str) -> Vec<u64> {
    let lines = body.lines().filter_map(|l| l.strip_prefix("id: "));
    lines.filter_map(|i| i.parse().ok()).collect()
}

/// Runs that a worker began: neither prompts nor calls of the system's own.
fn runs(worker: &Worker) -> usize {
    worker
        .received()
        .iter()
        .filter(|a| a.is_client_request())
        .count()
}

fn ran(yard: &TracksCluster) -> usize {
    yard.hosts.iter().map(runs).sum()
}

#[test]
fn stream_seat_first_then_prompt() {
    let yard = yard(&["prefill", "decode"], 0);
    let asked = yard.request_stream(0, "/resumable/a?b=c", &[]);
    assert_eq!((asked.status, asked.complete), (200, true), "{asked:?}");
    assert_eq!(ids(&asked.body), [1, 2, 3, 4, 5]);
    assert!(asked.headers.contains("seal-"), "{asked:?}");
    let decode = yard.engines[1].received();
    assert_eq!(decode[0].path, names::RESERVE_PATH);
    let run = &decode[1];
    assert_eq!(
        (run.path.as_str(), run.body.as_str()),
        ("/resumable/a?b=c", "a prompt")
    );
    let source = format!("{}/h1", yard.engines[0].address());
    assert_eq!(run.header(names::KV_SOURCE), source);
    assert_eq!(run.header(names::KV_HOLD), "d1");
    assert_eq!(run.header(names::EXPECT_INSTANCE), "engine-1");
    assert_eq!(run.header(names::TENANT), "tenant-a");
    assert_eq!(run.header("api-key"), "");
    let left: u64 = run.header(names::DEADLINE_MS).parse().expect("a number");
    assert!(left <= 8_000, "{left}");
}

#[test]
fn headers_of_the_system_are_the_entrys_to_set() {
    let yard = yard(&["prefill", "decode"], 1);
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
    let asked = yard.request_stream(0, "/once/a", &forged);
    assert_eq!(asked.status, 200, "{asked:?}");
    let asked = yard.request(0, "GET", "/status/a", "", &forged);
    assert_eq!(asked.status, 200, "{asked:?}");
    let run = yard.engines[1].received_under("/once/").remove(0);
    let call = yard.hosts[0].received_under("/status/").remove(0);
    for arrival in [&run, &call] {
        assert_eq!(arrival.header(names::TENANT), "tenant-a");
        assert_eq!(arrival.header("x-kept"), "kept");
        let dropped = [
            names::KV_BACKUP,
            names::PIN_MS,
            names::EXPECT_VERSION,
            names::PRIORITY,
        ];
        for name in dropped {
            assert_eq!(arrival.header(name), "", "{name}");
        }
        assert_eq!(arrival.header("kv-fetch"), "");
        assert_ne!(arrival.header(names::KV_HOLD), "forged");
        assert_ne!(arrival.header(names::KV_SOURCE), "forged");
    }
    assert_eq!(call.header(names::SERVING_STAGE), "");
}

#[test]
fn leaving_engine_gets_nothing_after_a_prompt() {
    let yard = yard(&["prefill", "decode", "decode"], 0);
    yard.engines[0].set_behaviour(|m| m.prefill_paused = true);
    // So long a prompt is given some seconds.
    let long = [(names::TOKEN_COUNTS, "39000,100")];
    thread::scope(|scope| {
        let asking = scope.spawn(|| yard.request(0, "POST", "/resumable/a", "", &long));
        let asked = |y: &TracksCluster| y.engines[1..].iter().any(|e| e.hold_count() == 1);
        yard.wait_until(asked);
        let chosen = yard.engines[1..].iter().find(|e| e.hold_count() == 1);
        let chosen = chosen.expect("one has kept a seat");
        yard.list_worker(chosen, "llm", "draining");
        yard.wait_until(|y| y.entries[0].log().contains("state=Draining"));
        yard.engines[0].set_behaviour(|m| m.prefill_paused = false);
        let asked = asking.join().expect("the caller doesn't panic");
        assert_eq!(asked.status, 200, "{asked:?}");
        assert_eq!(runs(chosen), 0, "{}", yard.entries[0].log());
    });
}

#[test]
fn broken_stream_goes_on_without_gap_or_repeat() {
    let yard = yard(&["prefill", "decode", "decode"], 0);
    for engine in &yard.engines[1..] {
        engine.set_behaviour(|m| m.event_count = 9);
    }
    yard.engines[1].set_behaviour(|m| m.abort_after = Some(4));
    // Engines that are alike are drawn: in so many draws each one comes up.
    for _ in 0..64 {
        let asked = yard.request_stream(0, "/resumable/a", &[]);
        if asked.complete && runs(&yard.engines[1]) == 0 {
            continue;
        }
        assert_eq!(ids(&asked.body), (1..=9).collect::<Vec<_>>(), "{asked:?}");
        let resumed = yard.engines[2].received_under("/resumable/");
        let after = resumed.iter().map(|a| a.header("last-event-id").to_owned());
        assert!(after.into_iter().any(|a| a == "4"), "{resumed:?}");
        return;
    }
    panic!("the engine that breaks was never chosen");
}

#[test]
fn broken_stream_that_runs_once_is_not_run_again() {
    let yard = yard(&["prefill", "decode", "decode"], 0);
    for engine in &yard.engines[1..] {
        engine.set_behaviour(|m| m.abort_after = Some(2));
    }
    let asked = yard.request_stream(0, "/once/a", &[]);
    assert!(!asked.complete, "{asked:?}");
    let begun: usize = yard.engines[1..].iter().map(runs).sum();
    assert_eq!(begun, 1);
}

#[test]
fn nothing_stays_held_for_a_caller_that_has_gone() {
    let yard = yard(&["prefill", "decode"], 0);
    yard.engines[0].set_behaviour(|m| m.prefill_time = time::Duration::from_millis(400));
    thread::scope(|scope| {
        scope.spawn(|| {
            use std::io::Write;
            let mut line =
                std::net::TcpStream::connect(yard.entries[0].caller_address).expect("it listens");
            let head = format!(
                "POST /once/a HTTP/1.1\r\nhost: agency.example\r\napi-key: key-a\r\n\
                {}: 77\r\n{}: 1000,100\r\ncontent-length: 0\r\n\r\n",
                names::REQUEST_ID,
                names::TOKEN_COUNTS,
            );
            line.write_all(head.as_bytes()).expect("it reads");
            yard.wait_until(|y| y.engines[1].hold_count() == 1);
        });
    });
    yard.wait_until(|y| y.engines[1].hold_count() == 0 && y.engines[0].handle_count() == 0);
    assert_eq!(runs(&yard.engines[1]), 0);
}

#[test]
fn failed_call_idempotent_is_tried_once_more() {
    let yard = yard(&[], 2);
    yard.hosts[0].set_behaviour(|m| m.status = 500);
    yard.hosts[1].set_behaviour(|m| m.status = 500);
    let asked = yard.request(0, "GET", "/status/a", "", &[]);
    assert_eq!(asked.status, 500);
    assert!(asked.headers.contains("seal-"), "{asked:?}");
    assert_eq!(ran(&yard), 2);
}

#[test]
fn failed_call_that_runs_once_is_not_repeated() {
    let yard = yard(&[], 2);
    for host in &yard.hosts {
        host.set_behaviour(|m| m.status = 500);
    }
    let asked = yard.request(0, "POST", "/order/a", "an order", &[]);
    assert_eq!(asked.status, 500);
    assert_eq!(ran(&yard), 1);
}

#[test]
fn lost_answer_that_runs_once_promises_nothing() {
    let yard = yard(&[], 2);
    for host in &yard.hosts {
        host.set_behaviour(|m| m.drop_responses = true);
    }
    let asked = yard.request(0, "POST", "/order/a", "an order", &[]);
    assert!(matches!(asked.status, 502 | 504), "{asked:?}");
    assert_eq!(ran(&yard), 1);
}

#[test]
fn refused_call_says_when_to_come_back() {
    let yard = yard(&[], 1);
    yard.hosts[0].set_behaviour(|m| m.shed_calls = true);
    let asked = yard.request(0, "POST", "/order/a", "an order", &[]);
    assert_eq!(asked.status, 503);
    assert!(asked.headers.contains("retry-after"), "{asked:?}");
}

#[test]
fn promise_without_the_hosts_word_is_not_passed_on() {
    let yard = yard(&[], 1);
    yard.hosts[0].set_behaviour(|m| m.status = 503);
    let asked = yard.request(0, "POST", "/order/a", "an order", &[]);
    assert_eq!(asked.status, 504, "{asked:?}");
    assert!(!asked.headers.contains("seal-"), "{asked:?}");
}

#[test]
fn refusals_name_what_is_wrong() {
    let yard = yard(&[], 1);
    let status = |asked: EntryResponse| asked.status;
    assert_eq!(
        status(yard.request(0, "GET", "/status/a", "", &[("api-key", "key-x")])),
        401
    );
    assert_eq!(
        status(yard.request(0, "GET", "/status/a", "", &[("api-key", "")])),
        401
    );
    assert_eq!(status(yard.request(0, "GET", "/nowhere/a", "", &[])), 404);
    assert_eq!(
        status(yard.request(0, "GET", "/open/a", "", &[("api-key", "")])),
        200
    );
    let large = "x".repeat(100_001);
    assert_eq!(
        status(yard.request(0, "POST", "/order/a", &large, &[])),
        413
    );
    let bad = [(names::DEADLINE_MS, "soon")];
    assert_eq!(status(yard.request(0, "GET", "/status/a", "", &bad)), 400);
}

#[test]
fn allowance_excess_is_refused_with_a_time() {
    let yard = yard(&[], 1);
    let keyed = [("api-key", "key-b")];
    let began = time::Instant::now();
    let asked: Vec<EntryResponse> = (0..40)
        .map(|_| yard.request(0, "GET", "/status/a", "", &keyed))
        .collect();
    let served = asked.iter().filter(|a| a.status == 200).count();
    // 500 units a second over 8 s and a burst of 500, at 200 units each, and
    // what the rate has given since, should this have taken so long.
    let since = (began.elapsed().as_secs_f64() * 500.0 / 200.0) as usize;
    assert!((22..=22 + since).contains(&served), "{served} {since}");
    let refused = asked
        .iter()
        .find(|a| a.status == 429)
        .expect("some are refused");
    assert!(refused.headers.contains("retry-after"), "{refused:?}");
}

#[test]
fn entry_without_a_configuration_is_not_ready() {
    let mut yard = TracksCluster::new(program(), &[], 1, 1);
    yard.entries[0].start();
    yard.wait_until(|y| y.request(0, "GET", "/status/a", "", &[]).status == 503);
    assert!(!yard.is_ready(0));
    yard.configure(|_| {});
    yard.wait_until(|y| y.is_ready(0));
    assert_eq!(yard.request(0, "GET", "/status/a", "", &[]).status, 200);
}

#[test]
fn configuration_changes_and_never_goes_back() {
    let mut yard = yard(&[], 1);
    let old = yard.configuration.to_string();
    yard.configure(|a| a["routes"][3]["prefix"] = "/moved/".into());
    yard.wait_until(|y| y.request(0, "GET", "/moved/a", "", &[]).status == 200);
    assert_eq!(yard.request(0, "GET", "/status/a", "", &[]).status, 404);
    yard.store.put(names::CONFIGURATION_KEY, old.as_bytes());
    yard.wait_until(|y| y.entries[0].log().contains("event=configuration_older"));
    assert_eq!(yard.request(0, "GET", "/moved/a", "", &[]).status, 200);
}

#[test]
fn configuration_unreadable_leaves_the_old_one() {
    let yard = yard(&[], 1);
    yard.store.put(
        names::CONFIGURATION_KEY,
        b"{\"version\": 99, \"routes\": 7}",
    );
    yard.wait_until(|y| {
        y.entries[0]
            .log()
            .contains("event=configuration_unreadable")
    });
    assert_eq!(yard.request(0, "GET", "/status/a", "", &[]).status, 200);
}

#[test]
fn history_lost_while_watching_is_read_anew() {
    let mut yard = yard(&[], 1);
    yard.store.compact();
    yard.configure(|a| a["routes"][3]["prefix"] = "/moved/".into());
    yard.wait_until(|y| y.request(0, "GET", "/moved/a", "", &[]).status == 200);
}

#[test]
fn entry_of_another_writer_names_no_worker() {
    let yard = yard(&[], 1);
    yard.store
        .put(&names::member_key("odd-1"), b"\xff\xfe not text");
    yard.store.put(
        &names::member_key("odd-2"),
        br#"{"service":"app","address":7}"#,
    );
    yard.wait_until(|y| y.entries[0].log().contains("event=member_unreadable"));
    assert_eq!(yard.request(0, "GET", "/status/a", "", &[]).status, 200);
}

#[test]
fn store_out_does_not_stop_service() {
    let yard = yard(&["prefill", "decode"], 1);
    for mode in [
        TracksStoreMode::Unavailable,
        TracksStoreMode::Busy,
        TracksStoreMode::DropResponses,
    ] {
        yard.store.set_mode(mode);
        thread::sleep(time::Duration::from_millis(300));
        assert_eq!(
            yard.request(0, "GET", "/status/a", "", &[]).status,
            200,
            "{mode:?}"
        );
        assert_eq!(
            yard.request_stream(0, "/resumable/a", &[]).status,
            200,
            "{mode:?}"
        );
    }
    yard.store.set_mode(TracksStoreMode::Normal);
    yard.wait_until(|y| y.entries[0].log().contains("event=store_regained"));
}

#[test]
fn host_missing_from_the_list_gets_nothing() {
    let yard = yard(&[], 2);
    yard.store.remove(&names::member_key("host-0"));
    yard.wait_until(|y| y.entries[0].log().contains("id=host-0 state=Gone"));
    let before = runs(&yard.hosts[0]);
    for _ in 0..10 {
        assert_eq!(yard.request(0, "GET", "/status/a", "", &[]).status, 200);
    }
    assert_eq!(runs(&yard.hosts[0]), before);
}

#[test]
fn stop_lets_a_stream_finish() {
    let mut yard = yard(&["prefill", "decode"], 0);
    yard.engines[1].set_behaviour(|m| {
        m.event_count = 40;
        m.event_interval = time::Duration::from_millis(100);
    });
    thread::scope(|scope| {
        let asking = scope.spawn(|| yard.request_stream(0, "/once/a", &[]));
        yard.wait_until(|y| runs(&y.engines[1]) == 1);
        assert!(yard.entries[0].signal("TERM"));
        yard.wait_until(|y| !y.is_ready(0));
        let asked = asking.join().expect("the caller doesn't panic");
        assert!(asked.complete, "{asked:?}");
        assert_eq!(ids(&asked.body).len(), 40);
    });
    assert_eq!(yard.entries[0].wait_for_exit(END), Some(0));
}

#[test]
fn settings_reload_by_signal() {
    let yard = yard(&[], 1);
    assert!(yard.entries[0].signal("HUP"));
    yard.wait_until(|y| y.entries[0].log().contains("event=reload changed=false"));
    yard.entries[0].edit_settings("grace_s = 8", "grace_s = 9");
    assert!(yard.entries[0].signal("HUP"));
    yard.wait_until(|y| y.entries[0].log().contains("event=reload changed=true"));
    assert_eq!(yard.request(0, "GET", "/status/a", "", &[]).status, 200);
}

#[test]
fn word_to_reload_before_the_settings_are_read_ends_nothing() {
    let mut yard = TracksCluster::new(program(), &[], 1, 1);
    yard.configure(|_| {});
    yard.entries[0].start_with_delayed_settings(|e| assert!(e.signal("HUP")));
    yard.wait_until(|y| y.is_ready(0));
    assert_eq!(yard.request(0, "GET", "/status/a", "", &[]).status, 200);
}

#[test]
fn word_to_stop_before_the_settings_are_read_is_kept() {
    let mut yard = TracksCluster::new(program(), &[], 1, 1);
    yard.configure(|_| {});
    yard.entries[0].start_with_delayed_settings(|e| assert!(e.signal("TERM")));
    assert_eq!(yard.entries[0].wait_for_exit(END), Some(0));
}

#[test]
fn settings_reload_without_a_signal() {
    let yard = yard(&[], 1);
    yard.entries[0].edit_settings("budget_slack = 56", "budget_slack = 57");
    yard.wait_until(|y| y.entries[0].log().contains("event=reload changed=true"));
}

#[test]
fn settings_that_are_wrong_change_nothing() {
    let yard = yard(&[], 1);
    yard.entries[0].edit_settings("grace_s = 8", "grace_s = \"long\"");
    assert!(yard.entries[0].signal("HUP"));
    let refused = "event=settings_refused fault=\"bounds.grace_s: expected a number";
    yard.wait_until(|y| y.entries[0].log().contains(refused));
    assert_eq!(yard.request(0, "GET", "/status/a", "", &[]).status, 200);
}

#[test]
fn orders_come_from_one_holder_with_its_fence() {
    let stages = [
        "prefill", "prefill", "prefill", "prefill", "decode", "decode",
    ];
    let mut yard = TracksCluster::new(program(), &stages, 0, 2);
    for engine in &yard.engines {
        // Streams that hold memory for a while, as most of the load is.
        engine.set_behaviour(|m| m.event_interval = time::Duration::from_millis(60));
    }
    yard.start();
    // Engines are told apart by speed only after each has read a prompt.
    let prompts = |y: &TracksCluster| {
        y.engines[..4]
            .iter()
            .all(|e| !e.received_under("/once/").is_empty())
    };
    yard.wait_until(|y| {
        for entry in 0..2 {
            y.request_stream(entry, "/once/a", &[]);
        }
        prompts(y)
    });
    yard.wait_until(|y| {
        y.request_stream(0, "/once/a", &[]);
        y.engines
            .iter()
            .any(|e| !e.received_under(names::ORDER_PATH).is_empty())
    });
    let orders = yard
        .engines
        .iter()
        .flat_map(|e| e.received_under(names::ORDER_PATH));
    let fence = yard.store.revision("hornbeampitch/holder");
    let holder = yard.store.value("hornbeampitch/holder").unwrap_or_default();
    for order in orders {
        let body: serde_json::Value = serde_json::from_str(&order.body).expect("JSON");
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
fn peers_tell_what_the_store_does_not() {
    let mut yard = TracksCluster::new(program(), &[], 1, 2);
    yard.start();
    yard.wait_until(|y| y.entries.iter().all(|e| e.log().contains("event=peer ")));
    // The first is stopped, misses a version, and finds the store gone.
    assert!(yard.entries[0].signal("STOP"));
    yard.configure(|a| a["routes"][3]["prefix"] = "/moved/".into());
    yard.wait_until(|y| y.request(1, "GET", "/moved/a", "", &[]).status == 200);
    yard.store.set_mode(TracksStoreMode::Unavailable);
    assert!(yard.entries[0].signal("CONT"));
    yard.wait_until(|y| y.request(0, "GET", "/moved/a", "", &[]).status == 200);
}

#[test]
fn request_that_crashes_hosts_is_not_run_on_a_third() {
    let mut yard = TracksCluster::new(program(), &[], 3, 2);
    yard.start();
    yard.wait_until(|y| y.entries.iter().all(|e| e.log().contains("event=peer ")));
    for host in &yard.hosts {
        host.set_behaviour(|m| m.crash_body = Some("poison"));
    }
    let ask = |y: &TracksCluster| y.request(0, "POST", "/order/a", "poison", &[]).status;
    let crashed = |y: &TracksCluster| y.hosts.iter().filter(|h| h.crashed()).count();
    for count in 1..=2 {
        assert!(matches!(ask(&yard), 502 | 504));
        assert_eq!(crashed(&yard), count);
        let noted = |y: &TracksCluster| y.entries[1].log().matches("event=crash ").count() == count;
        yard.wait_until(noted);
        // The platform's list drops what has crashed.
        for host in yard.hosts.iter().filter(|h| h.crashed()) {
            yard.store.remove(&names::member_key(&host.id));
        }
        let gone = |e: &EntryDaemon| e.log().matches("state=Gone").count() == count;
        yard.wait_until(|y| y.entries.iter().all(gone));
    }
    // Its caller sends it again, also elsewhere; another request still runs.
    assert_eq!(ask(&yard), 503);
    assert_eq!(
        yard.request(1, "POST", "/order/a", "poison", &[]).status,
        503
    );
    assert_eq!(crashed(&yard), 2);
    assert_eq!(
        yard.request(1, "POST", "/order/a", "sound", &[]).status,
        200
    );
}

#[test]
fn slow_prompt_is_given_its_time() {
    let yard = yard(&["prefill", "prefill", "decode"], 0);
    for engine in &yard.engines[..2] {
        engine.set_behaviour(|m| m.prefill_time = time::Duration::from_millis(480));
    }
    let asked = yard.request_stream(0, "/once/a", &[]);
    assert_eq!(asked.status, 200, "{asked:?}");
    let prompts = |w: &Worker| w.received_under("/once/").len();
    assert_eq!(prompts(&yard.engines[0]) + prompts(&yard.engines[1]), 1);
}

#[test]
fn stop_closes_kept_connections() {
    let yard = yard(&[], 1);
    let before = yard.request(0, "GET", "/status/a", "", &[]);
    assert!(!before.headers.contains("close"), "{before:?}");
    assert!(yard.entries[0].signal("TERM"));
    yard.wait_until(|y| !y.is_ready(0));
    let after = yard.request(0, "GET", "/status/a", "", &[]);
    assert_eq!(after.status, 200);
    assert!(
        after.headers.contains("\"connection\": \"close\""),
        "{after:?}"
    );
}

#[test]
fn stop_takes_nothing_late_in_its_grace() {
    let yard = yard(&["prefill", "decode"], 1);
    yard.engines[1].set_behaviour(|m| {
        m.event_count = 60;
        m.event_interval = time::Duration::from_millis(100);
    });
    thread::scope(|scope| {
        let asking = scope.spawn(|| yard.request_stream(0, "/once/a", &[]));
        yard.wait_until(|y| runs(&y.engines[1]) == 1);
        assert!(yard.entries[0].signal("TERM"));
        let refused =
            |y: &TracksCluster| std::net::TcpStream::connect(y.entries[0].caller_address).is_err();
        yard.wait_until(refused);
        let before = runs(&yard.hosts[0]);
        assert_eq!(yard.request(0, "GET", "/status/a", "", &[]).status, 0);
        assert_eq!(runs(&yard.hosts[0]), before);
        let asked = asking.join().expect("the caller doesn't panic");
        assert!(asked.complete, "{asked:?}");
    });
}
