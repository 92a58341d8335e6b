//! Forwards events from engines to callers.

use crate::body::Chunk;
use crate::crashes;
use crate::events::EventSplitter;
use crate::stream::FIRST_EVENT_TIMEOUT;
use crate::stream::StartedStream;
use crate::stream::StreamRunner;
use crate::telemetry;
use http::StatusCode;
use seam::ByteStream;
use seam::Upstreams;
use std::time;
use tokio::sync::mpsc;

/// Time without a complete event after which a stream counts as stalled. It is below
/// the two seconds that callers wait at least, so that the stream can be resumed
/// before its caller disconnects.
const STALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// A stream counts as paused after this many of its usual times between two events.
const PAUSE_FACTOR: u32 = 4;
/// A stream does not count as paused before this time.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(150);

impl<P: seam::Platform> StreamRunner<P> {
    /// Forwards events to the caller, and resumes the stream at another engine
    /// where the route allows it.
    pub(crate) async fn forward_events(
        &mut self,
        started: StartedStream<<P::Upstreams as Upstreams>::Body>,
        sender: mpsc::Sender<Chunk>,
    ) {
        let mut events = EventSplitter::new(self.job.request.last_event);
        let mut started = started;
        loop {
            let events_before = events.event_count;
            let end = self
                .forward_until_end(&mut started, &mut events, &sender)
                .await;
            let now = time::Instant::now();
            let first_delay = events
                .first_arrival
                .map(|first| first.saturating_duration_since(self.job.arrived_at));
            self.job
                .log_line("stream_end")
                .with("upstream", &started.engine)
                .with("end", end.label())
                .with("events", events.event_count)
                .with("first_ms", first_delay.map_or(0, telemetry::millis))
                .with("gap_ms", telemetry::millis(events.max_gap))
                .with("here", events.event_count - events_before)
                .info();
            match end {
                StreamEnd::Complete => {
                    self.entry.record_answer(&self.job.elements);
                    self.record_stream(&started.seat, &events);
                    metrics::histogram!("answer_seconds", "kind" => "stream")
                        .record(self.job.arrived_at.elapsed().as_secs_f64());
                    // The caller may have disconnected, so a failure to send
                    // the end is ignored.
                    let _ = sender.send(Chunk::End).await;
                    return;
                }
                StreamEnd::CallerGone | StreamEnd::DeadlinePassed => return,
                StreamEnd::ConnectionLost | StreamEnd::Stalled | StreamEnd::Oversized => {
                    self.pool
                        .decode_pool
                        .borrow_mut()
                        .record_failure(&started.engine, now);
                    let events_here = events.event_count - events_before;
                    if let Some(target) = self.entry.target(&started.engine) {
                        self.wait_for_crash_check(&target, events_here).await;
                    }
                    self.trial = None;
                }
            }
            if self.entry.is_condemned(&self.job) {
                return;
            }
            let ok = started.response.status == StatusCode::OK;
            if !ok || self.job.route.retry != seam::RetryMode::Resumable {
                return;
            }
            events.discard_partial();
            let (engine, after) = (started.engine.clone(), events.last_id);
            drop(started);
            self.may_have_run = true;
            let resumed = tokio::select! {
                resumed = self.start(after) => resumed,
                () = sender.closed() => return,
            };
            started = match resumed {
                Ok(next) if next.response.status == StatusCode::OK => next,
                Ok(_) | Err(_) => {
                    self.job
                        .log_line("stream_lost")
                        .with("upstream", engine)
                        .info();
                    return;
                }
            };
        }
    }

    /// Has it checked whether an engine crashed under this stream, of which it had sent
    /// some complete events. If the stream may have been the cause, waits a moment for the
    /// result, so that it does not crash the next engine at once.
    async fn wait_for_crash_check(&self, target: &seam::Target, events: u64) {
        let Some(progress) = pool::Progress::of_stream(events) else {
            return;
        };
        let check = self
            .entry
            .check_for_crash(&self.job, target, progress, self.is_trial());
        // After a time-out the check goes on by itself.
        let _ = tokio::time::timeout(crashes::MAX_CHECK_WAIT, check).await;
    }

