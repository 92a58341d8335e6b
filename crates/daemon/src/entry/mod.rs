//! The entry role: accepts requests from callers, authenticates and admits
//! them, and relays them to agents.

mod admit;
mod division;
mod errors;
mod http;
mod methods;
mod model;
mod peers;
mod plain;
mod request;
mod response;
mod runner;
mod runner_attempts;
mod serve;
mod state;
mod subscription;
mod watchers;

pub(crate) use serve::serve;
