//! A worker: an engine if it has a stage, and otherwise a host of a plain service.

use crate::http::Connection;
use crate::http::Message;
use crate::record::Record;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// What is wrong with one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Wrong bytes come in place of a plain answer: they bear neither proof nor id.
    Spoilt,
    /// The channel is closed after the answer, as the answer says.
    Close,
    /// The channel is closed after so many events; the worker goes on with the run.
    Lost(u64),
    /// Instead of a stream, an answer with a failure comes whose body doesn't end.
    Endless,
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

pub struct Worker {
    pub address: SocketAddr,
    pub plan: Plan,
}

/// Chunk of an endless answer, and the time between two.
const NOISE_BYTES: usize = 64 * 1024;
const NOISE_INTERVAL: Duration = Duration::from_millis(100);

impl Worker {
    pub fn start(plan: Plan) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it has an address");
        let served = plan.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let plan = served.clone();
                // A channel that fails is the caller's to notice.
                thread::spawn(move || plan.serve(Connection::new(stream)));
            }
        });
        Self { address, plan }
    }

    /// Returns the worker's entry in the platform's store.
    pub fn entry(&self, service: &str) -> String {
        let stage = self.plan.stage.map_or(String::new(), |s| {
            format!(r#""stage":"{s}","models":[{{"name":"m","version":1,"adapters":[]}}],"#)
        });
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"ruahine","version":"v1","slots":64,"state":"ready","cold_left_ms":0,{stage}"seq":1,"born":1767816250201}}"#,
            self.address
        )
    }
}

impl Plan {
    fn serve(&self, mut connection: Connection) -> io::Result<()> {
        static COUNT: AtomicU64 = AtomicU64::new(1);
        while let Some(call) = connection.read_request()? {
            let expected = call.header("hornbeampitch-expect-instance");
            if !expected.is_empty() && expected != self.id {
                connection.write_answer("421 Misdirected Request", "", b"")?;
                continue;
            }
            let path = call.target().to_owned();
            let number = COUNT.fetch_add(1, Ordering::Relaxed);
            if path.starts_with("/hornbeampitch/") || path == "/health" {
                let stage = self.stage.unwrap_or("decode");
                let body = match path.as_str() {
                    "/hornbeampitch/hold-take" => format!(r#"{{"hold":"h{number}"}}"#),
                    "/hornbeampitch/report" => format!(
                        r#"{{"stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seq":0,"queued":0,"active":0,"kv_used":0,"kv_total":42786,"kv_handles":0}}"#
                    ),
                    _ => "{}".to_owned(),
                };
                let status = match path.as_str() {
                    "/hornbeampitch/order" => "202 Accepted",
                    _ => "200 OK",
                };
                let headers = format!("hornbeampitch-instance-id: {}\r\n", self.id);
                connection.write_answer(status, &headers, body.as_bytes())?;
                continue;
            }
            self.answer(&mut connection, &call, number)?;
        }
        Ok(())
    }

    fn answer(&self, connection: &mut Connection, call: &Message, number: u64) -> io::Result<()> {
        let id = call.header("hornbeampitch-request-id").to_owned();
        let echo = format!("hornbeampitch-request-id: {id}\r\n");
        if call.header("hornbeampitch-serving-stage") == "prefill" {
            thread::sleep(Duration::from_millis(5));
            let body = format!(r#"{{"handle":"k{number}","tokens":100,"version":1}}"#);
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
        if fault == Fault::Endless {
            return self.send_noise(connection, &echo);
        }
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

    /// Sends a failure whose body doesn't end until the caller closes the channel.
    fn send_noise(&self, connection: &mut Connection, echo: &str) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 500 Internal Server Error\r\n{echo}transfer-encoding: chunked\r\n\r\n"
        );
        connection.stream.write_all(head.as_bytes())?;
        let mut chunk = format!("{NOISE_BYTES:x}\r\n").into_bytes();
        chunk.extend(vec![b'x'; NOISE_BYTES]);
        chunk.extend(b"\r\n");
        let mut next = Instant::now();
        loop {
            connection.stream.write_all(&chunk)?;
            next += NOISE_INTERVAL;
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    }
}

/// Returns the body of the answer to a plain request.
pub fn body_of(id: &str) -> String {
    format!(r#"{{"done":"{id}"}}"#)
}
