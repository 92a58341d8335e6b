//! Fake worker that falls silent at any point of its answers and then goes on.

use crate::tracks::names;
use crate::tracks::raw_call::RawCall;
use crate::tracks::silence::SilenceGate;
use crate::tracks::silence::SilencePoint;
use crate::tracks::silent_answer::Answer;
use crate::tracks::silent_answer::Framing;
use crate::tracks::silent_answer::body_bytes;
use crate::tracks::silent_answer::event_text;
use serde_json::Value;
use serde_json::json;
use std::io;
use std::io::Write;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

/// A worker that falls silent as a whole, on all its connections. What it answers to a
/// caller stands in the last segment of the request's path.
pub struct SilentWorker {
    /// Id in the platform's list of hosts.
    pub id: String,
    /// Its service.
    pub service: &'static str,
    /// Holds back what it sends while it is silent.
    pub gate: sync::Arc<SilenceGate>,
    address: net::SocketAddr,
    stage: Option<&'static str>,
    shared: sync::Arc<Shared>,
}

/// What a worker does with callers' requests instead of answering them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// It refuses them without executing them.
    Refuses,
    /// It answers that it has failed.
    Fails,
    /// It closes the connection.
    Closes,
}

/// State that the threads of a worker's connections share.
#[derive(Debug)]
struct Shared {
    gate: sync::Arc<SilenceGate>,
    refuses_reservations: atomic::AtomicBool,
    call_fault: sync::Mutex<Option<CallFault>>,
    refuses_runs: atomic::AtomicBool,
    last_id: atomic::AtomicU64,
    /// Ids of the callers' requests, in order of arrival.
    received: sync::Mutex<Vec<String>>,
    /// The time that each of them left to the worker, in milliseconds.
    timeouts: sync::Mutex<Vec<u64>>,
    /// Number of callers' requests whose connection was closed before their answer began.
    abandoned_count: atomic::AtomicUsize,
}

impl SilentWorker {
    /// Starts a worker: an engine if it has a stage, and otherwise a plain service. It
    /// runs until the test's process ends.
    ///
    /// Workers with the same gate fall silent together.
    pub fn start(
        id: &str,
        service: &'static str,
        stage: Option<&'static str>,
        gate: &sync::Arc<SilenceGate>,
    ) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let shared = sync::Arc::new(Shared {
            gate: gate.clone(),
            refuses_reservations: atomic::AtomicBool::new(false),
            call_fault: sync::Mutex::default(),
            refuses_runs: atomic::AtomicBool::new(false),
            last_id: atomic::AtomicU64::new(0),
            received: sync::Mutex::default(),
            timeouts: sync::Mutex::default(),
            abandoned_count: atomic::AtomicUsize::new(0),
        });
        let for_connections = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let connection = Connection {
                    stream,
                    shared: for_connections.clone(),
                    stage,
                };
                // A connection that fails is the caller's to notice.
                thread::spawn(move || connection.serve());
            }
        });
        Self {
            id: id.to_owned(),
            service,
            gate: gate.clone(),
            address,
            stage,
            shared,
        }
    }

    /// Sets whether reservations are refused, as for lack of a free slot.
    pub fn refuse_reservations(&self, refuse: bool) {
        let flag = &self.shared.refuses_reservations;
        flag.store(refuse, atomic::Ordering::Relaxed);
    }

    /// Sets a fault of all answers to callers from now on.
    pub fn set_call_fault(&self, fault: CallFault) {
        *self.shared.call_fault() = Some(fault);
    }

    /// Returns the number of callers' requests whose connection was closed before their
    /// answer began.
    pub fn abandoned_count(&self) -> usize {
        self.shared.abandoned_count.load(atomic::Ordering::Relaxed)
    }

    /// Returns the time that each caller's request left to the worker, in milliseconds and
    /// in order of arrival.
    pub fn received_timeouts(&self) -> Vec<u64> {
        self.shared.timeouts().clone()
    }

    /// Sets whether callers' requests are refused as not executed, as if the KV cache of
    /// their prompts were gone.
    pub fn refuse_runs(&self, refuse: bool) {
        let flag = &self.shared.refuses_runs;
        flag.store(refuse, atomic::Ordering::Relaxed);
    }

    /// Returns the ids of the callers' requests, in order of arrival.
    pub fn received_ids(&self) -> Vec<String> {
        self.shared.received().clone()
    }

    /// Returns the worker's record for the platform's list, in JSON.
    pub fn member_record(&self, state: &str) -> String {
        json!({
            "service": self.service, "address": self.address, "zone": "ruahine", "version": "v1",
            "slots": 64, "state": state, "cold_left_ms": 0, "stage": self.stage, "seq": 4,
            "born": 1_767_816_250_201_u64,
        })
        .to_string()
    }
}

