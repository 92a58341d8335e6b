//! JSON-RPC protocol between the processes of hornbeampitch, over WebSockets.
//!
//! The message types are generated from `schema/wire.json`; the calls are in
//! [`api`]. docs/ARCHITECTURE.md explains why each attempt of a request has one
//! subscription of its own.

pub mod api;
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
pub mod border;
mod cache;
mod connection;
mod load;
mod proof;
mod server;

pub use cache::{CacheDelta, CacheReceiver, CacheReporter};
pub use connection::{Connection, RpcError, connect};
pub use load::{LoadReceiver, LoadReporter, LoadState};
pub use proof::{Proof, Secrets};
pub use server::Server;
