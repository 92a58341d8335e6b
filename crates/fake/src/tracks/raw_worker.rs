//! Fake worker that answers callers' requests with neither a length nor chunks.

use crate::tracks::names;
use crate::tracks::raw_call::RawCall;
use serde_json::Value;
use serde_json::json;
use std::io;
use std::io::Write;
use std::net;
use std::sync::atomic;
use std::thread;
use std::time;

/// Body of the answer to every request of a caller.
pub const RAW_BODY: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

/// A worker whose answers to callers end with their connection.
///
/// The last segment of a request's path says how: `STATUS-LENGTH-fin` ends the answer
/// after so many bytes of [`RAW_BODY`], and `STATUS-LENGTH-reset` resets the connection.
/// `STATUS-LENGTH-early-MILLIS` does so after that time, and reads nothing of the request's body.
pub struct RawWorker {
    /// Id in the platform's list of hosts.
    pub id: String,
    address: net::SocketAddr,
    stage: Option<&'static str>,
}

impl RawWorker {
    /// Starts a worker: an engine if it has a stage, and otherwise a plain service. It
    /// runs until the test's process ends.
    pub fn start(id: &str, stage: Option<&'static str>) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // A connection that fails is the caller's to notice.
                thread::spawn(move || serve(stream));
            }
        });
        Self {
            id: id.to_owned(),
            address,
            stage,
        }
    }

    /// Returns the worker's record for the platform's list, in JSON.
    pub fn member_record(&self, service: &str) -> String {
        json!({
            "service": service, "address": self.address, "zone": "ruahine", "version": "v1",
            "slots": 8, "state": "ready", "cold_left_ms": 0, "stage": self.stage, "seq": 4,
            "born": 1_767_816_250_201_u64,
        })
        .to_string()
    }
}

/// Answers the calls on one connection until an answer ends it.
fn serve(mut stream: net::TcpStream) -> io::Result<()> {
    static COUNT: atomic::AtomicU64 = atomic::AtomicU64::new(0);
    while let Some(call) = RawCall::read_head(&mut stream)? {
        if call.path.contains("-early-") {
            return answer(stream, &call);
        }
        let call = call.read_body(&mut stream)?;
        if !call.path.starts_with(names::INTERNAL_PREFIX) {
            return answer(stream, &call);
        }
        let value = match call.path.as_str() {
            names::RESERVE_PATH => {
                let number = COUNT.fetch_add(1, atomic::Ordering::Relaxed);
                json!({"hold": format!("d{number}")})
            }
            names::REPORT_PATH => json!({"stage": "decode", "busy": false, "seq": 0}),
            _ => Value::Null,
        };
        let body = value.to_string();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

/// Answers a caller's request as its path says, and ends the connection.
fn answer(mut stream: net::TcpStream, call: &RawCall) -> io::Result<()> {
    let mut words = call.path.rsplit('/').next().unwrap_or_default().split('-');
    let status = words.next().unwrap_or_default();
    let length: usize = words.next().unwrap_or_default().parse().unwrap_or(0);
    let head = format!(
        "HTTP/1.1 {status} Any\r\n{}: {id}\r\n{}: seal-{id}\r\n\r\n",
        names::REQUEST_ID,
        names::RESPONSE_SEAL,
        id = call.id,
    );
    stream.write_all((head + &RAW_BODY[..length]).as_bytes())?;
    match (words.next(), words.next()) {
        (Some("reset"), _) => reset(&stream)?,
        (Some("early"), millis) => {
            let millis = millis.and_then(|m| m.parse().ok()).unwrap_or(0);
            thread::sleep(time::Duration::from_millis(millis));
            reset(&stream)?;
        }
        _ => {}
    }
    Ok(())
}

/// Makes the connection be reset when it is closed.
fn reset(stream: &net::TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO))
}
