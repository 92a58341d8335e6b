//! The store down, slow or losing answers; entries cut off; configuration that
//! never goes back.

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

fn assert_answers(site: &TestSite, entry: usize, key: &str) {
    let response = site.stream_completion(entry, key, PROMPT, 40);
    assert_eq!(response.text, fake::answer_text(PROMPT, 40), "{response:?}");
}

#[test]
fn outage_stops_nothing_that_needs_no_claim() {
    let site = TestSite::start(two_entries(), program(), &[]);
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster.store.kill();
    for i in 0..10 {
        assert_answers(&site, i % 2, &key);
    }
    site.cluster.store.restart();
    let (_, newer) = site.issue_key(session::FARMS);
    assert_answers(&site, 0, &newer);
    assert_answers(&site, 1, &newer);
}

#[test]
fn store_out_at_start_serves_as_soon_as_it_is_back() {
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
    assert_answers(&site, 0, &key);
}

#[test]
fn entry_started_in_an_outage_learns_from_its_peer() {
    let mut site = TestSite::start(two_entries(), program(), &[]);
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster.store.kill();
    site.cluster.daemons[1].kill();
    site.cluster.spawn(1);
    let learnt = site.cluster.wait_until(session::WAIT_LIMIT, |cluster| {
        session::read_metrics(cluster.daemons[1].admin).contains("hornbeampitch_allowance_part 0.5")
    });
    assert!(learnt, "{}", site.cluster.daemons[1].log());
    // Its slice fills from nothing at half the rate.
    session::sleep_ms(1_000);
    assert_answers(&site, 1, &key);
}

#[test]
fn slow_store_slows_no_request() {
    let site = TestSite::start(two_entries(), program(), &[]);
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster
        .store
        .set_mode(StoreMode::Delay(time::Duration::from_secs(1)));
    assert_answers(&site, 0, &key);
    assert_answers(&site, 1, &key);
}

#[test]
fn return_after_an_outage_keeps_to_the_budget() {
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
    // Each entry reads and watches two keys; nothing is asked over and over.
    let reads = after.reads - before.reads;
    let watches = after.watches - before.watches;
    assert!(reads <= 3 * 2 * 3, "{reads} reads");
    assert!(watches <= 3 * 2 * 2, "{watches} watches");
    assert!(after.writes - before.writes <= 3);
}

#[test]
fn lost_answer_of_an_apply_is_read_back() {
    let site = TestSite::start(two_entries(), program(), &[]);
    site.cluster.store.set_mode(StoreMode::DropResponses(1));
    let (_, key) = site.issue_key(session::RANGERS);
    assert_answers(&site, 0, &key);
    let (code, listed) = site.run_client(&["key", "list"]);
    assert_eq!((code, listed.lines().count()), (0, 1), "{listed}");
}

#[test]
fn operators_who_race_are_told_apart() {
    let site = TestSite::start(two_entries(), program(), &[]);
    let results: Vec<(u8, String)> = thread::scope(|scope| {
        let operators: Vec<_> = (0..6)
            .map(|_| scope.spawn(|| site.run_client(&["apply", &site.documents_path])))
            .collect();
        let joined = operators.into_iter().map(|o| o.join());
        joined.map(|r| r.expect("no operator panics")).collect()
    });
    let won = results.iter().filter(|(code, _)| *code == 0).count();
    for (_, out) in results.iter().filter(|(code, _)| *code != 0) {
        assert!(
            out.contains("the configuration was changed by another operator"),
            "{out}"
        );
    }
    // Each that won made a revision of its own, after the first apply's.
    let (_, shown) = site.run_client(&["show"]);
    assert!(
        shown.starts_with(&format!("# revision {}\n", won + 1)),
        "{shown}"
    );
}

#[test]
fn keys_issued_by_racing_operators_all_work() {
    let site = TestSite::start(two_entries(), program(), &[]);
    let keys: Vec<(String, String)> = thread::scope(|scope| {
        let operators: Vec<_> = (0..4)
            .map(|_| scope.spawn(|| site.issue_key(session::RANGERS)))
            .collect();
        let joined = operators.into_iter().map(|o| o.join());
        joined.map(|r| r.expect("no operator panics")).collect()
    });
    for (_, key) in &keys {
        assert_answers(&site, 0, key);
        assert_answers(&site, 1, key);
    }
}

#[test]
fn configuration_is_in_force_within_seconds_and_never_goes_back() {
    let site = TestSite::start(two_entries(), program(), &[]);
    let (id, key) = site.issue_key(session::RANGERS);
    let (code, out) = site.run_client(&["key", "withdraw", &id]);
    assert_eq!(code, 0);
    assert!(out.contains("in force in 2 of 2 live entries"), "{out}");
    for entry in 0..2 {
        assert_eq!(site.stream_completion(entry, &key, PROMPT, 40).status, 401);
    }
    // A restart in an outage does not bring the key back.
    site.cluster.store.kill();
    for entry in 0..2 {
        assert_eq!(site.stream_completion(entry, &key, PROMPT, 40).status, 401);
    }
}

#[test]
fn entry_that_slept_checks_before_it_serves() {
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
fn entry_cut_off_from_all_stops_keyed_work() {
    let spec = ClusterSpec {
        entries: 1,
        ..ClusterSpec::small()
    };
    let site = TestSite::start(spec, program(), &[]);
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster.store.kill();
    site.cluster.hosts.kill();
    assert_answers(&site, 0, &key);
    let stopped = site.cluster.wait_until(session::WAIT_LIMIT, |_| {
        site.stream_completion(0, &key, PROMPT, 40).status == 503
    });
    assert!(stopped);
    let response = site.stream_completion(0, &key, PROMPT, 40);
    assert!(response.text.contains("cut_off"), "{response:?}");
    site.cluster.store.restart();
    let back = site.cluster.wait_until(session::WAIT_LIMIT, |_| {
        site.stream_completion(0, &key, PROMPT, 40).status == 200
    });
    assert!(back);
}

#[test]
fn entry_dropped_from_the_list_in_an_outage_stops_keyed_work() {
    let site = TestSite::start(two_entries(), program(), &[]);
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster.store.kill();
    // Its peers may take it for gone and divide its slice among them.
    site.cluster.hosts.remove("entry-1");
    let stopped = site.cluster.wait_until(session::WAIT_LIMIT, |_| {
        site.stream_completion(0, &key, PROMPT, 40)
            .text
            .contains("cut_off")
    });
    assert!(stopped);
    assert_answers(&site, 1, &key);
    site.cluster.store.restart();
    let back = site.cluster.wait_until(session::WAIT_LIMIT, |_| {
        site.stream_completion(0, &key, PROMPT, 40).status == 200
    });
    assert!(back);
}

#[test]
fn watch_prints_each_revision_as_it_comes() {
    let site = TestSite::start(two_entries(), program(), &[]);
    // Two entries watch two keys each, three engines' agents one.
    let opened = |count: u64| {
        let seen = |cluster: &fake::TestCluster| cluster.store.call_counts().watches >= count;
        assert!(site.cluster.wait_until(session::WAIT_LIMIT, seen));
    };
    opened(7);
    let watched = thread::scope(|scope| {
        let watcher = scope.spawn(|| site.run_client(&["watch", "-n", "1"]));
        opened(8);
        site.issue_key(session::RANGERS);
        watcher.join().expect("the watcher does not panic")
    });
    assert_eq!(watched.0, 0);
    assert!(
        watched.1.starts_with("revision 1\nrevision 2\n"),
        "{}",
        watched.1
    );
}
