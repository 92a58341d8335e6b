//! The RPC methods that an agent offers to its peers.

use crate::agent::cache::CacheFollower;
use crate::agent::job::Event;
use crate::agent::plain::PlainService;
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

/// Implements an agent's methods of [`wire::api`].
#[derive(Clone)]
pub(crate) struct AgentMethods {
    pub hello: border::Hello,
    pub load: LoadPublisher,
    /// Sends events to the scheduler of the engine's jobs.
    pub event_sender: channel::Sender<Event>,
    pub service: sync::Arc<PlainService>,
    /// Present only on the agent of a prefill engine.
    pub cache: Option<CacheFollower>,
    /// The id of the next job.
    pub next_attempt_id: sync::Arc<atomic::AtomicU64>,
}

#[core::async_trait]
impl PeerServer for AgentMethods {
    async fn hello(&self) -> core::RpcResult<border::Hello> {
        Ok(self.hello.clone())
    }

    async fn snapshot(&self) -> core::RpcResult<border::Snapshot> {
        // Only entries hold a configuration and a division of allowances.
        Ok(border::Snapshot {
            document: String::new(),
            division: String::new(),
        })
    }

    async fn load(&self, pending: server::PendingSubscriptionSink) -> core::SubscriptionResult {
        self.load.serve(pending).await
    }
}

#[core::async_trait]
impl AgentServer for AgentMethods {
    async fn decode(
        &self,
        pending: server::PendingSubscriptionSink,
        bid: border::Bid,
    ) -> core::SubscriptionResult {
        let sink = pending.accept().await?;
        let (sender, events) = mpsc::unbounded_channel();
        let job = self.register_job();
        // The entry must receive a first event before it can end the subscription.
        let _ = sender.send(border::DecodeEvent::Waiting);
        self.send_event(Event::Bid(job.attempt_id, bid, sender));
        relay(&sink, events).await
    }

    async fn start(&self, start: border::Start) -> core::RpcResult<bool> {
        let (reply, mut answer) = mpsc::unbounded_channel();
        self.send_event(Event::Start(start, reply));
        Ok(answer.recv().await.unwrap_or(false))
    }

    async fn prefill(
        &self,
        pending: server::PendingSubscriptionSink,
        prefill: border::Prefill,
    ) -> core::SubscriptionResult {
        let sink = pending.accept().await?;
        let (sender, events) = mpsc::unbounded_channel();
        let job = self.register_job();
        let _ = sender.send(border::PrefillEvent::Waiting);
        if let Some(cache) = &self.cache {
            cache.record_prompt(&prefill.prompt);
        }
        self.send_event(Event::Prefill(job.attempt_id, prefill, sender));
        relay(&sink, events).await
    }

    async fn cache(&self, pending: server::PendingSubscriptionSink) -> core::SubscriptionResult {
        match &self.cache {
            Some(cache) => cache.serve(pending).await,
            None => Ok(()),
        }
    }

    async fn call(&self, call: border::PlainCall) -> core::RpcResult<border::PlainReply> {
        Ok(self.service.clone().call(call).await)
    }
}

impl AgentMethods {
    /// Assigns an id to a new job, which is abandoned when the returned guard is dropped.
    fn register_job(&self) -> JobGuard {
        let number = self.next_attempt_id.fetch_add(1, atomic::Ordering::Relaxed);
        JobGuard {
            attempt_id: AttemptId(number),
            event_sender: self.event_sender.clone(),
        }
    }

    fn send_event(&self, event: Event) {
        // Fails only if the scheduler has ended. The event's channel is closed then,
        // which tells the entry.
        let _ = self.event_sender.send(event);
    }
}

/// Reports its job as abandoned when it is dropped, however the subscription ends.
struct JobGuard {
    attempt_id: AttemptId,
    event_sender: channel::Sender<Event>,
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        let _ = self.event_sender.send(Event::Abandoned(self.attempt_id));
    }
}

/// Forwards events to an entry until there are no more or it disconnects.
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
