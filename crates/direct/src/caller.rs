//! A caller's connection: what of its current request has been answered, and how the
//! connection ends.

use crate::admit;
use crate::body::Body;
use crate::body::BodyAborted;
use crate::callers::CallerSlot;
use crate::entry::Entry;
use crate::exchange::Exchange;
use crate::meters;
use crate::telemetry;
use bytes::Bytes;
use http::header::CONNECTION;
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use std::cell;
use std::convert;
use std::error::Error as _;
use std::future;
use std::io;
use std::pin;
use std::rc;
use std::task;
use std::time;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net as aio;
use tokio::sync;
use tokio::sync::watch;

/// Maximum size of a readiness probe's head in bytes.
const MAX_PROBE_BYTES: usize = 16 * 1024;
/// A caller that sends a head for longer than the configuration allows, times this, has its
/// connection closed: the bytes may have been on their way for a while.
const HEAD_TIME_FACTOR: u32 = 2;
/// Longest time between two looks whether a caller takes too long.
const MAX_WAIT: time::Duration = time::Duration::from_secs(1);
/// How long a caller may go on sending a body after its request was answered.
const LINGER_TIME: time::Duration = time::Duration::from_secs(2);

/// How much of the answer to the current request the connection has taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerStage {
    /// The head of the response isn't ready.
    Waiting,
    /// The head is ready, the body has not ended.
    Body,
    /// The body has ended, but bytes of it may be buffered for a slow caller.
    Buffered,
}

/// Activity of a caller's connection, which is closed once it is idle.
struct Activity<P: seam::Platform> {
    /// When the last answer ended, or the connection was opened.
    last_active: cell::Cell<time::Instant>,
    /// Idle limit of the current wait: the longest that was in force during it. The caller
    /// may not know of a shorter one yet, and its next request would cross the close.
    wait_limit: cell::Cell<time::Duration>,
    /// Wakes the connection's task if a wait is shorter than the one before.
    wait_shortened: sync::Notify,
    /// The idle limit in force.
    idle_limit: watch::Receiver<time::Duration>,
    /// The request whose answer has not been sent to its end.
    unanswered: cell::RefCell<Option<rc::Rc<Exchange<P>>>>,
    stage: cell::Cell<AnswerStage>,
    /// Whether the body of the last request was left unread.
    body_unread: cell::Cell<bool>,
    /// Bytes sent on this connection.
    sent_bytes: cell::Cell<u64>,
    /// Bytes that had been sent when the current request was read.
    first_byte: cell::Cell<u64>,
    /// When the head began that has not arrived to its end.
    head_began: cell::Cell<Option<time::Instant>>,
    /// Since when the caller has taken no bytes of an answer that are ready.
    blocked_since: cell::Cell<Option<time::Instant>>,
    /// The connection among those of all callers; none for readiness probes.
    slot: Option<rc::Rc<CallerSlot>>,
    /// Why the connection ended, for the log. A connection that the process leaves open
    /// when it exits has no other cause.
    cause: cell::Cell<&'static str>,
}

impl<P: seam::Platform> Activity<P> {
    fn new(idle_limit: watch::Receiver<time::Duration>, slot: Option<CallerSlot>) -> Self {
        let current_limit = *idle_limit.borrow();
        Self {
            wait_limit: cell::Cell::new(current_limit),
            wait_shortened: sync::Notify::new(),
            idle_limit,
            last_active: cell::Cell::new(time::Instant::now()),
            unanswered: cell::RefCell::new(None),
            stage: cell::Cell::new(AnswerStage::Waiting),
            body_unread: cell::Cell::new(false),
            sent_bytes: cell::Cell::new(0),
            first_byte: cell::Cell::new(0),
            head_began: cell::Cell::new(None),
            blocked_since: cell::Cell::new(None),
            slot: slot.map(rc::Rc::new),
            cause: cell::Cell::new("process_exit"),
        }
    }

    fn start_answer(&self, exchange: rc::Rc<Exchange<P>>) {
        *self.unanswered.borrow_mut() = Some(exchange);
        self.stage.set(AnswerStage::Waiting);
        self.first_byte.set(self.sent_bytes.get());
        self.head_began.set(None);
    }

    fn end_answer(&self) {
        *self.unanswered.borrow_mut() = None;
        self.set_stage(pool::CallerStage::Idle);
        self.last_active.set(time::Instant::now());
        let limit = *self.idle_limit.borrow();
        if self.wait_limit.replace(limit) > limit {
            self.wait_shortened.notify_one();
        }
    }

    /// Applies a changed idle limit to the current wait.
    fn extend_wait(&self) {
        let limit = *self.idle_limit.borrow();
        self.wait_limit.set(self.wait_limit.get().max(limit));
    }

    /// Returns how long the connection may still be idle. An answer that is on its way
    /// keeps it in use, however long that takes.
    fn time_left(&self) -> time::Duration {
        let idle_time = match self.unanswered.borrow().is_some() {
            true => time::Duration::ZERO,
            false => self.last_active.get().elapsed(),
        };
        self.wait_limit.get().saturating_sub(idle_time)
    }

