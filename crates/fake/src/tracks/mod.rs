//! Stand-ins of the Tracks Unit's platform, speaking its protocol.

mod entry;
pub mod names;
mod store;
mod worker;
mod yard;

pub use entry::Entry;
pub use store::{StoreMode, TracksStore};
pub use worker::{Arrival, Manner, Worker};
pub use yard::{Asked, Yard};
