//! The process beside one upstream: the only one that talks to it.

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
