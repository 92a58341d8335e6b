//! Checks the system's guarantees against what callers and upstream hosts observed.

use crate::callers;
use crate::callers::ObservedResponse;
use crate::faults::FaultTargets;
use fake::tracks::ReceivedCall;
use fake::tracks::RequestLog;
use fake::tracks::TracksCluster;
use fake::tracks::names;
use std::collections;
use std::thread;
use std::time;

/// Time after the last fault within which all entries must serve again.
const RECOVERY_LIMIT: time::Duration = time::Duration::from_secs(30);
/// Time after the last request within which engines must have released everything.
const RELEASE_LIMIT: time::Duration = time::Duration::from_secs(20);
/// Number of log lines of an entry that a violation contains, newest first.
const LOG_LINES: usize = 12;
/// An entry ends its answers this much earlier than the time limit of their request.
const DEADLINE_MARGIN: time::Duration = time::Duration::from_millis(100);
/// Time between two checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Returns a violation for each entry that does not serve again in time.
pub(crate) fn check_recovery(targets: &FaultTargets) -> Vec<String> {
    let cluster = targets.cluster.lock().expect("the mutex is not poisoned");
    let end = time::Instant::now() + RECOVERY_LIMIT;
    let mut violations = Vec::new();
    for index in 0..cluster.entries.len() {
        let is_serving = || {
            let plain_status = cluster.request(index, "POST", "/status/a", "", &[]).status;
            plain_status == 200 && cluster.request_stream(index, "/resumable/a", &[]).status == 200
        };
        while !is_serving() {
            if time::Instant::now() > end {
                let entry = &cluster.entries[index];
                let log = entry.log();
                let last_lines: Vec<&str> = log.lines().rev().take(LOG_LINES).collect();
                violations.push(format!(
                    "{} does not serve again; last log lines: {last_lines:#?}",
                    entry.host
                ));
                break;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
    violations
}

/// Returns all violations of the guarantees, found in the responses and in what engines
/// still hold.
pub(crate) fn check_guarantees(
    cluster: &TracksCluster,
    responses: &[ObservedResponse],
) -> Vec<String> {
    let execution_counts = execution_counts(cluster);
    let mut violations = Vec::new();
    for response in responses {
        let executions = execution_counts.get(&response.id).copied().unwrap_or(0);
        let runs_once = response.kind.runs_once();
        if runs_once && executions > 1 {
            violations.push(format!("{response:?} was executed {executions} times"));
        }
        let says_not_executed = matches!(response.status, Some(408 | 421 | 429 | 503));
        if runs_once && says_not_executed && executions > 0 {
            violations.push(format!(
                "{response:?} was executed although its status says that it was not"
            ));
        }
        violations.extend(check_response(response));
    }
    violations.extend(check_cuts(cluster, responses));
    violations.extend(check_configuration_order(cluster, responses));
    violations.extend(check_released(cluster));
    violations
}

/// Returns a violation for each request that an entry had read and whose connection ended
/// before the answer was whole, unless its worker broke off, its time limit passed or the
/// entry was killed.
fn check_cuts(cluster: &TracksCluster, responses: &[ObservedResponse]) -> Vec<String> {
    let execution_counts = execution_counts(cluster);
    let log = RequestLog::read(cluster);
    let is_cut = |r: &&ObservedResponse| {
        let is_read = execution_counts.contains_key(&r.id) || !log.lines(&r.id).is_empty();
        let is_overdue = r.duration + DEADLINE_MARGIN >= callers::REQUEST_TIMEOUT;
        let is_excused = r.entry_killed || is_overdue || log.cause(&r.id) == "broken";
        !r.complete && is_read && !is_excused
    };
    let cut = responses.iter().filter(is_cut);
    cut.map(|r| format!("{r:?} was cut off; its log lines: {:#?}", log.lines(&r.id)))
        .collect()
}

/// Returns a violation for each request that was handled with an older configuration than
/// an earlier one of the same caller to the same process of an entry. Upstream hosts see
/// the version in the organisation's name.
fn check_configuration_order(
    cluster: &TracksCluster,
    responses: &[ObservedResponse],
) -> Vec<String> {
    let configuration_versions = configuration_versions(cluster);
    let mut highest_versions = collections::BTreeMap::new();
    let mut violations = Vec::new();
    for response in responses {
        let (Some(entry_run), Some(version)) =
            (response.entry_run, configuration_versions.get(&response.id))
        else {
            continue;
        };
        let highest = highest_versions
            .entry((response.caller, entry_run))
            .or_insert(*version);
        if version < highest {
            violations.push(format!(
                "{response:?} was handled with version {version} after {highest}"
            ));
        }
        *highest = *version.max(highest);
    }
    violations
}

/// Returns the configuration version with which each request was accepted, by request id.
fn configuration_versions(cluster: &TracksCluster) -> collections::BTreeMap<String, u64> {
    let workers = cluster.engines.iter().chain(&cluster.hosts);
    let by_request = workers.flat_map(|w| w.received()).filter_map(|call| {
        let version = call.header(names::TENANT).strip_prefix("tenant-")?;
        let id = call.header(names::REQUEST_ID).to_owned();
        Some((id, version.parse().ok()?))
    });
    by_request.collect()
}

/// Checks the seal, the body and the events of a response with status 200. Returns the
/// violation, if there is one.
fn check_response(response: &ObservedResponse) -> Option<String> {
    if response.status != Some(200) {
        return None;
    }
    if response.seal != format!("seal-{}", response.id) {
        return Some(format!("{response:?} has the seal of another request"));
    }
    if !response.kind.streams() {
        let expected_body = format!("POST {}", response.id);
        return (response.complete && response.body != expected_body)
            .then(|| format!("{response:?} has the body of another response"));
    }
    let lines = response.body.lines().filter_map(|l| l.strip_prefix("id: "));
    let ids: Vec<u64> = lines.filter_map(|i| i.parse().ok()).collect();
    let expected_ids: Vec<u64> = (1..=ids.len() as u64).collect();
    let is_truncated = response.complete && ids.len() < STREAM_EVENTS;
    (ids != expected_ids || is_truncated)
        .then(|| format!("{response:?} has missing, repeated or too few events"))
}

/// Number of events in a complete stream of a fake engine.
const STREAM_EVENTS: usize = 5;

/// Returns how often each request was executed, by request id. An execution counts from
/// its start.
fn execution_counts(cluster: &TracksCluster) -> collections::BTreeMap<String, usize> {
    let mut execution_counts = collections::BTreeMap::new();
    for worker in cluster.engines.iter().chain(&cluster.hosts) {
        let is_executed = |call: &ReceivedCall| {
            call.is_client_request() && call.header(names::EXPECT_INSTANCE) == worker.id
        };
        let executed = worker.received().into_iter().filter(is_executed);
        for call in executed {
            let id = call.header(names::REQUEST_ID).to_owned();
            *execution_counts.entry(id).or_insert(0) += 1;
        }
    }
    execution_counts
}

/// Returns a violation if engines still hold a stream, a KV cache or a reservation after
/// the last caller has finished.
fn check_released(cluster: &TracksCluster) -> Option<String> {
    let end = time::Instant::now() + RELEASE_LIMIT;
    let is_holding = || {
        cluster
            .engines
            .iter()
            .any(|e| e.active_streams() > 0 || e.handle_count() > 0 || e.reservation_count() > 0)
    };
    while is_holding() {
        if time::Instant::now() > end {
            return Some("engines still hold streams, KV caches or reservations".to_owned());
        }
        thread::sleep(POLL_INTERVAL);
    }
    None
}
