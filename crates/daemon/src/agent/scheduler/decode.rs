//! Bids for seats, and the streams that come of them.

use crate::agent::job::DecodeJob;
use crate::agent::job::DecodeOut;
use crate::agent::job::DecodeStage;
use crate::agent::job::Job;
use crate::agent::scheduler::Desk;
use crate::agent::scheduler::messages;
use crate::agent::scheduler::messages::tell;
use crate::agent::worker;
use route::AttemptId;
use std::time;
use wire::border;

impl Desk {
    pub(super) fn bid(&mut self, ticket: AttemptId, bid: border::Bid, out: DecodeOut) {
        let urgency = messages::urgency_of(&bid.urgency);
        if !self.seats.enqueue(ticket, bid.pieces, urgency) {
            let kind = match self.draining {
                true => border::FaultKind::Draining,
                false => border::FaultKind::Invalid,
            };
            tell(&out, messages::decode_fault(kind, "no seat here", None));
            return;
        }
        let job = DecodeJob {
            id: format!("{}-{}", bid.request, bid.attempt),
            request: bid.request,
            attempt: bid.attempt,
            pieces: bid.pieces,
            out,
            stage: DecodeStage::Waiting,
            last: None,
            hop: Some(trace::Span::start("queue", Some(&bid.trace))),
            parent: bid.trace,
        };
        self.jobs.insert(ticket, Job::Decode(job));
    }

    pub(super) fn start(&mut self, start: border::Start) -> bool {
        let found = self.jobs.iter_mut().find_map(|(ticket, job)| match job {
            Job::Decode(d) if d.request == start.request && d.attempt == start.attempt => {
                Some((*ticket, d))
            }
            Job::Decode(_) | Job::Prefill(_) => None,
        });
        let Some((ticket, job)) = found else {
            return false;
        };
        if job.stage != DecodeStage::Granted {
            return false;
        }
        job.stage = DecodeStage::Importing;
        job.hop = Some(trace::Span::start("transfer", Some(&job.parent)));
        let import = engine::ImportRequest {
            request: job.id.clone(),
            source: start.source,
            kv: start.kv,
            pieces: job.pieces,
        };
        let resume = engine::StreamRequest {
            request: job.id.clone(),
            model: start.model,
            prompt: start.prompt,
            max_tokens: start.max,
            offset: start.offset,
            stream: true,
        };
        let spawned = worker::decode(
            self.model.clone(),
            ticket,
            import,
            resume,
            self.outbox.clone(),
        );
        self.unless_spawned(ticket, spawned);
        true
    }

    pub(super) fn imported(&mut self, ticket: AttemptId, took: time::Duration) {
        if let Some(Job::Decode(job)) = self.jobs.get_mut(&ticket)
            && job.stage == DecodeStage::Importing
        {
            job.stage = DecodeStage::Streaming(0);
            job.hop = Some(trace::Span::start("decode", Some(&job.parent)));
            let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
            tell(&job.out, border::DecodeEvent::Imported { micros });
        }
    }

    pub(super) fn token(&mut self, ticket: AttemptId, token: engine::StreamEvent) {
        let Some(Job::Decode(job)) = self.jobs.get_mut(&ticket) else {
            return;
        };
        let DecodeStage::Streaming(given) = &mut job.stage else {
            return;
        };
        let event = match token {
            engine::StreamEvent::Text { offset, text } => {
                *given += 1;
                let now = time::Instant::now();
                if let Some(last) = job.last.replace(now) {
                    self.seats.record_gap(now - last);
                }
                border::DecodeEvent::Chunk { offset, text }
            }
            engine::StreamEvent::End { finish, tokens } => {
                border::DecodeEvent::End { finish, tokens }
            }
        };
        tell(&job.out, event);
    }

    pub(super) fn stream_end(
        &mut self,
        ticket: AttemptId,
        result: Result<(), engine::EngineError>,
    ) {
        let Some(Job::Decode(job)) = self.jobs.get(&ticket) else {
            return;
        };
        let (stage, out) = (job.stage, job.out.clone());
        if stage == DecodeStage::Cancelling {
            return;
        }
        let Err(error) = result else {
            // The engine has freed a whole answer by itself.
            self.forget(ticket);
            return;
        };
        if let Some(hop) = &job.hop {
            hop.set_error(&error.to_string());
        }
        // A transfer that stalls is its source's fault.
        if stage != DecodeStage::Importing || error != engine::EngineError::Stalled {
            self.doubt(&error);
        }
        let fresh = matches!(stage, DecodeStage::Importing | DecodeStage::Streaming(0));
        let gone = matches!(error, engine::EngineError::ConnectionLost(_));
        let crash = gone.then(|| self.count_crash());
        let kind = match error {
            engine::EngineError::ConnectionLost(_) if fresh => border::FaultKind::Crashed,
            engine::EngineError::Expired => border::FaultKind::Expired,
            engine::EngineError::Stalled => border::FaultKind::Stalled,
            _ => border::FaultKind::Lost,
        };
        tell(
            &out,
            messages::decode_fault(kind, &error.to_string(), crash),
        );
        self.free(ticket);
    }
}
