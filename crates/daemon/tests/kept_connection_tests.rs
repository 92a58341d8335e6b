//! Tests that a connection that its caller keeps is not closed too early: neither before
//! its idle limit has passed nor before an answer has reached a slow caller.

use fake::tracks::CallEnd;
use fake::tracks::CallRecord;
use fake::tracks::CallerRequest;
use fake::tracks::KeptCaller;
use fake::tracks::Silence;
use fake::tracks::SilencePoint;
use fake::tracks::SilentSite;
use fake::tracks::body_bytes;
use serde_json::json;
use std::io::Read;
use std::io::Write;
use std::net;
use std::path;
use std::sync::atomic;
use std::thread;
use std::time;
use yare::parameterized;

/// Longest wait of a caller; above the deadline of its request.
const PATIENCE: time::Duration = time::Duration::from_secs(10);
/// Length of an answer that doesn't fit into the buffers between an entry and a slow caller.
const LARGE_BYTES: usize = 7_500_000;
/// Number of tries to raise the idle limit before the old one has passed.
const MAX_RAISES: u32 = 8;
/// Pause of a slow caller before it reads; an entry accepts connections for less time than
/// this after the signal to stop, and its grace period is twice as long.
const READ_PAUSE: time::Duration = time::Duration::from_millis(4_000);

/// Starts an entry with one engine and one plain host.
fn start_site(idle_timeout_ms: u64) -> SilentSite {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut site = SilentSite::prepare(program, 1);
    site.add_workers("llm", Some("decode"), 1);
    site.add_workers("app", None, 1);
    site.cluster.configuration["limits"]["idle_timeout_ms"] = json!(idle_timeout_ms);
    site.cluster.start();
    site
}

fn connect(site: &SilentSite) -> KeptCaller {
    KeptCaller::connect(site.cluster.entries[0].caller_address).expect("the entry listens")
}

fn call(caller: &mut KeptCaller, path: &str) -> CallRecord {
    static COUNT: atomic::AtomicU64 = atomic::AtomicU64::new(0);
    let number = COUNT.fetch_add(1, atomic::Ordering::Relaxed);
    caller.call(&CallerRequest {
        method: "POST",
        path: path.to_owned(),
        id: format!("{number:016x}"),
        patience: PATIENCE,
    })
}

/// An answer that takes longer than the idle limit doesn't make its connection idle: the
/// caller may use it again, at once or within the limit after the answer's end.
#[parameterized(
    at_once = { 0 },
    within_the_limit = { 600 },
)]
fn connection_is_kept_after_a_stream_longer_than_its_idle_limit(pause_ms: u64) {
    let site = start_site(1_000);
    let mut caller = connect(&site);
    for _ in 0..3 {
        let stream = call(&mut caller, "/once/events-70-25");
        assert_eq!((stream.end, stream.status), (CallEnd::Whole, 200));
        assert!(
            stream.is_kept,
            "the answer announces the close of its connection"
        );
        thread::sleep(time::Duration::from_millis(pause_ms));
        let next = call(&mut caller, "/order/length-100");
        assert_eq!(
            (next.end, next.status),
            (CallEnd::Whole, 200),
            "on the kept connection"
        );
    }
}

/// The same for a plain answer that is passed on as it comes, whose host takes its time.
#[test]
fn connection_is_kept_after_a_plain_answer_longer_than_its_idle_limit() {
    let site = start_site(1_000);
    let mut caller = connect(&site);
    site.gates("app")[0].plan(Silence {
        point: SilencePoint::InsideBody,
        duration: time::Duration::from_millis(1_700),
    });
    let answer = call(&mut caller, "/order/length-200000");
    assert_eq!((answer.end, answer.status), (CallEnd::Whole, 200));
    assert!(
        answer.is_kept,
        "the answer announces the close of its connection"
    );
    let next = call(&mut caller, "/order/length-100");
    assert_eq!(
        (next.end, next.status),
        (CallEnd::Whole, 200),
        "on the kept connection"
    );
}

