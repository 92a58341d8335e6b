//! Forwards hosts' responses to callers.

use crate::admit::Job;
use crate::body::Body;
use crate::body::BodySender;
use crate::exchange::Exchange;
use callers::HeldBody;
use callers::MemoryAccount;
use seam::ByteStream;
use std::rc;
use std::sync::Arc;
use world::Name;

/// Longest response body that is read before it is passed on; a host in
/// trouble may send bytes without end.
const MAX_UNSIZED_BYTES: usize = 8 * 1024 * 1024;
/// What an answer takes while it is forwarded beside the bytes in its channel: the buffers of
/// the two connections and what its host has sent meanwhile.
const FORWARDING_BYTES: usize = 2 * web::MAX_BUFFER_BYTES + web::MAX_UNREAD_BYTES;

/// A host's response to a call.
pub(crate) struct Answer<S> {
    pub(crate) host: Name,
    /// The response, with its body unless that was buffered.
    pub(crate) response: seam::Response<S>,
    /// The whole body, if it was buffered.
    pub(crate) body: Option<HeldBody>,
}

/// Reads a body to its end; returns `None` if that does not come by the job's deadline, the
/// connection breaks, or the body is too long or does not fit into the process's memory,
/// which is logged.
pub(crate) async fn collect_body<S: ByteStream>(
    job: &Job,
    host: &str,
    body: &mut S,
    account: &Arc<MemoryAccount>,
) -> Option<HeldBody> {
    let next_chunk = async || body.next_chunk().await;
    let mut held = account.hold();
    let try_hold = async |bytes| held.try_grow(bytes);
    let collected =
        web::collect_held_chunks(next_chunk, MAX_UNSIZED_BYTES, Some(job.deadline), try_hold).await;
    let line = |event| job.log_line(event).with("upstream", host);
    match &collected {
        Err(web::ReadError::Oversized(bytes)) => line("body_oversized")
            .with("bytes", bytes)
            .with("bound", MAX_UNSIZED_BYTES)
            .warn(),
        Err(web::ReadError::NoRoom(bytes)) => {
            let (held, bound) = account.use_and_limit();
            let line = line("body_without_room").with("bytes", bytes);
            line.with("held", held).with("bound", bound).warn();
        }
        Ok(_) | Err(web::ReadError::TimedOut | web::ReadError::Broken(_)) => {}
    }
    let bytes = collected.ok()?;
    Some(HeldBody { bytes, held })
}

/// Forwards a body to the caller in chunks; fails with the cause if that ends early. The
/// host is left as soon as the caller leaves.
async fn forward_chunks<S: ByteStream>(
    job: &Job,
    body: &mut S,
    sender: &BodySender,
) -> Result<(), &'static str> {
    let deadline = job.deadline.into();
    loop {
        let next = tokio::select! {
            next = tokio::time::timeout_at(deadline, body.next_chunk()) => next,
            () = sender.closed() => return Err("caller_left"),
        };
        let bytes = match next {
            Ok(Some(Ok(bytes))) => bytes,
            Ok(None) => break,
            Ok(Some(Err(_))) => return Err("broken"),
            Err(_) => return Err("overdue"),
        };
        let is_last = body.content_length() == Some(0);
        if is_last {
            // The caller has a whole answer with these bytes, so the host's must have ended.
            let end = tokio::time::timeout_at(deadline, body.next_chunk()).await;
            if end.map_err(|_| "overdue")?.is_some() {
                return Err("broken");
            }
        }
        let sent = tokio::time::timeout_at(deadline, sender.send(bytes)).await;
        sent.map_err(|_| "overdue")?.map_err(|_| "caller_left")?;
        if is_last {
            break;
        }
    }
    sender.end().await;
    Ok(())
}

/// Builds the response to the caller from a host's answer.
pub(crate) fn forward_response<P: seam::Platform, S: ByteStream + 'static>(
    answer: Answer<S>,
    exchange: rc::Rc<Exchange<P>>,
    job: Job,
) -> hyper::Response<Body> {
    let Answer {
        host,
        response: upstream,
        body,
    } = answer;
    let body = match body {
        Some(body) => exchange.hold_answer(body),
        None => {
            let account = exchange.memory();
            let (sender, body) = Body::channel(upstream.body.content_length(), account);
            let mut stream = upstream.body;
            tokio::task::spawn_local(async move {
                let mut held = exchange.memory().hold();
                // Dropping the sender before the end aborts the response.
                let forwarded = match exchange.hold(&mut held, FORWARDING_BYTES).await {
                    true => forward_chunks(&job, &mut stream, &sender).await,
                    false => Err("no_room"),
                };
                if let Err(cause) = forwarded {
                    job.log_cut(cause, &host).info();
                }
            });
            body
        }
    };
    let mut response = hyper::Response::new(body);
    *response.status_mut() = upstream.status;
    *response.headers_mut() = upstream.headers;
    response
}
