//! The connections of callers: how many there may be, what each holds, and which one is closed
//! to make room for others.

use crate::account::HeldBytes;
use crate::account::MemoryAccount;
use crate::receive_buffer::ReceiveBuffer;
use crate::slot::CallerSlot;
use parking_lot::Mutex;
use std::collections;
use std::io;
use std::sync::Arc;
use std::sync::atomic;
use std::time;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
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
/// Part of a listener's connections, and their least number, that may be open beside those in its
/// table: newcomers that wait for room, and connections that were given up and end now.
const SPARE_SHARE: f64 = 0.125;
const MIN_SPARE: usize = 8;
/// Time between two log lines on connections that were closed for others.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Counts a connection that was closed or not taken, by its listener and the cause.
pub type CountClosed = fn(&'static str, &'static str);

/// Callers' connections of a process.
#[derive(Debug)]
pub struct Callers {
    /// The name of the listener in logs.
    listener: &'static str,
    pub(crate) table: Mutex<pool::CallerTable>,
    /// One permit for each socket that may be open.
    sockets: Arc<sync::Semaphore>,
    /// Tells the tasks of connections what is given up.
    signals: Mutex<collections::BTreeMap<pool::CallerId, Arc<EvictionSignal>>>,
    memory: Arc<MemoryAccount>,
    count_closed: CountClosed,
    unlogged: Mutex<UnloggedClosings>,
}

/// Wakes the task of a connection that is given up, or of its request's body.
#[derive(Debug, Default)]
pub(crate) struct EvictionSignal {
    pub(crate) closed: sync::Notify,
    pub(crate) refused: sync::Notify,
}

/// Allows a socket of a listener to be open.
#[derive(Debug)]
pub struct SocketPermit {
    _permit: sync::OwnedSemaphorePermit,
}

/// Connections that were closed for others and are not logged yet.
#[derive(Debug, Default)]
struct UnloggedClosings {
    count: u64,
    logged_at: Option<time::Instant>,
}

impl UnloggedClosings {
    /// Adds a connection, and returns how many to log now; none if a line was logged a moment
    /// ago.
    fn add(&mut self, now: time::Instant) -> Option<u64> {
        self.count += 1;
        let is_early = |at| now.saturating_duration_since(at) < LOG_INTERVAL;
        if self.logged_at.is_some_and(is_early) {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.count))
    }
}

impl Callers {
    /// Creates a table without connections, whose bytes are held in an account.
    pub fn new(
        listener: &'static str,
        table: pool::CallerTable,
        memory: &Arc<MemoryAccount>,
        count_closed: CountClosed,
    ) -> Arc<Self> {
        let limit = table.limit();
        let spare = ((limit as f64 * SPARE_SHARE) as usize).max(MIN_SPARE);
        Arc::new(Self {
            listener,
            sockets: Arc::new(sync::Semaphore::new(limit + spare)),
            table: Mutex::new(table),
            signals: Mutex::default(),
            memory: memory.clone(),
            count_closed,
            unlogged: Mutex::default(),
        })
    }

    /// Creates the table of a listener with a fixed number of connections, whose heads may have
    /// `head_bytes` bytes, and an account of its own. Their requests may hold `body_bytes`
    /// together.
    pub fn with_limit(
        listener: &'static str,
        connections: usize,
        head_bytes: usize,
        body_bytes: usize,
        count_closed: CountClosed,
    ) -> Arc<Self> {
        let bytes = connections * connection_bytes(head_bytes) + body_bytes;
        let memory = MemoryAccount::new(pool::ByteBudget::with_limit(bytes));
        let table = pool::CallerTable::with_limit(connections);
        Self::new(listener, table, &memory, count_closed)
    }

    /// Returns the account of the bytes that are held.
    pub fn memory(&self) -> &Arc<MemoryAccount> {
        &self.memory
    }

