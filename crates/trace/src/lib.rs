//! What operators see: one log line for each event, one span for each hop.

mod bounded;
mod line;
mod sender;
mod span;

pub use bounded::{LogGuard, start_bounded_logging};
pub use line::{LogLine, start_logging};
pub use span::{Span, TracingGuard, start_tracing};
