//! JSON-RPC interfaces between processes, one trait for each kind of server.

// The macro generates public items without documentation.
#![allow(missing_docs)]

use crate::border;
use jsonrpsee::core as rpc;
use jsonrpsee::proc_macros;

/// Calls that every process serves: its identity, its state and its load.
#[proc_macros::rpc(server, client, namespace = "peer")]
pub trait Peer {
    /// Returns the identity of the process and the versions it has in force.
    #[method(name = "hello")]
    async fn hello(&self) -> rpc::RpcResult<border::Hello>;

    /// Returns the process's copy of the store's documents.
    #[method(name = "snapshot")]
    async fn snapshot(&self) -> rpc::RpcResult<border::Snapshot>;

    /// Subscribes to load reports, which are also the heartbeat of the process.
    #[subscription(name = "load", unsubscribe = "unload", item = border::Load)]
    async fn load(&self) -> rpc::SubscriptionResult;
}

/// Calls that an agent serves to entries.
///
/// The seat, the import and the stream of one attempt last exactly as long as its
/// subscription. If the caller disconnects or the entry crashes, the engine is
/// freed without any further message.
#[proc_macros::rpc(server, client, namespace = "agent")]
pub trait Agent {
    /// Bids for a decode seat and subscribes to the events of the attempt.
    #[subscription(name = "decode", unsubscribe = "undecode", item = border::DecodeEvent)]
    async fn decode(&self, bid: border::Bid) -> rpc::SubscriptionResult;

    /// Starts the import and the decoding of an attempt that was granted a seat.
    /// Returns false if the attempt is unknown or not in this state.
    #[method(name = "start")]
    async fn start(&self, start: border::Start) -> rpc::RpcResult<bool>;

    /// Queues a prompt for prefill and subscribes to the events of the attempt.
    #[subscription(name = "prefill", unsubscribe = "unprefill", item = border::PrefillEvent)]
    async fn prefill(&self, prefill: border::Prefill) -> rpc::SubscriptionResult;

    /// Subscribes to reports of the prompt blocks that the engine has cached.
    #[subscription(name = "cache", unsubscribe = "uncache", item = border::Cache)]
    async fn cache(&self) -> rpc::SubscriptionResult;

    /// Calls the plain service of the agent.
    #[method(name = "call")]
    async fn call(&self, call: border::PlainCall) -> rpc::RpcResult<border::PlainReply>;
}

/// Calls that an entry serves to its peers.
#[proc_macros::rpc(server, client, namespace = "entry")]
pub trait Entry {
    /// Asks for tokens of an organisation's allowance.
    #[method(name = "lend")]
    async fn lend(&self, loan: border::Loan) -> rpc::RpcResult<border::Lent>;

    /// Reports how many tokens of a loan were used.
    #[method(name = "settle")]
    async fn settle(&self, settle: border::Settle) -> rpc::RpcResult<bool>;

    /// Reports a request that has crashed an engine.
    #[method(name = "crash")]
    async fn crash(&self, crash: border::Crash) -> rpc::RpcResult<bool>;
}
