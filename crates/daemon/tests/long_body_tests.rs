//! Tests that a request with a long body is served although its worker leaves the body
//! unread for a while.
//!
//! The kernel of a silent worker acknowledges only what fits into its buffers, and then
//! announces that it takes no more.

use fake::tracks::CallEnd;
use fake::tracks::CallerRequest;
use fake::tracks::KeptCaller;
use fake::tracks::Outcome;
use fake::tracks::RequestAccount;
use fake::tracks::SentRequest;
use fake::tracks::Silence;
use fake::tracks::SilencePoint;
use fake::tracks::SilentSite;
use fake::tracks::body_bytes;
use serde_json::json;
use std::path;
use std::thread;
use std::time;
use yare::parameterized;

/// Lengths of bodies in bytes: within the buffers between an entry and a worker, and above.
const BODY_BYTES: [usize; 4] = [32_000, 50_000, 1_000_000, 8_000_000];
/// Longest length of a body that the entries accept in bytes.
const MAX_BODY_BYTES: usize = 9_000_000;
/// Longest wait of a caller for the next bytes; above the time limit of its request.
const PATIENCE: time::Duration = time::Duration::from_secs(12);
/// Time limit of requests.
const TIMEOUT: time::Duration = time::Duration::from_millis(8_000);

#[parameterized(
    order_500 = { "POST", "order/length-100", 500 },
    order_1600 = { "POST", "order/length-100", 1_600 },
    order_2500 = { "POST", "order/length-100", 2_500 },
    status_1600 = { "POST", "status/length-100", 1_600 },
    once_1600 = { "POST", "once/events-5-10", 1_600 },
    once_2500 = { "POST", "once/events-5-10", 2_500 },
    resumable_2500 = { "POST", "resumable/events-5-10", 2_500 },
)]
fn request_is_served_after_its_body_was_left_unread(
    method: &'static str,
    path: &str,
    silent_ms: u64,
) {
    let mut site = SilentSite::prepare(path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd")), 1);
    for _ in BODY_BYTES {
        site.add_workers("llm", Some("decode"), 1);
        site.add_workers("app", None, 1);
    }
    site.cluster.configuration["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES);
    site.cluster.start();
    for worker in &site.workers {
        worker.gate.plan(Silence {
            point: SilencePoint::InsideRequest,
            duration: time::Duration::from_millis(silent_ms),
        });
    }
    let address = site.cluster.entries[0].caller_address;
    let call = |(index, length): (usize, usize)| {
        let request = CallerRequest {
            method,
            path: format!("/{path}"),
            id: format!("{index:016x}"),
            patience: PATIENCE,
        };
        let mut caller = KeptCaller::connect(address).expect("the entry listens");
        let record = caller.call_with_body(&request, &body_bytes(length));
        SentRequest { request, record }
    };
    let sent: Vec<SentRequest> = thread::scope(|scope| {
        let lengths = BODY_BYTES.into_iter().enumerate();
        let callers: Vec<_> = lengths.map(|l| scope.spawn(move || call(l))).collect();
        let join = |c: thread::ScopedJoinHandle<_>| c.join().expect("a caller does not panic");
        callers.into_iter().map(join).collect()
    });
    let account = RequestAccount::of_site(&site, &sent, TIMEOUT);
    let faults: String = account.faults().iter().map(|r| r.to_string()).collect();
    assert!(faults.is_empty(), "{faults}");
    let others = account
        .rows
        .iter()
        .filter(|r| r.outcome != Outcome::Answered);
    let others: String = others.map(|r| r.to_string()).collect();
    assert!(others.is_empty(), "{others}");
    assert!(sent.iter().all(|s| s.record.end == CallEnd::Whole));
}
