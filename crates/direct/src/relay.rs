//! Forwards events from engines to callers.

use crate::admit::Job;
use crate::body::BodySender;
use crate::crashes;
use crate::events::EventSplitter;
use crate::meters;
use crate::resume::Resumption;
use crate::stream::StartedStream;
use crate::stream::StreamRunner;
use crate::telemetry;
use http::StatusCode;
use seam::ByteStream;
use seam::Upstreams;
use std::time;

/// A stream counts as paused after this many of its usual times between two events.
const PAUSE_FACTOR: u32 = 4;
/// Content type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// A stream does not count as paused before this time.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(150);

impl<P: seam::Platform> StreamRunner<P> {
    /// Forwards events to the caller, and resumes the stream at another engine
    /// where the route allows it.
    pub(crate) async fn forward_events(
        &mut self,
        started: StartedStream<<P::Upstreams as Upstreams>::Body>,
        sender: BodySender,
    ) {
        let mut events = EventSplitter::new(self.job.request.last_event);
        let mut started = started;
        let is_movable = self.job.route.retry == seam::RetryMode::Resumable
            && started.response.status == StatusCode::OK;
        // The number of events after which no other engine took the stream.
        let mut refused_at = None;
        loop {
            let can_move = is_movable && refused_at != Some(events.event_count);
            let mut progress = pool::StreamProgress::new(is_movable, time::Instant::now());
            if started.event_count > 0 {
                progress.record_read(true, time::Instant::now());
            }
            if !can_move {
                progress.hold();
            }
            let end = self
                .forward_until_end(&mut started, &mut events, &sender, progress)
                .await;
            match end {
                StreamEnd::Complete => return self.complete(started, &mut events, &sender).await,
                StreamEnd::CallerGone | StreamEnd::DeadlinePassed => {
                    return self.log_cut(end, &started.engine, &events);
                }
                StreamEnd::Empty if events.confirm_end(&started.engine) => {
                    return self.complete(started, &mut events, &sender).await;
                }
                StreamEnd::ConnectionLost
                | StreamEnd::Empty
                | StreamEnd::Stalled
                | StreamEnd::Oversized
                | StreamEnd::Misordered => {
                    self.handle_failure(&started).await;
                }
            }
            let can_move = is_movable && refused_at != Some(events.event_count);
            let is_condemned = self.entry.is_condemned(&self.job);
            if is_condemned && can_move && end == StreamEnd::Stalled {
                // It may start at no other engine, but this one may go on.
                refused_at = Some(events.event_count);
                continue;
            }
            if is_condemned || !can_move {
                return self.log_cut(end, &started.engine, &events);
            }
            let engine = started.engine.clone();
            let silent = (end == StreamEnd::Stalled).then_some(started);
            let resumption = self.resume(silent, &mut events, &sender).await;
            meters::meters().resumptions.add(resumption.label(), 1);
            (self.spare, self.cache) = (None, None);
            match resumption {
                Resumption::Moved(next) => {
                    let tokens = self.job.request.prompt_tokens();
                    meters::meters().wasted_tokens.add("interrupted", tokens);
                    started = next;
                }
                Resumption::WentOn(first, bytes) => {
                    self.pool
                        .decode_pool
                        .borrow_mut()
                        .record_success(&first.engine);
                    if let Err(end) = self.pass_on(&sender, bytes).await {
                        return self.log_cut(end, &engine, &events);
                    }
                    started = first;
                }
                Resumption::Ended(first) => {
                    return self.complete(first, &mut events, &sender).await;
                }
                Resumption::Refused(Some(first)) => {
                    started = first;
                    refused_at = Some(events.event_count);
                }
                Resumption::Refused(None) => return self.log_cut(end, &engine, &events),
                Resumption::CallerGone => {
                    return self.log_cut(StreamEnd::CallerGone, &engine, &events);
                }
            }
        }
    }