    fn set_stage(&self, stage: pool::CallerStage) {
        if let Some(slot) = &self.slot {
            slot.set_stage(stage);
        }
    }

    /// Records that bytes have arrived. Those between two requests begin a head.
    fn record_read(&self) {
        if let Some(slot) = &self.slot {
            slot.record_bytes();
        }
        if self.unanswered.borrow().is_none() && self.head_began.get().is_none() {
            self.head_began.set(Some(time::Instant::now()));
            self.set_stage(pool::CallerStage::Unfinished);
        }
    }

    /// Records whether the caller takes the bytes that are ready for it.
    fn record_taking(&self, takes: bool) {
        let blocked_since = self.blocked_since.get();
        if takes == blocked_since.is_none() {
            return;
        }
        let now = time::Instant::now();
        self.blocked_since.set((!takes).then_some(now));
        self.set_stage(match takes {
            true => pool::CallerStage::Served,
            false => pool::CallerStage::Blocked,
        });
    }

    /// Returns how long the caller may still go on with its head, or take nothing of its
    /// answer, and why its connection is closed after that; none if it does neither.
    fn patience(&self, head_timeout: time::Duration) -> Option<(time::Duration, &'static str)> {
        let left =
            |since: time::Instant, limit: time::Duration| limit.saturating_sub(since.elapsed());
        let head = self.head_began.get();
        let head = head.map(|s| (left(s, head_timeout * HEAD_TIME_FACTOR), "head_overdue"));
        let blocked = self.blocked_since.get();
        let blocked = blocked.map(|s| (left(s, *self.idle_limit.borrow()), "answer_untaken"));
        head.into_iter().chain(blocked).min()
    }

    /// Returns whether the whole answer is on its way once nothing is buffered.
    fn has_buffered_answer(&self) -> bool {
        self.stage.get() == AnswerStage::Buffered && self.unanswered.borrow().is_some()
    }
}

/// Logs a request whose connection has ended before its answer. At most one line is
/// written for each request, and none for an idle connection.
impl<P: seam::Platform> Drop for Activity<P> {
    fn drop(&mut self) {
        let Some(exchange) = self.unanswered.take() else {
            return;
        };
        let cause = self.cause.get();
        meters::meters().connections_cut.add(cause, 1);
        exchange.meter.cut(cause);
        trace::LogLine::new("connection_cut")
            .with("request", exchange.id())
            .with("age_ms", telemetry::millis(exchange.arrived_at.elapsed()))
            .with("cause", cause)
            .with("bytes", self.sent_bytes.get() - self.first_byte.get())
            .info();
    }
}

/// Returns why a connection ended, as it is written in logs.
fn end_cause(result: &hyper::Result<()>) -> &'static str {
    let Err(error) = result else {
        return "closed";
    };
    let source = error.source();
    if source.is_some_and(|s| s.is::<BodyAborted>()) {
        return "answer_aborted";
    }
    if error.is_incomplete_message() {
        return "caller_left";
    }
    let fault = source.and_then(|s| s.downcast_ref::<io::Error>());
    match fault.map(io::Error::kind) {
        Some(io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe) => "caller_left",
        Some(io::ErrorKind::TimedOut) => "caller_silent",
        Some(_) => "connection_error",
        None => "protocol_error",
    }
}

/// Serves the requests of one connection, until it ends, is idle for too long or `closed`
/// holds true.
pub(crate) async fn serve<P: seam::Platform>(
    entry: rc::Rc<Entry<P>>,
    mut stream: aio::TcpStream,
    slot: Option<CallerSlot>,
    closed: watch::Receiver<bool>,
) {
    let activity = rc::Rc::new(Activity::new(entry.idle_limit.subscribe(), slot));
    serve_requests(&entry, &mut stream, &activity, closed).await;
    if activity.body_unread.get() {
        // A socket that is closed with unread bytes resets its connection, and the caller
        // loses the answer. Errors and the timeout end the connection all the same.
        let mut unread = tokio::io::sink();
        let discarded = tokio::io::copy(&mut stream, &mut unread);
        tokio::select! {
            _ = tokio::time::timeout(LINGER_TIME, discarded) => {}
            () = wait_for_close(activity.slot.as_deref()) => {}
        }
    }
}

/// Returns once a connection is to be closed for another one.
async fn wait_for_close(slot: Option<&CallerSlot>) {
    match slot {
        Some(slot) => slot.closed().await,
        None => future::pending().await,
    }
}

