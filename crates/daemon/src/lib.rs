//! The process around the decisions: threads, sockets, clock and signals.
//!
//! The parts and how a request passes through them are drawn in
//! docs/ARCHITECTURE.md.

mod agent;
mod app;
mod entry;

pub use app::run;
