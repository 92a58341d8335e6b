//! Tests that what an entry of one zone learns reaches the entries of another zone, where
//! only two entries get its messages and pass them on to the third.

use fake::tracks::TracksCluster;
use fake::tracks::TracksStore;
use fake::tracks::TracksStoreMode;
use fake::tracks::names;
use std::ops;
use std::path;
use std::thread;
use std::time;
use yare::parameterized;

/// Entries of the first zone.
const NEAR: ops::Range<usize> = 0..3;
/// Entries of the second zone.
const FAR: ops::Range<usize> = 3..6;
/// Part of a prompt on which engines crash.
const CRASHING_PART: &str = "bad0bad0";
/// Calls that use up any allowance of the tests.
const MANY_CALLS: usize = 60;

/// Six entries of two zones, with a second address of their store.
struct TwoZones {
    cluster: TracksCluster,
    /// The store as the entries see it that were given to it.
    branch: TracksStore,
}

impl TwoZones {
    /// Prepares the entries; those in `at_branch` use the second address of the store.
    fn prepare(stages: &[&'static str], hosts: usize, at_branch: ops::Range<usize>) -> Self {
        let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
        let cluster = TracksCluster::new(program, stages, hosts, FAR.end);
        let branch = cluster.store.branch();
        for entry in &cluster.entries[FAR] {
            entry.set_setting("zone", "\"tararua\"");
        }
        for entry in &cluster.entries[at_branch] {
            entry.set_setting("address", &format!("\"{}\"", branch.address()));
        }
        Self { cluster, branch }
    }

    /// Starts the entries and waits until each knows all others.
    fn start(mut self) -> Self {
        self.cluster.start();
        let peers = |log: String| log.matches("event=peer ").count();
        let knows_all = |c: &TracksCluster| c.entries.iter().all(|e| peers(e.log()) >= 5);
        self.cluster.wait_until(knows_all);
        // Zones come with the first messages; until then, messages go to all directly.
        thread::sleep(time::Duration::from_millis(700));
        self
    }

    /// Waits until each of these entries has logged a text.
    fn wait_for_log(&self, entries: ops::Range<usize>, text: &str) {
        for entry in &self.cluster.entries[entries] {
            self.cluster.wait_until(|_| entry.log().contains(text));
        }
    }

    /// Lets a host tell one entry that it is leaving.
    fn leave(&self, host: usize, entry: usize) {
        let host = &self.cluster.hosts[host];
        let before = host.received().len();
        host.set_behaviour(|b| b.leaving = &["1"]);
        self.cluster.wait_until(|c| {
            c.request(entry, "GET", "/status/a", "", &[]);
            host.received().len() > before
        });
    }

    /// Makes calls of an organisation with a small allowance; returns how many were
    /// admitted.
    fn count_admitted(&self, entry: usize, calls: usize) -> usize {
        let headers = [("api-key", "key-b")];
        let calls = (0..calls).map(|_| {
            let response = self
                .cluster
                .request(entry, "GET", "/status/b", "", &headers);
            assert!([200, 429].contains(&response.status), "{response:?}");
            response.status
        });
        calls.filter(|status| *status == 200).count()
    }
}

fn leaving_line(host: usize) -> String {
    format!("event=host_leaving upstream=host-{host} ")
}

#[parameterized(
    of_the_first_zone = { 0 },
    of_the_second_zone = { 5 },
)]
fn leaving_notice_reaches_all_from_entry(reader: usize) {
    let zones = TwoZones::prepare(&[], 2, 0..0).start();
    zones.leave(0, reader);
    zones.wait_for_log(0..FAR.end, &leaving_line(0));
}

