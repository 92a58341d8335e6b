//! Tests the system with a store that is down, slow or loses responses, and with entries that are cut
//! off from it; an entry must never return to an older configuration.

mod session;

use fake::ClusterSpec;
use fake::StoreMode;
use session::TestSite;
use std::path;
use std::thread;
use std::time;

const PROMPT: &str = "Condition of the southern track [len=20]";

fn program() -> &'static path::Path {
    path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"))
}

fn two_entries() -> ClusterSpec {
    ClusterSpec {
        entries: 2,
        ..ClusterSpec::small()
    }
}

/// Checks that an entry serves a completion with its full answer.
fn assert_serves(site: &TestSite, entry: usize, key: &str) {
    let response = site.stream_completion(entry, key, PROMPT, 40);
    assert_eq!(response.text, fake::answer_text(PROMPT, 40), "{response:?}");
}

#[test]
fn completions_are_served_during_an_outage() {
    let site = TestSite::start(two_entries(), program(), &[]);
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster.store.kill();
    for i in 0..10 {
        assert_serves(&site, i % 2, &key);
    }
    site.cluster.store.restart();
    let (_, new_key) = site.issue_key(session::FARMS);
    assert_serves(&site, 0, &new_key);
    assert_serves(&site, 1, &new_key);
}

#[test]
fn entries_started_in_an_outage_serve_once_the_store_is_back() {
    let mut site = TestSite::start_fakes(two_entries(), program(), &[]);
    let (code, out) = site.run_client(&["apply", &site.documents_path]);
    assert_eq!(code, 0, "{out}");
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster.store.set_mode(StoreMode::Unavailable);
    site.spawn_daemons();
    let refused = site.stream_completion(0, &key, PROMPT, 40);
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.text.contains("unconfigured"), "{refused:?}");
    assert!(refused.text.contains("\"not_run\":true"), "{refused:?}");
    site.cluster.store.set_mode(StoreMode::Normal);
    site.wait_ready();
    assert_serves(&site, 0, &key);
}

#[test]
fn entry_started_in_an_outage_gets_its_state_from_its_peer() {
    let mut site = TestSite::start(two_entries(), program(), &[]);
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster.store.kill();
    site.cluster.daemons[1].kill();
    site.cluster.spawn(1);
    let has_share = site.cluster.wait_until(session::WAIT_LIMIT, |cluster| {
        session::read_metrics(cluster.daemons[1].admin_address)
            .contains("hornbeampitch_allowance_part 0.5")
    });
    assert!(has_share, "{}", site.cluster.daemons[1].log());
    // The entry's share of each allowance starts empty and fills at half the organisation's rate.
    session::sleep_ms(1_000);
    assert_serves(&site, 1, &key);
}

#[test]
fn slow_store_delays_no_completion() {
    let site = TestSite::start(two_entries(), program(), &[]);
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster
        .store
        .set_mode(StoreMode::Delay(time::Duration::from_secs(1)));
    assert_serves(&site, 0, &key);
    assert_serves(&site, 1, &key);
}

#[test]
fn entries_make_few_store_calls_after_an_outage() {
    let spec = ClusterSpec {
        entries: 3,
        services: 3,
        ..ClusterSpec::small()
    };
    let site = TestSite::start(spec, program(), &[]);
    site.cluster.store.kill();
    session::sleep_ms(3_000);
    let before = site.cluster.store.call_counts();
    site.cluster.store.restart();
    session::sleep_ms(4_000);
    let after = site.cluster.store.call_counts();
    // Each entry reads and watches two keys. It may repeat a call, but not retry without a delay.
    let reads = after.reads - before.reads;
    let watches = after.watches - before.watches;
    assert!(reads <= 3 * 2 * 3, "{reads} reads");
    assert!(watches <= 3 * 2 * 2, "{watches} watches");
    assert!(after.writes - before.writes <= 3);
}

#[test]
fn key_issue_with_a_lost_answer_is_read_back() {
    let site = TestSite::start(two_entries(), program(), &[]);
    site.cluster.store.set_mode(StoreMode::DropResponses(1));
    let (_, key) = site.issue_key(session::RANGERS);
    assert_serves(&site, 0, &key);
    let (code, listed) = site.run_client(&["key", "list"]);
    assert_eq!((code, listed.lines().count()), (0, 1), "{listed}");
}

#[test]
fn concurrent_applies_succeed_or_report_a_conflict() {
    let site = TestSite::start(two_entries(), program(), &[]);
    let results: Vec<(u8, String)> = thread::scope(|scope| {
        let operators: Vec<_> = (0..6)
            .map(|_| scope.spawn(|| site.run_client(&["apply", &site.documents_path])))
            .collect();
        let joined = operators.into_iter().map(|o| o.join());
        joined
            .map(|r| r.expect("no operator thread panics"))
            .collect()
    });
    let succeeded = results.iter().filter(|(code, _)| *code == 0).count();
    for (_, out) in results.iter().filter(|(code, _)| *code != 0) {
        assert!(
            out.contains("the configuration was changed by another operator"),
            "{out}"
        );
    }
    // Each successful apply made a revision of its own, after that of the first apply.
    let (_, shown) = site.run_client(&["show"]);
    assert!(
        shown.starts_with(&format!("# revision {}\n", succeeded + 1)),
        "{shown}"
    );
}

