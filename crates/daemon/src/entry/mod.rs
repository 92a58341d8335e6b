//! The process that callers reach: it knows keys, admits, chooses and relays.

mod admit;
mod ask;
mod core;
mod division;
mod errors;
mod feeds;
mod follow;
mod http;
mod methods;
mod model;
mod peers;
mod plain;
mod reply;
mod runner;
mod serve;

pub(crate) use serve::serve;