/// The window is longer than the test, so that no use leaves it on a slow machine. The
/// message that tells of the leaving host also has the use that was admitted before.
#[test]
fn allowance_used_in_one_zone_is_not_given_in_the_other() {
    let mut zones = TwoZones::prepare(&[], 2, 0..0);
    for entry in &zones.cluster.entries {
        entry.set_setting("quota_window_s", "600");
    }
    let limits = &mut zones.cluster.configuration["tenants"][1];
    limits["rate_per_s"] = 1.into();
    limits["burst"] = 6_000.into();
    let zones = zones.start();
    let admitted = zones.count_admitted(0, MANY_CALLS);
    // 600 s with 1 token a second and 6,000 tokens at once are 33 calls of 200 tokens.
    assert!((20..=33).contains(&admitted), "{admitted}");
    zones.leave(0, 0);
    zones.wait_for_log(0..FAR.end, &leaving_line(0));
    let later: usize = thread::scope(|scope| {
        let zones = &zones;
        let callers = (0..FAR.end).map(|e| scope.spawn(move || zones.count_admitted(e, 12)));
        let callers: Vec<_> = callers.collect();
        callers
            .into_iter()
            .map(|c| c.join().expect("the caller thread does not panic"))
            .sum()
    });
    assert!(admitted + later <= 33, "{admitted} and then {later}");
}

#[parameterized(
    for_a_zone = { FAR },
    for_all_but_one = { 1..6 },
)]
fn lists_and_configuration_arrive_while_the_store_is_away(away: ops::Range<usize>) {
    let mut zones = TwoZones::prepare(&[], 2, away.clone()).start();
    zones.branch.set_mode(TracksStoreMode::Unavailable);
    zones.wait_for_log(away, "event=store_lost");
    zones.cluster.configure(|_| {});
    let version = format!("version={} ", zones.cluster.configuration["version"]);
    let host = &zones.cluster.hosts[0];
    zones.cluster.list_worker(host, "app", "draining");
    zones.wait_for_log(0..FAR.end, &version);
    zones.wait_for_log(0..FAR.end, "event=upstream id=host-0 state=Draining ");
}

/// Of three entries two are relays of each sender, so each sender loses both of its relays in
/// one of the cases.
#[parameterized(
    first_and_second = { 3, 4, 5 },
    second_and_third = { 4, 5, 3 },
    third_and_first = { 5, 3, 4 },
)]
fn updates_arrive_while_two_are_lost_and_after_they_return(
    killed: usize,
    stopped: usize,
    remaining: usize,
) {
    let mut zones = TwoZones::prepare(&[], 7, 0..0).start();
    zones.cluster.entries[killed].kill();
    assert!(zones.cluster.entries[stopped].signal("STOP"));
    for sender in NEAR {
        zones.leave(sender, sender);
        zones.wait_for_log(remaining..remaining + 1, &leaving_line(sender));
    }
    assert!(zones.cluster.entries[stopped].signal("CONT"));
    zones.cluster.entries[killed].start();
    zones.cluster.wait_until(|c| c.is_ready(killed));
    for sender in NEAR {
        zones.leave(3 + sender, sender);
        zones.wait_for_log(0..FAR.end, &leaving_line(3 + sender));
    }
}

/// Verdicts are also kept in the store, which is away for the second zone.
#[test]
fn crash_verdict_reaches_the_other_zone() {
    let mut stages = vec!["prefill"];
    stages.resize(8, "decode");
    let zones = TwoZones::prepare(&stages, 0, FAR).start();
    for engine in &zones.cluster.engines {
        engine.set_behaviour(|b| b.crash_part = Some(CRASHING_PART));
    }
    zones.branch.set_mode(TracksStoreMode::Unavailable);
    zones.wait_for_log(FAR, "event=store_lost");
    let verdict = format!("event=condemned holds=part:{CRASHING_PART}");
    let prefix = format!("{CRASHING_PART}:300,0000a000:400");
    let headers = [(names::PROMPT_PREFIX, prefix.as_str())];
    // The same request again is condemned by its second crash.
    zones.cluster.wait_until(|c| {
        c.request_stream(0, "/once/a", &headers);
        c.entries[0].log().contains(&verdict)
    });
    zones.wait_for_log(0..FAR.end, &verdict);
}
