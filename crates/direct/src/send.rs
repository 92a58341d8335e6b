//! Sends a stream's request to a decode engine.

use crate::crashes;
use crate::stream::StartError;
use crate::stream::StreamRunner;
use seam::Upstreams;
use std::pin;
use std::time;

/// How long an engine may take to send the head of its response before it is given up for
/// another one. As long as the stream can't start elsewhere, it has the time that is left.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_millis(5_000);

impl<P: seam::Platform> StreamRunner<P> {
    /// Sends the request. A late engine is given up only if the stream can start at another
    /// one.
    pub(crate) async fn send(
        &self,
        target: &seam::Target,
        options: &seam::SendOptions,
    ) -> Result<seam::Response<<P::Upstreams as Upstreams>::Body>, seam::SendError> {
        let (upstreams, job) = (&self.entry.upstreams, &self.job);
        let sent = upstreams.send(target, &job.request, options, job.deadline);
        let mut sent = pin::pin!(sent);
        loop {
            match tokio::time::timeout(HEAD_TIMEOUT, &mut sent).await {
                Ok(result) => return result,
                Err(_) if job.route.retry.is_repeatable() && self.can_retry() => {
                    return Err(seam::SendError {
                        may_have_run: true,
                        cause: seam::FailureCause::TimedOut,
                    });
                }
                Err(_) => {}
            }
        }
    }

    /// Records that a send got no response, has the engine checked for a crash if its
    /// connection was lost, and returns why the stream has not started.
    pub(crate) async fn record_unsent(
        &mut self,
        target: &seam::Target,
        error: seam::SendError,
    ) -> StartError {
        let now = time::Instant::now();
        if !error.may_have_run {
            self.runs.record_unrun(&target.id);
        }
        if !error.cause.may_have_arrived() {
            self.arrivals.withdraw();
        }
        if error.cause != seam::FailureCause::Withheld {
            let mut decode_pool = self.pool.decode_pool.borrow_mut();
            decode_pool.record_failure(&target.id, now);
        }
        if error.cause == seam::FailureCause::ConnectionLost {
            let progress = pool::Progress::Unclear;
            let check = self
                .entry
                .check_for_crash(&self.job, target, progress, self.is_trial());
            // After a time-out the check goes on by itself.
            let _ = tokio::time::timeout(crashes::MAX_CHECK_WAIT, check).await;
        }
        let reason = match error.cause {
            seam::FailureCause::ConnectFailed => "unconnected",
            seam::FailureCause::TimedOut => "late",
            seam::FailureCause::ConnectionLost => "broken",
            seam::FailureCause::WrongRequest => "crossed",
            seam::FailureCause::Unproven(fault) => {
                self.job.record_unproven(&target.id, fault);
                "unproven"
            }
            seam::FailureCause::Withheld => "withheld",
        };
        match error.may_have_run {
            true => StartError::Unknown(reason),
            false => StartError::NotExecuted(reason),
        }
    }
}