#[test]
fn concurrently_issued_keys_all_work() {
    let site = TestSite::start(two_entries(), program(), &[]);
    let keys: Vec<(String, String)> = thread::scope(|scope| {
        let operators: Vec<_> = (0..4)
            .map(|_| scope.spawn(|| site.issue_key(session::RANGERS)))
            .collect();
        let joined = operators.into_iter().map(|o| o.join());
        joined
            .map(|r| r.expect("no operator thread panics"))
            .collect()
    });
    for (_, key) in &keys {
        assert_serves(&site, 0, key);
        assert_serves(&site, 1, key);
    }
}

#[test]
fn withdrawn_key_is_refused_everywhere_also_in_an_outage() {
    let site = TestSite::start(two_entries(), program(), &[]);
    let (id, key) = site.issue_key(session::RANGERS);
    let (code, out) = site.run_client(&["key", "withdraw", &id]);
    assert_eq!(code, 0);
    assert!(out.contains("in force in 2 of 2 live entries"), "{out}");
    for entry in 0..2 {
        assert_eq!(site.stream_completion(entry, &key, PROMPT, 40).status, 401);
    }
    // An outage of the store does not make the key valid again.
    site.cluster.store.kill();
    for entry in 0..2 {
        assert_eq!(site.stream_completion(entry, &key, PROMPT, 40).status, 401);
    }
}

#[test]
fn resumed_entry_checks_its_configuration_before_it_serves() {
    let site = TestSite::start(two_entries(), program(), &[]);
    let (id, key) = site.issue_key(session::RANGERS);
    assert!(site.cluster.signal("entry-1", "STOP"));
    let (_, out) = site.run_client(&["key", "withdraw", &id]);
    assert!(out.contains("withdrawn"), "{out}");
    session::sleep_ms(2_000);
    assert!(site.cluster.signal("entry-1", "CONT"));
    let response = site.stream_completion(0, &key, PROMPT, 40);
    assert!([401, 503].contains(&response.status), "{response:?}");
    assert!(response.text.contains("\"not_run\":true"), "{response:?}");
}

#[test]
fn entry_without_store_and_host_list_refuses_requests_with_keys() {
    let spec = ClusterSpec {
        entries: 1,
        ..ClusterSpec::small()
    };
    let site = TestSite::start(spec, program(), &[]);
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster.store.kill();
    site.cluster.host_list.kill();
    assert_serves(&site, 0, &key);
    let is_refused = site.cluster.wait_until(session::WAIT_LIMIT, |_| {
        site.stream_completion(0, &key, PROMPT, 40).status == 503
    });
    assert!(is_refused);
    let response = site.stream_completion(0, &key, PROMPT, 40);
    assert!(response.text.contains("cut_off"), "{response:?}");
    site.cluster.store.restart();
    let recovered = site.cluster.wait_until(session::WAIT_LIMIT, |_| {
        site.stream_completion(0, &key, PROMPT, 40).status == 200
    });
    assert!(recovered);
}

#[test]
fn entry_removed_from_the_host_list_in_an_outage_refuses_requests_with_keys() {
    let site = TestSite::start(two_entries(), program(), &[]);
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster.store.kill();
    // Its peer may consider it gone and take over its share of the allowances.
    site.cluster.host_list.remove("entry-1");
    let is_refused = site.cluster.wait_until(session::WAIT_LIMIT, |_| {
        site.stream_completion(0, &key, PROMPT, 40)
            .text
            .contains("cut_off")
    });
    assert!(is_refused);
    assert_serves(&site, 1, &key);
    site.cluster.store.restart();
    let recovered = site.cluster.wait_until(session::WAIT_LIMIT, |_| {
        site.stream_completion(0, &key, PROMPT, 40).status == 200
    });
    assert!(recovered);
}

#[test]
fn watch_prints_each_new_revision() {
    let site = TestSite::start(two_entries(), program(), &[]);
    // Each of the two entries watches two keys, and each of the three engines' agents watches one.
    let wait_for_watches = |count: u64| {
        let reached = |cluster: &fake::TestCluster| cluster.store.call_counts().watches >= count;
        assert!(site.cluster.wait_until(session::WAIT_LIMIT, reached));
    };
    wait_for_watches(7);
    let result = thread::scope(|scope| {
        let watcher = scope.spawn(|| site.run_client(&["watch", "-n", "1"]));
        wait_for_watches(8);
        site.issue_key(session::RANGERS);
        watcher.join().expect("the watcher thread does not panic")
    });
    assert_eq!(result.0, 0);
    assert!(
        result.1.starts_with("revision 1\nrevision 2\n"),
        "{}",
        result.1
    );
}
