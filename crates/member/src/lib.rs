//! Which peers are there, and whether this process itself has slept or is cut off.
//!
//! The platform's host list lags, so it only proposes; heartbeats over open
//! links decide. docs/DESIGN.md, "Membership", weighs the ways.

mod fence;
mod holders;
mod pulse;
mod roster;
mod trust;

pub use fence::Fence;
pub use holders::Holders;
pub use pulse::Pulse;
pub use roster::{Action, Event, Identity, Roster, Standing};
pub use trust::Trust;
