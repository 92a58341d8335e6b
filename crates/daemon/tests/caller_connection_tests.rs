//! Tests of how connections of callers end: each cut is logged with its cause, and
//! connections that are not in use are closed in time.

use fake::tracks::CallEnd;
use fake::tracks::CallRecord;
use fake::tracks::CallerRequest;
use fake::tracks::KeptCaller;
use fake::tracks::Silence;
use fake::tracks::SilencePoint;
use fake::tracks::SilentSite;
use fake::tracks::names;
use std::io::Read;
use std::io::Write;
use std::net;
use std::path;
use std::thread;
use std::time;
use yare::parameterized;

/// Id of the request whose connection is cut.
const REQUEST_ID: &str = "00000000000000c1";
/// How long a caller waits before it leaves.
const SHORT_PATIENCE: time::Duration = time::Duration::from_millis(400);
/// How long a caller waits for a whole answer.
const PATIENCE: time::Duration = time::Duration::from_secs(10);
/// Silence of a host for longer than its caller waits.
const SILENCE: time::Duration = time::Duration::from_millis(1_500);
/// Within this time an entry has written its log.
const LOG_DELAY: time::Duration = time::Duration::from_millis(800);
/// An entry with nothing to send exits within this time after the signal to stop; it is
/// below the grace period of eight seconds.
const QUICK_STOP: time::Duration = time::Duration::from_secs(5);
/// Length of a body above the limit of 100 kB that the buffers of a connection do not hold.
const LONG_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Number of requests that are refused for their bodies.
const REFUSED_CALLS: u32 = 4;

fn start_site() -> SilentSite {
    start_site_with_grace(8)
}

/// Starts an entry with one engine and one plain host.
fn start_site_with_grace(grace_seconds: u32) -> SilentSite {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut site = SilentSite::prepare(program, 1);
    site.add_workers("llm", Some("decode"), 1);
    site.add_workers("app", None, 1);
    site.cluster.entries[0].set_setting("grace_s", &grace_seconds.to_string());
    site.cluster.start();
    site
}

fn call(caller: &mut KeptCaller, path: &str, patience: time::Duration) -> CallRecord {
    caller.call(&CallerRequest {
        method: "POST",
        path: path.to_owned(),
        id: REQUEST_ID.to_owned(),
        patience,
    })
}

fn connect(site: &SilentSite) -> KeptCaller {
    KeptCaller::connect(site.cluster.entries[0].caller_address).expect("the entry listens")
}

/// Returns the log lines on cut connections.
fn cut_lines(site: &SilentSite) -> Vec<String> {
    let log = site.cluster.entries[0].log();
    let lines = log.lines().filter(|l| l.contains("event=connection_cut"));
    lines.map(str::to_owned).collect()
}

/// A caller that leaves before its answer, or in the middle of it.
#[parameterized(
    before_its_head = { "app", "/order/length-100", SilencePoint::BeforeHead, CallEnd::GaveUp },
    inside_its_body = { "app", "/order/length-200000", SilencePoint::InsideBody, CallEnd::GaveUp },
    inside_a_stream = { "llm", "/once/events-8-10", SilencePoint::BetweenEvents(3), CallEnd::GaveUp },
)]
fn caller_that_leaves_its_answer_is_logged(
    service: &str,
    path: &str,
    point: SilencePoint,
    end: CallEnd,
) {
    let site = start_site();
    let gate = &site.gates(service)[0];
    gate.plan(Silence {
        point,
        duration: SILENCE,
    });
    let mut caller = connect(&site);
    assert_eq!(call(&mut caller, path, SHORT_PATIENCE).end, end);
    drop(caller);
    site.cluster.wait_until(|_| !cut_lines(&site).is_empty());
    thread::sleep(LOG_DELAY);
    let lines = cut_lines(&site);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(
        lines[0].contains(&format!("request={REQUEST_ID}")),
        "{lines:?}"
    );
    assert!(lines[0].contains("cause=caller_left"), "{lines:?}");
}

