//! Keeps the configuration and the membership list up to date from the
//! platform's store.

use crate::entry::Entry;
use route::Backoff;
use seam::Store;
use std::rc;
use std::time;

/// Interval between two reads of the membership list. It is well below the time
/// after which a draining host must receive no more requests.
const LIST_INTERVAL: time::Duration = time::Duration::from_millis(650);
/// Interval at which an entry that gets the list from its peers checks the
/// list's age.
const AGE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Upper bound of the first backoff after a store failure.
const FIRST_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);
/// Upper bound of any backoff, so that a recovered store is used again within
/// a second.
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_millis(700);

/// Watches the configuration and applies its changes.
pub(crate) async fn watch_config<P: seam::Platform>(entry: rc::Rc<Entry<P>>) {
    let mut retry = StoreRetry::new("configuration");
    loop {
        let read = entry.store.get(P::CONFIG_KEY).await;
        let after = match read {
            Ok(found) => {
                if let Some(item) = found.item {
                    apply_item(&entry, item, "store");
                }
                found.revision
            }
            Err(error) => {
                retry.wait_after_failure(error).await;
                continue;
            }
        };
        if let Err(error) = entry.read_evacuations().await {
            retry.wait_after_failure(error).await;
            continue;
        }
        retry.reset();
        let Some(after) = after else {
            tokio::time::sleep(FIRST_RETRY_DELAY).await;
            continue;
        };
        if let Err(error) = watch_changes(&entry, after).await {
            retry.wait_after_failure(error).await;
        }
    }
}

/// Applies changes until the store has discarded the history after the last
/// revision, or a call fails.
async fn watch_changes<P: seam::Platform>(
    entry: &Entry<P>,
    after: seam::Revision,
) -> Result<(), seam::StoreError> {
    let mut after = after;
    loop {
        let wait = pool::watch_timeout(entry.reader_position());
        let prefix = match entry.has_evacuations() {
            true => P::OPERATOR_PREFIX,
            false => P::CONFIG_KEY,
        };
        match entry.store.watch(prefix, after, wait).await? {
            seam::WatchResult::Compacted => return Ok(()),
            seam::WatchResult::Changes(items, revision) => {
                entry.watch_evacuations(&items, revision);
                // A watch tells of all keys that begin with the one that is watched.
                for item in items.into_iter().filter(|i| i.key == P::CONFIG_KEY) {
                    apply_item(entry, item, "watch");
                }
                after = after.max(revision);
            }
        }
    }
}

/// Applies a configuration that was read, unless it was deleted.
fn apply_item<P: seam::Platform>(entry: &Entry<P>, item: seam::Item, from: &str) {
    if let Some(raw) = item.value {
        entry.apply_config(raw, item.revision.era, from);
    }
}

/// Reads the membership list at intervals.
pub(crate) async fn poll_members<P: seam::Platform>(entry: rc::Rc<Entry<P>>) {
    let mut retry = StoreRetry::new("members");
    loop {
        let age = entry.list_age(time::Instant::now());
        if !pool::reads_member_list(entry.reader_position(), age) {
            tokio::time::sleep(AGE_CHECK_INTERVAL).await;
            continue;
        }
        match entry.store.list(P::MEMBER_PREFIX, false).await {
            Ok(page) => {
                retry.reset();
                entry.apply_listing(page);
                tokio::time::sleep(LIST_INTERVAL).await;
            }
            Err(error) => retry.wait_after_failure(error).await,
        }
    }
}

/// Waits for a random backoff after each store failure, and logs the first failure
/// and the recovery.
struct StoreRetry {
    /// What is read from the store, for the log.
    reading: &'static str,
    /// Failures in a row.
    failures: u32,
    backoff: Backoff,
}

impl StoreRetry {
    fn new(reading: &'static str) -> Self {
        Self {
            reading,
            failures: 0,
            backoff: Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY),
        }
    }

    async fn wait_after_failure(&mut self, error: seam::StoreError) {
        if self.failures == 0 {
            trace::LogLine::new("store_lost")
                .with("reading", self.reading)
                .with("fault", error)
                .warn();
        }
        self.failures += 1;
        let wait = self.backoff.next_wait(&mut rand::rng());
        tokio::time::sleep(wait).await;
    }

    fn reset(&mut self) {
        if self.failures > 0 {
            trace::LogLine::new("store_regained")
                .with("reading", self.reading)
                .with("failures", self.failures)
                .info();
        }
        self.failures = 0;
        self.backoff.reset();
    }
}