impl Shared {
    fn received(&self) -> sync::MutexGuard<'_, Vec<String>> {
        self.received.lock().expect("the mutex is not poisoned")
    }

    fn timeouts(&self) -> sync::MutexGuard<'_, Vec<u64>> {
        self.timeouts.lock().expect("the mutex is not poisoned")
    }

    fn call_fault(&self) -> sync::MutexGuard<'_, Option<CallFault>> {
        self.call_fault.lock().expect("the mutex is not poisoned")
    }
}

/// One connection to a worker.
struct Connection {
    stream: net::TcpStream,
    shared: sync::Arc<Shared>,
    stage: Option<&'static str>,
}

impl Connection {
    /// Answers calls until an answer ends the connection, or the caller closes it.
    fn serve(mut self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        while let Some(call) = RawCall::read_head(&mut self.stream)? {
            if !call.id.is_empty() {
                self.shared.gate.pass(Some(SilencePoint::InsideRequest));
            }
            let call = call.read_body(&mut self.stream)?;
            if call.path.starts_with(names::INTERNAL_PREFIX) {
                self.answer_internal(&call)?;
            } else if call.header(names::SERVING_STAGE) == "prefill" {
                let id = self.shared.last_id.fetch_add(1, atomic::Ordering::Relaxed);
                let value = json!({"handle": format!("h{id}"), "tokens": 10, "version": 1});
                self.send_json(200, &value, SilencePoint::Prefill)?;
            } else if !self.answer_caller(&call)? {
                return Ok(());
            }
        }
        Ok(())
    }

    fn answer_internal(&mut self, call: &RawCall) -> io::Result<()> {
        let shared = &self.shared;
        match call.path.as_str() {
            names::RESERVE_PATH => {
                let refuse = shared.refuses_reservations.load(atomic::Ordering::Relaxed);
                let id = shared.last_id.fetch_add(1, atomic::Ordering::Relaxed);
                let status = if refuse { 503 } else { 200 };
                let value = json!({"hold": format!("d{id}")});
                self.send_json(status, &value, SilencePoint::Reservation)
            }
            names::ORDER_PATH => self.send_json(202, &Value::Null, SilencePoint::Order),
            _ => {
                let value = json!({"stage": self.stage, "busy": false, "seq": 0, "kv_used": 0});
                self.send_json(200, &value, SilencePoint::Report)
            }
        }
    }

    /// Answers a caller's request as its path says. Returns whether the connection can be
    /// used again.
    fn answer_caller(&mut self, call: &RawCall) -> io::Result<bool> {
        if self.shared.refuses_runs.load(atomic::Ordering::Relaxed) {
            let head = format!(
                "HTTP/1.1 503 Any\r\n{}: {}\r\n{}: 1\r\ncontent-length: 0\r\n\r\n",
                names::REQUEST_ID,
                call.id,
                names::NOT_EXECUTED,
            );
            self.send(head.as_bytes(), Some(SilencePoint::BeforeHead), None)?;
            return Ok(true);
        }
        self.shared.received().push(call.id.clone());
        let timeout = call.header(names::DEADLINE_MS).parse().unwrap_or(u64::MAX);
        self.shared.timeouts().push(timeout);
        let fault = *self.shared.call_fault();
        if let Some(fault) = fault {
            return self.send_fault(fault, &call.id);
        }
        let answer = Answer::from_path(&call.path);
        let framing = match answer {
            Answer::Stream { .. } => {
                "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n".to_owned()
            }
            Answer::Plain { framing, length } => match framing {
                Framing::Length => format!("content-length: {length}\r\n"),
                Framing::Chunked => "transfer-encoding: chunked\r\n".to_owned(),
                Framing::Unframed => String::new(),
            },
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: seal-{id}\r\n{framing}\r\n",
            names::REQUEST_ID,
            names::RESPONSE_SEAL,
            id = call.id,
        );
        self.shared.gate.pass(Some(SilencePoint::BeforeHead));
        if self.is_closed()? {
            let count = &self.shared.abandoned_count;
            count.fetch_add(1, atomic::Ordering::Relaxed);
            return Ok(false);
        }
        self.send(head.as_bytes(), None, Some(SilencePoint::InsideHead))?;
        match answer {
            Answer::Stream {
                event_count,
                interval,
            } => {
                let last_event = call.header("last-event-id").parse().unwrap_or(0);
                self.send_events(last_event, event_count, interval)?;
                Ok(true)
            }
            Answer::Plain { framing, length } => {
                let body = body_bytes(length);
                let inside = Some(SilencePoint::InsideBody);
                match framing {
                    Framing::Length | Framing::Unframed => {
                        self.send(body.as_bytes(), None, inside)?;
                    }
                    Framing::Chunked => {
                        let (first, second) = body.split_at(length / 2);
                        self.send_chunk(first, None, None)?;
                        self.send_chunk(second, inside, None)?;
                        self.send(b"0\r\n\r\n", None, None)?;
                    }
                }
                Ok(framing != Framing::Unframed)
            }
        }
    }

