//! Refuses requests that an entry can't answer before it exits.

use crate::admit::Job;
use crate::entry::Entry;
use http::StatusCode;
use std::future;
use std::time;

/// Delay after which a caller returns, by a new connection and so to another entry.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(50);
/// Time between two looks at the plan of a stop, which a reload may change.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

impl<P: seam::Platform> Entry<P> {
    /// Returns the plan of the stop that this process was told to make.
    pub(crate) fn stop_plan(&self) -> Option<pool::StopPlan> {
        let signalled_at = (*self.stopped_at.borrow())?;
        Some(pool::StopPlan {
            signalled_at,
            grace_period: self.bounds.get().grace_period,
        })
    }

    /// Returns whether this process was told to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopped_at.borrow().is_some()
    }

    /// Returns whether a request may be passed on to a host, as far as a stop lets it.
    pub(crate) fn may_pass_on(&self, job: &Job) -> bool {
        let plan = self.stop_plan();
        let refuse_at = plan.and_then(|p| p.refuse_at(job.arrived_at, job.deadline));
        refuse_at.is_none_or(|at| time::Instant::now() < at)
    }

    /// Waits until a request must be answered without a host because of a stop: as soon as
    /// it may not be passed on any more, but while `is_sent` holds only at the very end.
    pub(crate) async fn wait_until_refused(&self, job: &Job, is_sent: impl Fn() -> bool) {
        self.wait_for_stop().await;
        while !self.is_last_refusal() && (is_sent() || self.may_pass_on(job)) {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Waits until what has not been read to its end must be refused because of a stop.
    pub(crate) async fn wait_for_last_refusal(&self) {
        self.wait_for_stop().await;
        while !self.is_last_refusal() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    fn is_last_refusal(&self) -> bool {
        let plan = self.stop_plan();
        plan.is_some_and(|p| p.last_refusal() <= time::Instant::now())
    }

    /// Waits until this process is told to stop.
    async fn wait_for_stop(&self) {
        let mut stopped_at = self.stopped_at.subscribe();
        if stopped_at.wait_for(Option::is_some).await.is_err() {
            // Without an entry there is no stop to wait for.
            future::pending::<()>().await;
        }
    }
}

/// Builds the reply to a request that an entry can't answer before it exits.
pub(crate) fn reply(job: &Job) -> seam::Reply {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    job.reply(status, Some(RETRY_DELAY), "stopping")
}

/// Builds the reply to a request that was not read to its end.
pub(crate) fn reply_unread(id: world::Name) -> seam::Reply {
    seam::Reply {
        status: StatusCode::SERVICE_UNAVAILABLE,
        id: Some(id),
        retry_after: Some(RETRY_DELAY),
        reason: "stopping",
    }
}
