//! Keeps the verdicts on what crashes engines in the platform's store, so that they
//! outlive a restart of all entries. An operator lifts one by deleting its key.

use crate::entry::Entry;
use crate::odd_records::OddRecord;
use seam::Store;
use std::collections;
use std::rc;
use std::time;

/// Prefix of the verdicts' keys in the store.
const KEY_PREFIX: &str = "hornbeampitch/crash/";
/// Longest name of a key behind the prefix; the store takes 200 bytes.
const MAX_NAME_BYTES: usize = 120;
/// Interval of looks while there is something to write or to remove.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Each entry waits this long for each entry before it to write a verdict.
const WRITE_STEP: time::Duration = time::Duration::from_millis(400);
/// Largest number of entries that are waited for.
const MAX_WRITE_STEPS: u32 = 20;
/// Pause after a failed write of a verdict.
const RETRY_DELAY: time::Duration = time::Duration::from_secs(2);

/// A verdict as it is kept in the store.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
struct StoredVerdict {
    /// The verdict; its age counts at `written_ms`.
    verdict: pool::VerdictReport,
    /// When it was written, in Unix milliseconds.
    written_ms: u64,
}

/// Writes new verdicts to the store and removes those that were lifted.
pub(crate) async fn keep_verdicts<P: seam::Platform>(entry: rc::Rc<Entry<P>>) {
    let mut due = collections::BTreeMap::new();
    loop {
        // What changes during the calls below counts too.
        let changed = entry.verdicts_changed.notified();
        let now = time::Instant::now();
        for (key, revision) in entry.outdated_keys.take() {
            remove(&entry, &key, revision).await;
        }
        let unwritten: Vec<pool::Verdict> = {
            let quarantine = entry.quarantine.borrow();
            let all = quarantine.verdicts(now);
            all.filter(|v| v.revision.is_none()).cloned().collect()
        };
        due.retain(|elements, _| unwritten.iter().any(|v| v.elements == *elements));
        let index = u32::try_from(entry.position().0).unwrap_or(MAX_WRITE_STEPS);
        let delay = WRITE_STEP * index.min(MAX_WRITE_STEPS);
        for verdict in &unwritten {
            let at = due.entry(verdict.elements.clone()).or_insert(now + delay);
            if *at <= now {
                *at = now + RETRY_DELAY;
                write(&entry, verdict, now).await;
            }
        }
        if unwritten.is_empty() && entry.outdated_keys.borrow().is_empty() {
            changed.await;
        } else {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Adopts the verdicts of a list of this system's keys, and lifts those whose keys an
/// operator has deleted.
pub(crate) fn apply_stored<P: seam::Platform>(entry: &Entry<P>, list: &seam::ListResult) {
    let now = time::Instant::now();
    let items = list.items.iter().filter(|i| i.key.starts_with(KEY_PREFIX));
    let (mut reports, mut odd) = (Vec::new(), Vec::new());
    for item in items {
        match decode(item) {
            Ok(stored) => {
                let since = unix_millis().saturating_sub(stored.written_ms);
                let mut report = stored.verdict;
                report.age_ms = report.age_ms.saturating_add(since);
                report.revision = Some(item.revision);
                reports.push(report);
            }
            Err(error) => odd.push(OddRecord {
                key: &item.key,
                value: item.value.as_deref().unwrap_or_default(),
                fault: error.to_string(),
            }),
        }
    }
    entry.log_odd("verdict_unreadable", "store", &odd);
    let elements: Vec<pool::ElementSet> = reports.iter().map(|r| r.elements.clone()).collect();
    entry.change_quarantine(|quarantine| {
        for report in &reports {
            quarantine.record_verdict(report, now);
        }
        quarantine.lift_removed(&elements, list.revision, now);
    });
    if entry.verdict_era.replace(list.revision.era) != list.revision.era {
        // Verdicts that a copy of the store lacks are written again.
        entry.verdicts_changed.notify_waiters();
    }
    if entry.position().0 == 0 {
        remove_outdated(entry, list, now);
    }
}

/// Has the keys removed whose verdicts are not in force: they are too old, answers have
/// lifted them, or another verdict covers them.
fn remove_outdated<P: seam::Platform>(
    entry: &Entry<P>,
    list: &seam::ListResult,
    now: time::Instant,
) {
    let quarantine = entry.quarantine.borrow();
    let in_force: Vec<String> = quarantine.verdicts(now).map(key_of).collect();
    drop(quarantine);
    let items = list.items.iter().filter(|i| i.key.starts_with(KEY_PREFIX));
    let readable = items.filter(|i| decode(i).is_ok());
    let outdated = readable.filter(|i| !in_force.contains(&i.key));
    let outdated: Vec<(String, seam::Revision)> =
        outdated.map(|i| (i.key.clone(), i.revision)).collect();
    if !outdated.is_empty() {
        entry.outdated_keys.borrow_mut().extend(outdated);
        entry.verdicts_changed.notify_waiters();
    }
}

fn decode(item: &seam::Item) -> Result<StoredVerdict, serde_json::Error> {
    serde_json::from_slice(item.value.as_deref().unwrap_or_default())
}

async fn write<P: seam::Platform>(entry: &Entry<P>, verdict: &pool::Verdict, now: time::Instant) {
    let stored = StoredVerdict {
        verdict: verdict.report(now),
        written_ms: unix_millis(),
    };
    let Ok(value) = serde_json::to_vec(&stored) else {
        return;
    };
    let key = key_of(verdict);
    let swapped = entry.store.compare_and_swap(&key, None, &value, None).await;
    match swapped {
        Ok(seam::SwapResult::Done(revision)) => {
            let mut quarantine = entry.quarantine.borrow_mut();
            quarantine.record_stored(&verdict.elements, revision);
            trace::LogLine::new("verdict_stored")
                .with("key", &key)
                .with("revision", revision)
                .info();
        }
        // Another entry has written it; the next list tells its revision. No lease is used.
        Ok(seam::SwapResult::Mismatch | seam::SwapResult::LeaseExpired) => {}
        Err(error) => trace::LogLine::new("verdict_unstored")
            .with("key", &key)
            .with("fault", error)
            .info(),
    }
}

/// Removes a key. One that another entry has removed or written anew is left alone.
async fn remove<P: seam::Platform>(entry: &Entry<P>, key: &str, revision: seam::Revision) {
    if let Err(error) = entry.store.remove(key, revision).await {
        trace::LogLine::new("verdict_unremoved")
            .with("key", key)
            .with("fault", error)
            .info();
    }
}

/// Returns the store key of a verdict: its elements where they make a key that is easy
/// to find, and otherwise a digest of them.
pub(crate) fn key_of(verdict: &pool::Verdict) -> String {
    let label = verdict.label();
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || b":+-_.".contains(&b);
    if label.len() <= MAX_NAME_BYTES && label.bytes().all(is_plain) {
        return format!("{KEY_PREFIX}{label}");
    }
    let digest = route::Digest::of_bytes(b"verdict", label.as_bytes());
    format!("{KEY_PREFIX}{digest}")
}

fn unix_millis() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
