//! Parts of the daemon that are common to all roles: command line, admin server,
//! load reports, watches of the store and shutdown.

mod admin;
mod command;
pub(crate) mod descriptors;
mod errors;
mod load;
mod platform;
mod program;
mod stop;
mod watch;

pub(crate) use admin::{AdminServer, count_closed_connection};
pub(crate) use errors::StartError;
pub(crate) use load::LoadPublisher;
pub use program::run;
pub(crate) use stop::ShutdownSignal;
pub(crate) use watch::watch_key;