async fn serve_requests<P: seam::Platform>(
    entry: &rc::Rc<Entry<P>>,
    stream: &mut aio::TcpStream,
    activity: &rc::Rc<Activity<P>>,
    mut closed: watch::Receiver<bool>,
) {
    let (service_entry, counters) = (entry.clone(), activity.clone());
    let service = service::service_fn(move |request| {
        let (entry, activity) = (service_entry.clone(), counters.clone());
        async move { Ok::<_, convert::Infallible>(answer(entry, activity, request).await) }
    });
    let stream = CallerStream {
        stream,
        activity: activity.clone(),
    };
    let slot = activity.slot.clone();
    let max_head_bytes = slot.as_ref().map_or(MAX_PROBE_BYTES, |s| s.head_bytes);
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(max_head_bytes)
        .serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = pin::pin!(connection);
    let mut idle_limit = entry.idle_limit.subscribe();
    let mut is_ending = false;
    loop {
        let config = entry.active_config();
        let head_timeout = config
            .map_or(seam::Limits::default(), |c| c.config.limits)
            .head_timeout;
        let patience = activity.patience(head_timeout);
        if let Some((_, cause)) = patience.filter(|(left, _)| left.is_zero()) {
            activity.cause.set(cause);
            return;
        }
        let idle_left = (!is_ending).then(|| activity.time_left());
        let wait = patience.map(|(left, _)| left).into_iter().chain(idle_left);
        let wait = wait.chain([MAX_WAIT]).min().unwrap_or(MAX_WAIT);
        tokio::select! {
            // A request that has arrived is read before its connection is closed.
            biased;
            result = connection.as_mut() => {
                activity.cause.set(end_cause(&result));
                return;
            }
            () = wait_for_close(slot.as_deref()) => {
                activity.cause.set("closed_for_others");
                return;
            }
            _ = closed.wait_for(|c| *c), if !is_ending => {
                connection.as_mut().graceful_shutdown();
                is_ending = true;
            }
            () = activity.wait_shortened.notified() => {}
            // Fails only without an entry.
            _ = idle_limit.changed() => activity.extend_wait(),
            () = tokio::time::sleep(wait) => {
                if !is_ending && activity.time_left().is_zero() {
                    connection.as_mut().graceful_shutdown();
                    is_ending = true;
                }
            }
        }
    }
}

/// Handles one request, and announces the close of its connection if the process stops.
async fn answer<P: seam::Platform>(
    entry: rc::Rc<Entry<P>>,
    activity: rc::Rc<Activity<P>>,
    request: hyper::Request<body::Incoming>,
) -> hyper::Response<CallerBody<P>> {
    let exchange = rc::Rc::new(Exchange::new(&entry, activity.slot.clone()));
    activity.start_answer(exchange.clone());
    let mut response = admit::handle_request(entry.clone(), request, exchange.clone()).await;
    activity.body_unread.set(exchange.is_body_unread());
    if entry.is_stopping() || exchange.is_body_unread() {
        // The caller's next request then goes to another entry.
        let headers = response.headers_mut();
        headers.insert(CONNECTION, http::HeaderValue::from_static("close"));
    }
    activity.stage.set(AnswerStage::Body);
    response.map(|body| CallerBody { body, activity })
}

/// Body of a response, whose end is recorded.
struct CallerBody<P: seam::Platform> {
    body: Body,
    activity: rc::Rc<Activity<P>>,
}

impl<P: seam::Platform> body::Body for CallerBody<P> {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, BodyAborted>>> {
        pin::Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}

/// The connection drops a body once it has taken all of it that is to be sent.
impl<P: seam::Platform> Drop for CallerBody<P> {
    fn drop(&mut self) {
        self.activity.stage.set(AnswerStage::Buffered);
    }
}

/// The stream of a connection, which counts the bytes sent and records the end of an answer.
struct CallerStream<'a, P: seam::Platform> {
    stream: &'a mut aio::TcpStream,
    activity: rc::Rc<Activity<P>>,
}

impl<P: seam::Platform> CallerStream<'_, P> {
    fn record_write(&self, written: &task::Poll<io::Result<usize>>) {
        self.activity.record_taking(written.is_ready());
        if let task::Poll::Ready(Ok(count)) = written {
            let sent_bytes = self.activity.sent_bytes.get() + *count as u64;
            self.activity.sent_bytes.set(sent_bytes);
        }
    }
}

impl<P: seam::Platform> AsyncRead for CallerStream<'_, P> {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let read = pin::Pin::new(&mut *this.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            this.activity.record_read();
        }
        read
    }
}

impl<P: seam::Platform> AsyncWrite for CallerStream<'_, P> {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = pin::Pin::new(&mut *this.stream).poll_write(cx, bytes);
        this.record_write(&written);
        written
    }

    fn poll_write_vectored(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = pin::Pin::new(&mut *this.stream).poll_write_vectored(cx, slices);
        this.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Is called once all bytes that were buffered have been written.
    fn poll_flush(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let this = self.get_mut();
        let flushed = pin::Pin::new(&mut *this.stream).poll_flush(cx);
        if matches!(flushed, task::Poll::Ready(Ok(()))) && this.activity.has_buffered_answer() {
            this.activity.end_answer();
        }
        flushed
    }

    fn poll_shutdown(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut *self.get_mut().stream).poll_shutdown(cx)
    }
}
