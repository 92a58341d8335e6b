//! Scheduling decisions of an entry that calls prefill and decode engines directly.
//!
//! The crate uses no threads, sockets or clock: each type changes only through
//! method calls, which pass in the current time where it is needed.
//! docs/PLATFORM.md lists the rule that each module implements.

mod balance;
mod crashes;
mod engines;
mod hosts;
mod limits;
mod peers;
mod queue;

pub use balance::{
    Arrivals, AttemptEnd, CallAttempts, HostBalancer, HostFailures, RetryBudget, RunLimit,
};
pub use crashes::{CrashId, CrashQuarantine, CrashReport, CrashedRun, Element, ElementSet};
pub use crashes::{Progress, Standing, Verdict, VerdictChanges, VerdictReport};
pub use engines::{
    DecodePool, Demand, DemandRate, EngineLoad, LeaseStep, LengthEstimate, MemoryForecast,
    OrderLease, PrefillPool, ResponseModel, RoleBalancer, RoleCandidate, RoleChange,
    StreamProgress, kept_room,
};
pub use hosts::{AnswerQuality, ColdRate, HostPaces, MachinePaces, PaceEvent, PaceReport};
pub use hosts::{CallKind, Incarnation, NoticeEffect, Permit, Withheld};
pub use hosts::{DEFAULT_PAUSE, HostNotices, MAX_PAUSE, PROBE_TIMEOUT, SharedNotices};
pub use hosts::{EvacuationChange, EvacuationReport, Evacuations, HostList};
pub use hosts::{Position, discovery_interval};
pub use hosts::{reads_member_list, shares_member_list, watch_timeout};
pub use limits::{
    Admission, ByteBudget, CallerId, CallerStage, CallerTable, Charge, Eviction, ExcessUse,
    HeavyUse, RateLimiter, SlidingWindow, Tolerance, UsageReport, UsedUnits, socket_descriptors,
};
pub use peers::{
    ConfigFetch, ConfigVersion, Forwarding, GossipPaths, Heard, KnownPeer, RELAY_DELAY, RelayQueue,
    UpdateId, UpdateOrder,
};
pub use queue::{BandReport, CallQueue, CallTicket, SharedOrder, WaitingCall};
pub use queue::{QueuedStream, RecentRefusals, StopPlan, Ticket, WaitQueue};
