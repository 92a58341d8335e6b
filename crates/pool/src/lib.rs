//! Scheduling decisions of an entry that calls prefill and decode engines directly.
//!
//! The crate uses no threads, sockets or clock: each type changes only through
//! method calls, which pass in the current time where it is needed.
//! docs/PLATFORM.md lists the rule that each module implements.

mod arrivals;
mod byte_budget;
mod call_attempts;
mod charge;
mod config_fetch;
mod config_version;
mod crashes;
mod decode;
mod demand;
mod departures;
mod discovery;
mod failures;
mod forecast;
mod gossip_paths;
mod heard;
mod heavy_use;
mod host_balancer;
mod host_list;
mod host_notices;
mod order_lease;
mod peer_loads;
mod prefill;
mod queue;
mod rate_limiter;
mod refusals;
mod responses;
mod restart;
mod retry_budget;
mod roles;
mod stall;
mod stop_plan;
mod tenant_use;
mod usage_report;
mod window;

pub use arrivals::Arrivals;
pub use byte_budget::ByteBudget;
pub use call_attempts::{AttemptEnd, CallAttempts};
pub use charge::{Charge, ExcessUse, Tolerance};
pub use config_fetch::ConfigFetch;
pub use config_version::ConfigVersion;
pub use crashes::{CrashId, CrashQuarantine, CrashReport, CrashedRun, Element, ElementSet};
pub use crashes::{Progress, Standing, Verdict, VerdictChanges, VerdictReport};
pub use decode::{DecodePool, EngineLoad};
pub use demand::{Demand, DemandRate};
pub use discovery::{
    Position, discovery_interval, reads_member_list, shares_member_list, watch_timeout,
};
pub use failures::HostFailures;
pub use forecast::{LengthEstimate, MemoryForecast};
pub use gossip_paths::{Forwarding, GossipPaths, KnownPeer, RelayQueue, UpdateId, UpdateOrder};
pub use heard::{Heard, RELAY_DELAY};
pub use heavy_use::HeavyUse;
pub use host_balancer::HostBalancer;
pub use host_list::HostList;
pub use host_notices::{CallKind, DEFAULT_PAUSE, HostNotices, Incarnation, MAX_PAUSE};
pub use host_notices::{NoticeEffect, PROBE_TIMEOUT, Permit, SharedNotices, Withheld};
pub use order_lease::{LeaseStep, OrderLease};
pub use prefill::PrefillPool;
pub use queue::{QueuedStream, Ticket, WaitQueue};
pub use rate_limiter::RateLimiter;
pub use refusals::RecentRefusals;
pub use responses::ResponseModel;
pub use retry_budget::RetryBudget;
pub use roles::{RoleBalancer, RoleCandidate, RoleChange};
pub use stall::StreamProgress;
pub use stop_plan::StopPlan;
pub use usage_report::{UsageReport, UsedUnits};
pub use window::SlidingWindow;
