//! The promises, by what callers and upstream hosts have seen.

use crate::callers::ObservedResponse;
use crate::faults::Site;
use fake::tracks::ReceivedCall;
use fake::tracks::TracksCluster;
use fake::tracks::names;
use std::collections;
use std::thread;
use std::time;

/// How long after the last fault all entries must serve again.
const RECOVERY: time::Duration = time::Duration::from_secs(30);
/// How long after the last caller nothing may be held any more.
const TIDY: time::Duration = time::Duration::from_secs(20);
/// Lines of an entry's log that a finding shows, newest first.
const LAST_LINES: usize = 12;
/// Time between two looks.
const LOOK_GAP: time::Duration = time::Duration::from_millis(50);

/// Finds entries that do not serve again.
pub(crate) fn recovered(site: &Site) -> Vec<String> {
    let yard = site.yard.lock().expect("no panic holds it");
    let end = time::Instant::now() + RECOVERY;
    let mut found = Vec::new();
    for index in 0..yard.entries.len() {
        let serves = || {
            let plain = yard.request(index, "POST", "/status/a", "", &[]).status;
            plain == 200 && yard.request_stream(index, "/resumable/a", &[]).status == 200
        };
        while !serves() {
            if time::Instant::now() > end {
                let entry = &yard.entries[index];
                let log = entry.log();
                let last: Vec<&str> = log.lines().rev().take(LAST_LINES).collect();
                found.push(format!("{} does not serve again: {last:#?}", entry.host));
                break;
            }
            thread::sleep(LOOK_GAP);
        }
    }
    found
}

/// Judges what was seen.
pub(crate) fn judge(yard: &TracksCluster, seen: &[ObservedResponse]) -> Vec<String> {
    let runs = runs(yard);
    let mut found = Vec::new();
    for one in seen {
        let ran = runs.get(&one.id).copied().unwrap_or(0);
        let once = one.kind.runs_once();
        if once && ran > 1 {
            found.push(format!("{one:?} ran {ran} times"));
        }
        let promised = matches!(one.status, Some(408 | 421 | 429 | 503));
        if once && promised && ran > 0 {
            found.push(format!("{one:?} was said not to have run"));
        }
        found.extend(judge_answer(one));
    }
    found.extend(went_back(yard, seen));
    found.extend(held(yard));
    found
}

/// Finds answers by an older configuration than the same caller has had before
/// from the same life of an entry: upstream hosts see the version in the
/// organisation's name.
fn went_back(yard: &TracksCluster, seen: &[ObservedResponse]) -> Vec<String> {
    let versions = versions(yard);
    let mut newest = collections::BTreeMap::new();
    let mut found = Vec::new();
    for one in seen {
        let (Some(life), Some(version)) = (one.life, versions.get(&one.id)) else {
            continue;
        };
        let known = newest.entry((one.caller, life)).or_insert(*version);
        if version < known {
            found.push(format!("{one:?} by version {version} after {known}"));
        }
        *known = *version.max(known);
    }
    found
}

/// The version by which each request was let in.
fn versions(yard: &TracksCluster) -> collections::BTreeMap<String, u64> {
    let arrivals = yard.engines.iter().chain(&yard.hosts);
    let named = arrivals.flat_map(|w| w.received()).filter_map(|a| {
        let version = a.header(names::TENANT).strip_prefix("tenant-")?;
        let id = a.header(names::REQUEST_ID).to_owned();
        Some((id, version.parse().ok()?))
    });
    named.collect()
}

fn judge_answer(one: &ObservedResponse) -> Option<String> {
    if one.status != Some(200) {
        return None;
    }
    if one.seal != format!("seal-{}", one.id) {
        return Some(format!("{one:?} has another request's proof"));
    }
    if !one.kind.streams() {
        let right = format!("POST {}", one.id);
        return (one.whole && one.body != right).then(|| format!("{one:?} is not its answer"));
    }
    let lines = one.body.lines().filter_map(|l| l.strip_prefix("id: "));
    let ids: Vec<u64> = lines.filter_map(|i| i.parse().ok()).collect();
    let expected: Vec<u64> = (1..=ids.len() as u64).collect();
    let short = one.whole && ids.len() < EVENTS;
    (ids != expected || short).then(|| format!("{one:?} has a gap, a repeat or no end"))
}

/// Events of a whole stream of the stand-ins.
const EVENTS: usize = 5;

/// How often each request has run: each host counts what it began.
fn runs(yard: &TracksCluster) -> collections::BTreeMap<String, usize> {
    let mut runs = collections::BTreeMap::new();
    for worker in yard.engines.iter().chain(&yard.hosts) {
        let meant = |a: &ReceivedCall| {
            a.is_client_request() && a.header(names::EXPECT_INSTANCE) == worker.id
        };
        let begun = worker.received().into_iter().filter(meant);
        for arrival in begun {
            let id = arrival.header(names::REQUEST_ID).to_owned();
            *runs.entry(id).or_insert(0) += 1;
        }
    }
    runs
}

/// Finds what engines still hold when no caller is left.
fn held(yard: &TracksCluster) -> Option<String> {
    let end = time::Instant::now() + TIDY;
    let busy = || {
        yard.engines
            .iter()
            .any(|e| e.active_streams() > 0 || e.handle_count() > 0 || e.hold_count() > 0)
    };
    while busy() {
        if time::Instant::now() > end {
            return Some("engines still hold something".to_owned());
        }
        thread::sleep(LOOK_GAP);
    }
    None
}
