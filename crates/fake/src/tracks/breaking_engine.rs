//! Fake engine that breaks off the streams that it starts or never ends them, and answers as
//! a test says when one is to go on.

use crate::tracks::names;
use crate::tracks::raw_call::RawCall;
use serde_json::json;
use std::collections;
use std::io;
use std::io::Write;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

/// What the engine sends for one path, as bytes. `{id}` stands for the request's id.
#[derive(Clone, Debug, Default)]
pub struct StreamScript {
    /// Answer to the first call for the request, after which the connection ends.
    pub first: String,
    /// Answer to the second call, after which the connection ends. Further calls are
    /// answered with the events that are missing.
    pub second: String,
}

/// Bytes that follow each answer until the caller closes the connection.
#[derive(Clone, Debug)]
pub struct Noise {
    /// Bytes that are sent again and again.
    pub batch: Vec<u8>,
    /// Time between two batches.
    pub interval: time::Duration,
}

/// An engine whose answers to callers' requests follow scripts. The last segment of a path
/// is the number of its script.
pub struct BreakingEngine {
    address: net::SocketAddr,
    shared: sync::Arc<Shared>,
}

/// State that the threads of the connections share.
struct Shared {
    scripts: Vec<StreamScript>,
    /// The events of each stream.
    events: Vec<String>,
    noise: Option<Noise>,
    reservation_count: atomic::AtomicU64,
    /// Number of calls by the id of the request.
    calls: sync::Mutex<collections::HashMap<String, usize>>,
}

impl BreakingEngine {
    /// Starts an engine, whose streams have these events with ids from 1. It runs until the
    /// test's process ends.
    pub fn start(scripts: Vec<StreamScript>, events: Vec<String>) -> Self {
        Self::start_with(scripts, events, None)
    }

    /// Starts an engine that answers each request with `start` and then with noise without
    /// end. Paths of requests end with 0.
    pub fn start_endless(start: &str, noise: Noise) -> Self {
        let script = StreamScript {
            first: start.to_owned(),
            second: start.to_owned(),
        };
        Self::start_with(vec![script], Vec::new(), Some(noise))
    }

    fn start_with(scripts: Vec<StreamScript>, events: Vec<String>, noise: Option<Noise>) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let shared = sync::Arc::new(Shared {
            scripts,
            events,
            noise,
            reservation_count: atomic::AtomicU64::new(0),
            calls: sync::Mutex::default(),
        });
        let for_connections = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = for_connections.clone();
                // A connection that fails is the caller's to notice.
                thread::spawn(move || shared.serve(stream));
            }
        });
        Self { address, shared }
    }

    /// Returns the number of calls for a request.
    pub fn call_count(&self, id: &str) -> usize {
        self.shared.calls().get(id).copied().unwrap_or(0)
    }

    /// Returns a record for the platform's list, in JSON. The engine may be listed under
    /// many ids, so that one that broke off a stream doesn't keep the next from starting.
    pub fn member_record(&self, service: &str) -> String {
        json!({
            "service": service, "address": self.address, "zone": "ruahine", "version": "v1",
            "slots": 8, "state": "ready", "cold_left_ms": 0, "stage": "decode", "seq": 4,
            "born": 1_767_816_250_201_u64,
        })
        .to_string()
    }
}

impl Shared {
    fn calls(&self) -> sync::MutexGuard<'_, collections::HashMap<String, usize>> {
        self.calls.lock().expect("the mutex is not poisoned")
    }

    /// Answers the calls on one connection until an answer ends it.
    fn serve(&self, mut stream: net::TcpStream) -> io::Result<()> {
        while let Some(call) = RawCall::read(&mut stream)? {
            if !call.path.starts_with(names::INTERNAL_PREFIX) {
                stream.write_all(self.answer(&call).as_bytes())?;
                return match &self.noise {
                    Some(noise) => noise.send(stream),
                    None => Ok(()),
                };
            }
            let value = match call.path.as_str() {
                names::RESERVE_PATH => {
                    let number = self
                        .reservation_count
                        .fetch_add(1, atomic::Ordering::Relaxed);
                    json!({"hold": format!("d{number}")})
                }
                _ => json!({"stage": "decode", "busy": false, "seq": 0}),
            };
            let body = value.to_string();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            stream.write_all((head + &body).as_bytes())?;
        }
        Ok(())
    }

    /// Returns the bytes of the answer to a caller's request.
    fn answer(&self, call: &RawCall) -> String {
        let number = call.path.rsplit('/').next().and_then(|n| n.parse().ok());
        let number: usize = number.expect("the path ends with the number of a script");
        let count = {
            let mut calls = self.calls();
            let count = calls.entry(call.id.clone()).or_default();
            *count += 1;
            *count
        };
        let script = &self.scripts[number];
        let answer = match count {
            1 => script.first.clone(),
            2 => script.second.clone(),
            _ => {
                let last_event = call.header("last-event-id").parse().unwrap_or(0);
                let missing = self.events[last_event..].concat();
                stream_head() + &chunk(&missing) + "0\r\n\r\n"
            }
        };
        answer.replace("{id}", &call.id)
    }
}

impl Noise {
    /// Sends noise until the caller closes the connection, and returns how that is seen.
    fn send(&self, mut stream: net::TcpStream) -> io::Result<()> {
        loop {
            stream.write_all(&self.batch)?;
            thread::sleep(self.interval);
        }
    }
}

/// Returns the head of a stream in chunks.
pub fn stream_head() -> String {
    format!(
        "HTTP/1.1 200 OK\r\n{}: {{id}}\r\n{}: seal-{{id}}\r\n\
        content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
        names::REQUEST_ID,
        names::RESPONSE_SEAL,
    )
}

/// Returns a chunk of a body; nothing for an empty text, which would end the body.
pub fn chunk(text: &str) -> String {
    match text {
        "" => String::new(),
        text => format!("{:x}\r\n{text}\r\n", text.len()),
    }
}
