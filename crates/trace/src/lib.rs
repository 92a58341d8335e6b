//! Logging and tracing: one log line for each event and one span for each hop of a
//! request.

mod http_client;
mod line;
mod nonblocking;
mod span;

pub use line::{LogLine, start_logging};
pub use nonblocking::{LogGuard, start_nonblocking_logging};
pub use span::{Span, TracingGuard, start_tracing};
