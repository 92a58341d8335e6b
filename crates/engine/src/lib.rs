//! Client of the upstream beside an agent: a model engine or a plain service.
//!
//! Calls block; an agent gives each its own thread and ends it by cancelling
//! the request at the engine. The protocol is in docs/ENGINES.md.

mod errors;
mod message;
mod model;
mod service;

pub use errors::EngineError;
pub use message::{
    CacheEvent, CacheSnapshot, ImportRequest, LoadReport, Order, OrderKind, PrefillRequest,
    PrefillResult, RunningRequests, StreamEvent, StreamRequest,
};
pub use model::EngineClient;
pub use service::{Header, ServiceClient, ServiceError, ServiceRequest, ServiceResponse};
