//! Tests of a stream that is handed over to another engine, which refuses it or has nothing to
//! add.

use fake::tracks::CallEnd;
use fake::tracks::CallerRequest;
use fake::tracks::KeptCaller;
use fake::tracks::Silence;
use fake::tracks::SilencePoint;
use fake::tracks::SilentSite;
use fake::tracks::SilentWorker;
use fake::tracks::event_text;
use std::path;
use std::thread;
use std::time;
use yare::parameterized;

/// Number of events in the stream.
const EVENT_COUNT: u64 = 12;
/// Longest wait of a caller for the next bytes; above the time limit of its request.
const PATIENCE: time::Duration = time::Duration::from_secs(12);
/// Within this time an entry has written its log.
const LOG_DELAY: time::Duration = time::Duration::from_millis(800);
/// Silence of the first engine.
const FIRST_SILENCE: time::Duration = time::Duration::from_millis(2_200);

/// The stream of a silent engine is given up once the request was under way to another
/// engine for a quarter of a second. If that one then refuses it, the stream still reaches
/// its caller whole: the first engine is sound, and takes it again.
#[parameterized(
    refused_at_once = { 0, "56" },
    refused_after_700 = { 700, "56" },
    refused_after_2000 = { 2_000, "56" },
    refused_after_700_no_retry = { 700, "1" },
    refused_after_700_one_retry = { 700, "2" },
    refused_after_700_two_retries = { 700, "4" },
)]
fn stream_is_whole_after_the_other_engine_refused_it(silent_ms: u64, budget_slack: &str) {
    assert_whole(6, budget_slack, |other| {
        other.refuse_runs(true);
        other.gate.plan(Silence {
            point: SilencePoint::BeforeHead,
            duration: time::Duration::from_millis(silent_ms),
        });
    });
}

/// An engine that is silent behind its last event is not given up for one that sends no event.
#[parameterized(
    at_once = { SilencePoint::BeforeHead, 0, "56" },
    head_after_100 = { SilencePoint::BeforeHead, 100, "56" },
    end_after_100 = { SilencePoint::BetweenEvents(EVENT_COUNT), 100, "56" },
    end_after_700 = { SilencePoint::BetweenEvents(EVENT_COUNT), 700, "56" },
    at_once_two_retries = { SilencePoint::BeforeHead, 0, "4" },
)]
fn stream_is_whole_after_the_other_engine_had_nothing_to_add(
    point: SilencePoint,
    silent_ms: u64,
    budget_slack: &str,
) {
    assert_whole(EVENT_COUNT, budget_slack, |other| {
        other.gate.plan(Silence {
            point,
            duration: time::Duration::from_millis(silent_ms),
        });
    });
}

/// Requests a stream whose engine is silent behind so many events, and expects all of it;
/// `prepare` gets the other engine.
fn assert_whole(events: u64, budget_slack: &str, prepare: impl Fn(&SilentWorker)) {
    let mut site = SilentSite::prepare(path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd")), 1);
    site.add_workers("llm", Some("decode"), 2);
    site.cluster.entries[0].set_setting("budget_slack", budget_slack);
    site.cluster.start();
    let first_silence = Silence {
        point: SilencePoint::BetweenEvents(events),
        duration: FIRST_SILENCE,
    };
    site.workers.iter().for_each(|w| w.gate.plan(first_silence));
    let address = site.cluster.entries[0].caller_address;
    let request = CallerRequest {
        method: "POST",
        path: format!("/resumable/events-{EVENT_COUNT}-60"),
        id: "0000000000000001".to_owned(),
        patience: PATIENCE,
    };
    let record = thread::scope(|scope| {
        let caller = scope.spawn(|| {
            let mut caller = KeptCaller::connect(address).expect("the entry listens");
            caller.call(&request)
        });
        site.cluster.wait_until(|_| site.has_received(&request.id));
        let mut workers = site.workers.iter();
        let other = workers.find(|w| w.received_ids().is_empty());
        let other = other.expect("one engine has the stream");
        prepare(other);
        caller.join().expect("the caller does not panic")
    });
    thread::sleep(LOG_DELAY);
    let log = site.log_of_request(&request.id);
    let whole: String = (1..=EVENT_COUNT).map(event_text).collect();
    assert_eq!((record.end, record.status), (CallEnd::Whole, 200), "{log}");
    assert_eq!(record.body, whole);
}
