//! Which peers are there, and whether this process itself has slept.
//!
//! The platform's host list lags, so it only proposes; heartbeats over open
//! links decide. docs/DESIGN.md, "Membership", weighs the ways.

mod fence;
mod pulse;
mod roster;

pub use fence::Fence;
pub use pulse::Pulse;
pub use roster::{Action, Event, Identity, Roster, Standing};
