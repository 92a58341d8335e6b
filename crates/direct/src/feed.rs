//! What the platform's store tells: the configuration and the upstream hosts.

use crate::entry::Entry;
use crate::entry::Listing;
use route::Backoff;
use seam::Store;
use std::rc;
use std::time;

/// Time between two readings of the list of upstream hosts; well below the time
/// after which a leaving one may get nothing.
const LIST_GAP: time::Duration = time::Duration::from_millis(650);
/// How often an entry that has its list from others looks whether it is old.
const LOOK_GAP: time::Duration = time::Duration::from_millis(200);
/// The longest first pause after the store has failed.
const FAULT_PAUSE: time::Duration = time::Duration::from_millis(500);
/// The longest pause: the store that has come back is used within a second.
const FAULT_MOST: time::Duration = time::Duration::from_millis(700);

/// Follows the configuration.
pub(crate) async fn follow_agreement<P: seam::Platform>(entry: rc::Rc<Entry<P>>) {
    let mut pause = Pause::new("configuration");
    loop {
        let read = entry.store.get(P::CONFIG_KEY).await;
        let after = match read {
            Ok(found) => {
                if let Some(raw) = found.item.and_then(|i| i.value) {
                    entry.adopt(raw, "store");
                }
                found.revision
            }
            Err(fault) => {
                pause.fail(fault).await;
                continue;
            }
        };
        pause.succeed();
        if after == 0 {
            tokio::time::sleep(FAULT_PAUSE).await;
            continue;
        }
        if let Err(fault) = watch_agreement(&entry, after).await {
            pause.fail(fault).await;
        }
    }
}

/// Watches until the history is lost or the store fails.
async fn watch_agreement<P: seam::Platform>(
    entry: &Entry<P>,
    after: u64,
) -> Result<(), seam::StoreError> {
    let mut after = after;
    loop {
        let wait = pool::watch_timeout(entry.rank().0);
        match entry.store.watch(P::CONFIG_KEY, after, wait).await? {
            seam::WatchResult::Compacted => return Ok(()),
            seam::WatchResult::Changes(items, revision) => {
                for raw in items.into_iter().filter_map(|i| i.value) {
                    entry.adopt(raw, "watch");
                }
                after = after.max(revision);
            }
        }
    }
}

/// Follows the list of upstream hosts.
pub(crate) async fn follow_members<P: seam::Platform>(entry: rc::Rc<Entry<P>>) {
    let mut pause = Pause::new("members");
    loop {
        let age = entry.list_age(time::Instant::now());
        if !pool::reads_host_list(entry.rank().0, age) {
            tokio::time::sleep(LOOK_GAP).await;
            continue;
        }
        match entry.store.list(P::MEMBER_PREFIX, false).await {
            Ok(page) => {
                pause.succeed();
                let members = page
                    .items
                    .into_iter()
                    .filter_map(|i| Some((i.key, i.value?)))
                    .map(|(key, raw)| (key, String::from_utf8_lossy(&raw).into_owned()))
                    .collect();
                let revision = page.revision;
                entry.list(Listing { revision, members }, "store");
                tokio::time::sleep(LIST_GAP).await;
            }
            Err(fault) => pause.fail(fault).await,
        }
    }
}

/// Pauses between failures, drawn at random, and logs their first and last.
struct Pause {
    what: &'static str,
    failures: u32,
    backoff: Backoff,
}

impl Pause {
    fn new(what: &'static str) -> Self {
        Self {
            what,
            failures: 0,
            backoff: Backoff::new(FAULT_PAUSE, FAULT_MOST),
        }
    }

    async fn fail(&mut self, fault: seam::StoreError) {
        if self.failures == 0 {
            trace::Line::new("store_lost")
                .with("reading", self.what)
                .with("fault", fault)
                .warn();
        }
        self.failures += 1;
        let wait = self.backoff.next_wait(&mut rand::rng());
        tokio::time::sleep(wait).await;
    }

    fn succeed(&mut self) {
        if self.failures > 0 {
            trace::Line::new("store_regained")
                .with("reading", self.what)
                .with("failures", self.failures)
                .info();
        }
        self.failures = 0;
        self.backoff.reset();
    }
}
