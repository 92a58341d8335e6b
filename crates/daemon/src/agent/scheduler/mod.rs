//! The one thread that decides for an engine.

mod decode;
// The folder is named for the type that this file holds.
mod health;
mod messages;
mod prefill;
#[allow(clippy::module_inception)]
mod scheduler;

pub(crate) use scheduler::Desk;
