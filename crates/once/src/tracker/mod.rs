//! The state machine that claims idempotency keys, split by what it handles.

mod call;
mod outcomes;
mod shards;
// The file has the same name as the folder, after the type that it defines.
#[allow(clippy::module_inception)]
mod tracker;

pub use tracker::ClaimTracker;
