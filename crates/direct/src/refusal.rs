//! A reply that refuses a request at its admission.

use crate::telemetry;
use world::Name;

/// A reply that refuses a request, and what used up the organisation's allowance
/// if that is the reason.
pub(crate) struct Refusal {
    pub(crate) reply: seam::Reply,
    pub(crate) excess: Option<Box<(Name, pool::ExcessUse)>>,
}

impl From<seam::Reply> for Refusal {
    fn from(reply: seam::Reply) -> Self {
        Self {
            reply,
            excess: None,
        }
    }
}

impl Refusal {
    /// Logs the refusal of a request.
    pub(crate) fn log(&self, id: &str, config_version: pool::ConfigVersion) {
        let mut line = trace::LogLine::new("refused")
            .with("request", id)
            .with("status", self.reply.status.as_u16())
            .with("reason", self.reply.reason)
            .with(
                "again_ms",
                self.reply.retry_after.map_or(0, telemetry::millis),
            )
            .with("version", config_version);
        if let Some(excess) = &self.excess {
            let (tenant, excess) = &**excess;
            line = line
                .with("organisation", tenant)
                .with("units", excess.units)
                .with("own", excess.own.round())
                .with("peers", excess.peers.round())
                .with("assumed", excess.assumed.round())
                .with("limit", excess.limit.round())
                .with("report_age_ms", telemetry::millis(excess.report_age));
        }
        line.info();
    }
}
