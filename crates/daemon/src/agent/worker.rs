//! Blocking calls to the engine, each on a thread of its own.

use crate::agent::job::Event;
use crossbeam::channel;
use route::AttemptId;
use std::io;
use std::thread;
use std::time;

/// A transfer is tried again while the result may still live.
const IMPORT_TRIES: u32 = 2;
const CANCEL_WAIT: time::Duration = time::Duration::from_millis(100);
/// How often an engine that failed is looked at.
const LOOK_WAIT: time::Duration = time::Duration::from_millis(100);
/// An engine that does not answer for so long holds nothing any more.
const CANCEL_TRIES: u32 = 50;

/// Where workers report.
pub(crate) type Desk = channel::Sender<Event>;

/// Imports a result and streams its answer.
pub(crate) fn decode(
    model: engine::EngineClient,
    ticket: AttemptId,
    import: engine::ImportRequest,
    resume: engine::StreamRequest,
    desk: Desk,
) -> io::Result<()> {
    spawn("decode", move || {
        let began = time::Instant::now();
        if let Err(error) = import_result(&model, &import) {
            let _ = desk.send(Event::StreamEnd(ticket, Err(error)));
            return;
        }
        let _ = desk.send(Event::Imported(ticket, began.elapsed()));
        let tokens = desk.clone();
        let ended = model.stream(&resume, |token| {
            tokens.send(Event::Token(ticket, token)).is_ok()
        });
        let _ = desk.send(Event::StreamEnd(ticket, ended));
    })
}

fn import_result(
    model: &engine::EngineClient,
    import: &engine::ImportRequest,
) -> Result<(), engine::EngineError> {
    let mut result = model.import(import);
    for _ in 1..IMPORT_TRIES {
        match result {
            Err(engine::EngineError::Stalled) => {
                // What the first try holds must go before the second.
                let _ = model.cancel(&import.request);
                result = model.import(import);
            }
            other => return other,
        }
    }
    result
}

/// Works through a prompt.
pub(crate) fn prefill(
    model: engine::EngineClient,
    ticket: AttemptId,
    ask: engine::PrefillRequest,
    desk: Desk,
) -> io::Result<()> {
    spawn("prefill", move || {
        let began = time::Instant::now();
        let result = model.prefill(&ask);
        let _ = desk.send(Event::Prefilled(ticket, result, began.elapsed()));
    })
}

/// Looks at an engine that failed until it answers.
pub(crate) fn look(model: engine::EngineClient, desk: Desk) -> io::Result<()> {
    spawn("look", move || {
        loop {
            let event = match model.running_requests() {
                Ok(running) => Event::Answers(running.requests),
                Err(_) => Event::Silent,
            };
            let over = matches!(event, Event::Answers(_));
            if desk.send(event).is_err() || over {
                return;
            }
            thread::sleep(LOOK_WAIT);
        }
    })
}

/// Frees what the engine holds of a request, however often that takes.
pub(crate) fn cancel(
    model: engine::EngineClient,
    ticket: AttemptId,
    id: String,
    desk: Desk,
) -> io::Result<()> {
    spawn("cancel", move || {
        cancel_surely(&model, &id);
        let _ = desk.send(Event::Freed(ticket));
    })
}

/// Frees what the engine holds for nobody here.
pub(crate) fn sweep(model: engine::EngineClient, id: String, desk: Desk) -> io::Result<()> {
    trace::LogLine::new("unclaimed_cancelled")
        .with("id", &id)
        .warn();
    spawn("cancel", move || {
        cancel_surely(&model, &id);
        let _ = desk.send(Event::Swept(id));
    })
}

fn cancel_surely(model: &engine::EngineClient, id: &str) {
    for _ in 0..CANCEL_TRIES {
        match model.cancel(id) {
            // An engine that is gone holds nothing.
            Ok(())
            | Err(engine::EngineError::Unreachable(_) | engine::EngineError::ConnectionLost(_)) => {
                return;
            }
            Err(_) => thread::sleep(CANCEL_WAIT),
        }
    }
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.into()).spawn(work)?;
    Ok(())
}
