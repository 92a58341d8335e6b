//! Attempts of calls and their hosts, by load and failures.

pub(crate) mod arrivals;
pub(crate) mod call_attempts;
pub(crate) mod failures;
pub(crate) mod host_balancer;
pub(crate) mod retry_budget;
pub(crate) mod run_limit;

pub use arrivals::Arrivals;
pub use call_attempts::{AttemptEnd, CallAttempts};
pub use failures::HostFailures;
pub use host_balancer::HostBalancer;
pub use retry_budget::RetryBudget;
pub use run_limit::RunLimit;
