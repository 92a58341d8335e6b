//! The calls between processes, one trait for each kind of callee.

// The macro's server trait has methods that only its own code names.
#![allow(missing_docs)]

use crate::border;
use jsonrpsee::core as rpc;
use jsonrpsee::proc_macros;

/// Calls that every process answers: who it is, what it knows, how loaded it is.
#[proc_macros::rpc(server, client, namespace = "peer")]
pub trait Peer {
    #[method(name = "hello")]
    async fn hello(&self) -> rpc::RpcResult<border::Hello>;

    #[method(name = "snapshot")]
    async fn snapshot(&self) -> rpc::RpcResult<border::Snapshot>;

    /// Reports load in sequence; also the heartbeat of the process.
    #[subscription(name = "load", unsubscribe = "unload", item = border::Load)]
    async fn load(&self) -> rpc::SubscriptionResult;
}

/// Calls that an agent answers.
///
/// The seat, the import and the stream of one attempt live exactly as long as
/// its subscription, so a caller that has gone, or an entry that has died,
/// frees the engine without any further message.
#[proc_macros::rpc(server, client, namespace = "agent")]
pub trait Agent {
    #[subscription(name = "decode", unsubscribe = "undecode", item = border::DecodeEvent)]
    async fn decode(&self, bid: border::Bid) -> rpc::SubscriptionResult;

    #[method(name = "start")]
    async fn start(&self, start: border::Start) -> rpc::RpcResult<bool>;

    #[subscription(name = "prefill", unsubscribe = "unprefill", item = border::PrefillEvent)]
    async fn prefill(&self, prefill: border::Prefill) -> rpc::SubscriptionResult;

    /// Tells, in sequence, which blocks of prompts the engine has cached.
    #[subscription(name = "cache", unsubscribe = "uncache", item = border::Cache)]
    async fn cache(&self) -> rpc::SubscriptionResult;

    #[method(name = "call")]
    async fn call(&self, call: border::PlainCall) -> rpc::RpcResult<border::PlainReply>;
}

/// Calls that an entry answers to its peers.
#[proc_macros::rpc(server, client, namespace = "entry")]
pub trait Entry {
    #[method(name = "lend")]
    async fn lend(&self, loan: border::Loan) -> rpc::RpcResult<border::Lent>;

    #[method(name = "settle")]
    async fn settle(&self, settle: border::Settle) -> rpc::RpcResult<bool>;

    #[method(name = "crash")]
    async fn crash(&self, crash: border::Crash) -> rpc::RpcResult<bool>;
}
