//! Fakes of the Tracks Unit's platform: its store, engines and plain services, and a test cluster
//! that runs real daemons on them.

mod cluster;
mod entry;
pub mod names;
mod store;
mod worker;

pub use cluster::{EntryResponse, TracksCluster};
pub use entry::EntryDaemon;
pub use store::{TracksStore, TracksStoreMode};
pub use worker::{ReceivedCall, Worker, WorkerBehaviour};
