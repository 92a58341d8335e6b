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
    CacheChange, CacheContent, Import, Load, Order, OrderKind, Prefill, Prefilled, Resume, Running,
    Token,
};
pub use model::Model;
pub use service::{Answer, Call, CallError, Field, Service};
