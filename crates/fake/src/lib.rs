//! Small stand-ins for the outside systems, for tests and the demo only.
//!
//! Each serves the protocol of the real system on loopback, from a runtime of
//! its own, so that a test can kill it as a host's failure would.

mod answer;
mod cache_log;
mod collector;
mod engine;
mod hosts;
mod lab;
mod ports;
mod running;
mod service;
mod site;
mod store;
pub mod tracks;

pub use answer::{answer_text, answer_tokens, prompt_tokens};
pub use collector::Collector;
pub use engine::{Engine, EngineConfig, EngineStats};
pub use hosts::HostList;
pub use lab::{ClusterSpec, Daemon, SHARED_SECRET, TestCluster};
pub use ports::free_address;
pub use running::DaemonProcess;
pub use service::{Execution, Service, ServiceFault};
pub use store::{CallCounts, Store, StoreMode};
