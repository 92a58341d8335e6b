//! Prompts, from the lane to their results.

use crate::agent::job::Job;
use crate::agent::job::PrefillJob;
use crate::agent::job::PrefillOut;
use crate::agent::job::PrefillStage;
use crate::agent::scheduler::Desk;
use crate::agent::scheduler::messages;
use crate::agent::scheduler::messages::tell;
use crate::agent::worker;
use route::AttemptId;
use std::time;
use wire::border;

impl Desk {
    pub(super) fn prefill(&mut self, ticket: AttemptId, ask: border::Prefill, out: PrefillOut) {
        if !self
            .lane
            .enqueue(ticket, ask.tokens, messages::urgency_of(&ask.urgency))
        {
            let kind = border::FaultKind::Draining;
            tell(
                &out,
                messages::prefill_fault(kind, "this agent stops", None),
            );
            return;
        }
        let job = PrefillJob {
            id: format!("{}-p{}", ask.request, ask.attempt),
            hop: Some(trace::Span::start("prefill_queue", Some(&ask.trace))),
            ask,
            out,
            stage: PrefillStage::Waiting,
        };
        self.jobs.insert(ticket, Job::Prefill(job));
    }

    pub(super) fn start_prefill(&mut self, ticket: AttemptId) {
        let Some(Job::Prefill(job)) = self.jobs.get_mut(&ticket) else {
            return;
        };
        job.stage = PrefillStage::Running;
        job.hop = Some(trace::Span::start("prefill", Some(&job.ask.trace)));
        tell(&job.out, border::PrefillEvent::Started);
        let ask = engine::PrefillRequest {
            request: job.id.clone(),
            model: job.ask.model.clone(),
            prompt: job.ask.prompt.clone(),
            priority: 0,
        };
        let spawned = worker::prefill(self.model.clone(), ticket, ask, self.outbox.clone());
        self.unless_spawned(ticket, spawned);
    }

    pub(super) fn prefilled(
        &mut self,
        ticket: AttemptId,
        result: Result<engine::PrefillResult, engine::EngineError>,
        took: time::Duration,
    ) {
        self.lane.remove(ticket);
        let Some(Job::Prefill(job)) = self.jobs.get_mut(&ticket) else {
            return;
        };
        if job.stage == PrefillStage::Cancelling {
            return;
        }
        let out = job.out.clone();
        match result {
            Ok(done) => {
                if let Some(hop) = job.hop.take() {
                    hop.set_attribute("tokens", i64::try_from(done.tokens).unwrap_or(i64::MAX));
                    hop.set_attribute("cached", i64::try_from(done.cached).unwrap_or(i64::MAX));
                }
                job.stage = PrefillStage::Ready;
                self.lane
                    .record_prefill(done.tokens.saturating_sub(done.cached), took);
                let ready = border::PrefillEvent::Ready {
                    source: self.source.clone(),
                    kv: done.kv,
                    cached: done.cached,
                    tokens: done.tokens,
                    micros: u64::try_from(took.as_micros()).unwrap_or(u64::MAX),
                };
                tell(&out, ready);
            }
            Err(error) => {
                self.doubt(&error);
                let gone = matches!(error, engine::EngineError::ConnectionLost(_));
                let crash = gone.then(|| self.count_crash());
                let kind = match error {
                    engine::EngineError::ConnectionLost(_) => border::FaultKind::Crashed,
                    engine::EngineError::Stalled => border::FaultKind::Stalled,
                    _ => border::FaultKind::Lost,
                };
                tell(
                    &out,
                    messages::prefill_fault(kind, &error.to_string(), crash),
                );
                self.free(ticket);
            }
        }
    }

    /// Sends prompts that wait for a silent engine elsewhere. Bids may stay:
    /// each waits at several agents.
    pub(super) fn shed_prompts(&mut self) {
        for ticket in self.lane.take_waiting() {
            self.refuse_prompt(ticket, "the engine does not answer");
        }
    }

    pub(super) fn refuse_prompt(&mut self, ticket: AttemptId, detail: &str) {
        if let Some(Job::Prefill(job)) = self.jobs.remove(&ticket) {
            let kind = border::FaultKind::Draining;
            tell(&job.out, messages::prefill_fault(kind, detail, None));
        }
    }
}
