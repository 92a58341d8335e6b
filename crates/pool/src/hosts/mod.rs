//! What is known of upstream hosts: their list, what they say of themselves, which zones are
//! evacuated, and how fast they get work.

pub(crate) mod departures;
pub(crate) mod discovery;
pub(crate) mod evacuation;
pub(crate) mod host_list;
pub(crate) mod host_notices;
pub(crate) mod host_pace;
pub(crate) mod machine_pace;
pub(crate) mod notice_types;
pub(crate) mod pace;
pub(crate) mod work_share;

pub use discovery::{Position, discovery_interval};
pub use discovery::{reads_member_list, shares_member_list, watch_timeout};
pub use evacuation::{EvacuationChange, EvacuationReport, Evacuations};
pub use host_list::HostList;
pub use host_notices::{DEFAULT_PAUSE, HostNotices, MAX_PAUSE, PROBE_TIMEOUT, SharedNotices};
pub use host_pace::{AnswerQuality, ColdRate};
pub use machine_pace::MachinePaces;
pub use notice_types::{CallKind, Incarnation, NoticeEffect, Permit, Withheld};
pub use pace::{HostPaces, PaceEvent, PaceReport};
