//! What hornbeampitch's own processes say to each other, over jsonrpsee.
//!
//! The message types are generated from `schema/wire.json`; the calls are in
//! [`api`]. Why one subscription carries a whole attempt is told in
//! docs/ARCHITECTURE.md.

pub mod api;
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
pub mod border;
mod cache;
mod link;
mod load;
mod proof;
mod server;

pub use cache::{CacheDelta, CacheReceiver, CacheReporter};
pub use link::{ConnectError, Connection, connect};
pub use load::{LoadReceiver, LoadReporter, LoadState};
pub use proof::{Proof, Secrets};
pub use server::Server;
