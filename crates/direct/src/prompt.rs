//! Reading of prompts at prefill engines.

use crate::guards::Cache;
use crate::measure;
use crate::queue::Reading;
use crate::stream::Miss;
use crate::stream::Runner;
use seam::Upstreams;
use std::time;

/// How much longer a prompt may take than expected.
pub(crate) const PROMPT_FACTOR: u32 = 3;
/// Least time that a prompt is given.
const PROMPT_LEAST: time::Duration = time::Duration::from_millis(700);
/// Prefill engines that are tried while a seat is kept.
const PROMPT_TRIES: u32 = 2;

impl<P: seam::Platform> Runner<P> {
    /// Has the prompt read, at a second engine where the first one fails; none
    /// where the decode engine is to read it itself.
    pub(crate) async fn read_anywhere(
        &mut self,
        lane: Option<(Reading, time::Duration)>,
        zone: Option<&str>,
    ) -> Result<Option<Cache<P>>, Miss> {
        let mut lane = lane;
        let mut missed = Miss::Unrun("no_prefill");
        for _ in 0..PROMPT_TRIES {
            let Some((reading, expected)) = lane else {
                return Ok(None);
            };
            if self.prompts > 0 && !self.may_repeat() {
                return Ok(None);
            }
            match self.read_prompt(reading, expected).await {
                Ok(cache) => return Ok(Some(cache)),
                Err(miss) => missed = miss,
            }
            lane = self.pool.read(self.job.call.prompt_tokens(), zone);
        }
        Err(missed)
    }

    async fn read_prompt(
        &mut self,
        reading: Reading,
        expected: time::Duration,
    ) -> Result<Cache<P>, Miss> {
        self.prompts += 1;
        let engine = reading.engine.clone();
        let target = self.entry.target(&engine).ok_or(Miss::Unrun("gone"))?;
        let began = time::Instant::now();
        let patience = (expected * PROMPT_FACTOR).max(PROMPT_LEAST);
        let by = self.job.deadline.min(began + patience);
        let begin = seam::SendOptions {
            tenant: self.job.tenant.clone(),
            timeout: Some(self.job.left()),
            ..seam::SendOptions::default()
        };
        let prefilled = self
            .entry
            .upstreams
            .prefill(&target, &self.job.call, &begin, by)
            .await;
        let now = time::Instant::now();
        let took = now.saturating_duration_since(began);
        self.job
            .line("prompt")
            .with("upstream", &engine)
            .with("tokens", self.job.call.prompt_tokens())
            .with("expected_ms", measure::millis(expected))
            .with("took_ms", measure::millis(took))
            .with("ready", matches!(prefilled, seam::PrefillOutcome::Ready(_)))
            .info();
        let mut lanes = self.pool.lanes.borrow_mut();
        match prefilled {
            seam::PrefillOutcome::Ready(source) => {
                lanes.record_prefill(&engine, self.job.call.prompt_tokens(), took);
                Ok(Cache::new(&self.entry, source))
            }
            seam::PrefillOutcome::Refused => {
                lanes.record_failure(&engine, now);
                Err(Miss::Unrun("prefill_refused"))
            }
            seam::PrefillOutcome::Failed(cause) => {
                lanes.record_failure(&engine, now);
                self.job
                    .line("prefill_failed")
                    .with("upstream", &engine)
                    .with("cause", cause)
                    .with("took_ms", measure::millis(took))
                    .info();
                Err(Miss::Unrun("prefill_failed"))
            }
        }
    }
}
