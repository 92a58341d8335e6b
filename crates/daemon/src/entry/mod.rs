//! The process that callers reach: it knows keys, admits, chooses and relays.

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
mod serve;
mod state;
mod subscription;
mod watchers;

pub(crate) use serve::serve;
