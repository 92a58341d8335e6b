//! A worker: an engine if it has a stage, and otherwise a host of a plain service.

use crate::http::Connection;
use crate::http::Message;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// What is wrong with one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Wrong bytes come in place of a plain answer: they bear neither proof nor id.
    Spoilt,
    /// A plain answer breaks off inside its body, and is then written anew.
    Rewritten,
    /// The channel is closed after the answer, as the answer says.
    Close,
    /// The channel is closed after so many events; the worker goes on with the run.
    Lost(u64),
    /// The answer has this idle time, in seconds, in `Keep-Alive`.
    KeepAlive(u64),
}

/// Properties of a worker.
#[derive(Clone)]
pub struct Plan {
    pub id: String,
    pub stage: Option<&'static str>,
    /// Time that a plain request takes.
    pub work: Duration,
    /// Events of a stream and the time between two of them.
    pub events: u64,
    pub interval: Duration,
    /// Decides what is wrong with the next answer to a request with this id.
    pub fault: Arc<dyn Fn(&str) -> Fault + Send + Sync>,
    pub record: Record,
}

/// A running worker.
#[derive(Clone)]
pub struct Worker {
    pub address: SocketAddr,
    pub plan: Plan,
    service: &'static str,
    store: Store,
    shared: Arc<Mutex<Shared>>,
}

/// What changes while a worker runs.
#[derive(Default)]
struct Shared {
    stage: Option<&'static str>,
    /// Whether an order is being carried out.
    is_busy: bool,
    /// Orders accepted so far, and the highest fence number seen.
    orders: u64,
    fence: u64,
    /// Whether the worker is gone for good.
    is_gone: bool,
}

/// How long an engine takes to change its stage: `role_switch_s`.
const SWITCH_TIME: Duration = Duration::from_secs(6);
/// Prompt tokens that an engine reads in a millisecond.
const TOKENS_PER_MS: u64 = 33;

