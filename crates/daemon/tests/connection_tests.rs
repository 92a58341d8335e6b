//! Tests hosts in trouble on real connections: late second copies of answers, and heads
//! without end.

use fake::tracks::RawCall;
use fake::tracks::TracksCluster;
use fake::tracks::names;
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

/// Longest head that an entry may read; above the 400 KB at which its client gives up, with
/// what the kernel buffers.
const MAX_HEAD_BYTES: usize = 16 * 1024 * 1024;
/// Longest that an entry may wait for a message; twice its timeout for callers' heads.
const MAX_MESSAGE_TIME: time::Duration = time::Duration::from_secs(20);

/// Starts an entry with one plain host, whose connections `serve` handles.
fn start_cluster(
    serve: impl Fn(net::TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> TracksCluster {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut cluster = TracksCluster::new(program, &[], 0, 1);
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let record = serde_json::json!({
        "service": "app", "address": address, "zone": "ruahine", "version": "v1",
        "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 4,
        "born": 1_767_816_250_201_u64,
    });
    cluster
        .store
        .put(&names::member_key("raw-0"), record.to_string().as_bytes());
    let serve = sync::Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            // A connection that fails is the entry's to notice.
            thread::spawn(move || serve(stream));
        }
    });
    cluster.start();
    cluster
}

/// Reads one call; an error if the entry has closed the connection.
fn read_call(stream: &mut net::TcpStream) -> io::Result<RawCall> {
    RawCall::read(stream)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Returns the answer to a call; its body is the call's path.
fn answer(call: &RawCall) -> String {
    let RawCall { path, id, .. } = call;
    format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: seal-{id}\r\ncontent-length: {}\r\n\r\n{path}",
        names::REQUEST_ID,
        names::RESPONSE_SEAL,
        path.len(),
    )
}

/// A host sends a second copy of its last answer, before the next one, on a connection that
/// is in use again.
#[test]
fn late_second_copy_of_an_answer_reaches_no_other_caller() {
    let reused = sync::Arc::new(atomic::AtomicUsize::new(0));
    let counter = reused.clone();
    let cluster = start_cluster(move |mut stream| {
        let first = answer(&read_call(&mut stream)?);
        stream.write_all(first.as_bytes())?;
        let call = read_call(&mut stream)?;
        counter.fetch_add(1, atomic::Ordering::Relaxed);
        stream.write_all((first + &answer(&call)).as_bytes())
    });
    for number in 0..12 {
        let path = format!("/order/{number}");
        let response = cluster.request(0, "POST", &path, "an order", &[]);
        match response.status {
            200 => assert_eq!(response.body, path),
            status => assert!(matches!(status, 502 | 504), "{response:?}"),
        }
    }
    assert!(
        reused.load(atomic::Ordering::Relaxed) > 0,
        "no connection was used again"
    );
}

/// The copy comes while the connection is idle.
#[test]
fn second_copy_of_an_answer_on_an_idle_connection_closes_it() {
    let cluster = start_cluster(|mut stream| {
        let answer = answer(&read_call(&mut stream)?);
        stream.write_all(answer.as_bytes())?;
        stream.write_all(answer.as_bytes())?;
        // Keeps the connection until the entry closes it.
        stream.read_to_end(&mut Vec::new()).map(|_| ())
    });
    for number in 0..12 {
        let path = format!("/status/{number}");
        let response = cluster.request(0, "GET", &path, "", &[]);
        assert_eq!((response.status, response.body), (200, path));
    }
}

/// A host in trouble sends a head without end. It must neither fill the entry's memory nor
/// hold the call until its deadline.
#[test]
fn head_without_end_is_cut_off() {
    let sent = sync::Arc::new(atomic::AtomicUsize::new(0));
    let ended = sync::Arc::new(atomic::AtomicBool::new(false));
    let (counter, end) = (sent.clone(), ended.clone());
    let cluster = start_cluster(move |mut stream| {
        read_call(&mut stream)?;
        stream.write_all(b"HTTP/1.1 200 OK\r\nx-noise: ")?;
        let noise = [b'x'; 16 * 1024];
        while stream.write_all(&noise).is_ok() {
            counter.fetch_add(noise.len(), atomic::Ordering::Relaxed);
        }
        end.store(true, atomic::Ordering::Relaxed);
        Ok(())
    });
    let response = cluster.request(0, "POST", "/order/a", "an order", &[]);
    assert!(matches!(response.status, 502 | 504), "{response:?}");
    cluster.wait_until(|_| ended.load(atomic::Ordering::Relaxed));
    assert!(sent.load(atomic::Ordering::Relaxed) < MAX_HEAD_BYTES);
}

