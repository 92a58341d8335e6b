//! A caller's connection: what of its current request has been answered, and how the
//! connection ends.

use crate::admit;
use crate::body::BodyAborted;
use crate::caller_activity::Activity;
use crate::caller_activity::AnswerStage;
use crate::caller_stream::CallerBody;
use crate::caller_stream::CallerRecord;
use crate::entry::Entry;
use crate::exchange::Exchange;
use callers::CallerSlot;
use callers::RecordedStream;
use http::header::CONNECTION;
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use std::convert;
use std::error::Error as _;
use std::io;
use std::pin;
use std::rc;
use std::time;
use tokio::net as aio;
use tokio::sync::watch;

/// Longest time between two looks whether a caller takes too long.
const MAX_WAIT: time::Duration = time::Duration::from_secs(1);
/// How long a caller may go on sending a body after its request was answered.
const LINGER_TIME: time::Duration = time::Duration::from_secs(2);

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
    slot: CallerSlot,
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
            () = activity.slot.closed() => {}
        }
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
    let stream = RecordedStream::new(stream, CallerRecord(activity.clone()));
    let slot = activity.slot.clone();
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(slot.head_bytes)
        .serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = pin::pin!(connection);
    let mut idle_limit = entry.idle_limit.subscribe();
    let mut is_ending = false;
    loop {
        let patience = activity.patience(entry.limits().head_timeout);
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
            () = slot.closed() => {
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
