//! Fakes of the Tracks Unit's platform, which speak its protocol.

mod cluster;
mod entry;
pub mod names;
mod store;
mod worker;

pub use cluster::{EntryResponse, TracksCluster};
pub use entry::EntryDaemon;
pub use store::{TracksStore, TracksStoreMode};
pub use worker::{ReceivedCall, Worker, WorkerBehaviour};
