//! A caller's connection: what of its current request has arrived, and what of the answer has
//! been taken.

use callers::CallerSlot;
use callers::HeldBytes;
use callers::MemoryAccount;
use parking_lot::Mutex;
use pool::CallerStage;
use std::sync::Arc;

/// A connection among those of all callers. Handlers find it in the extensions of a request.
#[derive(Debug)]
pub struct CallerConnection {
    slot: CallerSlot,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Whether a request has been read whose answer has not been sent to its end.
    is_answering: bool,
    /// Whether the body of that request has not arrived to its end.
    is_uploading: bool,
    /// Whether the answer has ended, so that only buffered bytes of it are left.
    is_buffered: bool,
    /// Whether the caller takes no bytes although some are ready.
    is_blocked: bool,
}

impl CallerConnection {
    pub(crate) fn new(slot: CallerSlot) -> Self {
        Self {
            slot,
            state: Mutex::default(),
        }
    }

    pub(crate) fn slot(&self) -> &CallerSlot {
        &self.slot
    }

    /// Returns the account of the bytes that the process holds.
    pub fn memory(&self) -> &Arc<MemoryAccount> {
        self.slot.callers().memory()
    }

    /// Holds `total` bytes of the request's body from now on; returns false if there is no
    /// room for them.
    pub async fn hold_body(&self, held: &mut HeldBytes, total: usize) -> bool {
        self.slot.hold_body(held, total).await
    }

    /// Returns once the request is to be refused for another one, before its body has arrived.
    pub async fn refused(&self) {
        self.slot.refused().await;
    }

    /// Records that the body of the request has arrived to its end.
    pub fn end_upload(&self) {
        self.state.lock().is_uploading = false;
        self.slot.set_stage(CallerStage::Served);
    }

    /// Records that the request is answered without the rest of its body.
    pub fn refuse_upload(&self) {
        self.slot.set_stage(CallerStage::Refused);
    }

    /// Returns whether the body of the current request was left unread.
    pub(crate) fn is_uploading(&self) -> bool {
        self.state.lock().is_uploading
    }

    pub(crate) fn begin_request(&self, has_body: bool) {
        *self.state.lock() = State {
            is_answering: true,
            is_uploading: has_body,
            ..State::default()
        };
        self.slot.set_stage(match has_body {
            true => CallerStage::Uploading,
            false => CallerStage::Served,
        });
    }

    /// Records that bytes have arrived. Those between two requests begin a head.
    pub(crate) fn record_read(&self) {
        self.slot.record_bytes();
        if !self.state.lock().is_answering {
            self.slot.set_stage(CallerStage::Unfinished);
        }
    }

    /// Records whether the caller takes the bytes that are ready for it.
    pub(crate) fn record_taking(&self, takes: bool) {
        let mut state = self.state.lock();
        if state.is_blocked == takes {
            state.is_blocked = !takes;
            self.slot.set_stage(match (takes, state.is_uploading) {
                (false, _) => CallerStage::Blocked,
                (true, true) => CallerStage::Refused,
                (true, false) => CallerStage::Served,
            });
        }
    }

    /// Records that the body of the answer has ended.
    pub(crate) fn end_answer(&self) {
        self.state.lock().is_buffered = true;
    }

    /// Records that all bytes that were ready have been taken.
    pub(crate) fn record_flushed(&self) {
        let mut state = self.state.lock();
        if state.is_buffered && !state.is_uploading {
            *state = State::default();
            self.slot.set_stage(CallerStage::Idle);
        }
    }
}
