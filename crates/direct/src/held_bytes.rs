//! Bytes of requests and answers that the process holds, in one account for all callers.
//!
//! docs/PLATFORM.md, "Memory", shows what is bounded by what.

use std::cell;
use std::rc;
use std::time;
use tokio::sync;

/// The account of a process.
#[derive(Debug)]
pub(crate) struct MemoryAccount {
    budget: cell::RefCell<pool::ByteBudget>,
    /// Wakes those that wait for room.
    released: sync::Notify,
}

/// Bytes that are held for one body; dropping it gives them back.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    account: rc::Rc<MemoryAccount>,
    bytes: usize,
}

/// A whole body of a request or an answer.
#[derive(Debug)]
pub(crate) struct HeldBody {
    pub(crate) bytes: bytes::Bytes,
    /// Is kept for as long as the bytes are.
    pub(crate) held: HeldBytes,
}

impl MemoryAccount {
    pub(crate) fn new(memory_mb: u64) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            budget: cell::RefCell::new(pool::ByteBudget::new(memory_mb)),
            released: sync::Notify::new(),
        })
    }

    /// Starts to hold a body of which nothing has arrived.
    pub(crate) fn hold(self: &rc::Rc<Self>) -> HeldBytes {
        HeldBytes {
            account: self.clone(),
            bytes: 0,
        }
    }

    /// Holds bytes that can't be refused any more.
    pub(crate) fn take(self: &rc::Rc<Self>, bytes: usize) -> HeldBytes {
        self.budget.borrow_mut().take(bytes);
        HeldBytes {
            account: self.clone(),
            bytes,
        }
    }

    pub(crate) fn has_room(&self, bytes: usize) -> bool {
        self.budget.borrow().has_room(bytes)
    }

    /// Returns the numbers of bytes that are held and that may be held, for the log.
    pub(crate) fn use_and_limit(&self) -> (usize, usize) {
        let budget = self.budget.borrow();
        (budget.held(), budget.limit())
    }
}

impl HeldBytes {
    /// Holds `total` bytes from now on, if so many fit.
    pub(crate) fn try_grow(&mut self, total: usize) -> bool {
        let grown = self.account.budget.borrow_mut().try_grow(self.bytes, total);
        if grown {
            self.bytes = self.bytes.max(total);
        }
        grown
    }

    /// Holds `total` bytes from now on, if so many fit or fewer than before.
    pub(crate) fn try_resize(&mut self, total: usize) -> bool {
        self.shrink(total);
        self.try_grow(total)
    }

    /// Does the same as [`Self::try_grow`], and waits for up to `patience` until there is room.
    pub(crate) async fn grow(&mut self, total: usize, patience: time::Duration) -> bool {
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
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Gives back all but `total` bytes.
    pub(crate) fn shrink(&mut self, total: usize) {
        let surplus = self.bytes.saturating_sub(total);
        self.bytes -= surplus;
        self.account.budget.borrow_mut().release(surplus);
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