    /// Passes bytes on to the caller; fails if the caller leaves, or takes none until the
    /// deadline.
    async fn pass_on(&self, sender: &BodySender, bytes: bytes::Bytes) -> Result<(), StreamEnd> {
        let sent = sender.send(bytes);
        match tokio::time::timeout_at(self.job.deadline.into(), sent).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(StreamEnd::CallerGone),
            Err(_) => Err(StreamEnd::DeadlinePassed),
        }
    }

    /// Ends the caller's answer as complete.
    async fn complete(
        &self,
        started: StartedStream<<P::Upstreams as Upstreams>::Body>,
        events: &mut EventSplitter,
        sender: &BodySender,
    ) {
        self.entry.record_answer(&self.job.elements);
        self.record_stream(&started.seat, events);
        let took = self.job.arrived_at.elapsed().as_secs_f64();
        meters::meters().stream_answer.record(took);
        self.job.meter.answer(lateness(&self.job, events));
        // A caller that reads slowly keeps no engine.
        drop(started);
        if let Some(rest) = events.take_rest() {
            let _ = sender.send(rest).await;
        }
        sender.end().await;
    }

    /// Logs an answer that ends before it is complete. Dropping the sender then aborts
    /// it, so that the caller notices.
    fn log_cut(&self, end: StreamEnd, engine: &str, events: &EventSplitter) {
        let tokens = self.job.request.prompt_tokens();
        meters::meters().wasted_tokens.add("answer_cut", tokens);
        self.job
            .log_cut(end.label(), engine)
            .with("events", events.event_count)
            .with("silent_ms", telemetry::millis(events.silence()))
            .info();
    }

    /// Records that an engine failed a stream, and has it checked whether the engine
    /// crashed under it. If the stream may have been the cause, waits a moment for the
    /// result, so that it does not crash the next engine at once.
    pub(crate) async fn handle_failure(
        &mut self,
        started: &StartedStream<<P::Upstreams as Upstreams>::Body>,
    ) {
        self.pool
            .decode_pool
            .borrow_mut()
            .record_failure(&started.engine, time::Instant::now());
        let progress = pool::Progress::of_stream(started.event_count);
        if let (Some(target), Some(progress)) = (self.entry.target(&started.engine), progress) {
            let check = self
                .entry
                .check_for_crash(&self.job, &target, progress, self.is_trial());
            // After a time-out the check goes on by itself.
            let _ = tokio::time::timeout(crashes::MAX_CHECK_WAIT, check).await;
        }
        self.trial = None;
    }

    /// Waits for the next bytes of an engine. A stream whose next event is long overdue
    /// is marked as paused meanwhile.
    async fn next_chunk(
        &self,
        started: &mut StartedStream<<P::Upstreams as Upstreams>::Body>,
        events: &EventSplitter,
        deadline: time::Instant,
    ) -> Result<Option<Result<bytes::Bytes, seam::FailureCause>>, tokio::time::error::Elapsed> {
        if let Some(bytes) = started.unread.take() {
            return Ok(Some(Ok(bytes)));
        }
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
        sender: &BodySender,
        progress: pool::StreamProgress,
    ) -> StreamEnd {
        let end = self.read_events(started, events, sender, progress).await;
        meters::meters().engine_streams.add(end.label(), 1);
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
            .with("here", started.event_count)
            .info();
        end
    }

    async fn read_events(
        &mut self,
        started: &mut StartedStream<<P::Upstreams as Upstreams>::Body>,
        events: &mut EventSplitter,
        sender: &BodySender,
        mut progress: pool::StreamProgress,
    ) -> StreamEnd {
        let mut is_proven = false;
        loop {
            let check_at = progress.check_at().min(self.job.deadline);
            let next = self.next_chunk(started, events, check_at);
            let next = tokio::select! {
                next = next => next,
                () = sender.closed() => return StreamEnd::CallerGone,
            };
            let bytes = match next {
                Ok(Some(Ok(bytes))) => bytes,
                Ok(Some(Err(_))) => return StreamEnd::ConnectionLost,
                Ok(None) if started.is_whole(events) => return StreamEnd::Complete,
                Ok(None) if events.is_at_handover() && started.is_empty_stream() => {
                    return StreamEnd::Empty;
                }
                Ok(None) => return StreamEnd::ConnectionLost,
                Err(_) if self.job.time_left().is_zero() => return StreamEnd::DeadlinePassed,
                Err(_) if progress.is_stalled(time::Instant::now()) => return StreamEnd::Stalled,
                Err(_) => continue,
            };
            started.seat.set_paused(false);
            record_arrival(&self.job, events);
            self.update_forecast(&mut started.seat, events);
            let complete = started.push(events, bytes);
            progress.record_read(complete.is_some(), time::Instant::now());
            if let Some(complete) = complete {
                if let Err(end) = self.pass_on(sender, complete).await {
                    return end;
                }
                // An engine crashes before it completes an event.
                self.trial = None;
                if !is_proven && pool::CrashQuarantine::is_proven(started.event_count) {
                    is_proven = true;
                    self.entry.record_answer(&self.job.elements);
                }
            }
            let partial_bytes = events.partial_bytes();
            if events.is_oversized() || !self.partial.borrow_mut().try_resize(partial_bytes) {
                return StreamEnd::Oversized;
            }
            if events.is_misordered() {
                return StreamEnd::Misordered;
            }
        }
    }
}

