//! What operators see: one log line for each event, one span for each hop.

mod bounded;
mod hop;
mod line;
mod sender;

pub use bounded::{LogGuard, start_bounded_logging};
pub use hop::{Hop, Tracing, start_tracing};
pub use line::{Line, start_logging};
