//! Fakes of the external systems, such as engines, services and the store, for tests, benchmarks and
//! the demo only.
//!
//! Each fake serves the protocol of the real system on loopback and has a runtime of its
//! own, so that a test can kill it as the loss of a host would.

mod answer;
mod cache_events;
mod cluster;
mod collector;
mod daemon_process;
mod engine;
mod flood;
mod host_list;
mod ports;
mod receive_queues;
mod service;
mod store;
mod test_server;
pub mod tracks;

pub use answer::{answer_text, answer_tokens, prompt_tokens};
pub use cluster::{ClusterSpec, Daemon, SHARED_SECRET, TestCluster};
pub use collector::Collector;
pub use daemon_process::DaemonProcess;
pub use engine::{Engine, EngineConfig, EngineStats};
pub use flood::{Flood, FloodScript};
pub use host_list::HostList;
pub use ports::free_address;
pub use service::{Execution, Service, ServiceFault};
pub use store::{CallCounts, Store, StoreMode};
