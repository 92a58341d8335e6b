//! Handles prefill jobs, from the queue to the result.

use crate::agent::job::Job;
use crate::agent::job::PrefillJob;
use crate::agent::job::PrefillSender;
use crate::agent::job::PrefillStage;
use crate::agent::scheduler::JobScheduler;
use crate::agent::scheduler::messages;
use crate::agent::scheduler::messages::send;
use crate::agent::worker;
use route::AttemptId;
use std::time;
use wire::border;

impl JobScheduler {
    /// Queues a prompt, or rejects it while draining.
    pub(super) fn add_prefill(
        &mut self,
        attempt_id: AttemptId,
        request: border::Prefill,
        sender: PrefillSender,
    ) {
        if !self.prefills.enqueue(
            attempt_id,
            request.tokens,
            messages::convert_urgency(&request.urgency),
        ) {
            let kind = border::FaultKind::Draining;
            send(
                &sender,
                messages::prefill_fault(kind, "this agent stops", None),
            );
            return;
        }
        let job = PrefillJob {
            id: format!("{}-p{}", request.request, request.attempt),
            span: Some(trace::Span::start("prefill_queue", Some(&request.trace))),
            request,
            sender,
            stage: PrefillStage::Waiting,
        };
        self.jobs.insert(attempt_id, Job::Prefill(job));
    }

    /// Starts a queued prompt at the engine.
    pub(super) fn start_prefill(&mut self, attempt_id: AttemptId) {
        let Some(Job::Prefill(job)) = self.jobs.get_mut(&attempt_id) else {
            return;
        };
        job.stage = PrefillStage::Running;
        job.span = Some(trace::Span::start("prefill", Some(&job.request.trace)));
        send(&job.sender, border::PrefillEvent::Started);
        let request = engine::PrefillRequest {
            request: job.id.clone(),
            model: job.request.model.clone(),
            prompt: job.request.prompt.clone(),
            priority: 0,
        };
        let spawned = worker::prefill(
            self.engine.clone(),
            attempt_id,
            request,
            self.event_sender.clone(),
        );
        self.remove_unless_spawned(attempt_id, spawned);
    }

    /// Reports a prefill's result to the entry. After an error, reports a fault and
    /// cancels the request at the engine.
    pub(super) fn handle_prefill_end(
        &mut self,
        attempt_id: AttemptId,
        result: Result<engine::PrefillResult, engine::EngineError>,
        took: time::Duration,
    ) {
        self.prefills.remove(attempt_id);
        let Some(Job::Prefill(job)) = self.jobs.get_mut(&attempt_id) else {
            return;
        };
        if job.stage == PrefillStage::Cancelling {
            return;
        }
        let sender = job.sender.clone();
        match result {
            Ok(output) => {
                if let Some(span) = job.span.take() {
                    span.set_attribute("tokens", i64::try_from(output.tokens).unwrap_or(i64::MAX));
                    span.set_attribute("cached", i64::try_from(output.cached).unwrap_or(i64::MAX));
                }
                job.stage = PrefillStage::Ready;
                self.prefills
                    .record_prefill(output.tokens.saturating_sub(output.cached), took);
                let ready = border::PrefillEvent::Ready {
                    source: self.source.clone(),
                    kv: output.kv,
                    cached: output.cached,
                    tokens: output.tokens,
                    micros: u64::try_from(took.as_micros()).unwrap_or(u64::MAX),
                };
                send(&sender, ready);
            }
            Err(error) => {
                self.probe_if_unresponsive(&error);
                let crashed = matches!(error, engine::EngineError::ConnectionLost(_));
                let crash = crashed.then(|| self.count_crash());
                let kind = match error {
                    engine::EngineError::ConnectionLost(_) => border::FaultKind::Crashed,
                    engine::EngineError::Stalled => border::FaultKind::Stalled,
                    _ => border::FaultKind::Lost,
                };
                send(
                    &sender,
                    messages::prefill_fault(kind, &error.to_string(), crash),
                );
                self.cancel_job(attempt_id);
            }
        }
    }

    /// Refuses the waiting prompts of an engine that does not answer, so that their
    /// entries send them to another agent. Bids may stay, since each waits at several
    /// agents.
    pub(super) fn refuse_waiting_prompts(&mut self) {
        for attempt_id in self.prefills.take_waiting() {
            self.refuse_prompt(attempt_id, "the engine does not answer");
        }
    }

    /// Removes a waiting prompt and reports to its entry why it was refused.
    pub(super) fn refuse_prompt(&mut self, attempt_id: AttemptId, detail: &str) {
        if let Some(Job::Prefill(job)) = self.jobs.remove(&attempt_id) {
            let kind = border::FaultKind::Draining;
            send(&job.sender, messages::prefill_fault(kind, detail, None));
        }
    }
}
