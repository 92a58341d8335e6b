//! The place of a call among those that wait while all hosts of its service are full.

use crate::admit::Job;
use crate::plain_service::PlainService;
use std::rc;
use std::time;
use world::Name;

/// Whether a call may be sent.
pub(crate) enum Turn {
    /// At this host, if one is known to have room.
    Now(Option<Name>),
    /// Others go first, or no host has room.
    Later,
    /// Its turn would come too late; its caller may come back after this time.
    Never(time::Duration),
}

/// A place in the queue of a service; dropping it leaves the queue.
pub(crate) struct QueuePlace<'a> {
    service: &'a rc::Rc<PlainService>,
    ticket: Option<pool::CallTicket>,
}

impl<'a> QueuePlace<'a> {
    pub(crate) fn new(service: &'a rc::Rc<PlainService>) -> Self {
        Self {
            service,
            ticket: None,
        }
    }

    /// Decides whether a call that no host has may be sent. While it waits, hosts that have
    /// refused it may be tried again.
    pub(crate) fn turn(
        &mut self,
        job: &Job,
        zone: &str,
        attempts: &mut pool::CallAttempts,
        now: time::Instant,
    ) -> Turn {
        let mut queue = self.service.queue.borrow_mut();
        let Some(queue) = queue.as_mut() else {
            return Turn::Now(None);
        };
        let is_first = match self.ticket {
            Some(ticket) => queue.is_first(ticket, now),
            None => queue.is_empty(),
        };
        if let Some(ticket) = self.ticket.filter(|t| queue.is_over(*t, now)) {
            self.ticket = None;
            queue.leave(ticket);
            return Turn::Never(time::Duration::ZERO);
        }
        let balancer = self.service.balancer.borrow();
        let open = || balancer.pick_open(zone, attempts.tried(), now);
        if is_first && let Some(host) = open() {
            self.ticket.take().into_iter().for_each(|t| queue.leave(t));
            return Turn::Now(Some(host));
        }
        if self.ticket.is_none() {
            if !balancer.has_full_host(now) {
                return Turn::Now(open());
            }
            let call = pool::WaitingCall {
                priority: job.priority,
                due: job.arrived_at + job.route.latency_target,
                // A late call would take the place of one that can still be on time.
                deadline: job.deadline.min(job.arrived_at + job.route.latency_target),
            };
            match queue.join(call, now) {
                Ok(ticket) => self.ticket = Some(ticket),
                Err(delay) => return Turn::Never(delay),
            }
        }
        attempts.forget_refused();
        Turn::Later
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        if let (Some(ticket), Some(queue)) = (self.ticket, self.service.queue.borrow_mut().as_mut())
        {
            queue.leave(ticket);
        }
    }
}
