//! Tests what a caller gets whose worker runs its request, but first gives an earlier refusal
//! once more on the same connection. No caller may be told that a request which has run has
//! not, and a request that may run once may not run at a second worker.

use fake::tracks::RawCall;
use fake::tracks::TracksCluster;
use fake::tracks::chunk;
use fake::tracks::event_text;
use fake::tracks::names;
use fake::tracks::stream_head;
use std::collections;
use std::io;
use std::io::Write;
use std::mem;
use std::net;
use std::path;
use std::sync;
use std::sync::atomic;
use std::thread;
use yare::parameterized;

/// Number of workers.
const WORKERS: usize = 4;
/// Number of requests.
const REQUESTS: usize = 24;

/// The workers of a service, which refuse every third request.
#[derive(Default)]
struct Workers {
    /// How often each request has run.
    runs: sync::Mutex<collections::HashMap<String, usize>>,
    /// Number of calls that an earlier refusal came before.
    copies: atomic::AtomicUsize,
    /// Number of requests.
    calls: atomic::AtomicUsize,
    reservations: atomic::AtomicUsize,
    /// Length of the copy of a refusal.
    length: usize,
    is_stream: bool,
}

impl Workers {
    fn run_count(&self, id: &str) -> usize {
        let runs = self.runs.lock().expect("the mutex is not poisoned");
        runs.get(id).copied().unwrap_or(0)
    }

    /// Runs a request, and returns its answer.
    fn run(&self, id: &str) -> String {
        let mut runs = self.runs.lock().expect("the mutex is not poisoned");
        *runs.entry(id.to_owned()).or_default() += 1;
        match self.is_stream {
            true => (stream_head() + &chunk(&event_text(1)) + "0\r\n\r\n").replace("{id}", id),
            false => format!(
                "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: seal-{id}\r\ncontent-length: 4\r\n\r\ndone",
                names::REQUEST_ID,
                names::RESPONSE_SEAL,
            ),
        }
    }

    /// Returns the answer to a call of the entry itself.
    fn control_answer(&self, call: &RawCall) -> String {
        let number = self.reservations.fetch_add(1, atomic::Ordering::Relaxed);
        let body = match call.path.as_str() {
            names::RESERVE_PATH => format!(r#"{{"hold":"d{number}"}}"#),
            _ => r#"{"stage":"decode","busy":false,"seq":0}"#.to_owned(),
        };
        format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    /// Returns the answer to a caller's request: every third one is refused. If the
    /// connection has carried a request before, the worker's last refusal comes first.
    fn answer(&self, call: &RawCall, last: &sync::Mutex<String>, is_reused: bool) -> String {
        let number = self.calls.fetch_add(1, atomic::Ordering::Relaxed);
        let mut last = last.lock().expect("the mutex is not poisoned");
        if number.is_multiple_of(3) {
            *last = refusal(&call.id);
            return last.clone();
        }
        if !is_reused {
            return self.run(&call.id);
        }
        if !last.is_empty() {
            self.copies.fetch_add(1, atomic::Ordering::Relaxed);
        }
        last.get(..self.length).unwrap_or_default().to_owned() + &self.run(&call.id)
    }

    /// Serves a connection to a worker, whose last refusal is shared by its connections.
    fn serve(&self, mut stream: net::TcpStream, last: &sync::Mutex<String>) -> io::Result<()> {
        let mut is_reused = false;
        while let Some(call) = RawCall::read(&mut stream)? {
            let answer = match call.path.starts_with(names::INTERNAL_PREFIX) {
                true => self.control_answer(&call),
                false => self.answer(&call, last, mem::replace(&mut is_reused, true)),
            };
            stream.write_all(answer.as_bytes())?;
        }
        Ok(())
    }
}

fn refusal(id: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\n{}: 1\r\n{}: {id}\r\ncontent-length: 4\r\n\r\nfull",
        names::NOT_EXECUTED,
        names::REQUEST_ID,
    )
}

/// Starts an entry and the workers of a service.
fn start_site(service: &str, length: usize) -> (TracksCluster, sync::Arc<Workers>) {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut cluster = TracksCluster::new(program, &[], 0, 1);
    let is_stream = service == "llm";
    let workers = sync::Arc::new(Workers {
        length,
        is_stream,
        ..Workers::default()
    });
    for number in 0..WORKERS {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let record = serde_json::json!({
            "service": service, "address": address, "zone": "ruahine", "version": "v1",
            "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 4,
            "stage": is_stream.then_some("decode"), "born": 1_767_816_250_201_u64,
        });
        let key = names::member_key(&format!("raw-{number}"));
        cluster.store.put(&key, record.to_string().as_bytes());
        let workers = workers.clone();
        let last = sync::Arc::<sync::Mutex<String>>::default();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (workers, last) = (workers.clone(), last.clone());
                // A connection that fails is the entry's to notice.
                thread::spawn(move || workers.serve(stream, &last));
            }
        });
    }
    cluster.entries[0].set_setting("retry_budget_ratio", "5.0");
    cluster.entries[0].set_setting("budget_slack", "10000");
    cluster.start();
    (cluster, workers)
}

/// Returns the lengths of copies of a refusal: whole, and cut in its reason or in a header.
fn lengths() -> [usize; 4] {
    let refusal = refusal("0000000000000000");
    let after = |text: &str| refusal.find(text).map_or(0, |i| i + text.len());
    [
        refusal.len(),
        after("Service"),
        after("hornbeampitch-not-executed: "),
        after("hornbeampitch-not-executed: 1"),
    ]
}

#[parameterized(
    plain_once = { "app", "order" },
    plain_idempotent = { "app", "status" },
    stream_once = { "llm", "once" },
    stream_resumable = { "llm", "resumable" },
)]
fn repeated_refusal_is_not_that_of_a_request_that_runs(service: &str, route: &str) {
    for length in lengths() {
        let (cluster, workers) = start_site(service, length);
        let mut faults = Vec::new();
        for number in 0..REQUESTS {
            let id = format!("{number:016x}");
            let headers = [(names::REQUEST_ID, id.as_str())];
            let response = cluster.request_stream(0, &format!("/{route}/{number}"), &headers);
            let run_count = workers.run_count(&id);
            let is_right = match response.status {
                200 => run_count > 0,
                502 | 504 => true,
                408 | 421 | 429 | 503 => run_count == 0,
                _ => false,
            };
            let is_once = run_count <= 1 || ["status", "resumable"].contains(&route);
            if !is_right || !is_once {
                faults.push(format!("{number}: {run_count} runs, {response:?}"));
            }
        }
        assert!(faults.is_empty(), "{length}: {}", faults.join("\n"));
        let copies = workers.copies.load(atomic::Ordering::Relaxed);
        assert!(copies > 0, "no refusal was repeated");
    }
}
