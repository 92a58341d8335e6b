//! The agent: the process next to one engine or service, which is the only one to
//! call it.

mod cache;
mod claims;
mod job;
mod methods;
mod orders;
mod plain;
mod scheduler;
mod serve;
mod worker;

pub(crate) use serve::serve;