/// A head that comes byte by byte is no answer either; its call ends with its deadline.
#[test]
fn head_of_single_bytes_ends_with_the_deadline() {
    let ended = sync::Arc::new(atomic::AtomicBool::new(false));
    let end = ended.clone();
    let cluster = start_cluster(move |mut stream| {
        read_call(&mut stream)?;
        stream.write_all(b"HTTP/1.1 200 OK\r\nx-noise: ")?;
        while stream.write_all(b"x").is_ok() {
            thread::sleep(time::Duration::from_millis(50));
        }
        end.store(true, atomic::Ordering::Relaxed);
        Ok(())
    });
    let deadline = [(names::DEADLINE_MS, "1000")];
    let response = cluster.request(0, "POST", "/order/a", "an order", &deadline);
    assert!(matches!(response.status, 502 | 504), "{response:?}");
    cluster.wait_until(|_| ended.load(atomic::Ordering::Relaxed));
}

/// A peer in trouble sends bytes without end, in a head or a body, in answer to messages.
#[parameterized(
    head = { "HTTP/1.1 200 OK\r\nx-noise: " },
    body = { "HTTP/1.1 200 OK\r\n\r\n" },
    chunks = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nfffffff\r\n" },
)]
fn reply_of_a_peer_without_end_is_cut_off(start: &'static str) {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut cluster = TracksCluster::new(program, &[], 1, 1);
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let ended = sync::Arc::new(atomic::AtomicUsize::new(0));
    let longest = sync::Arc::new(atomic::AtomicUsize::new(0));
    let (end_count, max_bytes) = (ended.clone(), longest.clone());
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut sent = 0;
            let mut next = start.as_bytes();
            let noise = [b'x'; 16 * 1024];
            while stream.write_all(next).is_ok() {
                sent += next.len();
                next = &noise;
            }
            max_bytes.fetch_max(sent, atomic::Ordering::Relaxed);
            end_count.fetch_add(1, atomic::Ordering::Relaxed);
        }
    });
    let key = "hornbeampitch/entry/endless-peer";
    cluster.store.put(key, address.to_string().as_bytes());
    cluster.start();
    cluster.wait_until(|_| ended.load(atomic::Ordering::Relaxed) >= 3);
    assert!(longest.load(atomic::Ordering::Relaxed) < MAX_HEAD_BYTES);
    let response = cluster.request(0, "GET", "/status/a", "", &[]);
    assert_eq!(response.status, 200, "{response:?}");
}

/// The same in a message to the entry.
#[parameterized(
    head = { "POST /news HTTP/1.1\r\nx-noise: " },
    body = { "POST /news HTTP/1.1\r\ncontent-length: 999999999999\r\n\r\n" },
    chunks = { "POST /news HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nfffffff\r\n" },
)]
fn message_of_a_peer_without_end_is_cut_off(start: &str) {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut cluster = TracksCluster::new(program, &[], 1, 1);
    cluster.start();
    let key = "hornbeampitch/entry/entry-0";
    cluster.wait_until(|c| c.store.value(key).is_some());
    let item = cluster.store.value(key);
    let address = String::from_utf8(item.expect("the entry is listed"));
    let address = address.expect("the address is text");
    let mut stream = net::TcpStream::connect(address).expect("the entry listens");
    let mut sent = 0;
    let mut next = start.as_bytes();
    let noise = [b'x'; 16 * 1024];
    while sent < 2 * MAX_HEAD_BYTES && stream.write_all(next).is_ok() {
        sent += next.len();
        next = &noise;
    }
    assert!(sent < 2 * MAX_HEAD_BYTES, "{sent} bytes");
    let response = cluster.request(0, "GET", "/status/a", "", &[]);
    assert_eq!(response.status, 200, "{response:?}");
}

/// A peer that is cut off or sends a byte now and then may hold no connection for ever.
#[parameterized(
    head = { "POST /news HTTP/1.1\r\nx-noise: ", "x" },
    body = { "POST /news HTTP/1.1\r\ncontent-length: 9999\r\n\r\n", "x" },
    silent_head = { "POST /news HTTP/1.1\r\nx-noise: ", "" },
    silent_body = { "POST /news HTTP/1.1\r\ncontent-length: 9999\r\n\r\n", "" },
)]
fn message_of_a_peer_that_does_not_end_is_given_up(start: &str, noise: &str) {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut cluster = TracksCluster::new(program, &[], 0, 1);
    cluster.start();
    let key = "hornbeampitch/entry/entry-0";
    cluster.wait_until(|c| c.store.value(key).is_some());
    let address = String::from_utf8(cluster.store.value(key).unwrap_or_default());
    let address = address.expect("the address is text");
    let mut stream = net::TcpStream::connect(address).expect("the entry listens");
    stream.write_all(start.as_bytes()).expect("the entry reads");
    let interval = Some(time::Duration::from_millis(100));
    stream.set_read_timeout(interval).expect("a time is given");
    let begun = time::Instant::now();
    loop {
        match stream.read(&mut [0; 512]) {
            // The entry has answered or closed the connection.
            Ok(_) => return,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
        assert!(begun.elapsed() < MAX_MESSAGE_TIME, "the connection is open");
        if stream.write_all(noise.as_bytes()).is_err() {
            return;
        }
    }
}