/// Records that bytes have arrived now; the first ones count for the delay of the stream.
pub(crate) fn record_arrival(job: &Job, events: &mut EventSplitter) {
    if events.record_arrival() {
        let delay = job.arrived_at.elapsed();
        meters::meters().first_event.record(delay.as_secs_f64());
    }
}

impl<S: ByteStream> StartedStream<S> {
    /// Adds bytes of this engine, and returns all events that are complete now.
    pub(crate) fn push(
        &mut self,
        events: &mut EventSplitter,
        bytes: bytes::Bytes,
    ) -> Option<bytes::Bytes> {
        let before = events.event_count;
        let complete = events.push(bytes);
        self.event_count += events.event_count - before;
        complete
    }

    /// Returns whether a body that has ended in order is complete.
    pub(crate) fn is_whole(&self, events: &EventSplitter) -> bool {
        // Without a length or chunks, a crash before the first event looks the same.
        let may_have_crashed = self.response.body.is_unframed() && self.event_count == 0;
        // An engine that takes over and sends nothing doesn't show that nothing is missing.
        let is_started = !may_have_crashed && !events.is_continuing();
        is_started && !events.has_partial() && !events.is_misordered()
    }

    /// Returns whether a body that has ended in order is that of a stream, marks its end and
    /// holds no event.
    pub(crate) fn is_empty_stream(&self) -> bool {
        let content_type = self.response.headers.get(http::header::CONTENT_TYPE);
        let is_stream = content_type.is_some_and(|t| t.as_bytes().starts_with(EVENT_STREAM));
        is_stream && !self.response.body.is_unframed() && self.event_count == 0
    }
}

/// Returns whether a stream kept its route's targets, or which one it missed first.
fn lateness(job: &Job, events: &EventSplitter) -> &'static str {
    let first_at = events.first_arrival.unwrap_or_else(time::Instant::now);
    let first_delay = first_at.saturating_duration_since(job.arrived_at);
    match () {
        () if first_delay > job.route.latency_target => "late_first_event",
        () if events.max_gap > job.route.max_gap => "late_pause",
        () => "on_time",
    }
}

/// How forwarding from one engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// The engine sent the complete stream.
    Complete,
    /// The connection was lost, or the stream ended within an event.
    ConnectionLost,
    /// The engine took over, had no event to add, and ended in order.
    Empty,
    /// No complete event arrived for too long.
    Stalled,
    /// The engine sent an event without end.
    Oversized,
    /// The engine sent bytes that don't follow the last event.
    Misordered,
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
            StreamEnd::Empty => "empty",
            StreamEnd::Stalled => "stalled",
            StreamEnd::Oversized => "oversized",
            StreamEnd::Misordered => "misordered",
            StreamEnd::CallerGone => "caller_left",
            StreamEnd::DeadlinePassed => "overdue",
        }
    }
}
