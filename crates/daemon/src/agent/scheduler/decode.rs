//! Handles decode jobs: bids for seats, imports of prefill results, and streams.

use crate::agent::job::DecodeJob;
use crate::agent::job::DecodeSender;
use crate::agent::job::DecodeStage;
use crate::agent::job::Job;
use crate::agent::scheduler::JobScheduler;
use crate::agent::scheduler::messages;
use crate::agent::scheduler::messages::send;
use crate::agent::worker;
use route::AttemptId;
use std::time;
use wire::border;

impl JobScheduler {
    /// Queues a bid for a seat; rejects it while draining, or if it needs more
    /// memory than the engine has.
    pub(super) fn add_bid(
        &mut self,
        attempt_id: AttemptId,
        bid: border::Bid,
        sender: DecodeSender,
    ) {
        let urgency = messages::convert_urgency(&bid.urgency);
        if !self.seats.enqueue(attempt_id, bid.pieces, urgency) {
            let kind = match self.draining {
                true => border::FaultKind::Draining,
                false => border::FaultKind::Invalid,
            };
            send(&sender, messages::decode_fault(kind, "no seat here", None));
            return;
        }
        let job = DecodeJob {
            id: format!("{}-{}", bid.request, bid.attempt),
            request: bid.request,
            attempt: bid.attempt,
            pieces: bid.pieces,
            sender,
            stage: DecodeStage::Waiting,
            last_token: None,
            span: Some(trace::Span::start("queue", Some(&bid.trace))),
            parent: bid.trace,
        };
        self.jobs.insert(attempt_id, Job::Decode(job));
    }

    /// Starts the import and the stream of a job that holds a seat. Returns false
    /// if the job no longer exists or holds no seat.
    pub(super) fn start_decode(&mut self, start: border::Start) -> bool {
        let found = self
            .jobs
            .iter_mut()
            .find_map(|(attempt_id, job)| match job {
                Job::Decode(d) if d.request == start.request && d.attempt == start.attempt => {
                    Some((*attempt_id, d))
                }
                Job::Decode(_) | Job::Prefill(_) => None,
            });
        let Some((attempt_id, job)) = found else {
            return false;
        };
        if job.stage != DecodeStage::Granted {
            return false;
        }
        job.stage = DecodeStage::Importing;
        job.span = Some(trace::Span::start("transfer", Some(&job.parent)));
        let import = engine::ImportRequest {
            request: job.id.clone(),
            source: start.source,
            kv: start.kv,
            pieces: job.pieces,
        };
        let stream = engine::StreamRequest {
            request: job.id.clone(),
            model: start.model,
            prompt: start.prompt,
            max_tokens: start.max,
            offset: start.offset,
            stream: true,
        };
        let spawned = worker::decode(
            self.engine.clone(),
            attempt_id,
            import,
            stream,
            self.event_sender.clone(),
        );
        self.remove_unless_spawned(attempt_id, spawned);
        true
    }

    /// Tells the entry that the prefill result has been imported, which took the time
    /// `took`.
    pub(super) fn handle_import(&mut self, attempt_id: AttemptId, took: time::Duration) {
        if let Some(Job::Decode(job)) = self.jobs.get_mut(&attempt_id)
            && job.stage == DecodeStage::Importing
        {
            job.stage = DecodeStage::Streaming(0);
            job.span = Some(trace::Span::start("decode", Some(&job.parent)));
            let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
            send(&job.sender, border::DecodeEvent::Imported { micros });
        }
    }

    /// Passes a token, or the end of the answer, to the entry.
    pub(super) fn send_token(&mut self, attempt_id: AttemptId, event: engine::StreamEvent) {
        let Some(Job::Decode(job)) = self.jobs.get_mut(&attempt_id) else {
            return;
        };
        let DecodeStage::Streaming(token_count) = &mut job.stage else {
            return;
        };
        let event = match event {
            engine::StreamEvent::Text { offset, text } => {
                *token_count += 1;
                let now = time::Instant::now();
                if let Some(last) = job.last_token.replace(now) {
                    self.seats.record_gap(now - last);
                }
                border::DecodeEvent::Chunk { offset, text }
            }
            engine::StreamEvent::End { finish, tokens } => {
                border::DecodeEvent::End { finish, tokens }
            }
        };
        send(&job.sender, event);
    }

    /// Ends a job whose stream or import has ended. After an error, reports a fault
    /// to the entry and cancels the request at the engine.
    pub(super) fn handle_stream_end(
        &mut self,
        attempt_id: AttemptId,
        result: Result<(), engine::EngineError>,
    ) {
        let Some(Job::Decode(job)) = self.jobs.get(&attempt_id) else {
            return;
        };
        let (stage, sender) = (job.stage, job.sender.clone());
        if stage == DecodeStage::Cancelling {
            return;
        }
        let Err(error) = result else {
            // After a complete answer the engine frees the request by itself.
            self.remove_job(attempt_id);
            return;
        };
        if let Some(span) = &job.span {
            span.set_error(&error.to_string());
        }
        // A stalled import is caused by the prefill engine that it reads from, so it
        // does not make this engine suspect.
        if stage != DecodeStage::Importing || error != engine::EngineError::Stalled {
            self.probe_if_unresponsive(&error);
        }
        let no_tokens_sent = matches!(stage, DecodeStage::Importing | DecodeStage::Streaming(0));
        let crashed = matches!(error, engine::EngineError::ConnectionLost(_));
        let crash = crashed.then(|| self.count_crash());
        let kind = match error {
            engine::EngineError::ConnectionLost(_) if no_tokens_sent => border::FaultKind::Crashed,
            engine::EngineError::Expired => border::FaultKind::Expired,
            engine::EngineError::Stalled => border::FaultKind::Stalled,
            _ => border::FaultKind::Lost,
        };
        send(
            &sender,
            messages::decode_fault(kind, &error.to_string(), crash),
        );
        self.cancel_job(attempt_id);
    }
}
