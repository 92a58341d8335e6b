//! Keeps in the platform's store which organisations are well ahead of their rate, so
//! that a restart of all entries grants none of them its allowance anew.

use crate::entry::Entry;
use seam::Store;
use std::rc;
use std::time;

/// Key of the use in the store. It is held by the writer's lease.
const USAGE_KEY: &str = "hornbeampitch/usage";
/// Interval at which the writer looks for use that must be written.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Pause after a failed call to the store.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(400);

/// Reads the use that was kept over this entry's restart, and from then on keeps it
/// while this entry is the first one of all.
pub(crate) async fn keep_usage<P: seam::Platform>(entry: rc::Rc<Entry<P>>) {
    let mut revision = restore(&entry).await;
    let mut written = pool::HeavyUse::default();
    while !entry.is_stopping() {
        tokio::time::sleep(CHECK_INTERVAL).await;
        // What was written before the store came back from a copy may be gone.
        let is_lost = revision.is_some_and(|r: seam::Revision| r.era != entry.store.era());
        if is_lost || entry.position().0 > 0 {
            written = pool::HeavyUse::default();
            revision = None;
        }
        if entry.position().0 > 0 {
            continue;
        }
        let heavy = entry
            .rate_limiter
            .borrow_mut()
            .heavy_use(time::Instant::now());
        if !heavy.outdates(&written) {
            continue;
        }
        match write(&entry, &heavy, revision).await {
            Ok(stored) => {
                revision = Some(stored);
                written = heavy;
            }
            Err(WriteError::Raced) => revision = None,
            Err(WriteError::Failed) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Why the use was not written.
enum WriteError {
    /// Another entry has written the key.
    Raced,
    /// The store did not answer, or this entry holds no lease.
    Failed,
}

/// Writes the use, and returns the key's new revision.
async fn write<P: seam::Platform>(
    entry: &Entry<P>,
    heavy: &pool::HeavyUse,
    revision: Option<seam::Revision>,
) -> Result<seam::Revision, WriteError> {
    let lease = entry.lease.get().ok_or(WriteError::Failed)?;
    let expected = match revision {
        Some(revision) => Some(revision),
        None => read(entry).await?.0,
    };
    let value = serde_json::to_vec(heavy).map_err(|_| WriteError::Failed)?;
    let swapped = entry
        .store
        .compare_and_swap(USAGE_KEY, expected, &value, Some(lease))
        .await;
    match swapped {
        Ok(seam::SwapResult::Done(revision)) => {
            trace::LogLine::new("usage_kept")
                .with("organisations", heavy.leads.len())
                .with("revision", revision)
                .info();
            Ok(revision)
        }
        Ok(seam::SwapResult::Mismatch) => Err(WriteError::Raced),
        Ok(seam::SwapResult::LeaseExpired) => Err(WriteError::Failed),
        Err(error) => {
            trace::LogLine::new("usage_unwritten")
                .with("fault", error)
                .info();
            Err(WriteError::Failed)
        }
    }
}

/// Reads the kept use with the key's revision; there is none without the key.
async fn read<P: seam::Platform>(
    entry: &Entry<P>,
) -> Result<(Option<seam::Revision>, pool::HeavyUse), WriteError> {
    let found = entry.store.get(USAGE_KEY).await;
    let found = found.map_err(|error| {
        trace::LogLine::new("usage_unread")
            .with("fault", error)
            .info();
        WriteError::Failed
    })?;
    let Some(item) = found.item else {
        return Ok((None, pool::HeavyUse::default()));
    };
    let value = item.value.unwrap_or_default();
    let heavy = serde_json::from_slice(&value).unwrap_or_else(|error| {
        trace::LogLine::new("usage_unreadable")
            .with("revision", item.revision)
            .with("fault", error)
            .warn();
        pool::HeavyUse::default()
    });
    Ok((Some(item.revision), heavy))
}

/// Reads the kept use until that has succeeded or a peer has told what was used;
/// returns the key's revision.
async fn restore<P: seam::Platform>(entry: &Entry<P>) -> Option<seam::Revision> {
    while !entry.rate_limiter.borrow().has_history() {
        if let Ok((revision, heavy)) = read(entry).await {
            entry.rate_limiter.borrow_mut().restore(&heavy);
            trace::LogLine::new("usage_restored")
                .with("organisations", heavy.leads.len())
                .with("revision", revision.unwrap_or_default())
                .info();
            return revision;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    None
}
