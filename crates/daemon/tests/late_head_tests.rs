//! Tests of streams whose engine takes long before the head of its response.

use fake::tracks::CallEnd;
use fake::tracks::CallerRequest;
use fake::tracks::KeptCaller;
use fake::tracks::Silence;
use fake::tracks::SilencePoint;
use fake::tracks::SilentSite;
use fake::tracks::event_text;
use serde_json::json;
use std::path;
use std::thread;
use std::time;
use yare::parameterized;

/// Number of events in the stream.
const EVENT_COUNT: u64 = 5;
/// Longest wait of a caller; above the time limit of its request.
const PATIENCE: time::Duration = time::Duration::from_secs(12);
/// Time before the head; the time limit of the request is two seconds longer.
const HEAD_DELAY: time::Duration = time::Duration::from_millis(6_000);
/// Within this time an entry has written its log.
const LOG_DELAY: time::Duration = time::Duration::from_millis(800);

/// A late engine is given up only for another one and with a retry.
#[parameterized(
    no_retry = { 2, "0" },
    no_other_engine = { 1, "56" },
)]
fn stream_starts_at_its_late_engine(engines: usize, budget_slack: &str) {
    let mut site = SilentSite::prepare(path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd")), 1);
    site.add_workers("llm", Some("decode"), engines);
    let entry = &site.cluster.entries[0];
    entry.set_setting("retry_budget_ratio", "0.0");
    entry.set_setting("budget_slack", budget_slack);
    // Callers wait four times as long for the first event.
    site.cluster.configuration["routes"][0]["target_latency_ms"] = json!(2_500);
    site.cluster.start();
    for worker in &site.workers {
        worker.gate.plan(Silence {
            point: SilencePoint::BeforeHead,
            duration: HEAD_DELAY,
        });
    }
    let address = site.cluster.entries[0].caller_address;
    let mut caller = KeptCaller::connect(address).expect("the entry listens");
    let request = CallerRequest {
        method: "POST",
        path: format!("/resumable/events-{EVENT_COUNT}-10"),
        id: "0000000000000001".to_owned(),
        patience: PATIENCE,
    };
    let record = caller.call(&request);
    thread::sleep(LOG_DELAY);
    let log = site.log_of_request(&request.id);
    assert_eq!((record.end, record.status), (CallEnd::Whole, 200), "{log}");
    let whole: String = (1..=EVENT_COUNT).map(event_text).collect();
    assert_eq!(record.body, whole);
}
