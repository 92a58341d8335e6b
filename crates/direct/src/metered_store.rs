//! Makes the calls to the platform's store, counts them by kind and outcome, and tells when
//! the store has come back from a copy.

use crate::meters;
use seam::Era;
use seam::LeaseId;
use seam::Revision;
use seam::StoreError;
use seam::SwapResult;
use std::cell;
use std::time;

/// A client of the store whose calls are counted.
#[derive(Debug)]
pub(crate) struct MeteredStore<S> {
    store: S,
    /// Era of the last response.
    era: cell::Cell<Option<Era>>,
}

impl<S: seam::Store> MeteredStore<S> {
    pub(crate) fn new(store: S) -> Self {
        Self {
            store,
            era: cell::Cell::new(None),
        }
    }

    /// Counts a call, and returns its result. `label` is that of a result without error.
    fn count<T>(
        &self,
        call: &str,
        result: Result<T, StoreError>,
        label: impl FnOnce(&T) -> &'static str,
    ) -> Result<T, StoreError> {
        let outcome = match &result {
            Ok(found) => label(found),
            Err(StoreError::Refused(_)) => "refused",
            Err(StoreError::NoResponse) => "no_response",
            Err(StoreError::InvalidResponse) => "invalid_response",
            Err(StoreError::Outdated) => "outdated",
        };
        meters::meters().count_store_call(call, outcome);
        if !matches!(result, Err(StoreError::NoResponse)) {
            self.record_era();
        }
        result
    }

    /// Logs and counts that the store has come back from a copy.
    fn record_era(&self) {
        let era = self.store.era();
        let before = self.era.replace(Some(era));
        if let Some(before) = before.filter(|b| *b < era) {
            meters::meters().store_returns.increment(era.0 - before.0);
            trace::LogLine::new("store_restored")
                .with("era", era)
                .with("before", before)
                .warn();
        }
    }
}

fn swap_label(result: &SwapResult) -> &'static str {
    match result {
        SwapResult::Done(_) => "done",
        SwapResult::Mismatch => "mismatch",
        SwapResult::LeaseExpired => "expired",
    }
}

impl<S: seam::Store> seam::Store for MeteredStore<S> {
    fn era(&self) -> Era {
        self.store.era()
    }

    async fn get(&self, key: &str) -> Result<seam::GetResult, StoreError> {
        self.count("get", self.store.get(key).await, |_| "done")
    }

    async fn list(&self, prefix: &str, stale: bool) -> Result<seam::ListResult, StoreError> {
        self.count("list", self.store.list(prefix, stale).await, |_| "done")
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: time::Duration,
    ) -> Result<seam::WatchResult, StoreError> {
        let result = self.store.watch(prefix, after, wait).await;
        self.count("watch", result, |result| match result {
            seam::WatchResult::Changes(..) => "done",
            seam::WatchResult::Compacted => "compacted",
        })
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<SwapResult, StoreError> {
        let result = self
            .store
            .compare_and_swap(key, expected, value, lease)
            .await;
        self.count("swap", result, swap_label)
    }

    async fn remove(&self, key: &str, expected: Revision) -> Result<SwapResult, StoreError> {
        self.count("remove", self.store.remove(key, expected).await, swap_label)
    }

    async fn grant_lease(&self, ttl: time::Duration) -> Result<LeaseId, StoreError> {
        self.count("grant_lease", self.store.grant_lease(ttl).await, |_| "done")
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let result = self.store.renew_lease(lease).await;
        self.count("renew_lease", result, |renewed| match renewed {
            true => "done",
            false => "expired",
        })
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.count(
            "revoke_lease",
            self.store.revoke_lease(lease).await,
            |()| "done",
        )
    }
}
