//! The daemon process: threads, sockets, clock and signals around the
//! decision-making crates.
//!
//! docs/ARCHITECTURE.md shows the parts and the path of a request through them.

mod agent;
mod app;
mod entry;

pub use app::run;
