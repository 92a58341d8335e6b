//! Fakes of the Tracks Unit's platform: its store, engines and plain services, and a test cluster
//! that runs real daemons on them.

mod breaking_engine;
mod breaking_site;
mod cluster;
mod crowd;
mod entry;
mod kept_caller;
mod metric_scrape;
pub mod names;
mod raw_call;
mod raw_worker;
mod received_call;
mod request_account;
mod request_log;
mod silence;
mod silent_answer;
mod silent_site;
mod silent_worker;
mod store;
mod store_state;
mod worker;
mod worker_behaviour;
mod worker_handler;
mod worker_state;

pub use breaking_engine::{BreakingEngine, Noise, StreamScript, chunk, stream_head};
pub use breaking_site::BreakingSite;
pub use cluster::{EntryResponse, TracksCluster};
pub use crowd::{Crowd, Unfinished};
pub use entry::EntryDaemon;
pub use kept_caller::{CallEnd, CallRecord, CallerRequest, KeptCaller};
pub use metric_scrape::{MetricSample, MetricScrape};
pub use raw_call::RawCall;
pub use raw_worker::{RAW_BODY, RawWorker};
pub use received_call::ReceivedCall;
pub use request_account::{AccountRow, Outcome, RequestAccount, SentRequest};
pub use request_log::RequestLog;
pub use silence::{Silence, SilenceGate, SilencePoint};
pub use silent_answer::{Framing, body_bytes, event_text};
pub use silent_site::SilentSite;
pub use silent_worker::{CallFault, SilentWorker};
pub use store::{TracksStore, TracksStoreCopy, TracksStoreMode};
pub use worker::Worker;
pub use worker_behaviour::WorkerBehaviour;
