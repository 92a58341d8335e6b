//! HTTP clients of an agent's upstream, which is a model engine or a plain service.
//!
//! Calls block the calling thread. An agent runs each call on its own thread and
//! ends it by cancelling the request at the engine. See docs/ENGINES.md for the
//! protocol.

mod client;
mod errors;
mod message;
mod service;

pub use client::EngineClient;
pub use errors::EngineError;
pub use message::{
    CacheEvent, CacheSnapshot, ImportRequest, LoadReport, Order, OrderKind, PrefillRequest,
    PrefillResult, RunningRequests, StreamEvent, StreamRequest,
};
pub use service::{Header, ServiceClient, ServiceError, ServiceRequest, ServiceResponse};
