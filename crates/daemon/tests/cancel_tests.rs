//! A caller who goes at any stage leaves nothing behind at the engines.

mod session;

use fake::Shape;
use session::Session;
use std::io::Write;
use std::net;
use std::path;
use std::time;
use yare::parameterized;

fn start(shape: Shape) -> Session {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    Session::start(shape, program, &[])
}

/// Sends a request and goes away after a time without reading.
fn ask_and_go(session: &Session, key: &str, prompt: &str, wait: u64) {
    let body = session::completion(prompt, 400, true);
    let mut stream = net::TcpStream::connect(session.lab.callers(0)).expect("the entry listens");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("the entry reads");
    session::pause(wait);
}

fn slow(change: impl FnOnce(&mut fake::EngineConfig)) -> Shape {
    let mut shape = Shape::small();
    shape.decodes = 1;
    change(&mut shape.engine);
    shape
}

#[parameterized(
    prefilling = { slow(|e| e.pace = 100.0), 300 },
    transferring = { slow(|e| e.link = 150.0), 400 },
    streaming = { slow(|e| e.step = time::Duration::from_millis(50)), 500 },
)]
fn caller_gone_frees_the_engines(shape: Shape, wait: u64) {
    let session = start(shape);
    let (_, key) = session.key(session::RANGERS);
    let prompt = format!("{} [len=400]", "log ".repeat(80));
    ask_and_go(&session, &key, &prompt, wait);
    // The stage lasts for seconds more unless the request is cancelled.
    let limit = time::Duration::from_secs(1);
    let empty = session.lab.wait(limit, |lab| lab.held().is_empty());
    assert!(empty, "{:?}", session.lab.held());
    let streamed: u64 = session.lab.decodes.iter().map(|e| e.stats().streamed).sum();
    assert!(streamed < 100, "{streamed} tokens for nobody");
}

#[test]
fn caller_gone_while_waiting_is_never_started() {
    let session = start(slow(|e| {
        e.seats = 1;
        e.step = time::Duration::from_millis(30);
    }));
    let (_, key) = session.key(session::RANGERS);
    let busy = "the first holds the only seat [len=40]";
    std::thread::scope(|scope| {
        let first = scope.spawn(|| session.complete(0, &key, busy, 400));
        session::pause(300);
        ask_and_go(&session, &key, "the second waits [len=400]", 300);
        let got = first.join().expect("the caller does not panic");
        assert!(got.whole, "{got:?}");
    });
    session::pause(500);
    let streamed: u64 = session.lab.decodes.iter().map(|e| e.stats().streamed).sum();
    assert_eq!(streamed, 40);
    assert!(session.wait_empty(), "{:?}", session.lab.held());
}
