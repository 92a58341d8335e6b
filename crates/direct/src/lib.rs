//! An entry that calls engines and plain services directly, without agents.
//!
//! All I/O of the process runs on one thread. The routing decisions are those
//! of [`pool`], and everything specific to the platform is behind [`seam`].
//! docs/PLATFORM.md shows the path of a request.

mod active_config;
mod admit;
mod body;
mod call_place;
mod caller;
mod caller_activity;
mod caller_stream;
mod charge;
mod crashes;
mod engine_pool;
mod entry;
mod evacuation;
mod events;
mod exchange;
mod forward;
mod gate;
mod gossip;
mod gossip_message;
mod gossip_sender;
mod guards;
mod listeners;
mod member_log;
mod members;
mod metered_store;
mod meters;
mod metric;
mod odd_records;
mod paces;
mod peers;
mod plain_attempt;
mod plain_call;
mod plain_service;
mod prefill;
mod refusal;
mod relay;
mod reload;
mod request_body;
mod request_meter;
mod reserve;
mod resume;
mod retries;
mod role_orders;
mod seat;
mod send;
mod serve;
mod shared_order;
mod shutdown;
mod stopping;
mod store_sync;
mod stream;
mod stream_memory;
mod stream_terms;
mod telemetry;
mod trials;
mod unstarted;
mod usage_store;
mod verdict_store;

pub use crate::entry::Entry;
pub use serve::run;
pub use shutdown::Signals;
