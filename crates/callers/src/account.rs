//! Bytes of requests and answers that the process holds, in one account for all callers.
//!
//! docs/PLATFORM.md, "Memory", shows what is bounded by what.

use parking_lot::Mutex;
use std::sync::Arc;
use std::time;
use tokio::sync;

/// The account of a process.
#[derive(Debug)]
pub struct MemoryAccount {
    budget: Mutex<pool::ByteBudget>,
    /// Wakes those that wait for room.
    released: sync::Notify,
}

/// Bytes that are held for one body; dropping it gives them back.
#[derive(Debug)]
pub struct HeldBytes {
    account: Arc<MemoryAccount>,
    bytes: usize,
}

/// A whole body of a request or an answer.
#[derive(Debug)]
pub struct HeldBody {
    /// The bytes in one piece.
    pub bytes: bytes::Bytes,
    /// Is kept for as long as the bytes are.
    pub held: HeldBytes,
}

impl MemoryAccount {
    /// Creates the account of a process with nothing held.
    pub fn new(budget: pool::ByteBudget) -> Arc<Self> {
        Arc::new(Self {
            budget: Mutex::new(budget),
            released: sync::Notify::new(),
        })
    }

    /// Starts to hold a body of which nothing has arrived.
    pub fn hold(self: &Arc<Self>) -> HeldBytes {
        HeldBytes {
            account: self.clone(),
            bytes: 0,
        }
    }

    /// Holds bytes that can't be refused any more.
    pub fn take(self: &Arc<Self>, bytes: usize) -> HeldBytes {
        self.budget.lock().take(bytes);
        HeldBytes {
            account: self.clone(),
            bytes,
        }
    }

    /// Returns whether so many bytes more fit.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.budget.lock().has_room(bytes)
    }

    /// Returns the numbers of bytes that are held and that may be held, for the log.
    pub fn use_and_limit(&self) -> (usize, usize) {
        let budget = self.budget.lock();
        (budget.held(), budget.limit())
    }
}

impl HeldBytes {
    /// Holds `total` bytes from now on, if so many fit.
    pub fn try_grow(&mut self, total: usize) -> bool {
        let grown = self.account.budget.lock().try_grow(self.bytes, total);
        if grown {
            self.bytes = self.bytes.max(total);
        }
        grown
    }

    /// Holds `total` bytes from now on, if so many fit or fewer than before.
    pub fn try_resize(&mut self, total: usize) -> bool {
        self.shrink(total);
        self.try_grow(total)
    }

    /// Does the same as [`Self::try_grow`], and waits for up to `patience` until there is room.
    pub async fn grow(&mut self, total: usize, patience: time::Duration) -> bool {
        let end = tokio::time::Instant::now() + patience;
        let account = self.account.clone();
        loop {
            let released = account.released.notified();
            if self.try_grow(total) {
                return true;
            }
            if tokio::time::timeout_at(end, released).await.is_err() {
                return false;
            }
        }
    }

    /// Returns the number of bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Gives back all but `total` bytes.
    pub fn shrink(&mut self, total: usize) {
        let surplus = self.bytes.saturating_sub(total);
        self.bytes -= surplus;
        self.account.budget.lock().release(surplus);
        if surplus > 0 {
            self.account.released.notify_waiters();
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.shrink(0);
    }
}
