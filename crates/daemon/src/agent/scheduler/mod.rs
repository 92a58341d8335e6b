//! Schedules the jobs of one engine on a single thread.

mod decode;
mod health;
mod messages;
mod prefill;
// The file has the same name as the folder, after the type that it defines.
#[allow(clippy::module_inception)]
mod scheduler;

pub(crate) use scheduler::JobScheduler;
