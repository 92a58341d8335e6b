//! Bounds on what organisations use and on what a process holds.

pub(crate) mod byte_budget;
pub(crate) mod caller_table;
pub(crate) mod charge;
pub(crate) mod heavy_use;
pub(crate) mod rate_limiter;
pub(crate) mod restart;
pub(crate) mod tenant_use;
pub(crate) mod usage_report;
pub(crate) mod window;

pub use byte_budget::ByteBudget;
pub use caller_table::{
    Admission, CallerId, CallerStage, CallerTable, Eviction, socket_descriptors,
};
pub use charge::{Charge, ExcessUse, Tolerance};
pub use heavy_use::HeavyUse;
pub use rate_limiter::RateLimiter;
pub use usage_report::{UsageReport, UsedUnits};
pub use window::SlidingWindow;