/// An answer whose host doesn't send it to its end in time is cut off by the entry.
#[test]
fn answer_that_the_entry_aborts_is_logged() {
    let site = start_site();
    site.gates("app")[0].plan(Silence {
        point: SilencePoint::InsideBody,
        duration: PATIENCE,
    });
    let answer = call(&mut connect(&site), "/order/length-200000", PATIENCE);
    assert_eq!((answer.end, answer.status), (CallEnd::Cut, 200));
    site.cluster.wait_until(|_| !cut_lines(&site).is_empty());
    let lines = cut_lines(&site);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("cause=answer_aborted"), "{lines:?}");
}

/// A caller that doesn't read its answer holds up a stop for the grace period at most.
#[test]
fn answer_that_is_unsent_at_the_exit_is_logged() {
    let mut site = start_site_with_grace(4);
    let mut caller = KeptCaller::connect_slow(site.cluster.entries[0].caller_address, PATIENCE)
        .expect("the entry listens");
    thread::scope(|scope| {
        scope.spawn(|| call(&mut caller, "/order/length-7500000", PATIENCE));
        site.cluster.wait_until(|_| site.has_received(REQUEST_ID));
        let entry = &mut site.cluster.entries[0];
        assert!(entry.signal("TERM"));
        assert_eq!(entry.wait_for_exit(PATIENCE), Some(0), "{}", entry.log());
        let lines = cut_lines(&site);
        assert_eq!(lines.len(), 1, "{lines:?}");
        assert!(lines[0].contains("cause=process_exit"), "{lines:?}");
    });
}

/// Connections that end while nothing is owed write no line.
#[test]
fn caller_that_leaves_after_its_answer_is_not_logged() {
    let site = start_site();
    for path in [
        "/order/length-100",
        "/order/length-200000",
        "/once/events-8-10",
    ] {
        let mut caller = connect(&site);
        let answer = call(&mut caller, path, PATIENCE);
        assert_eq!((answer.end, answer.status), (CallEnd::Whole, 200));
    }
    drop(connect(&site));
    thread::sleep(LOG_DELAY);
    assert_eq!(cut_lines(&site), Vec::<String>::new());
}

/// A stop does not wait for connections on which nothing is owed: those never used, used
/// before, and with the start of a head.
#[test]
fn stop_does_not_wait_for_connections_without_a_request() {
    let mut site = start_site();
    let _unused = connect(&site);
    let mut used = connect(&site);
    let answer = call(&mut used, "/order/length-200000", PATIENCE);
    assert_eq!((answer.end, answer.status), (CallEnd::Whole, 200));
    let mut partial =
        net::TcpStream::connect(site.cluster.entries[0].caller_address).expect("the entry listens");
    partial
        .write_all(b"POST /order/length-100 HTTP/1.1\r\nhost: agen")
        .expect("the connection is open");
    let entry = &mut site.cluster.entries[0];
    assert!(entry.signal("TERM"));
    assert_eq!(entry.wait_for_exit(QUICK_STOP), Some(0), "{}", entry.log());
    assert_eq!(cut_lines(&site), Vec::<String>::new());
}

/// A body that is too long is refused before it has been read. The caller, which goes on
/// sending, still gets the refusal: closing at once would reset the connection.
#[test]
fn caller_of_a_body_that_is_too_long_gets_its_refusal() {
    let site = start_site();
    for _ in 0..REFUSED_CALLS {
        let mut stream = net::TcpStream::connect(site.cluster.entries[0].caller_address)
            .expect("the entry listens");
        let head = format!(
            "POST /order/length-100 HTTP/1.1\r\nhost: agency.example\r\napi-key: key-a\r\n\
            {}: {REQUEST_ID}\r\n{}: 8000\r\ncontent-length: {LONG_BODY_BYTES}\r\n\r\n",
            names::REQUEST_ID,
            names::DEADLINE_MS,
        );
        stream
            .write_all(head.as_bytes())
            .expect("the connection is open");
        let part = vec![b'x'; 64 * 1024];
        for _ in 0..LONG_BODY_BYTES / part.len() {
            stream.write_all(&part).expect("the connection is open");
        }
        let mut answer = Vec::new();
        stream
            .read_to_end(&mut answer)
            .expect("the connection is not reset");
        let answer = String::from_utf8_lossy(&answer).to_lowercase();
        assert!(answer.starts_with("http/1.1 413"), "{answer}");
        assert!(answer.contains("connection: close"), "{answer}");
    }
}
