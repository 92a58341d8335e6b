//! Charges requests against the allowances of their organisations.

use crate::entry::Entry;
use crate::meters;
use std::time;

/// Units charged for a request when the organisation's allowance counts
/// requests.
const UNITS_PER_REQUEST: f64 = 1.0;
/// Time between two tries to charge a held request; peers report about as often.
const HOLD_INTERVAL: time::Duration = time::Duration::from_millis(150);

/// Charges a request to its organisation. One that exceeds the limit now but may get
/// room in time to be answered on time is held until then; others are refused at once.
pub(crate) async fn charge<P: seam::Platform>(
    entry: &Entry<P>,
    tenant: &seam::Tenant,
    units: f64,
    held_until: time::Instant,
) -> Result<Option<pool::Charge>, pool::ExcessUse> {
    let started_at = time::Instant::now();
    entry
        .rate_limiter
        .borrow_mut()
        .record_demand(tenant, units, started_at);
    loop {
        let now = time::Instant::now();
        let charged = entry.rate_limiter.borrow_mut().charge(tenant, units, now);
        match charged {
            Err(excess) if now + excess.wait.max(HOLD_INTERVAL) <= held_until => {
                tokio::time::sleep(HOLD_INTERVAL).await;
            }
            charged => {
                let held = now.saturating_duration_since(started_at);
                meters::meters().admission_hold.record(held.as_secs_f64());
                return charged;
            }
        }
    }
}

/// Returns the units that a request is charged against its organisation's
/// allowance.
pub(crate) fn request_units(request: &seam::Request, tenant: &seam::Tenant) -> f64 {
    match (tenant.default_units, request.token_counts) {
        (None, _) => UNITS_PER_REQUEST,
        (Some(_), Some((prompt, response))) => (prompt + response) as f64,
        (Some(default), None) => default as f64,
    }
}
