//! The connections of callers: how many there may be, what each holds, and which one is closed
//! to make room for others.
//!
//! docs/PLATFORM.md, "Callers without limits", shows what is bounded by what.

use crate::held_bytes::HeldBytes;
use crate::held_bytes::MemoryAccount;
use crate::meters;
use std::cell;
use std::collections;
use std::rc;
use std::time;
use tokio::sync;

/// How long a body or a connection waits for room in the process's memory. A caller may give
/// up on an entry that reads nothing for a second.
const MAX_ROOM_WAIT: time::Duration = time::Duration::from_millis(250);
/// Time in which the task of a connection that was closed gives back what it holds.
const RELEASE_TIME: time::Duration = time::Duration::from_millis(5);
/// What a connection takes beside its read buffer: its tasks and the state of its request.
const STATE_BYTES: usize = 24 * 1024;
/// Bytes that a head may be longer than the configuration allows before it is refused.
const HEAD_MARGIN_BYTES: usize = 4 * 1024;
/// Shortest and longest head for which a connection has a buffer.
const HEAD_BYTES: (usize, usize) = (8 * 1024, 1024 * 1024);
/// Time between two log lines on connections that were closed for others.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Callers' connections of a process.
#[derive(Debug)]
pub(crate) struct Callers {
    table: cell::RefCell<pool::CallerTable>,
    /// Tells the tasks of connections what is given up.
    signals: cell::RefCell<collections::BTreeMap<pool::CallerId, rc::Rc<EvictionSignal>>>,
    memory: rc::Rc<MemoryAccount>,
    /// Connections that were closed for others and are not logged yet.
    unlogged: cell::Cell<u64>,
    logged_at: cell::Cell<Option<time::Instant>>,
}

/// Wakes the task of a connection that is given up, or of its request's body.
#[derive(Debug, Default)]
struct EvictionSignal {
    closed: sync::Notify,
    refused: sync::Notify,
}

/// A caller's connection; dropping it makes room for another one.
#[derive(Debug)]
pub(crate) struct CallerSlot {
    callers: rc::Rc<Callers>,
    id: pool::CallerId,
    signal: rc::Rc<EvictionSignal>,
    /// The longest head that the connection takes in bytes.
    pub(crate) head_bytes: usize,
    _held: HeldBytes,
}

impl Callers {
    pub(crate) fn new(descriptors: u64, memory: &rc::Rc<MemoryAccount>) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            table: cell::RefCell::new(pool::CallerTable::new(descriptors)),
            signals: cell::RefCell::default(),
            memory: memory.clone(),
            unlogged: cell::Cell::default(),
            logged_at: cell::Cell::default(),
        })
    }

    /// Takes a new connection, whose heads may have `head_bytes` bytes; none if there is no
    /// room for it.
    pub(crate) async fn admit(self: &rc::Rc<Self>, head_bytes: usize) -> Option<CallerSlot> {
        let admission = self.table.borrow_mut().admit(time::Instant::now());
        let id = match admission {
            pool::Admission::Accepted(id) => id,
            pool::Admission::Replaced(id, evicted) => {
                self.close(evicted, "connections");
                id
            }
            pool::Admission::Refused => {
                self.count_closed("refused");
                return None;
            }
        };
        let signal = rc::Rc::new(EvictionSignal::default());
        self.signals.borrow_mut().insert(id, signal.clone());
        let (shortest, longest) = HEAD_BYTES;
        let head_bytes = head_bytes.clamp(shortest, longest) + HEAD_MARGIN_BYTES;
        let mut slot = CallerSlot {
            callers: self.clone(),
            id,
            signal,
            head_bytes,
            _held: self.memory.hold(),
        };
        let has_room = self.hold(&mut slot._held, head_bytes + STATE_BYTES).await;
        if !has_room {
            self.count_closed("refused");
        }
        has_room.then_some(slot)
    }

    /// Holds `total` bytes from now on. If so many don't fit, connections of callers that
    /// don't end their requests are closed, and this waits a moment for room.
    pub(crate) async fn hold(&self, held: &mut HeldBytes, total: usize) -> bool {
        let end = time::Instant::now() + MAX_ROOM_WAIT;
        while !held.try_grow(total) {
            let now = time::Instant::now();
            if now >= end {
                return false;
            }
            let evicted = self.table.borrow_mut().evict(now);
            let wait = match evicted {
                Some(eviction) => {
                    self.apply(eviction);
                    RELEASE_TIME
                }
                None => end - now,
            };
            held.grow(total, wait).await;
        }
        true
    }

    fn apply(&self, eviction: pool::Eviction) {
        match eviction {
            pool::Eviction::Close(id) => self.close(id, "memory"),
            pool::Eviction::Refuse(id) => {
                if let Some(signal) = self.signals.borrow().get(&id) {
                    signal.refused.notify_one();
                }
                self.count_closed("body_refused");
            }
        }
    }

    fn close(&self, id: pool::CallerId, cause: &str) {
        if let Some(signal) = self.signals.borrow().get(&id) {
            signal.closed.notify_one();
        }
        self.count_closed(cause);
    }

    /// Counts a connection that was closed to bound what callers hold, and logs how many
    /// were, now and then.
    fn count_closed(&self, cause: &str) {
        meters::meters().callers_closed.add(cause, 1);
        let count = self.unlogged.get() + 1;
        let now = time::Instant::now();
        let logged_at = self.logged_at.get();
        if logged_at.is_some_and(|at| now.saturating_duration_since(at) < LOG_INTERVAL) {
            self.unlogged.set(count);
            return;
        }
        self.unlogged.set(0);
        self.logged_at.set(Some(now));
        let (held, bound) = self.memory.use_and_limit();
        let table = self.table.borrow();
        trace::LogLine::new("callers_closed")
            .with("count", count)
            .with("last_cause", cause)
            .with("connections", table.len())
            .with("bound", table.limit())
            .with("held_bytes", held)
            .with("bound_bytes", bound)
            .warn();
    }
}

impl CallerSlot {
    /// Records what the connection is doing from now on.
    pub(crate) fn set_stage(&self, stage: pool::CallerStage) {
        let mut table = self.callers.table.borrow_mut();
        table.set_stage(self.id, stage, time::Instant::now());
    }

    /// Records that bytes of a request have arrived.
    pub(crate) fn record_bytes(&self) {
        let mut table = self.callers.table.borrow_mut();
        table.record_bytes(self.id, time::Instant::now());
    }

    /// Returns once the connection is to be closed for another one.
    pub(crate) async fn closed(&self) {
        self.signal.closed.notified().await;
    }

    /// Returns once the request is to be refused for another one, before its body has arrived.
    pub(crate) async fn refused(&self) {
        self.signal.refused.notified().await;
    }
}

impl Drop for CallerSlot {
    fn drop(&mut self) {
        self.callers.table.borrow_mut().remove(self.id);
        self.callers.signals.borrow_mut().remove(&self.id);
    }
}
