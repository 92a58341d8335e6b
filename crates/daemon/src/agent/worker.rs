//! Runs blocking calls of the engine, each on its own thread.

use crate::agent::job::Event;
use crossbeam::channel;
use route::AttemptId;
use std::io;
use std::thread;
use std::time;

/// Attempts to import a prefill result; a retry is worthwhile while the prefill
/// engine may still hold it.
const MAX_IMPORT_ATTEMPTS: u32 = 2;
/// Delay between attempts to cancel a request.
const CANCEL_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);
/// Time between probes of an engine that does not answer.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Attempts to cancel a request. An engine that answers none of them is assumed to
/// hold nothing any more.
const MAX_CANCEL_ATTEMPTS: u32 = 50;

/// Channel on which workers report to the scheduler.
pub(crate) type EventSender = channel::Sender<Event>;

/// Imports a prefill result and streams the answer.
pub(crate) fn decode(
    engine: engine::EngineClient,
    attempt_id: AttemptId,
    import: engine::ImportRequest,
    stream: engine::StreamRequest,
    events: EventSender,
) -> io::Result<()> {
    spawn("decode", move || {
        let started = time::Instant::now();
        if let Err(error) = import_with_retries(&engine, &import) {
            let _ = events.send(Event::StreamEnd(attempt_id, Err(error)));
            return;
        }
        let _ = events.send(Event::Imported(attempt_id, started.elapsed()));
        let token_events = events.clone();
        let ended = engine.stream(&stream, |token| {
            token_events.send(Event::Token(attempt_id, token)).is_ok()
        });
        let _ = events.send(Event::StreamEnd(attempt_id, ended));
    })
}

fn import_with_retries(
    engine: &engine::EngineClient,
    import: &engine::ImportRequest,
) -> Result<(), engine::EngineError> {
    let mut result = engine.import(import);
    for _ in 1..MAX_IMPORT_ATTEMPTS {
        match result {
            Err(engine::EngineError::Stalled) => {
                // The stalled attempt's memory must be freed before the next one.
                let _ = engine.cancel(&import.request);
                result = engine.import(import);
            }
            other => return other,
        }
    }
    result
}

/// Prefills a prompt.
pub(crate) fn prefill(
    engine: engine::EngineClient,
    attempt_id: AttemptId,
    request: engine::PrefillRequest,
    events: EventSender,
) -> io::Result<()> {
    spawn("prefill", move || {
        let started = time::Instant::now();
        let result = engine.prefill(&request);
        let _ = events.send(Event::PrefillEnd(attempt_id, result, started.elapsed()));
    })
}

/// Probes an engine at intervals until it answers, and reports the result of each
/// probe.
pub(crate) fn probe(engine: engine::EngineClient, events: EventSender) -> io::Result<()> {
    spawn("look", move || {
        loop {
            let event = match engine.running_requests() {
                Ok(running) => Event::ProbeAnswered(running.requests),
                Err(_) => Event::ProbeFailed,
            };
            let answered = matches!(event, Event::ProbeAnswered(_));
            if events.send(event).is_err() || answered {
                return;
            }
            thread::sleep(PROBE_INTERVAL);
        }
    })
}

/// Cancels a job's request at the engine, with retries.
pub(crate) fn cancel(
    engine: engine::EngineClient,
    attempt_id: AttemptId,
    id: String,
    events: EventSender,
) -> io::Result<()> {
    spawn("cancel", move || {
        cancel_with_retries(&engine, &id);
        let _ = events.send(Event::Cancelled(attempt_id));
    })
}

/// Cancels a request at the engine that belongs to no job, with retries.
pub(crate) fn cancel_orphan(
    engine: engine::EngineClient,
    id: String,
    events: EventSender,
) -> io::Result<()> {
    trace::LogLine::new("unclaimed_cancelled")
        .with("id", &id)
        .warn();
    spawn("cancel", move || {
        cancel_with_retries(&engine, &id);
        let _ = events.send(Event::OrphanCancelled(id));
    })
}

fn cancel_with_retries(engine: &engine::EngineClient, id: &str) {
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        match engine.cancel(id) {
            // An engine that cannot be reached has ended and holds nothing.
            Ok(())
            | Err(engine::EngineError::Unreachable(_) | engine::EngineError::ConnectionLost(_)) => {
                return;
            }
            Err(_) => thread::sleep(CANCEL_RETRY_DELAY),
        }
    }
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.into()).spawn(work)?;
    Ok(())
}
