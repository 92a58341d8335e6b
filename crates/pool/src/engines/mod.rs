//! Choice of prefill and decode engines, and what streams do there.

pub(crate) mod decode;
pub(crate) mod demand;
pub(crate) mod forecast;
pub(crate) mod kept_room;
pub(crate) mod order_lease;
pub(crate) mod prefill;
pub(crate) mod responses;
pub(crate) mod roles;
pub(crate) mod stall;

pub use decode::{DecodePool, EngineLoad};
pub use demand::{Demand, DemandRate};
pub use forecast::{LengthEstimate, MemoryForecast};
pub use kept_room::kept_room;
pub use order_lease::{LeaseStep, OrderLease};
pub use prefill::PrefillPool;
pub use responses::ResponseModel;
pub use roles::{RoleBalancer, RoleCandidate, RoleChange};
pub use stall::StreamProgress;
