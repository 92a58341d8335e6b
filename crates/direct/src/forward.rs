//! Forwards hosts' responses to callers.

use crate::admit::Job;
use crate::body::Body;
use crate::body::Chunk;
use crate::guards::ActiveRequest;
use seam::ByteStream;
use std::time;

/// Longest response body that is read before it is passed on; a host in
/// trouble may send bytes without end.
const MAX_UNSIZED_BYTES: usize = 8 * 1024 * 1024;

/// Reads a body to its end; returns `None` if that does not come by `deadline`, the
/// connection breaks or the body is too long, which is logged.
pub(crate) async fn collect_body<S: ByteStream>(
    job: &Job,
    host: &str,
    body: &mut S,
    deadline: time::Instant,
) -> Option<bytes::Bytes> {
    let next_chunk = async || body.next_chunk().await;
    let collected = web::collect_chunks(next_chunk, MAX_UNSIZED_BYTES, deadline).await;
    if let Err(web::ReadError::Oversized(bytes)) = collected {
        job.log_line("body_oversized")
            .with("upstream", host)
            .with("bytes", bytes)
            .with("bound", MAX_UNSIZED_BYTES)
            .warn();
    }
    collected.ok()
}

/// Builds the response to the caller from the host's response.
pub(crate) fn forward_response<P: seam::Platform, S: ByteStream + 'static>(
    upstream: seam::Response<S>,
    body: Option<bytes::Bytes>,
    active_request: ActiveRequest<P>,
    job: Job,
) -> hyper::Response<Body> {
    let body = match body {
        Some(bytes) => Body::from(bytes),
        None => {
            let (sender, body) = Body::channel(upstream.body.content_length());
            let mut stream = upstream.body;
            tokio::task::spawn_local(async move {
                let _guard = active_request;
                loop {
                    let next = tokio::time::timeout_at(job.deadline.into(), stream.next_chunk());
                    let chunk = match next.await {
                        Ok(Some(Ok(bytes))) => Chunk::Data(bytes),
                        Ok(None) => Chunk::End,
                        // Dropping the sender before the end aborts the
                        // response.
                        Ok(Some(Err(_))) | Err(_) => return,
                    };
                    let ended = matches!(chunk, Chunk::End);
                    if sender.send(chunk).await.is_err() || ended {
                        return;
                    }
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
