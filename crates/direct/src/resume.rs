//! Starts an interrupted stream at another engine, from the event that its caller
//! received last.
//!
//! An engine that is only silent may go on. Its stream is kept open while the start
//! elsewhere is prepared, and given up only once the other engine has sent something, or
//! has had the request for some time.

use crate::admit::Job;
use crate::body::BodySender;
use crate::events::EventSplitter;
use crate::relay;
use crate::retries::SpareRetry;
use crate::stream;
use crate::stream::StartError;
use crate::stream::StartedStream;
use crate::stream::StreamRunner;
use http::StatusCode;
use seam::ByteStream;
use seam::Upstreams;
use std::cell;
use std::future;
use std::future::Future;
use std::pin;
use std::task;
use std::time;

/// How long a silent stream is kept open after the request was sent to another engine, in
/// case that engine refuses it. Longer, and both would work on the same request.
const HANDOVER_TIME: time::Duration = time::Duration::from_millis(250);
/// Interval at which to check whether the handover is over.
const HANDOVER_CHECK: time::Duration = time::Duration::from_millis(50);

/// How an attempt to resume a stream ended.
pub(crate) enum Resumption<S> {
    /// The stream goes on at another engine.
    Moved(StartedStream<S>),
    /// The silent engine goes on, with these complete events.
    WentOn(StartedStream<S>, bytes::Bytes),
    /// The silent engine has ended the stream in order.
    Ended(StartedStream<S>),
    /// No other engine takes the stream; the silent one is still there or not.
    Refused(Option<StartedStream<S>>),
    /// The caller disconnected.
    CallerGone,
}

impl<S> Resumption<S> {
    /// Returns the name of the outcome in the metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Resumption::Moved(_) => "moved",
            Resumption::WentOn(..) => "went_on",
            Resumption::Ended(_) => "ended",
            Resumption::Refused(_) => "refused",
            Resumption::CallerGone => "caller_left",
        }
    }
}

/// What a silent engine did while the start elsewhere was prepared.
enum Sign {
    Read(Option<Result<bytes::Bytes, seam::FailureCause>>),
    HandedOver,
}

/// State of a silent engine after a sign of it.
enum SilentState<S> {
    /// No complete event has arrived.
    Silent(StartedStream<S>),
    /// It goes on or has ended in order.
    Alive(Resumption<S>),
    /// It is lost, or another engine has taken over.
    GivenUp,
}

impl<P: seam::Platform> StreamRunner<P> {
    /// Starts the stream at another engine, beside the one that is silent.
    pub(crate) async fn resume(
        &mut self,
        silent: Option<StartedStream<<P::Upstreams as Upstreams>::Body>>,
        events: &mut EventSplitter,
        sender: &BodySender,
    ) -> Resumption<<P::Upstreams as Upstreams>::Body> {
        let mut silent = silent;
        let job = self.job.clone();
        let sent_at = self.sent_at.clone();
        let silent_kept = self.silent_kept.clone();
        let partial = self.partial.clone();
        self.may_have_run = true;
        self.failed_attempts = 0;
        self.silent_kept.set(silent.is_some());
        if silent.is_some() {
            // The other engine may refuse the stream once the silent one is given up.
            self.spare = SpareRetry::reserve(&self.entry, &job.service);
            if self.spare.is_none() {
                return refused(&job, silent);
            }
        }
        let moved = {
            let mut start = pin::pin!(self.start_again(events.last_id));
            loop {
                let sign = tokio::select! {
                    biased;
                    () = sender.closed() => return Resumption::CallerGone,
                    sign = next_sign(&mut silent, &sent_at) => sign,
                    moved = &mut start => break moved,
                };
                let Some(first) = silent.take() else {
                    continue;
                };
                silent_kept.set(false);
                match apply_sign(&job, first, sign, events) {
                    SilentState::Silent(first) => {
                        if partial.borrow_mut().try_resize(events.partial_bytes()) {
                            silent_kept.set(true);
                            silent = Some(first);
                        }
                    }
                    SilentState::Alive(resumption) => return resumption,
                    SilentState::GivenUp => {}
                }
            }
        };
        match (moved, silent) {
            (Ok(next), Some(first)) => self.hand_over(first, next, events, sender).await,
            (Ok(next), None) => {
                events.continue_elsewhere();
                Resumption::Moved(next)
            }
            (Err(_), silent) => refused(&job, silent),
        }
    }