impl Worker {
    pub fn start(plan: Plan, service: &'static str, store: &Store) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let shared = Shared {
            stage: plan.stage,
            ..Shared::default()
        };
        let worker = Self {
            address: listener.local_addr().expect("it has an address"),
            plan,
            service,
            store: store.clone(),
            shared: Arc::new(Mutex::new(shared)),
        };
        worker.register();
        let served = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = served.clone();
                if worker.is_gone() {
                    return;
                }
                // A channel that fails is the caller's to notice.
                thread::spawn(move || worker.serve(Connection::new(stream)));
            }
        });
        worker
    }

    /// Writes the worker's entry in the platform's store.
    fn register(&self) {
        let shared = self.shared.lock().unwrap();
        let stage = shared.stage.map_or(String::new(), |s| {
            format!(r#""stage":"{s}","models":[{{"name":"m","version":1,"adapters":[]}}],"#)
        });
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"ruahine","version":"v1","slots":64,"state":"ready","cold_left_ms":0,{stage}"seq":1,"born":1767816250201}}"#,
            self.service, self.address
        );
        self.store.put(&format!("servers/{}", self.plan.id), &entry);
    }

    fn is_gone(&self) -> bool {
        self.shared.lock().unwrap().is_gone
    }

    /// Ends the worker for good. Its entry in the store goes with it.
    pub fn lose(&self) {
        self.plan
            .record
            .line(&format!("worker {} is lost for good", self.plan.id));
        self.shared.lock().unwrap().is_gone = true;
        let _ = std::net::TcpStream::connect(self.address);
        self.store.delete(&format!("servers/{}", self.plan.id));
    }

    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        static COUNT: AtomicU64 = AtomicU64::new(1);
        while let Some(call) = connection.read_request()? {
            if self.is_gone() {
                return Ok(());
            }
            let expected = call.header("hornbeampitch-expect-instance");
            if !expected.is_empty() && expected != self.plan.id {
                connection.write_answer("421 Misdirected Request", "", b"")?;
                continue;
            }
            let path = call.target().to_owned();
            let number = COUNT.fetch_add(1, Ordering::Relaxed);
            if path.starts_with("/hornbeampitch/") || path == "/health" {
                let (status, body) = self.control(&path, &call.body, number);
                let headers = format!("hornbeampitch-instance-id: {}\r\n", self.plan.id);
                connection.write_answer(status, &headers, body.as_bytes())?;
                continue;
            }
            let wants_prefill = call.header("hornbeampitch-serving-stage") == "prefill";
            let (stage, is_busy) = {
                let shared = self.shared.lock().unwrap();
                (shared.stage, shared.is_busy)
            };
            let not_run = "hornbeampitch-not-executed: 1\r\n";
            if is_busy {
                connection.write_answer("503 Service Unavailable", not_run, b"")?;
            } else if stage.is_some_and(|s| (s == "prefill") != wants_prefill) {
                connection.write_answer("421 Misdirected Request", not_run, b"")?;
            } else {
                self.plan.answer(&mut connection, &call, number)?;
            }
        }
        Ok(())
    }

    fn control(&self, path: &str, body: &[u8], number: u64) -> (&'static str, String) {
        let mut shared = self.shared.lock().unwrap();
        match path {
            "/hornbeampitch/hold-take" if shared.is_busy || shared.stage == Some("prefill") => {
                ("503 Service Unavailable", "{}".to_owned())
            }
            "/hornbeampitch/hold-take" => ("200 OK", format!(r#"{{"hold":"h{number}"}}"#)),
            "/hornbeampitch/report" => (
                "200 OK",
                format!(
                    r#"{{"stage":"{}","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":{},"seq":{},"queued":0,"active":0,"kv_used":0,"kv_total":42786,"kv_handles":0}}"#,
                    shared.stage.unwrap_or("decode"),
                    shared.is_busy,
                    shared.orders
                ),
            ),
            "/hornbeampitch/order" => {
                let order = Json::parse(body);
                let stage = match order.get("stage").text() {
                    "prefill" => "prefill",
                    _ => "decode",
                };
                let fence = order.get("fence").number();
                self.plan.record.line(&format!(
                    "order worker={} stage={stage} fence={fence}",
                    self.plan.id
                ));
                if fence < shared.fence {
                    return ("412 Precondition Failed", "{}".to_owned());
                }
                if shared.is_busy || order.get("expected").number() != shared.orders {
                    return ("409 Conflict", "{}".to_owned());
                }
                if shared.stage == Some(stage) {
                    return ("200 OK", "{}".to_owned());
                }
                (shared.fence, shared.is_busy, shared.orders) = (fence, true, shared.orders + 1);
                let worker = self.clone();
                thread::spawn(move || {
                    thread::sleep(SWITCH_TIME);
                    let mut shared = worker.shared.lock().unwrap();
                    (shared.stage, shared.is_busy) = (Some(stage), false);
                    drop(shared);
                    worker.register();
                });
                ("202 Accepted", "{}".to_owned())
            }
            _ => ("200 OK", "{}".to_owned()),
        }
    }
}

impl Plan {
    fn answer(&self, connection: &mut Connection, call: &Message, number: u64) -> io::Result<()> {
        let id = call.header("hornbeampitch-request-id").to_owned();
        let echo = format!("hornbeampitch-request-id: {id}\r\n");
        if call.header("hornbeampitch-serving-stage") == "prefill" {
            let counts = call.header("hornbeampitch-token-counts").split(',').next();
            let tokens: u64 = counts.and_then(|t| t.parse().ok()).unwrap_or(0);
            thread::sleep(Duration::from_millis(tokens / TOKENS_PER_MS));
            let body = format!(r#"{{"handle":"k{number}","tokens":{tokens},"version":1}}"#);
            return connection.write_answer("200 OK", &echo, body.as_bytes());
        }
        let fault = (self.fault)(&id);
        let seal = format!("hornbeampitch-response-seal: seal-{}-{id}\r\n", self.id);
        if self.stage.is_none() {
            self.record.line(&format!(
                "runs request={id} worker={} fault={fault:?}",
                self.id
            ));
            thread::sleep(self.work);
            let body = body_of(&id);
            return match fault {
                Fault::Spoilt => {
                    let headers = "connection: close\r\n";
                    let body = b"<html>no answer of this worker</html>";
                    connection.write_answer("200 OK", headers, body)
                }
                Fault::Rewritten => {
                    let (headers, length) = (format!("{echo}{seal}"), body.len());
                    let head =
                        format!("HTTP/1.1 200 OK\r\n{headers}content-length: {length}\r\n\r\n");
                    let part = head.clone() + &body[..length / 2];
                    connection
                        .stream
                        .write_all((part + &head + &body).as_bytes())
                }
                Fault::Close => {
                    let headers = format!("{echo}{seal}connection: close\r\n");
                    connection.write_answer("200 OK", &headers, body.as_bytes())
                }
                Fault::KeepAlive(seconds) => {
                    let headers = format!("{echo}{seal}keep-alive: timeout={seconds}\r\n");
                    connection.write_answer("200 OK", &headers, body.as_bytes())
                }
                _ => connection.write_answer("200 OK", &format!("{echo}{seal}"), body.as_bytes()),
            };
        }
        let after: u64 = call.header("last-event-id").parse().unwrap_or(0);
        self.record.line(&format!(
            "runs request={id} worker={} after={after} fault={fault:?}",
            self.id
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}{seal}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        connection.stream.write_all(head.as_bytes())?;
        let mut is_lost = false;
        for event in after + 1..=self.events {
            thread::sleep(self.interval);
            if is_lost {
                continue;
            }
            if fault == Fault::Lost(event - after - 1) {
                is_lost = true;
                let _ = connection.stream.shutdown(std::net::Shutdown::Both);
                self.record.line(&format!(
                    "answer lost request={id} worker={} after={}",
                    self.id,
                    event - 1
                ));
                continue;
            }
            let text = format!("id: {event}\ndata: {id} {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if connection.stream.write_all(chunk.as_bytes()).is_err() || connection.is_closed() {
                self.record.line(&format!(
                    "dropped request={id} worker={} after={event}",
                    self.id
                ));
                return Err(io::ErrorKind::BrokenPipe.into());
            }
        }
        self.record
            .line(&format!("ran to its end request={id} worker={}", self.id));
        match is_lost {
            true => Err(io::ErrorKind::BrokenPipe.into()),
            false => connection.stream.write_all(b"0\r\n\r\n"),
        }
    }
}

/// Returns the body of the answer to a plain request.
pub fn body_of(id: &str) -> String {
    format!(r#"{{"done":"{id}"}}"#)
}
