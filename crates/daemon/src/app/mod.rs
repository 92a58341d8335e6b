//! What every role has: launch, admin port, load reports and stop.

mod admin;
mod errors;
mod follow;
mod heart;
mod launch;
mod platform;
mod program;
mod stop;

pub(crate) use admin::Admin;
pub(crate) use errors::StartError;
pub(crate) use follow::follow;
pub(crate) use heart::Heart;
pub use program::run;
pub(crate) use stop::Stop;