    /// Answers a caller's request with a fault. Returns whether the connection can be used
    /// again.
    fn send_fault(&mut self, fault: CallFault, id: &str) -> io::Result<bool> {
        let (status, mark) = match fault {
            CallFault::Refuses => (503, format!("{}: 1", names::NOT_EXECUTED)),
            CallFault::Fails => (500, format!("{}: seal-{id}", names::RESPONSE_SEAL)),
            CallFault::Closes => return Ok(false),
        };
        let head = format!(
            "HTTP/1.1 {status} Any\r\n{}: {id}\r\n{mark}\r\ncontent-length: 0\r\n\r\n",
            names::REQUEST_ID,
        );
        self.send(head.as_bytes(), Some(SilencePoint::BeforeHead), None)?;
        Ok(true)
    }

    /// Returns whether the other end has closed the connection, as far as it is known here.
    fn is_closed(&self) -> io::Result<bool> {
        self.stream.set_nonblocking(true)?;
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false)?;
        match peeked {
            Ok(count) => Ok(count == 0),
            Err(error) => Ok(error.kind() != io::ErrorKind::WouldBlock),
        }
    }

    /// Sends the events after `last_event`.
    fn send_events(
        &mut self,
        last_event: u64,
        event_count: u64,
        interval: time::Duration,
    ) -> io::Result<()> {
        for id in last_event + 1..=event_count {
            let between = SilencePoint::BetweenEvents(id - 1);
            let inside = SilencePoint::InsideEvent(id - 1);
            let event = event_text(id);
            let (first, second) = event.split_at(event.len() / 2);
            self.send_chunk(first, Some(between), None)?;
            self.send_chunk(second, Some(inside), None)?;
            thread::sleep(interval);
        }
        let behind_last = SilencePoint::BetweenEvents(event_count);
        self.send(b"0\r\n\r\n", Some(behind_last), None)
    }

    /// Sends a chunk of a body.
    fn send_chunk(
        &mut self,
        text: &str,
        before: Option<SilencePoint>,
        inside: Option<SilencePoint>,
    ) -> io::Result<()> {
        if text.is_empty() {
            // An empty chunk would end the body.
            return Ok(());
        }
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.send(chunk.as_bytes(), before, inside)
    }

    /// Sends the answer to a call that comes from no caller.
    fn send_json(&mut self, status: u16, value: &Value, point: SilencePoint) -> io::Result<()> {
        let body = value.to_string();
        let head = format!(
            "HTTP/1.1 {status} Any\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        self.send((head + &body).as_bytes(), Some(point), None)
    }

    /// Sends bytes in two parts, each once the worker is not silent.
    fn send(
        &mut self,
        bytes: &[u8],
        before: Option<SilencePoint>,
        inside: Option<SilencePoint>,
    ) -> io::Result<()> {
        let (first, second) = bytes.split_at(bytes.len() / 2);
        self.shared.gate.pass(before);
        self.stream.write_all(first)?;
        self.shared.gate.pass(inside);
        self.stream.write_all(second)
    }
}
