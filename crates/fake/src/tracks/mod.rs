//! Stand-ins of the Tracks Unit's platform, speaking its protocol.

mod entry;
pub mod names;
mod store;
mod worker;
mod yard;

pub use entry::EntryDaemon;
pub use store::{TracksStore, TracksStoreMode};
pub use worker::{ReceivedCall, Worker, WorkerBehaviour};
pub use yard::{EntryResponse, TracksCluster};
