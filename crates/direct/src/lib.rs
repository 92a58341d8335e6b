//! An entry that calls engines and plain services directly, without agents.
//!
//! One thread carries all I/O of the process; the decisions are those of
//! [`pool`]. What the platform is like is known only behind [`seam`]. The way of
//! a request is drawn in docs/PLATFORM.md.

mod admit;
mod body;
mod crashes;
mod engine_pool;
mod entry;
mod events;
mod gossip;
mod guards;
mod peers;
mod plain_service;
mod prefill;
mod relay;
mod reload;
mod role_orders;
mod serve;
mod shutdown;
mod store_sync;
mod stream;
mod telemetry;

pub use crate::entry::Entry;
pub use serve::run;
pub use shutdown::Signals;