/// A raised idle limit holds for connections that are idle when it comes into force, with
/// and without an earlier request.
#[parameterized(
    after_a_request = { true },
    without_a_request = { false },
)]
fn connection_is_kept_for_a_raised_idle_limit(has_request: bool) {
    for _ in 0..MAX_RAISES {
        let mut site = start_site(1_000);
        let mut caller = connect(&site);
        thread::sleep(time::Duration::from_millis(500));
        if has_request {
            assert_eq!(call(&mut caller, "/order/length-100").status, 200);
            thread::sleep(time::Duration::from_millis(600));
        }
        site.cluster.configure(|document| {
            document["limits"]["idle_timeout_ms"] = json!(15_000);
            document["routes"][2]["prefix"] = json!("/moved/");
        });
        site.cluster
            .wait_until(|_| call(&mut connect(&site), "/moved/length-100").status == 200);
        if caller.is_closed() {
            // Nothing is owed to it: the old limit passed before the new one was in force.
            continue;
        }
        thread::sleep(time::Duration::from_millis(1_500));
        let later = call(&mut caller, "/moved/length-100");
        assert_eq!((later.end, later.status), (CallEnd::Whole, 200));
        return;
    }
    panic!("the new configuration came into force too late {MAX_RAISES} times");
}

/// A lowered idle limit doesn't end a wait that has begun: the caller may not know of it yet.
/// It is in force from the next answer on.
#[parameterized(
    after_a_request = { true },
    without_a_request = { false },
)]
fn connection_is_kept_for_the_idle_limit_that_its_wait_began_with(has_request: bool) {
    let mut site = start_site(3_500);
    let mut caller = connect(&site);
    if has_request {
        assert_eq!(call(&mut caller, "/order/length-100").status, 200);
    }
    site.cluster.configure(|document| {
        document["limits"]["idle_timeout_ms"] = json!(600);
        document["routes"][2]["prefix"] = json!("/moved/");
    });
    site.cluster
        .wait_until(|_| call(&mut connect(&site), "/moved/length-100").status == 200);
    thread::sleep(time::Duration::from_millis(1_200));
    let later = call(&mut caller, "/moved/length-100");
    assert_eq!((later.end, later.status), (CallEnd::Whole, 200));
    thread::sleep(time::Duration::from_millis(1_200));
    assert!(caller.is_closed(), "the lowered limit is not in force");
}

/// A planned stop waits until a slow caller has the whole of its answer.
#[parameterized(
    length = { "length" },
    chunked = { "chunked" },
    unframed = { "unframed" },
)]
fn slow_caller_gets_its_whole_answer_beside_a_planned_stop(framing: &str) {
    let site = start_site(15_000);
    let entry = &site.cluster.entries[0];
    let path = format!("/order/{framing}-{LARGE_BYTES}");
    let mut caller =
        KeptCaller::connect_slow(entry.caller_address, READ_PAUSE).expect("the entry listens");
    let answer = thread::scope(|scope| {
        let caller = scope.spawn(|| call(&mut caller, &path));
        site.cluster.wait_until(|_| {
            let hosts = &site.workers[1..];
            hosts.iter().any(|h| !h.received_ids().is_empty())
        });
        assert!(entry.signal("TERM"));
        caller.join().expect("the caller thread does not panic")
    });
    let took = answer.ended_at - answer.sent_at;
    assert_eq!(
        (answer.end, answer.status),
        (CallEnd::Whole, 200),
        "{} bytes in {took:?}\n{}",
        answer.body.len(),
        entry.log()
    );
    assert!(answer.body == body_bytes(LARGE_BYTES));
}

/// The idle limit doesn't end a connection on which the next request has begun to arrive.
#[test]
fn request_whose_head_crosses_the_idle_limit_is_answered() {
    let site = start_site(1_000);
    let address = site.cluster.entries[0].caller_address;
    let mut stream = net::TcpStream::connect(address).expect("the entry listens");
    thread::sleep(time::Duration::from_millis(800));
    let mut send = |text: &str| stream.write_all(text.as_bytes());
    send("POST /unknown/ HTTP/1.1\r\nhost: agency.example\r\n").expect("it is open");
    thread::sleep(time::Duration::from_millis(500));
    // A failed write shows in the answer, too.
    let _ = send("connection: close\r\ncontent-length: 0\r\n\r\n");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    assert!(answer.starts_with("HTTP/1.1 4"), "{answer:?}");
}
