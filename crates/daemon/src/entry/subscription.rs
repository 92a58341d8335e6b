//! Receives the events of one subscription at an agent and converts them to
//! events of the request's lifecycle.

use jsonrpsee::core::client;
use route::Event;
use route::Fault;
use std::ops;
use std::sync;
use std::time;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use wire::api::AgentClient;
use wire::border;
use world::Name;

/// Keeps a subscription open; dropping it ends the subscription.
///
/// The task that receives the events is never aborted, and it unsubscribes only
/// after the agent's first event. jsonrpsee ignores an unsubscribe request that
/// arrives before the agent has registered the subscription; the agent would then
/// hold a seat that nobody uses.
pub(crate) struct SubscriptionGuard {
    _cancel: oneshot::Sender<()>,
}

impl SubscriptionGuard {
    /// Creates a guard, and the receiver that is notified when it is dropped.
    pub(crate) fn new() -> (Self, CancelReceiver) {
        let (cancel, cancelled) = oneshot::channel();
        (Self { _cancel: cancel }, cancelled)
    }
}

/// Resolves when the [`SubscriptionGuard`] is dropped.
pub(crate) type CancelReceiver = oneshot::Receiver<()>;

/// The location from which a decode engine can fetch the KV cache of a prefill, as
/// the prefill agent reported it.
#[derive(Clone, Debug)]
pub(crate) struct PrefillResult {
    pub source: String,
    pub kv: String,
}

/// Sends events to the lifecycle of a request.
pub(crate) type EventSender = mpsc::UnboundedSender<Event>;

/// Bids for a seat, and receives the events of the bid, seat and stream until the
/// subscription ends. Returns the fault if it failed.
pub(crate) async fn receive_decode(
    link: &wire::Connection,
    bid: border::Bid,
    round: u32,
    host: &Name,
    event_sender: &EventSender,
    cancelled: CancelReceiver,
) -> Option<Fault> {
    let Ok(subscription) = link.decode(bid).await else {
        return Some(Fault::Lost);
    };
    forward_events(subscription, cancelled, |event| {
        let event = match event {
            border::DecodeEvent::Waiting => return ops::ControlFlow::Continue(()),
            border::DecodeEvent::Granted => Event::SeatGranted(round, host.clone()),
            border::DecodeEvent::Imported { micros } => {
                Event::ImportDone(round, time::Duration::from_micros(micros))
            }
            border::DecodeEvent::Chunk { offset, text } => Event::Chunk(round, offset, text),
            border::DecodeEvent::End { finish, tokens } => {
                Event::StreamEnded(round, finish, tokens)
            }
            border::DecodeEvent::Fault { fault } => {
                return ops::ControlFlow::Break(Some(to_fault(&fault)));
            }
        };
        send_event(event_sender, event)
    })
    .await
}

/// Starts a prefill attempt, receives its events until the subscription ends, and
/// stores its result in `result`. Returns the fault if the attempt failed.
pub(crate) async fn receive_prefill(
    link: &wire::Connection,
    prefill: border::Prefill,
    attempt: u32,
    result: &sync::OnceLock<PrefillResult>,
    event_sender: &EventSender,
    cancelled: CancelReceiver,
) -> Option<Fault> {
    let Ok(subscription) = link.prefill(prefill).await else {
        return Some(Fault::Lost);
    };
    forward_events(subscription, cancelled, |event| match event {
        border::PrefillEvent::Waiting | border::PrefillEvent::Started => {
            ops::ControlFlow::Continue(())
        }
        border::PrefillEvent::Ready {
            source,
            kv,
            cached,
            tokens,
            ..
        } => {
            // The cell is still empty, since an agent sends one result per
            // prefill.
            let _ = result.set(PrefillResult { source, kv });
            send_event(event_sender, Event::PrefillDone(attempt, tokens, cached))
        }
        border::PrefillEvent::Fault { fault } => ops::ControlFlow::Break(Some(to_fault(&fault))),
    })
    .await
}

/// Passes each event to `on_event` until that returns `Break`, the subscription ends
/// or the guard is dropped. Always waits for the first event; see
/// [`SubscriptionGuard`].
async fn forward_events<T: serde::de::DeserializeOwned>(
    mut subscription: client::Subscription<T>,
    mut cancelled: CancelReceiver,
    mut on_event: impl FnMut(T) -> ops::ControlFlow<Option<Fault>>,
) -> Option<Fault> {
    let mut event = subscription.next().await;
    loop {
        let Some(Ok(item)) = event else {
            return Some(Fault::Lost);
        };
        if let ops::ControlFlow::Break(fault) = on_event(item) {
            return fault;
        }
        event = tokio::select! {
            biased;
            _ = &mut cancelled => return None,
            event = subscription.next() => event,
        };
    }
}

/// Sends an event to the request. Returns `Break` if the request has ended, since
/// the subscription is then no longer needed.
fn send_event(event_sender: &EventSender, event: Event) -> ops::ControlFlow<Option<Fault>> {
    match event_sender.send(event) {
        Ok(()) => ops::ControlFlow::Continue(()),
        Err(_) => ops::ControlFlow::Break(None),
    }
}

fn to_fault(fault: &border::Fault) -> Fault {
    match fault.kind {
        border::FaultKind::Draining => Fault::Draining,
        border::FaultKind::Stalled => Fault::Stalled,
        border::FaultKind::Lost => Fault::Lost,
        border::FaultKind::Crashed => Fault::Crashed(fault.crash.unwrap_or(0)),
        border::FaultKind::Expired => Fault::Expired,
        border::FaultKind::Invalid | border::FaultKind::Quarantined => Fault::Invalid,
    }
}
