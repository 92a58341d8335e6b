//! A caller's request from its head to the end of its answer.

use crate::body::Body;
use crate::entry::Entry;
use crate::guards::ActiveRequest;
use crate::request_meter::RequestMeter;
use callers::CallerSlot;
use callers::HeldBody;
use callers::HeldBytes;
use callers::MemoryAccount;
use std::cell;
use std::rc;
use std::sync::Arc;
use std::time;
use world::Name;

/// A request that has been read from a connection, until its answer has been sent.
pub(crate) struct Exchange<P: seam::Platform> {
    /// Keeps a process that stops from exiting.
    _active: ActiveRequest<P>,
    /// Id of the request, once its head has been decoded.
    id: cell::OnceCell<Name>,
    /// When the request head arrived.
    pub(crate) arrived_at: time::Instant,
    /// Whether the request is answered without its body having been read to its end.
    body_unread: cell::Cell<bool>,
    /// How the request ends, for the metrics.
    pub(crate) meter: rc::Rc<RequestMeter>,
    account: Arc<MemoryAccount>,
    /// The caller's connection.
    slot: rc::Rc<CallerSlot>,
    /// Bytes of an answer that was read before it is passed on.
    answer: cell::RefCell<Option<HeldBytes>>,
}

impl<P: seam::Platform> Exchange<P> {
    pub(crate) fn new(entry: &rc::Rc<Entry<P>>, slot: rc::Rc<CallerSlot>) -> Self {
        Self {
            slot,
            account: entry.memory.clone(),
            answer: cell::RefCell::default(),
            _active: ActiveRequest::new(entry),
            id: cell::OnceCell::new(),
            arrived_at: time::Instant::now(),
            body_unread: cell::Cell::new(false),
            meter: rc::Rc::new(RequestMeter::new()),
        }
    }

    /// Records the request's id for the log.
    pub(crate) fn set_id(&self, id: &Name) {
        self.id.get_or_init(|| id.clone());
    }

    /// Returns the account of the bytes that the process holds.
    pub(crate) fn memory(&self) -> &Arc<MemoryAccount> {
        &self.account
    }

    /// Holds `total` bytes from now on; returns false if there is no room for them.
    pub(crate) async fn hold(&self, held: &mut HeldBytes, total: usize) -> bool {
        self.slot.callers().hold(held, total).await
    }

    /// Holds `total` bytes of the request's body from now on; returns false if there is no room
    /// for them.
    pub(crate) async fn hold_body(&self, held: &mut HeldBytes, total: usize) -> bool {
        self.slot.hold_body(held, total).await
    }

    /// Creates the body of an answer whose bytes are held until it has been sent.
    pub(crate) fn hold_answer(&self, body: HeldBody) -> Body {
        *self.answer.borrow_mut() = Some(body.held);
        Body::from(body.bytes)
    }

    /// Returns the request's id; empty until its head has been decoded.
    pub(crate) fn id(&self) -> &str {
        self.id.get().map_or("", |id| id)
    }

    /// Records what the caller's connection is doing from now on.
    pub(crate) fn set_stage(&self, stage: pool::CallerStage) {
        self.slot.set_stage(stage);
    }

    /// Returns once the request is to be refused for another one, before its body has arrived.
    pub(crate) async fn refused(&self) {
        self.slot.refused().await;
    }

    /// Returns whether the request is answered without its body having been read to its end.
    pub(crate) fn is_body_unread(&self) -> bool {
        self.body_unread.get()
    }

    /// Records that the request is answered without its body having been read to its end.
    pub(crate) fn leave_body(&self) {
        self.set_stage(pool::CallerStage::Refused);
        self.body_unread.set(true);
    }
}
