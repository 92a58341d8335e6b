//! The decisions about model requests, without threads, sockets or clock.
//!
//! An entry holds a [`Fleet`] of views and one [`Journey`] for each request; an
//! agent holds [`Seats`] and a [`Lane`]. Each moves on by events that carry the
//! time, so that any order of events can be replayed; see docs/DESIGN.md.

mod backoff;
mod budget;
mod fleet;
mod journey;
mod lane;
mod line;
mod links;
mod mirror;
mod prefix;
mod quarantine;
mod seats;
mod shares;
mod speed;
mod urgency;

pub use backoff::Backoff;
pub use budget::{Cause, RetryBudget};
pub use fleet::{Fleet, Pick, Report, View, Want};
pub use journey::{Action, Context, Event, Failure, Fault, Journey, Stage, Work};
pub use lane::Lane;
pub use line::Ticket;
pub use links::Links;
pub use mirror::{CacheEvent, Mirror, Sync};
pub use prefix::{Blocks, CacheNews, Prefixes};
pub use quarantine::{CrashId, Digest, Quarantine};
pub use seats::Seats;
pub use shares::Shares;
pub use speed::Speed;
pub use urgency::Urgency;

/// Tokens that one piece of engine memory holds.
pub const PIECE_TOKENS: u64 = 2_000;

/// Pieces of memory that a prompt and its whole answer need.
pub fn pieces_for(prompt: u64, answer: u64) -> u32 {
    let pieces = (prompt + answer).div_ceil(PIECE_TOKENS).max(1);
    u32::try_from(pieces).unwrap_or(u32::MAX)
}
