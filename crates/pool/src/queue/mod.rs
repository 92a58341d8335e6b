//! Streams and calls that wait for a place, and the callers that are refused one.

pub(crate) mod call_queue;
pub(crate) mod refusals;
pub(crate) mod shared_order;
pub(crate) mod stop_plan;
pub(crate) mod wait_queue;

pub use call_queue::{CallQueue, CallTicket, WaitingCall};
pub use refusals::RecentRefusals;
pub use shared_order::{BandReport, SharedOrder};
pub use stop_plan::StopPlan;
pub use wait_queue::{QueuedStream, Ticket, WaitQueue};
