//! The state machine of one model request, split by the stages of a request.

mod decode;
// The file has the same name as the folder, after the type that it defines.
#[allow(clippy::module_inception)]
mod lifecycle;
mod messages;
mod prefill;
mod spec;

pub use lifecycle::{Context, RequestLifecycle};
pub use messages::{Action, Event, Failure, Fault, Stage};
pub use spec::RequestSpec;
