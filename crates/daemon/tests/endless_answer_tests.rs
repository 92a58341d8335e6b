//! Tests that bytes without end of many hosts at once, in heads, bodies and events, don't take
//! the entry over its host's memory, and that the requests of other callers are served.

use fake::tracks::BreakingEngine;
use fake::tracks::Noise;
use fake::tracks::TracksCluster;
use fake::tracks::names;
use fake::tracks::stream_head;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net;
use std::path;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;
use yare::parameterized;

/// Memory of the smallest entries of a site, as in the settings of the fakes.
const MEMORY_BYTES: usize = 110_000_000;
/// Numbers of answers at once.
const COUNTS: [usize; 3] = [1, 10, 100];
/// Deadline of the requests that get no end of an answer.
const DEADLINE_MS: u32 = 3_000;
/// Time after which such a request must have ended; long enough for a machine under load.
const PATIENCE: time::Duration = time::Duration::from_secs(30);
const SOUND_CALLERS: usize = 4;
/// Keeps the cases apart: each floods the machine on its own.
static MACHINE: sync::Mutex<()> = sync::Mutex::new(());

/// Whether a caller reads what it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Caller {
    Reading,
    Waiting,
}

fn head(lines: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\n{}: {{id}}\r\n{}: seal\r\n{lines}",
        names::REQUEST_ID,
        names::RESPONSE_SEAL,
    )
}

/// Sends a request, and returns once its connection has ended.
fn request(address: net::SocketAddr, path: &str, number: usize, caller: Caller) -> io::Result<()> {
    let mut stream = net::TcpStream::connect(address)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: agency.example\r\n{}: {number:016x}\r\n{}: {DEADLINE_MS}\r\n\
        {}: m\r\n{}: 100,10\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
        names::REQUEST_ID,
        names::DEADLINE_MS,
        names::MODEL,
        names::TOKEN_COUNTS,
    );
    stream.write_all(head.as_bytes())?;
    if caller == Caller::Waiting {
        thread::sleep(time::Duration::from_millis(u64::from(DEADLINE_MS) + 500));
    }
    // An answer may end in any way.
    let mut bytes = [0; 64 * 1024];
    while matches!(stream.read(&mut bytes), Ok(count) if count > 0) {}
    Ok(())
}

/// Has callers request answers without end while others are served by sound hosts, and
/// checks the memory of the entry and what the others get.
fn assert_memory_bounded(
    service: &str,
    path: &str,
    sound_path: &str,
    start: &str,
    noise: &Noise,
    caller: Caller,
) {
    for count in COUNTS {
        // A case that failed has ended too.
        let _alone = MACHINE.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
        let (stages, hosts): (&[&str], _) = match service {
            "app" => (&["prefill", "decode"], 0),
            _ => (&[], 2),
        };
        let mut cluster = TracksCluster::new(program, stages, hosts, 1);
        let endless = BreakingEngine::start_endless(start, noise.clone());
        for number in 0..count {
            let key = names::member_key(&format!("endless-{number}"));
            let record = endless.member_record(service);
            cluster.store.put(&key, record.as_bytes());
        }
        cluster.configure(|c| c["tenants"] = serde_json::Value::Null);
        cluster.start();
        let address = cluster.entries[0].caller_address;
        let is_over = atomic::AtomicBool::new(false);
        let lost = sync::Mutex::new(Vec::new());
        let served = atomic::AtomicUsize::new(0);
        thread::scope(|scope| {
            for _ in 0..SOUND_CALLERS {
                scope.spawn(|| {
                    while !is_over.load(atomic::Ordering::Relaxed) {
                        let response = cluster.request_stream(0, sound_path, &[]);
                        match (response.status, response.complete) {
                            (200, true) => {
                                served.fetch_add(1, atomic::Ordering::Relaxed);
                            }
                            _ => lost.lock().expect("it is not poisoned").push(response),
                        }
                    }
                });
            }
            let requests: Vec<_> = (0..count)
                .map(|number| scope.spawn(move || request(address, path, number, caller)))
                .collect();
            for request in requests {
                let sent = request.join().expect("the caller does not panic");
                sent.expect("the entry takes the request");
            }
            is_over.store(true, atomic::Ordering::Relaxed);
        });
        let peak = cluster.entries[0].peak_memory();
        let peak = peak.expect("the entry is running");
        let (served, lost) = (
            served.into_inner(),
            lost.into_inner().expect("not poisoned"),
        );
        println!("{path} {caller:?} {count}: peak {peak} bytes, {served} sound calls");
        assert!(peak < MEMORY_BYTES, "{count} answers: {peak} bytes");
        assert!(
            lost.is_empty() && served > 0,
            "{count} answers, {served} served: {lost:#?}"
        );
    }
}

/// Returns noise as fast as it is read, and in pieces that come now and then.
fn paces(batch: &[u8]) -> [Noise; 2] {
    [(64 * 1024, 0), (16 * 1024, 20)].map(|(length, interval)| Noise {
        batch: batch.repeat(length / batch.len()),
        interval: time::Duration::from_millis(interval),
    })
}

#[parameterized(
    unframed_order = { "/order/0", head("\r\n"), b"x" },
    unframed_status = { "/status/0", head("\r\n"), b"x" },
    chunked_order = { "/order/0", head("transfer-encoding: chunked\r\n\r\n"), b"1\r\nx\r\n" },
    header = { "/order/0", head("x-noise: "), b"x" },
    interim_answers = { "/order/0", String::new(), b"HTTP/1.1 100 Continue\r\n\r\n" },
)]
fn plain_answers_without_end_take_bounded_memory(path: &str, start: String, batch: &[u8]) {
    for noise in paces(batch) {
        let sound_path = "/resumable/a";
        assert_memory_bounded("app", path, sound_path, &start, &noise, Caller::Reading);
    }
}

/// What is passed on at once stays in the entry for as long as its caller reads nothing.
#[parameterized(
    plain = { "app", "/order/0", head("content-length: 9999999999999\r\n\r\n"), b"x" },
    events = { "llm", "/once/0", stream_head(), b"3\r\n:\n\n\r\n" },
)]
fn answers_to_callers_that_do_not_read_take_bounded_memory(
    service: &str,
    path: &str,
    start: String,
    batch: &[u8],
) {
    let sound_path = if service == "app" {
        "/resumable/a"
    } else {
        "/status/a"
    };
    for noise in paces(batch) {
        assert_memory_bounded(service, path, sound_path, &start, &noise, Caller::Waiting);
    }
}

#[parameterized(
    event = { "/once/0", head("content-type: text/event-stream\r\n\r\nid: 1\ndata: "), b"x" },
    resumed_event = { "/resumable/0", head("content-type: text/event-stream\r\n\r\ndata: "), b"x" },
    failure = { "/once/0", head("\r\n").replace("200 OK", "500 Any"), b"x" },
    header = { "/once/0", head("x-noise: "), b"x" },
)]
fn streams_without_end_take_bounded_memory(path: &str, start: String, batch: &[u8]) {
    for noise in paces(batch) {
        assert_memory_bounded("llm", path, "/status/a", &start, &noise, Caller::Reading);
    }
}