    /// Reads both a silent engine and the next one, until one of them sends something or the
    /// handover time is over. An engine that is silent behind its last event can only be told
    /// by its own end, as the next one has nothing to add.
    async fn hand_over(
        &mut self,
        first: StartedStream<<P::Upstreams as Upstreams>::Body>,
        next: StartedStream<<P::Upstreams as Upstreams>::Body>,
        events: &mut EventSplitter,
        sender: &BodySender,
    ) -> Resumption<<P::Upstreams as Upstreams>::Body> {
        let job = self.job.clone();
        let (mut first, mut next) = (first, next);
        let end = next.sent_at + HANDOVER_TIME;
        loop {
            let sign = tokio::select! {
                biased;
                () = sender.closed() => return Resumption::CallerGone,
                chunk = first.response.body.next_chunk() => Sign::Read(chunk),
                chunk = next.response.body.next_chunk() => match chunk {
                    Some(Ok(bytes)) => {
                        next.unread = Some(bytes);
                        Sign::HandedOver
                    }
                    None if next.is_empty_stream() => {
                        events.confirm_end(&next.engine);
                        return refused(&job, Some(first));
                    }
                    None | Some(Err(_)) => {
                        self.handle_failure(&next).await;
                        return refused(&job, Some(first));
                    }
                },
                () = tokio::time::sleep_until(end.into()) => Sign::HandedOver,
            };
            match apply_sign(&job, first, sign, events) {
                SilentState::Silent(silent) => first = silent,
                SilentState::Alive(resumption) => return resumption,
                SilentState::GivenUp => {
                    events.continue_elsewhere();
                    return Resumption::Moved(next);
                }
            }
        }
    }

    /// Makes attempts until an engine goes on with the stream. A response without events is
    /// no answer to a caller that has received some.
    async fn start_again(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<StartedStream<<P::Upstreams as Upstreams>::Body>, StartError> {
        loop {
            let next = self.start(last_event).await?;
            if next.response.status == StatusCode::OK {
                return Ok(next);
            }
            let now = time::Instant::now();
            let mut decode_pool = self.pool.decode_pool.borrow_mut();
            decode_pool.record_failure(&next.engine, now);
            drop(decode_pool);
            self.trial = None;
            self.failed_attempts += 1;
            if self.failed_attempts >= stream::MAX_ATTEMPTS || self.job.time_left().is_zero() {
                return Err(StartError::Unknown("failed"));
            }
        }
    }
}

/// Applies what a silent engine did.
fn apply_sign<S: ByteStream>(
    job: &Job,
    first: StartedStream<S>,
    sign: Sign,
    events: &mut EventSplitter,
) -> SilentState<S> {
    let mut first = first;
    match sign {
        Sign::Read(None) if first.is_whole(events) => SilentState::Alive(Resumption::Ended(first)),
        Sign::HandedOver | Sign::Read(None | Some(Err(_))) => SilentState::GivenUp,
        Sign::Read(Some(Ok(bytes))) => {
            relay::record_arrival(job, events);
            if let Some(complete) = first.push(events, bytes) {
                job.log_line("stream_went_on")
                    .with("upstream", &first.engine)
                    .with("events", events.event_count)
                    .info();
                return SilentState::Alive(Resumption::WentOn(first, complete));
            }
            match events.is_oversized() || events.is_misordered() {
                true => SilentState::GivenUp,
                false => SilentState::Silent(first),
            }
        }
    }
}

/// Logs that no other engine takes a stream.
fn refused<S>(job: &Job, silent: Option<StartedStream<S>>) -> Resumption<S> {
    job.log_line("stream_lost")
        .with("upstream", silent.as_ref().map_or("", |s| &s.engine))
        .with("kept", silent.is_some())
        .info();
    Resumption::Refused(silent)
}

/// Returns the next bytes of the silent engine. It isn't read while the request is under
/// way to another engine, which then has the stream; `HandedOver` is returned once that has
/// lasted for the handover time. Without a silent engine, waits for ever.
async fn next_sign<S: ByteStream>(
    silent: &mut Option<StartedStream<S>>,
    sent_at: &cell::Cell<Option<time::Instant>>,
) -> Sign {
    let Some(first) = silent else {
        return future::pending().await;
    };
    let mut chunk = pin::pin!(first.response.body.next_chunk());
    let read = future::poll_fn(|context| match sent_at.get() {
        Some(_) => task::Poll::Pending,
        None => chunk.as_mut().poll(context),
    });
    tokio::select! {
        chunk = read => Sign::Read(chunk),
        () = wait_for_handover(sent_at) => Sign::HandedOver,
    }
}

/// Returns once a request has been under way for the handover time.
async fn wait_for_handover(sent_at: &cell::Cell<Option<time::Instant>>) {
    while sent_at
        .get()
        .is_none_or(|sent| sent.elapsed() < HANDOVER_TIME)
    {
        tokio::time::sleep(HANDOVER_CHECK).await;
    }
}
