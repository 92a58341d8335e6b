//! Follows one subscription at an agent and turns what it tells into the
//! journey's events.

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
/// The task that follows a subscription is never aborted, and ends it only after
/// the agent's first event: an end that overtakes the agent's own registration
/// is lost in jsonrpsee, and the agent would hold a seat for nobody.
pub(crate) struct Hold {
    _let_go: oneshot::Sender<()>,
}

impl Hold {
    pub(crate) fn new() -> (Self, Released) {
        let (let_go, released) = oneshot::channel();
        (Self { _let_go: let_go }, released)
    }
}

/// Tells when the hold on a subscription is dropped.
pub(crate) type Released = oneshot::Receiver<()>;

/// Where a result can be fetched.
#[derive(Clone, Debug)]
pub(crate) struct Ready {
    pub source: String,
    pub kv: String,
}

/// Where events go.
pub(crate) type Events = mpsc::UnboundedSender<Event>;

/// Follows one bid to its end; returns why it failed, if it did.
pub(crate) async fn follow_seat(
    link: &wire::Link,
    bid: border::Bid,
    round: u32,
    host: &Name,
    events: &Events,
    released: Released,
) -> Option<Fault> {
    let Ok(told) = link.decode(bid).await else {
        return Some(Fault::Lost);
    };
    follow(told, released, |event| {
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
                return ops::ControlFlow::Break(Some(fault_of(&fault)));
            }
        };
        pass(events, event)
    })
    .await
}

/// Follows one prefill to its end; returns why it failed, if it did.
pub(crate) async fn follow_prefill(
    link: &wire::Link,
    ask: border::Prefill,
    run: u32,
    ready: &sync::OnceLock<Ready>,
    events: &Events,
    released: Released,
) -> Option<Fault> {
    let Ok(told) = link.prefill(ask).await else {
        return Some(Fault::Lost);
    };
    follow(told, released, |event| match event {
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
            // A result is ready once.
            let _ = ready.set(Ready { source, kv });
            pass(events, Event::PrefillDone(run, tokens, cached))
        }
        border::PrefillEvent::Fault { fault } => ops::ControlFlow::Break(Some(fault_of(&fault))),
    })
    .await
}

/// Hands each event to `take` until it breaks off or the hold is dropped. The
/// first event is waited for in any case; see [`Hold`].
async fn follow<T: serde::de::DeserializeOwned>(
    mut told: client::Subscription<T>,
    mut released: Released,
    mut take: impl FnMut(T) -> ops::ControlFlow<Option<Fault>>,
) -> Option<Fault> {
    let mut event = told.next().await;
    loop {
        let Some(Ok(found)) = event else {
            return Some(Fault::Lost);
        };
        if let ops::ControlFlow::Break(fault) = take(found) {
            return fault;
        }
        event = tokio::select! {
            biased;
            _ = &mut released => return None,
            event = told.next() => event,
        };
    }
}

/// Sends an event on; a request that is over needs no more.
fn pass(events: &Events, event: Event) -> ops::ControlFlow<Option<Fault>> {
    match events.send(event) {
        Ok(()) => ops::ControlFlow::Continue(()),
        Err(_) => ops::ControlFlow::Break(None),
    }
}

fn fault_of(fault: &border::Fault) -> Fault {
    match fault.kind {
        border::FaultKind::Draining => Fault::Draining,
        border::FaultKind::Stalled => Fault::Stalled,
        border::FaultKind::Lost => Fault::Lost,
        border::FaultKind::Crashed => Fault::Crashed(fault.crash.unwrap_or(0)),
        border::FaultKind::Expired => Fault::Expired,
        border::FaultKind::Invalid | border::FaultKind::Quarantined => Fault::Invalid,
    }
}
