//! The platform's metadata store: keys, compare-and-swap, leases and watches.

use crate::revision::Era;
use crate::revision::LeaseId;
use crate::revision::Revision;
use std::time;

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Name of the key.
    pub key: String,
    /// Value of the key; `None` where a watch reports that the key was deleted.
    pub value: Option<bytes::Bytes>,
    /// Store revision of the key's last change.
    pub revision: Revision,
}

/// Result of reading one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GetResult {
    /// The key and its value; `None` where the key does not exist.
    pub item: Option<Item>,
    /// Store revision of the read, from which a watch can continue; `None` where the
    /// store does not return it, as for a key that does not exist.
    pub revision: Option<Revision>,
}

/// Result of listing a prefix. Large lists are read in several pages, so later
/// items may be newer than `revision`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListResult {
    /// Items with the prefix, sorted by key.
    pub items: Vec<Item>,
    /// Store revision of the first page.
    pub revision: Revision,
}

/// Result of one watch call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResult {
    /// The changed items, and the revision from which to continue.
    Changes(Vec<Item>, Revision),
    /// The store has discarded the history after the given revision, or has come back
    /// from a copy since, so the caller must read the keys again.
    Compacted,
}

/// Result of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapResult {
    /// The value was written at this store revision.
    Done(Revision),
    /// The key's revision was not the expected one; nothing was written.
    Mismatch,
    /// The lease has expired; nothing was written.
    LeaseExpired,
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum StoreError {
    /// The store refused the call with this HTTP status; nothing was done.
    #[display("refused with status {_0}")]
    Refused(u16),
    /// No response arrived: the call may have been executed, or may yet be.
    #[display("no response")]
    NoResponse,
    /// The response is of an era of the store that is over; what it tells was undone.
    #[display("the response is of an earlier era of the store")]
    Outdated,
    /// The response could not be decoded.
    #[display("the response can't be decoded")]
    InvalidResponse,
}

/// The store calls that an entry makes. The platform counts each of them.
///
/// A revision or lease of an era that is over names nothing any more: a call with it has the
/// result of a revision that is gone or a lease that has expired.
pub trait Store {
    /// Returns the highest era of the store that a response has shown.
    fn era(&self) -> Era;

    /// Reads one key.
    async fn get(&self, key: &str) -> Result<GetResult, StoreError>;

    /// Reads all keys with a prefix. With `stale` the call is cheaper and the
    /// result may be seconds old.
    async fn list(&self, prefix: &str, stale: bool) -> Result<ListResult, StoreError>;

    /// Waits up to `wait` for changes of keys with the prefix that are newer than the
    /// revision `after`.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: time::Duration,
    ) -> Result<WatchResult, StoreError>;

    /// Writes a key if its revision is `expected`; `None` means that the key must not
    /// exist. With a lease, the key is deleted when the lease expires.
    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Option<Revision>,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<SwapResult, StoreError>;

    /// Deletes a key if its revision is `expected`. The result is the same as that of a
    /// write.
    async fn remove(&self, key: &str, expected: Revision) -> Result<SwapResult, StoreError>;

    /// Creates a lease that expires after `ttl` unless it is renewed.
    async fn grant_lease(&self, ttl: time::Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease; returns false where it has expired already.
    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError>;

    /// Revokes a lease and deletes its keys.
    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError>;
}
