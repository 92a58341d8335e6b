//! Which peers are there, and whether this process itself has slept or is cut off.
//!
//! The platform's host list lags, so it only proposes; heartbeats over open
//! links decide. docs/DESIGN.md, "Membership", weighs the ways.

mod fencing;
mod holders;
mod pause;
mod peer_table;
mod validity;

pub use fencing::FencingState;
pub use holders::SliceHolders;
pub use pause::PauseDetector;
pub use peer_table::{LinkAction, PeerEvent, PeerIdentity, PeerStatus, PeerTable};
pub use validity::StateValidity;
