//! Logging and tracing: one log line for each event and one span for each hop of a
//! request.

mod bounded;
mod http_client;
mod line;
mod span;

pub use bounded::{LogGuard, start_bounded_logging};
pub use line::{LogLine, start_logging};
pub use span::{Span, TracingGuard, start_tracing};
