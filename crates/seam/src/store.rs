//! The platform's metadata store: keys, compare-and-swap, leases and watches.

use std::time;

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value; none where a watch tells that the key was removed.
    pub value: Option<bytes::Bytes>,
    /// The revision of its last change.
    pub revision: u64,
}

/// One key as it was at a revision of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// The item; none where there is no such key.
    pub item: Option<Item>,
    /// The store's revision, from which a watch can go on; 0 where it is not
    /// told, as for a key that does not exist.
    pub revision: u64,
}

/// Items under a prefix at about one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The items, by key.
    pub items: Vec<Item>,
    /// The store's revision at the first page.
    pub revision: u64,
}

/// What a watch has brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Watched {
    /// Changes, and the revision to go on from.
    Changes(Vec<Item>, u64),
    /// The history after that revision is no longer kept: read anew.
    Compacted,
}

/// What became of a write under a condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swapped {
    /// It was done at this revision.
    Done(u64),
    /// The key was not as expected.
    Lost,
    /// The lease named has ended.
    Unleased,
}

/// Names a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease(pub u64);

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum StoreFault {
    /// It was refused, and nothing was done.
    #[display("refused with {_0}")]
    Refused(u16),
    /// No answer came: it may have been done, or may yet be.
    #[display("no answer")]
    Silent,
    /// The answer could not be read.
    #[display("the answer can't be read")]
    Unreadable,
}

/// The calls that an entry makes. Each is counted by the platform.
pub trait Store {
    /// Reads a key.
    async fn get(&self, key: &str) -> Result<Found, StoreFault>;

    /// Reads all keys with a prefix; `stale` is cheaper and may be seconds old.
    async fn list(&self, prefix: &str, stale: bool) -> Result<Page, StoreFault>;

    /// Waits until a key with the prefix changes after a revision.
    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: time::Duration,
    ) -> Result<Watched, StoreFault>;

    /// Writes a key if its revision is `expected`; 0 expects no such key.
    async fn swap(
        &self,
        key: &str,
        expected: u64,
        value: &[u8],
        lease: Option<Lease>,
    ) -> Result<Swapped, StoreFault>;

    /// Takes a lease.
    async fn grant(&self, life: time::Duration) -> Result<Lease, StoreFault>;

    /// Renews a lease; false where it has ended.
    async fn renew(&self, lease: Lease) -> Result<bool, StoreFault>;

    /// Ends a lease and removes its keys.
    async fn end(&self, lease: Lease) -> Result<(), StoreFault>;
}
