//! One caller's connection among those of all callers.

use crate::account::HeldBytes;
use crate::callers::Callers;
use crate::callers::EvictionSignal;
use crate::receive_buffer::ReceiveBuffer;
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic;
use std::time;

/// Length of a body from which its connection has a wide receive buffer.
const LONG_BODY_BYTES: usize = 64 * 1024;

/// A caller's connection; dropping it makes room for another one.
#[derive(Debug)]
pub struct CallerSlot {
    pub(crate) callers: Arc<Callers>,
    pub(crate) id: pool::CallerId,
    pub(crate) signal: Arc<EvictionSignal>,
    /// The longest head that the connection takes in bytes.
    pub head_bytes: usize,
    /// What the connection takes beside its request.
    pub(crate) held: HeldBytes,
    /// What its wide receive buffer takes besides.
    pub(crate) wide: Mutex<HeldBytes>,
    /// Whether its receive buffer is to become wide.
    pub(crate) is_widening: atomic::AtomicBool,
}

impl CallerSlot {
    /// Returns the connections of all callers.
    pub fn callers(&self) -> &Arc<Callers> {
        &self.callers
    }

    /// Records what the connection is doing from now on.
    pub fn set_stage(&self, stage: pool::CallerStage) {
        let mut table = self.callers.table.lock();
        table.set_stage(self.id, stage, time::Instant::now());
    }

    /// Records that bytes of a request have arrived.
    pub fn record_bytes(&self) {
        let mut table = self.callers.table.lock();
        table.record_bytes(self.id, time::Instant::now());
    }

    /// Holds `total` bytes of a request's body from now on; returns false if there is no room
    /// for them. A long body gets a wide receive buffer.
    pub async fn hold_body(&self, held: &mut HeldBytes, total: usize) -> bool {
        if total > LONG_BODY_BYTES {
            self.widen();
        }
        self.callers.hold(held, total).await
    }

    /// Asks for a wide receive buffer, if there is room for it in the process's memory. It stays
    /// wide until the connection ends.
    fn widen(&self) {
        let bytes = ReceiveBuffer::Wide.max_unread() - ReceiveBuffer::Narrow.max_unread();
        let mut wide = self.wide.lock();
        if wide.bytes() == 0 && wide.try_grow(bytes) {
            self.is_widening.store(true, atomic::Ordering::Relaxed);
        }
    }

    /// Returns once whether the receive buffer is to become wide.
    pub fn take_widening(&self) -> bool {
        self.is_widening.swap(false, atomic::Ordering::Relaxed)
    }

    /// Returns once the connection is to be closed for another one.
    pub async fn closed(&self) {
        self.signal.closed.notified().await;
    }

    /// Returns once the request is to be refused for another one, before its body has arrived.
    pub async fn refused(&self) {
        self.signal.refused.notified().await;
    }
}

impl Drop for CallerSlot {
    fn drop(&mut self) {
        self.callers.remove(self.id);
    }
}
