//! What engine memory a stream is expected to need, by its request and its progress.

use crate::events::EventSplitter;
use crate::meters;
use crate::seat::Seat;
use crate::stream::StreamRunner;
use std::time;

/// A reservation includes what the stream makes in this time.
const RESERVED_TIME: time::Duration = time::Duration::from_millis(500);
/// Part of an engine's memory that a reservation asks for besides, where entries compete for
/// the last room: what running streams make until one of them ends. An engine that grants all
/// it has preempts a stream soon after.
const GROWTH_PART: f64 = 0.025;
/// Time between two forecasts of a stream's memory.
const FORECAST_INTERVAL: time::Duration = time::Duration::from_millis(200);

impl<P: seam::Platform> StreamRunner<P> {
    /// Returns the memory that this stream is expected to hold after `last_event`, and
    /// the tokens to reserve for it if it begins there. `interval` is the time between
    /// its events, if it has begun.
    pub(crate) fn needed_memory(
        &self,
        last_event: Option<u64>,
        interval: Option<time::Duration>,
    ) -> (pool::MemoryForecast, u64) {
        let request = &self.job.request;
        let (_, max) = request.token_counts.unwrap_or_default();
        let prompt = request.prompt_tokens();
        let responses = self.pool.responses.borrow();
        let length = responses.estimate(max, request.length_hint);
        let rate = responses.rate(interval, &length);
        let made = last_event.unwrap_or_default() as f64 * responses.tokens_per_event();
        let begun = (made + rate * RESERVED_TIME.as_secs_f64()).min(length.max);
        let memory = pool::MemoryForecast::of_stream(prompt, made, rate, &length);
        let growth = match self.pool.is_shared() && !self.is_urgent {
            true => self.pool.spec.borrow().capacity_tokens as f64 * GROWTH_PART,
            false => 0.0,
        };
        (memory, prompt + (begun + growth) as u64)
    }

    /// Updates what a running stream is expected to need, now and then.
    pub(crate) fn update_forecast(&self, seat: &mut Seat, events: &EventSplitter) {
        if seat.updated_at.elapsed() >= FORECAST_INTERVAL {
            let (memory, _) = self.needed_memory(events.last_id, events.interval());
            seat.update(memory);
        }
    }

    /// Records a complete stream for the forecasts and for the measured demand.
    pub(crate) fn record_stream(&self, seat: &Seat, events: &EventSplitter) {
        let request = &self.job.request;
        let mut responses = self.pool.responses.borrow_mut();
        let (_, max) = request.token_counts.unwrap_or_default();
        let expected = responses.estimate(max, request.length_hint).median;
        responses.record(events.event_count, events.duration(), request.length_hint);
        let made = events.event_count as f64 * responses.tokens_per_event();
        drop(responses);
        meters::meters().length_error.record(made / expected);
        let used = request.prompt_tokens() + (made / 2.0) as u64;
        self.entry
            .record_stream(&self.job.service, used, seat.assigned_at.elapsed());
    }
}