    /// Accepts a connection once its socket may be open. The permit is to be dropped after the
    /// connection.
    ///
    /// # Errors
    ///
    /// Fails if a connection can't be accepted now, for example for lack of descriptors.
    pub async fn accept(&self, listener: &TcpListener) -> io::Result<(TcpStream, SocketPermit)> {
        let permit = self.sockets.clone().acquire_owned().await;
        let permit = permit.map_err(io::Error::other)?;
        let (stream, _) = listener.accept().await?;
        Ok((stream, SocketPermit { _permit: permit }))
    }

    /// Takes a new connection, whose heads may have `head_bytes` bytes; none if there is no
    /// room for it.
    pub async fn admit(self: &Arc<Self>, head_bytes: usize) -> Option<CallerSlot> {
        let admission = self.table.lock().admit(time::Instant::now());
        let id = match admission {
            pool::Admission::Accepted(id) => id,
            pool::Admission::Replaced(id, evicted) => {
                self.close(evicted, "connections");
                id
            }
            pool::Admission::Refused => {
                self.record_closed("refused");
                return None;
            }
        };
        let signal = Arc::new(EvictionSignal::default());
        self.signals.lock().insert(id, signal.clone());
        let mut slot = CallerSlot {
            callers: self.clone(),
            id,
            signal,
            head_bytes: buffer_bytes(head_bytes),
            held: self.memory.hold(),
            wide: Mutex::new(self.memory.hold()),
            is_widening: atomic::AtomicBool::new(false),
        };
        let total = connection_bytes(head_bytes);
        let evict = pool::CallerTable::evict_for_connection;
        let has_room = self.hold_with(&mut slot.held, total, evict).await;
        if !has_room {
            self.record_closed("refused");
        }
        has_room.then_some(slot)
    }

    /// Holds `total` bytes from now on. If so many don't fit, connections of callers that
    /// don't end their requests are closed, and this waits a moment for room.
    pub async fn hold(&self, held: &mut HeldBytes, total: usize) -> bool {
        self.hold_with(held, total, pool::CallerTable::evict).await
    }

    async fn hold_with(
        &self,
        held: &mut HeldBytes,
        total: usize,
        evict: fn(&mut pool::CallerTable, time::Instant) -> Option<pool::Eviction>,
    ) -> bool {
        let end = time::Instant::now() + MAX_ROOM_WAIT;
        while !held.try_grow(total) {
            let now = time::Instant::now();
            if now >= end {
                return false;
            }
            let evicted = evict(&mut self.table.lock(), now);
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
                if let Some(signal) = self.signals.lock().get(&id) {
                    signal.refused.notify_one();
                }
                self.record_closed("body_refused");
            }
        }
    }

    fn close(&self, id: pool::CallerId, cause: &'static str) {
        if let Some(signal) = self.signals.lock().get(&id) {
            signal.closed.notify_one();
        }
        self.record_closed(cause);
    }

    pub(crate) fn remove(&self, id: pool::CallerId) {
        self.table.lock().remove(id);
        self.signals.lock().remove(&id);
    }

    /// Counts a connection that was closed to bound what callers hold, and logs how many
    /// were, now and then.
    fn record_closed(&self, cause: &'static str) {
        (self.count_closed)(self.listener, cause);
        let Some(count) = self.unlogged.lock().add(time::Instant::now()) else {
            return;
        };
        let (held, bound) = self.memory.use_and_limit();
        let table = self.table.lock();
        trace::LogLine::new("callers_closed")
            .with("listener", self.listener)
            .with("count", count)
            .with("last_cause", cause)
            .with("connections", table.len())
            .with("bound", table.limit())
            .with("held_bytes", held)
            .with("bound_bytes", bound)
            .warn();
    }
}

/// Returns the size of the buffer of a connection whose heads may have so many bytes.
fn buffer_bytes(head_bytes: usize) -> usize {
    let (shortest, longest) = HEAD_BYTES;
    head_bytes.clamp(shortest, longest) + HEAD_MARGIN_BYTES
}

/// Returns what a connection takes beside the bodies of its requests.
fn connection_bytes(head_bytes: usize) -> usize {
    buffer_bytes(head_bytes) + STATE_BYTES + ReceiveBuffer::Narrow.max_unread()
}
