//! Tracks which peers are alive, and whether this process itself was paused or is
//! disconnected.
//!
//! The platform's host list is updated with a delay, so it only determines which
//! peers to connect to; heartbeats over open links show which of them are alive.
//! docs/DESIGN.md, "Membership", compares the alternatives.

mod fencing;
mod holders;
mod pause;
mod peer_table;
mod validity;

pub use fencing::FencingState;
pub use holders::ShareHolders;
pub use pause::PauseDetector;
pub use peer_table::{LinkAction, PeerEvent, PeerIdentity, PeerStatus, PeerTable};
pub use validity::StateValidity;
