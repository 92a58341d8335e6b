//! An entry that calls engines and plain services directly, without agents.
//!
//! One thread carries all I/O of the process; the decisions are those of
//! [`pool`]. What the platform is like is known only behind [`seam`]. The way of
//! a request is drawn in docs/PLATFORM.md.

mod admit;
mod body;
mod crashes;
mod entry;
mod events;
mod feed;
mod guards;
mod measure;
mod news;
mod orders;
mod peers;
mod plain;
mod prompt;
mod queue;
mod relay;
mod reload;
mod serve;
mod stop;
mod stream;

pub use crate::entry::Entry;
pub use serve::run;
pub use stop::Signals;
