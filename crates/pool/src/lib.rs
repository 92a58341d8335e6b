//! The decisions of an entry that calls prefill and decode engines directly,
//! without threads, sockets or clock.
//!
//! Each module answers one kind of load and moves on by events that carry the
//! time; docs/PLATFORM.md tells which rule each one keeps.

mod allowance;
mod balance;
mod catchup;
mod demand;
mod faults;
mod hosts;
mod lanes;
mod line;
mod orders;
mod retries;
mod returns;
mod roster;
mod seats;
mod sharing;
mod told;
mod window;

pub use allowance::Allowance;
pub use balance::{Balance, Engine, Shift};
pub use catchup::CatchUp;
pub use demand::{Asked, Demand};
pub use faults::Faults;
pub use hosts::Hosts;
pub use lanes::Lanes;
pub use line::{Line, Ticket, Wait};
pub use orders::{Orders, Step};
pub use retries::Retries;
pub use returns::Returns;
pub use roster::Roster;
pub use seats::{Load, Seats};
pub use sharing::{look_time, reads_list, shares_list, watch_time};
pub use window::Window;
