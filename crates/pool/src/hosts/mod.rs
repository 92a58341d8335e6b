//! What is known of upstream hosts: their list, and what they say of themselves.

pub(crate) mod departures;
pub(crate) mod discovery;
pub(crate) mod host_list;
pub(crate) mod host_notices;

pub use discovery::{
    Position, discovery_interval, reads_member_list, shares_member_list, watch_timeout,
};
pub use host_list::HostList;
pub use host_notices::{CallKind, DEFAULT_PAUSE, HostNotices, Incarnation, MAX_PAUSE};
pub use host_notices::{NoticeEffect, PROBE_TIMEOUT, Permit, SharedNotices, Withheld};
