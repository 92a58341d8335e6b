//! One attempt of a call to a plain service, at one host.

use crate::admit::Job;
use crate::entry::Entry;
use crate::forward;
use crate::forward::Answer;
use crate::plain_service;
use crate::plain_service::PlainService;
use seam::ByteStream;
use seam::Upstreams;
use std::rc;
use std::time;
use world::Name;

/// Bodies up to this size, and those without an announced length, are read
/// completely before the response head is sent, so that the call can still be
/// retried or get an error response if the body is cut off.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// A call in progress; the host's load includes it until it is dropped.
struct CallGuard {
    service: rc::Rc<PlainService>,
    host: Name,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.service.balancer.borrow_mut().end_call(&self.host);
    }
}

/// Result of one attempt.
pub(crate) enum AttemptOutcome<S> {
    /// The host's response.
    Response(Answer<S>),
    /// The host stated that it has not executed the call, or it could not be
    /// reached.
    NotExecuted(&'static str),
    /// The call may have been executed.
    Unknown(&'static str),
}

impl<S> AttemptOutcome<S> {
    /// Returns the outcome as it is written in logs.
    pub(crate) fn label(&self) -> &str {
        match self {
            AttemptOutcome::Response(answer) => answer.response.status.as_str(),
            AttemptOutcome::NotExecuted(reason) | AttemptOutcome::Unknown(reason) => reason,
        }
    }
}

/// Sends the call to one host, and reads the response if it is buffered.
pub(crate) async fn attempt<P: seam::Platform>(
    entry: &rc::Rc<Entry<P>>,
    service: &rc::Rc<PlainService>,
    job: &Job,
    target: seam::Target,
) -> AttemptOutcome<<P::Upstreams as Upstreams>::Body> {
    let is_suspect = !entry
        .quarantine
        .borrow()
        .suspected(&job.elements)
        .is_empty();
    service.balancer.borrow_mut().start_call(&target.id);
    let _guard = CallGuard {
        service: service.clone(),
        host: target.id.clone(),
    };
    let options = seam::SendOptions {
        tenant: job.tenant.clone(),
        timeout: Some(job.time_left()),
        ..seam::SendOptions::default()
    };
    let result = entry
        .upstreams
        .send(&target, &job.request, &options, job.deadline)
        .await;
    let now = time::Instant::now();
    let mut upstream = match result {
        Ok(upstream) => upstream,
        Err(error) if error.cause == seam::FailureCause::Withheld => {
            return AttemptOutcome::NotExecuted("withheld");
        }
        Err(error) => {
            service
                .balancer
                .borrow_mut()
                .record_failure(&target.id, now);
            if error.cause == seam::FailureCause::ConnectionLost {
                // Whether the host had begun the call is not known: it answers at once.
                entry.check_for_crash(job, &target, pool::Progress::Begun, is_suspect);
            }
            return match (error.may_have_run, error.cause) {
                (false, _) => AttemptOutcome::NotExecuted("unconnected"),
                (true, seam::FailureCause::TimedOut) => AttemptOutcome::Unknown("late"),
                (true, seam::FailureCause::WrongRequest) => AttemptOutcome::Unknown("crossed"),
                (true, seam::FailureCause::Unproven(fault)) => {
                    job.record_unproven(&target.id, fault);
                    AttemptOutcome::Unknown("unproven")
                }
                (true, _) => AttemptOutcome::Unknown("broken"),
            };
        }
    };
    if upstream.not_executed {
        service
            .balancer
            .borrow_mut()
            .record_refusal(&target.id, now);
        return AttemptOutcome::NotExecuted("refused");
    }
    if let Some(queue) = service.queue.borrow_mut().as_mut() {
        queue.record_end(now);
    }
    let failed = upstream.status.is_server_error();
    service
        .balancer
        .borrow_mut()
        .record_response(&target.id, failed);
    if plain_service::implies_not_executed(upstream.status) {
        // Such a status would tell the caller that the call was not executed,
        // but the host did not state that.
        return AttemptOutcome::Unknown("status_ambiguous");
    }
    let is_buffered = upstream
        .body
        .content_length()
        .is_none_or(|l| l <= MAX_BUFFERED_BYTES as u64);
    if !is_buffered {
        return AttemptOutcome::Response(Answer {
            host: target.id,
            response: upstream,
            body: None,
        });
    }
    match forward::collect_body(job, &target.id, &mut upstream.body, &entry.memory).await {
        Some(body) => {
            if !failed {
                entry.record_answer(&job.elements);
            }
            AttemptOutcome::Response(Answer {
                host: target.id,
                response: upstream,
                body: Some(body),
            })
        }
        None => {
            service
                .balancer
                .borrow_mut()
                .record_failure(&target.id, now);
            AttemptOutcome::Unknown("body_incomplete")
        }
    }
}
