//! Tests that many of the largest bodies at once don't take the entry over its host's memory.
//! Those that don't fit are refused before they are read, and all others are served.

use fake::tracks::TracksCluster;
use fake::tracks::names;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net;
use std::path;
use std::thread;
use std::time;
use yare::parameterized;

/// Memory of the smallest entries of a site, as in the settings of the fakes.
const MEMORY_BYTES: usize = 110_000_000;
/// The longest body that the configuration allows.
const BODY_BYTES: usize = 4_194_304;
const LARGE_CALLERS: usize = 40;
const SMALL_CALLERS: usize = 4;
/// Requests of each caller with small bodies.
const SMALL_REQUESTS: usize = 60;
const PATIENCE: time::Duration = time::Duration::from_secs(60);

/// How a caller frames its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
}

/// Sends an order with a large body, and returns the head of the answer in lower case.
fn send_large(address: net::SocketAddr, id: &str, framing: Framing) -> io::Result<String> {
    let mut stream = net::TcpStream::connect(address)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    let framing_line = match framing {
        Framing::Length => format!("content-length: {BODY_BYTES}"),
        Framing::Chunks => "transfer-encoding: chunked".to_owned(),
    };
    let head = format!(
        "POST /order/large HTTP/1.1\r\nhost: agency.example\r\n{}: {id}\r\n{}: 8000\r\n\
        {framing_line}\r\n\r\n",
        names::REQUEST_ID,
        names::DEADLINE_MS,
    );
    stream.write_all(head.as_bytes())?;
    let part = [b'x'; 64 * 1024];
    for _ in 0..BODY_BYTES / part.len() {
        let sent = match framing {
            Framing::Length => stream.write_all(&part),
            Framing::Chunks => {
                let size = format!("{:x}\r\n", part.len());
                let chunk = [size.as_bytes(), &part, b"\r\n"].concat();
                stream.write_all(&chunk)
            }
        };
        // The entry may have answered and closed before it read the body.
        if sent.is_err() {
            break;
        }
    }
    if framing == Framing::Chunks {
        let _ = stream.write_all(b"0\r\n\r\n");
    }
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte)? > 0 {
        head.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&head).to_lowercase())
}

#[parameterized(
    length = { Framing::Length },
    chunks = { Framing::Chunks },
)]
fn large_bodies_at_once_take_bounded_memory(framing: Framing) {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut cluster = TracksCluster::new(program, &[], 3, 1);
    cluster.configure(|c| {
        c["tenants"] = serde_json::Value::Null;
        c["limits"]["max_body_bytes"] = BODY_BYTES.into();
    });
    cluster.start();
    let address = cluster.entries[0].caller_address;
    let heads: Vec<(String, String)> = thread::scope(|scope| {
        for _ in 0..SMALL_CALLERS {
            scope.spawn(|| {
                for _ in 0..SMALL_REQUESTS {
                    let response = cluster.request(0, "POST", "/status/a", "small", &[]);
                    assert_eq!(
                        (response.status, response.complete),
                        (200, true),
                        "{response:?}"
                    );
                }
            });
        }
        let large: Vec<_> = (0..LARGE_CALLERS)
            .map(|number| {
                // The ids of the small requests count from 0.
                let id = format!("ffff{number:012x}");
                scope.spawn(move || {
                    let head = send_large(address, &id, framing);
                    (id, head.expect("the entry answers"))
                })
            })
            .collect();
        let heads = large.into_iter().map(|c| c.join());
        heads.map(|h| h.expect("a caller does not panic")).collect()
    });
    let peak = cluster.entries[0].peak_memory();
    let peak = peak.expect("the entry is running");
    assert!(peak < MEMORY_BYTES, "{peak} bytes");
    let mut served = 0;
    for (id, head) in heads {
        let run_count = cluster.hosts.iter().flat_map(|h| h.received());
        let run_count = run_count.filter(|c| c.header(names::REQUEST_ID) == id);
        match run_count.count() {
            1 => {
                assert!(head.starts_with("http/1.1 200"), "{head}");
                served += 1;
            }
            count => {
                let is_refused = head.starts_with("http/1.1 503") && head.contains("retry-after");
                assert!(count == 0 && is_refused, "{count} runs: {head:?}");
            }
        }
    }
    assert!(served > 0);
    println!("{framing:?}: {served} of {LARGE_CALLERS} served, peak {peak} bytes");
}