    /// Waits for the next bytes of an engine. A stream whose next event is long overdue
    /// is marked as paused meanwhile.
    async fn next_chunk(
        &self,
        started: &mut StartedStream<<P::Upstreams as Upstreams>::Body>,
        events: &EventSplitter,
        deadline: time::Instant,
    ) -> Result<Option<Result<bytes::Bytes, seam::FailureCause>>, tokio::time::error::Elapsed> {
        let overdue = events.interval().map(|i| (i * PAUSE_FACTOR).max(MIN_PAUSE));
        let pause_at = overdue.map(|o| time::Instant::now() + o);
        let body = &mut started.response.body;
        if let Some(pause_at) = pause_at.filter(|at| *at < deadline) {
            match tokio::time::timeout_at(pause_at.into(), body.next_chunk()).await {
                Ok(next) => return Ok(next),
                Err(_) => started.seat.set_paused(true),
            }
        }
        tokio::time::timeout_at(deadline.into(), body.next_chunk()).await
    }

    /// Forwards events from one engine, and returns how that ended.
    async fn forward_until_end(
        &mut self,
        started: &mut StartedStream<<P::Upstreams as Upstreams>::Body>,
        events: &mut EventSplitter,
        sender: &mpsc::Sender<Chunk>,
    ) -> StreamEnd {
        // Only a complete event shows that the stream goes on.
        let mut event_due = time::Instant::now() + FIRST_EVENT_TIMEOUT;
        let events_before = events.event_count;
        let mut is_proven = false;
        let is_unframed = started.response.body.is_unframed();
        loop {
            let next = self.next_chunk(started, events, event_due.min(self.job.deadline));
            let next = tokio::select! {
                next = next => next,
                () = sender.closed() => return StreamEnd::CallerGone,
            };
            started.seat.set_paused(false);
            let bytes = match next {
                Ok(Some(Ok(bytes))) => bytes,
                Ok(Some(Err(_))) => return StreamEnd::ConnectionLost,
                Ok(None) if events.has_partial() => return StreamEnd::ConnectionLost,
                // A crash before the first event would look the same.
                Ok(None) if is_unframed && events.event_count == events_before => {
                    return StreamEnd::ConnectionLost;
                }
                Ok(None) => return StreamEnd::Complete,
                Err(_) if self.job.time_left().is_zero() => return StreamEnd::DeadlinePassed,
                Err(_) => return StreamEnd::Stalled,
            };
            events.record_arrival(self.job.arrived_at);
            self.update_forecast(&mut started.seat, events);
            if let Some(complete) = events.push(bytes) {
                if sender.send(Chunk::Data(complete)).await.is_err() {
                    return StreamEnd::CallerGone;
                }
                event_due = time::Instant::now() + STALL_TIMEOUT;
                // An engine crashes before it completes an event.
                self.trial = None;
                let events_here = events.event_count - events_before;
                if !is_proven && pool::CrashQuarantine::is_proven(events_here) {
                    is_proven = true;
                    self.entry.record_answer(&self.job.elements);
                }
            }
            if events.is_oversized() {
                return StreamEnd::Oversized;
            }
        }
    }
}

/// How forwarding from one engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// The engine sent the complete stream.
    Complete,
    /// The connection was lost, or the stream ended within an event.
    ConnectionLost,
    /// No complete event arrived for too long.
    Stalled,
    /// The engine sent an event without end.
    Oversized,
    /// The caller disconnected.
    CallerGone,
    /// The request's deadline passed.
    DeadlinePassed,
}

impl StreamEnd {
    /// Returns the name of the end as it is written in logs.
    fn label(self) -> &'static str {
        match self {
            StreamEnd::Complete => "whole",
            StreamEnd::ConnectionLost => "broken",
            StreamEnd::Stalled => "stalled",
            StreamEnd::Oversized => "oversized",
            StreamEnd::CallerGone => "caller_left",
            StreamEnd::DeadlinePassed => "overdue",
        }
    }
}
