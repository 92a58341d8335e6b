//! Makes the calls to the platform's store, and counts them by kind and outcome.

use crate::meters;
use seam::StoreError;
use seam::SwapResult;
use std::time;

/// A client of the store whose calls are counted.
#[derive(Debug)]
pub(crate) struct MeteredStore<S>(S);

impl<S> MeteredStore<S> {
    pub(crate) fn new(store: S) -> Self {
        Self(store)
    }
}

/// Counts a call, and returns its result. `label` is that of a result without error.
fn count<T>(
    call: &str,
    result: Result<T, StoreError>,
    label: impl FnOnce(&T) -> &'static str,
) -> Result<T, StoreError> {
    let outcome = match &result {
        Ok(found) => label(found),
        Err(StoreError::Refused(_)) => "refused",
        Err(StoreError::NoResponse) => "no_response",
        Err(StoreError::InvalidResponse) => "invalid_response",
    };
    meters::meters().count_store_call(call, outcome);
    result
}

fn swap_label(result: &SwapResult) -> &'static str {
    match result {
        SwapResult::Done(_) => "done",
        SwapResult::Mismatch => "mismatch",
        SwapResult::LeaseExpired => "expired",
    }
}

impl<S: seam::Store> seam::Store for MeteredStore<S> {
    async fn get(&self, key: &str) -> Result<seam::GetResult, StoreError> {
        count("get", self.0.get(key).await, |_| "done")
    }

    async fn list(&self, prefix: &str, stale: bool) -> Result<seam::ListResult, StoreError> {
        count("list", self.0.list(prefix, stale).await, |_| "done")
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: time::Duration,
    ) -> Result<seam::WatchResult, StoreError> {
        let result = self.0.watch(prefix, after, wait).await;
        count("watch", result, |result| match result {
            seam::WatchResult::Changes(..) => "done",
            seam::WatchResult::Compacted => "compacted",
        })
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: u64,
        value: &[u8],
        lease: Option<seam::LeaseId>,
    ) -> Result<SwapResult, StoreError> {
        let result = self.0.compare_and_swap(key, expected, value, lease).await;
        count("swap", result, swap_label)
    }

    async fn remove(&self, key: &str, expected: u64) -> Result<SwapResult, StoreError> {
        count("remove", self.0.remove(key, expected).await, swap_label)
    }

    async fn grant_lease(&self, ttl: time::Duration) -> Result<seam::LeaseId, StoreError> {
        count("grant_lease", self.0.grant_lease(ttl).await, |_| "done")
    }

    async fn renew_lease(&self, lease: seam::LeaseId) -> Result<bool, StoreError> {
        let result = self.0.renew_lease(lease).await;
        count("renew_lease", result, |renewed| match renewed {
            true => "done",
            false => "expired",
        })
    }

    async fn revoke_lease(&self, lease: seam::LeaseId) -> Result<(), StoreError> {
        count(
            "revoke_lease",
            self.0.revoke_lease(lease).await,
            |()| "done",
        )
    }
}
