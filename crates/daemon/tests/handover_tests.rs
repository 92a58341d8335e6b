//! Tests of a stream that is handed over to another engine, which refuses it or has nothing to
//! add.

use fake::tracks::CallEnd;
use fake::tracks::CallFault;
use fake::tracks::CallRecord;
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

/// Prepares an entry with this budget of retries and two engines.
fn prepare_site(budget_slack: &str) -> SilentSite {
    let mut site = SilentSite::prepare(path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd")), 1);
    site.add_workers("llm", Some("decode"), 2);
    site.cluster.entries[0].set_setting("budget_slack", budget_slack);
    site
}

fn request() -> CallerRequest {
    CallerRequest {
        method: "POST",
        path: format!("/resumable/events-{EVENT_COUNT}-60"),
        id: "0000000000000001".to_owned(),
        patience: PATIENCE,
    }
}

/// Requests a stream whose engine is silent in its middle; `plan` prepares the other engine,
/// which is silent for a time before its head.
fn request_handover(
    site: &mut SilentSite,
    silent_ms: u64,
    plan: impl FnOnce(&SilentWorker),
) -> CallRecord {
    request_silent(site, 6, |_, other| {
        plan(other);
        other.gate.plan(Silence {
            point: SilencePoint::BeforeHead,
            duration: time::Duration::from_millis(silent_ms),
        });
    })
}

/// Requests a stream whose engine is silent behind so many events; `plan` prepares the other
/// engine.
fn request_silent(
    site: &mut SilentSite,
    events: u64,
    plan: impl FnOnce(&SilentSite, &SilentWorker),
) -> CallRecord {
    site.cluster.start();
    let site = &*site;
    let first_silence = Silence {
        point: SilencePoint::BetweenEvents(events),
        duration: FIRST_SILENCE,
    };
    site.workers.iter().for_each(|w| w.gate.plan(first_silence));
    let address = site.cluster.entries[0].caller_address;
    let request = request();
    let record = thread::scope(|scope| {
        let caller = scope.spawn(|| {
            let mut caller = KeptCaller::connect(address).expect("the entry listens");
            caller.call(&request)
        });
        site.cluster.wait_until(|_| site.has_received(&request.id));
        let mut workers = site.workers.iter().take(2);
        let other = workers.find(|w| w.received_ids().is_empty());
        let other = other.expect("one engine has the stream");
        plan(site, other);
        caller.join().expect("the caller does not panic")
    });
    thread::sleep(LOG_DELAY);
    record
}

fn assert_whole(site: &SilentSite, record: &CallRecord) {
    let log = site.log_of_request(&request().id);
    let whole: String = (1..=EVENT_COUNT).map(event_text).collect();
    assert_eq!((record.end, record.status), (CallEnd::Whole, 200), "{log}");
    assert_eq!(record.body, whole);
}

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
    let mut site = prepare_site(budget_slack);
    let record = request_handover(&mut site, silent_ms, |other| other.refuse_runs(true));
    assert_whole(&site, &record);
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
    let mut site = prepare_site(budget_slack);
    let record = request_silent(&mut site, EVENT_COUNT, |_, other| {
        other.gate.plan(Silence {
            point,
            duration: time::Duration::from_millis(silent_ms),
        });
    });
    assert_whole(&site, &record);
}

/// An engine's own failure is no answer to a stream that its caller has begun to read.
#[parameterized(
    failed_at_once = { 0 },
    failed_after_700 = { 700 },
)]
fn stream_is_whole_after_the_other_engine_failed_it(silent_ms: u64) {
    let mut site = prepare_site("56");
    let record = request_handover(&mut site, silent_ms, |other| {
        other.set_call_fault(CallFault::Fails);
    });
    assert_whole(&site, &record);
}

/// A retry that is kept back for the stream isn't used to read its prompt once more.
#[parameterized(
    three_retries = { "5" },
    four_retries = { "6" },
)]
fn stream_with_a_prefill_is_whole_after_the_other_engine_refused_it(budget_slack: &str) {
    let mut site = prepare_site(budget_slack);
    site.add_workers("llm", Some("prefill"), 1);
    let record = request_handover(&mut site, 700, |other| other.refuse_runs(true));
    assert_whole(&site, &record);
}

/// Attempts that failed in an earlier silence don't count in a later one.
#[test]
fn stream_is_whole_after_two_silences_with_refusals() {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut site = SilentSite::prepare(program, 1);
    site.add_workers("llm", Some("decode"), 1);
    site.cluster.start();
    let first = site.workers[0].gate.clone();
    let silence = |event| Silence {
        point: SilencePoint::BetweenEvents(event),
        duration: FIRST_SILENCE,
    };
    first.plan(silence(4));
    let address = site.cluster.entries[0].caller_address;
    let request = request();
    let log_count = |site: &SilentSite, word: &str| {
        let log = site.log_of_request(&request.id);
        log.matches(word).count()
    };
    let record = thread::scope(|scope| {
        let caller = scope.spawn(|| {
            let mut caller = KeptCaller::connect(address).expect("the entry listens");
            caller.call(&request)
        });
        site.cluster.wait_until(|_| site.has_received(&request.id));
        site.add_group("llm", Some("decode"), 5);
        let others = &site.workers[1..];
        others.iter().for_each(|w| w.refuse_runs(true));
        site.cluster.wait_until(|_| {
            log_count(&site, "event=stream_went_on") + log_count(&site, "event=stream_lost") > 0
        });
        first.plan(silence(10));
        others[0].gate.plan(Silence {
            point: SilencePoint::BeforeHead,
            duration: time::Duration::from_millis(900),
        });
        site.cluster
            .wait_until(|_| log_count(&site, "end=stalled") == 2);
        thread::sleep(time::Duration::from_millis(500));
        others.iter().for_each(|w| w.refuse_runs(false));
        caller.join().expect("the caller does not panic")
    });
    thread::sleep(LOG_DELAY);
    assert_whole(&site, &record);
}

/// A silent stream is given up only while a retry is kept back, also if another engine has
/// refused it before.
#[test]
fn stream_is_whole_after_a_quick_and_a_late_refusal_with_one_retry() {
    let mut site = prepare_site("4");
    let id = request().id;
    let record = request_silent(&mut site, 6, |site, other| {
        other.refuse_runs(true);
        while !site.log_of_request(&id).contains("why=refused") {
            thread::sleep(time::Duration::from_millis(2));
        }
        other.gate.plan(Silence {
            point: SilencePoint::BeforeHead,
            duration: time::Duration::from_millis(900),
        });
    });
    assert_whole(&site, &record);
}
