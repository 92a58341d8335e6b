//! What peers may call at an agent.

use crate::agent::cache::Cache;
use crate::agent::job::Event;
use crate::agent::plain::Plain;
use crate::app::LoadPublisher;
use crossbeam::channel;
use jsonrpsee::core;
use jsonrpsee::server;
use route::AttemptId;
use std::sync;
use std::sync::atomic;
use tokio::sync::mpsc;
use wire::api::AgentServer;
use wire::api::PeerServer;
use wire::border;

/// The agent's side of [`wire::api`].
#[derive(Clone)]
pub(crate) struct Methods {
    pub hello: border::Hello,
    pub heart: LoadPublisher,
    pub desk: channel::Sender<Event>,
    pub plain: sync::Arc<Plain>,
    /// Only beside a prefill engine.
    pub cache: Option<Cache>,
    pub tickets: sync::Arc<atomic::AtomicU64>,
}

#[core::async_trait]
impl PeerServer for Methods {
    async fn hello(&self) -> core::RpcResult<border::Hello> {
        Ok(self.hello.clone())
    }

    async fn snapshot(&self) -> core::RpcResult<border::Snapshot> {
        Ok(border::Snapshot {
            document: String::new(),
            division: String::new(),
        })
    }

    async fn load(&self, pending: server::PendingSubscriptionSink) -> core::SubscriptionResult {
        self.heart.serve(pending).await
    }
}

#[core::async_trait]
impl AgentServer for Methods {
    async fn decode(
        &self,
        pending: server::PendingSubscriptionSink,
        bid: border::Bid,
    ) -> core::SubscriptionResult {
        let sink = pending.accept().await?;
        let (out, events) = mpsc::unbounded_channel();
        let held = self.hold();
        // The first event, so that the entry knows when it may end this.
        let _ = out.send(border::DecodeEvent::Waiting);
        self.tell(Event::Bid(held.ticket, bid, out));
        relay(&sink, events).await
    }

    async fn start(&self, start: border::Start) -> core::RpcResult<bool> {
        let (reply, mut answer) = mpsc::unbounded_channel();
        self.tell(Event::Start(start, reply));
        Ok(answer.recv().await.unwrap_or(false))
    }

    async fn prefill(
        &self,
        pending: server::PendingSubscriptionSink,
        prefill: border::Prefill,
    ) -> core::SubscriptionResult {
        let sink = pending.accept().await?;
        let (out, events) = mpsc::unbounded_channel();
        let held = self.hold();
        let _ = out.send(border::PrefillEvent::Waiting);
        if let Some(cache) = &self.cache {
            cache.ask(&prefill.prompt);
        }
        self.tell(Event::Prefill(held.ticket, prefill, out));
        relay(&sink, events).await
    }

    async fn cache(&self, pending: server::PendingSubscriptionSink) -> core::SubscriptionResult {
        match &self.cache {
            Some(cache) => cache.report(pending).await,
            None => Ok(()),
        }
    }

    async fn call(&self, call: border::PlainCall) -> core::RpcResult<border::PlainReply> {
        Ok(self.plain.clone().call(call).await)
    }
}

impl Methods {
    fn hold(&self) -> Held {
        let number = self.tickets.fetch_add(1, atomic::Ordering::Relaxed);
        Held {
            ticket: AttemptId(number),
            desk: self.desk.clone(),
        }
    }

    fn tell(&self, event: Event) {
        // A desk that has ended takes no work: its jobs' channels are closed.
        let _ = self.desk.send(event);
    }
}

/// A job's hold on the engine; it ends however the subscription ends.
struct Held {
    ticket: AttemptId,
    desk: channel::Sender<Event>,
}

impl Drop for Held {
    fn drop(&mut self) {
        let _ = self.desk.send(Event::Left(self.ticket));
    }
}

/// Passes events on until there are no more or the entry goes.
async fn relay<T: serde::Serialize>(
    sink: &server::SubscriptionSink,
    mut events: mpsc::UnboundedReceiver<T>,
) -> core::SubscriptionResult {
    loop {
        let event = tokio::select! {
            event = events.recv() => event,
            () = sink.closed() => None,
        };
        let Some(event) = event else {
            return Ok(());
        };
        let message = serde_json::value::to_raw_value(&event)?;
        sink.send(message).await?;
    }
}
