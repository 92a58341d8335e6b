//! A client of the entries.

use crate::http::Connection;
use crate::record::Record;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A request as the client sends it.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub deadline_ms: u64,
    /// Whether it asks for a stream.
    pub is_stream: bool,
    /// Tokens of its prompt, if it asks for a stream.
    pub prompt_tokens: u64,
    pub body: String,
}

/// How it ended for the client.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// 0 without an answer.
    pub status: u16,
    pub seal: String,
    pub body: Vec<u8>,
    /// Whether the answer was whole.
    pub is_whole: bool,
    /// Whether the client gave up at its deadline.
    pub gave_up: bool,
    /// Whether the channel may be used again.
    pub is_kept: bool,
}

/// Sends a request on a channel, a new one if there is none, and reads its answer.
pub fn call(
    front: SocketAddr,
    kept: &mut Option<Connection>,
    call: &Call,
    record: &Record,
) -> Outcome {
    let connection = kept
        .take()
        .or_else(|| TcpStream::connect(front).ok().map(Connection::new));
    let Some(mut connection) = connection else {
        record.line(&format!("no channel request={}", call.id));
        return Outcome::default();
    };
    let counts = match call.is_stream {
        true => format!(
            "Hornbeampitch-Model: m\r\nHornbeampitch-Token-Counts: {},60\r\n",
            call.prompt_tokens
        ),
        false => String::new(),
    };
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: agency.example\r\nHornbeampitch-Request-Id: {}\r\n{counts}Hornbeampitch-Deadline-Ms: {}\r\nApi-Key: key-a\r\nContent-Length: {}\r\n\r\n{}",
        call.method,
        call.path,
        call.id,
        call.deadline_ms,
        call.body.len(),
        call.body
    );
    record.line(&format!(
        "sent request={} {} {}",
        call.id, call.method, call.path
    ));
    let limit = Duration::from_millis(call.deadline_ms);
    let _ = connection.stream.set_read_timeout(Some(limit));
    let mut outcome = Outcome::default();
    if connection.stream.write_all(text.as_bytes()).is_ok() {
        match connection.read_head() {
            Ok(Some(head)) => {
                outcome.status = head.status();
                outcome.seal = head.header("hornbeampitch-response-seal").to_owned();
                (outcome.body, outcome.is_whole) = connection.read_body(&head);
                outcome.is_kept = outcome.is_whole && head.header("connection") != "close";
            }
            Ok(None) => {}
            Err(error) => {
                let kinds = [std::io::ErrorKind::WouldBlock, std::io::ErrorKind::TimedOut];
                outcome.gave_up = kinds.contains(&error.kind());
            }
        }
    }
    record.line(&format!(
        "answered request={} status={} whole={} seal={} bytes={}{}",
        call.id,
        outcome.status,
        outcome.is_whole,
        if outcome.seal.is_empty() {
            "none"
        } else {
            &outcome.seal
        },
        outcome.body.len(),
        if outcome.gave_up { " gave_up" } else { "" },
    ));
    if outcome.is_kept {
        *kept = Some(connection);
    }
    outcome
}
