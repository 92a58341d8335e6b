//! Tests that a request is served to its end although its worker sends nothing for a while
//! and then goes on.

use fake::tracks::CallEnd;
use fake::tracks::CallFault;
use fake::tracks::CallRecord;
use fake::tracks::CallerRequest;
use fake::tracks::KeptCaller;
use fake::tracks::Silence;
use fake::tracks::SilencePoint;
use fake::tracks::SilentSite;
use fake::tracks::body_bytes;
use fake::tracks::event_text;
use std::fmt;
use std::path;
use std::sync::atomic;
use std::thread;
use std::time;
use yare::parameterized;

/// Number of events in a stream.
const EVENT_COUNT: u64 = 8;
/// Answer of the workers: so many events, this many milliseconds apart.
const EVENTS: &str = "events-8-10";
/// Longest gap in a stream that a caller accepts: four times the route's latency target.
const STREAM_PATIENCE: time::Duration = time::Duration::from_millis(3_600);
/// Within this time an entry has written its log.
const LOG_DELAY: time::Duration = time::Duration::from_millis(800);
/// Longest wait of a caller for a plain answer; above the deadline of its request.
const PLAIN_PATIENCE: time::Duration = time::Duration::from_secs(10);

fn program() -> &'static path::Path {
    path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"))
}

/// What is left for a stream whose engine falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fallback {
    /// There is no other engine.
    Missing,
    /// The other engine has no free slot.
    Full,
    /// The other engine falls silent at the same time.
    Silent,
    /// There is another engine, but no retry is left.
    NoBudget,
}

/// Starts an entry whose workers, of a service, are to fall silent.
fn start_site(
    service: &'static str,
    stage: Option<&'static str>,
    fallback: Fallback,
    silence: Silence,
) -> SilentSite {
    let mut site = SilentSite::prepare(program(), 1);
    match fallback {
        Fallback::Missing => site.add_workers(service, stage, 1),
        Fallback::Silent => site.add_group(service, stage, 2),
        Fallback::Full | Fallback::NoBudget => site.add_workers(service, stage, 2),
    }
    if fallback == Fallback::NoBudget {
        let entry = &site.cluster.entries[0];
        entry.set_setting("retry_budget_ratio", "0.0");
        entry.set_setting("budget_slack", "0");
    }
    site.cluster.start();
    for gate in site.gates(service) {
        gate.plan(silence);
    }
    if fallback == Fallback::Full {
        site.workers[1].refuse_reservations(true);
    }
    site
}

/// Sends a request on a new connection, and waits as long as the platform's clients do.
fn call(site: &SilentSite, method: &'static str, path: String) -> CallRecord {
    static COUNT: atomic::AtomicU64 = atomic::AtomicU64::new(0);
    let number = COUNT.fetch_add(1, atomic::Ordering::Relaxed);
    let address = site.cluster.entries[0].caller_address;
    let mut caller = KeptCaller::connect(address).expect("the entry listens");
    let is_stream = path.contains(EVENTS);
    caller.call(&CallerRequest {
        method,
        path,
        id: format!("{number:016x}"),
        patience: if is_stream {
            STREAM_PATIENCE
        } else {
            PLAIN_PATIENCE
        },
    })
}

/// Panics unless a request was answered with this body, after printing the entry's log.
fn assert_served(site: &SilentSite, record: &CallRecord, body: &str, case: &dyn fmt::Debug) {
    let seen = (record.end, record.status, record.body == body);
    if seen != (CallEnd::Whole, 200, true) {
        // The entry writes its log a few times a second.
        thread::sleep(LOG_DELAY);
        let log = site.cluster.entries[0].log();
        let lines: Vec<&str> = log.lines().filter(|l| l.contains("request=")).collect();
        let took = record.ended_at - record.sent_at;
        panic!("{case:?}: {seen:?} after {took:?}\n{}", lines.join("\n"));
    }
}

/// A caller gets its whole stream although its engine was silent after the head, between
/// two events or inside one. A silence is no reason to end an answer sooner.
#[parameterized(
    once_500 = { "once", Fallback::Missing, 500 },
    once_1000 = { "once", Fallback::Missing, 1_000 },
    once_1600 = { "once", Fallback::Missing, 1_600 },
    once_2000 = { "once", Fallback::Missing, 2_000 },
    once_2500 = { "once", Fallback::Missing, 2_500 },
    resumable_alone_500 = { "resumable", Fallback::Missing, 500 },
    resumable_alone_1000 = { "resumable", Fallback::Missing, 1_000 },
    resumable_alone_1600 = { "resumable", Fallback::Missing, 1_600 },
    resumable_alone_2000 = { "resumable", Fallback::Missing, 2_000 },
    resumable_alone_2500 = { "resumable", Fallback::Missing, 2_500 },
    resumable_others_full_500 = { "resumable", Fallback::Full, 500 },
    resumable_others_full_1000 = { "resumable", Fallback::Full, 1_000 },
    resumable_others_full_1600 = { "resumable", Fallback::Full, 1_600 },
    resumable_others_full_2000 = { "resumable", Fallback::Full, 2_000 },
    resumable_others_full_2500 = { "resumable", Fallback::Full, 2_500 },
    resumable_no_budget_500 = { "resumable", Fallback::NoBudget, 500 },
    resumable_no_budget_1000 = { "resumable", Fallback::NoBudget, 1_000 },
    resumable_no_budget_1600 = { "resumable", Fallback::NoBudget, 1_600 },
    resumable_no_budget_2000 = { "resumable", Fallback::NoBudget, 2_000 },
    resumable_no_budget_2500 = { "resumable", Fallback::NoBudget, 2_500 },
    resumable_all_silent_500 = { "resumable", Fallback::Silent, 500 },
    resumable_all_silent_1000 = { "resumable", Fallback::Silent, 1_000 },
    resumable_all_silent_1600 = { "resumable", Fallback::Silent, 1_600 },
    resumable_all_silent_2000 = { "resumable", Fallback::Silent, 2_000 },
    resumable_all_silent_2500 = { "resumable", Fallback::Silent, 2_500 },
)]
fn stream_goes_on_after_its_engine_was_silent(route: &str, fallback: Fallback, silent_ms: u64) {
    let duration = time::Duration::from_millis(silent_ms);
    let points = [
        SilencePoint::BetweenEvents(0),
        SilencePoint::BetweenEvents(3),
        SilencePoint::InsideEvent(3),
    ];
    assert_streams_served(route, fallback, duration, &points);
}

/// A caller gets the end of its stream although its engine was silent behind the last event.
#[parameterized(
    once_1600 = { "once", Fallback::Missing, 1_600 },
    once_2500 = { "once", Fallback::Missing, 2_500 },
    resumable_alone_2500 = { "resumable", Fallback::Missing, 2_500 },
    resumable_others_full_2500 = { "resumable", Fallback::Full, 2_500 },
    resumable_no_budget_2500 = { "resumable", Fallback::NoBudget, 2_500 },
    resumable_all_silent_2500 = { "resumable", Fallback::Silent, 2_500 },
)]
fn stream_ends_after_its_engine_was_silent_behind_its_last_event(
    route: &str,
    fallback: Fallback,
    silent_ms: u64,
) {
    let duration = time::Duration::from_millis(silent_ms);
    let points = [SilencePoint::BetweenEvents(EVENT_COUNT)];
    assert_streams_served(route, fallback, duration, &points);
}

/// A caller gets its whole stream although its engine was silent before or inside the
/// head.
#[parameterized(
    once_500 = { "once", Fallback::Missing, 500 },
    once_1600 = { "once", Fallback::Missing, 1_600 },
    once_2500 = { "once", Fallback::Missing, 2_500 },
    resumable_500 = { "resumable", Fallback::Missing, 500 },
    resumable_1600 = { "resumable", Fallback::Missing, 1_600 },
    resumable_2500 = { "resumable", Fallback::Missing, 2_500 },
    all_silent_500 = { "resumable", Fallback::Silent, 500 },
    all_silent_1600 = { "resumable", Fallback::Silent, 1_600 },
    all_silent_2500 = { "resumable", Fallback::Silent, 2_500 },
    no_budget_500 = { "once", Fallback::NoBudget, 500 },
    no_budget_1600 = { "once", Fallback::NoBudget, 1_600 },
    no_budget_2500 = { "once", Fallback::NoBudget, 2_500 },
)]
fn stream_begins_after_its_engine_was_silent(route: &str, fallback: Fallback, silent_ms: u64) {
    let duration = time::Duration::from_millis(silent_ms);
    let points = [SilencePoint::BeforeHead, SilencePoint::InsideHead];
    assert_streams_served(route, fallback, duration, &points);
}

/// A stream whose engine gives no seat, or whose prompt is not processed, in time has not
/// run: it is served later or refused.
#[parameterized(
    reservation_500 = { SilencePoint::Reservation, 500 },
    reservation_1600 = { SilencePoint::Reservation, 1_600 },
    reservation_2500 = { SilencePoint::Reservation, 2_500 },
    prefill_500 = { SilencePoint::Prefill, 500 },
    prefill_1600 = { SilencePoint::Prefill, 1_600 },
    prefill_2500 = { SilencePoint::Prefill, 2_500 },
)]
fn stream_is_served_or_refused_after_a_silence_before_it(point: SilencePoint, silent_ms: u64) {
    let duration = time::Duration::from_millis(silent_ms);
    let mut site = SilentSite::prepare(program(), 1);
    site.add_workers("llm", Some("prefill"), 1);
    site.add_workers("llm", Some("decode"), 1);
    site.cluster.start();
    for gate in site.gates("llm") {
        gate.plan(Silence { point, duration });
    }
    let record = call(&site, "POST", format!("/once/{EVENTS}"));
    let has_run = site.workers.iter().any(|w| !w.received_ids().is_empty());
    if has_run || (record.end, record.status) != (CallEnd::Whole, 503) {
        let whole: String = (1..=EVENT_COUNT).map(event_text).collect();
        assert_served(&site, &record, &whole, &point);
    }
}

/// Requests a stream for each point at which its engine falls silent.
fn assert_streams_served(
    route: &str,
    fallback: Fallback,
    duration: time::Duration,
    points: &[SilencePoint],
) {
    let whole: String = (1..=EVENT_COUNT).map(event_text).collect();
    thread::scope(|scope| {
        for point in points {
            let (point, whole) = (*point, &whole);
            scope.spawn(move || {
                let silence = Silence { point, duration };
                let site = start_site("llm", Some("decode"), fallback, silence);
                let record = call(&site, "POST", format!("/{route}/{EVENTS}"));
                assert_served(&site, &record, whole, &point);
            });
        }
    });
}

/// A caller gets its plain answer although its host was silent for longer than an attempt
/// may take while another one is allowed: twice the route's latency target.
#[parameterized(
    order_alone = { "POST", "order", Fallback::Missing },
    status_alone = { "GET", "status", Fallback::Missing },
    status_all_silent = { "GET", "status", Fallback::Silent },
    status_no_budget = { "GET", "status", Fallback::NoBudget },
)]
fn plain_answer_comes_after_its_host_was_silent(
    method: &'static str,
    route: &str,
    fallback: Fallback,
) {
    let duration = time::Duration::from_millis(2_200);
    let cases = [
        (SilencePoint::BeforeHead, "length", 2_000),
        (SilencePoint::InsideHead, "length", 2_000),
        (SilencePoint::InsideBody, "length", 2_000),
        (SilencePoint::InsideBody, "length", 200_000),
        (SilencePoint::InsideBody, "chunked", 2_000),
        (SilencePoint::InsideBody, "chunked", 200_000),
        (SilencePoint::InsideBody, "unframed", 2_000),
        (SilencePoint::InsideBody, "unframed", 200_000),
    ];
    thread::scope(|scope| {
        for case in cases {
            scope.spawn(move || {
                let (point, framing, length) = case;
                let site = start_site("app", None, fallback, Silence { point, duration });
                let record = call(&site, method, format!("/{route}/{framing}-{length}"));
                assert_served(&site, &record, &body_bytes(length), &case);
            });
        }
    });
}

/// What the second host of a service does when the first one is silent.
#[derive(Clone, Copy, Debug)]
enum SecondHost {
    /// It has a fault.
    Faulty(CallFault),
    /// It falls silent for as long, once it is asked.
    Silent,
}

/// Prepares two hosts: the one that is asked first falls silent, and the other is of no help.
fn start_pair(second: SecondHost, silence: Silence) -> SilentSite {
    let mut site = SilentSite::prepare(program(), 1);
    site.add_workers("app", None, 2);
    site.cluster.start();
    site.workers[0].gate.plan(silence);
    match second {
        SecondHost::Faulty(fault) => site.workers[1].set_call_fault(fault),
        SecondHost::Silent => site.workers[1].gate.plan(silence),
    }
    site
}

/// A caller gets the answer of the host that was asked first although the call was sent to
/// another one meanwhile, which refused it, failed it, ended the connection or fell silent.
#[parameterized(
    refuses_500 = { SecondHost::Faulty(CallFault::Refuses), 500 },
    refuses_1600 = { SecondHost::Faulty(CallFault::Refuses), 1_600 },
    refuses_2200 = { SecondHost::Faulty(CallFault::Refuses), 2_200 },
    refuses_2500 = { SecondHost::Faulty(CallFault::Refuses), 2_500 },
    fails_500 = { SecondHost::Faulty(CallFault::Fails), 500 },
    fails_1600 = { SecondHost::Faulty(CallFault::Fails), 1_600 },
    fails_2200 = { SecondHost::Faulty(CallFault::Fails), 2_200 },
    fails_2500 = { SecondHost::Faulty(CallFault::Fails), 2_500 },
    closes_500 = { SecondHost::Faulty(CallFault::Closes), 500 },
    closes_1600 = { SecondHost::Faulty(CallFault::Closes), 1_600 },
    closes_2200 = { SecondHost::Faulty(CallFault::Closes), 2_200 },
    closes_2500 = { SecondHost::Faulty(CallFault::Closes), 2_500 },
    silent_500 = { SecondHost::Silent, 500 },
    silent_1600 = { SecondHost::Silent, 1_600 },
    silent_2200 = { SecondHost::Silent, 2_200 },
    silent_2500 = { SecondHost::Silent, 2_500 },
)]
fn plain_answer_comes_from_the_first_host(second: SecondHost, silent_ms: u64) {
    let duration = time::Duration::from_millis(silent_ms);
    let cases = [
        (SilencePoint::BeforeHead, "length", 2_000),
        (SilencePoint::InsideHead, "length", 2_000),
        (SilencePoint::InsideBody, "length", 2_000),
        (SilencePoint::InsideBody, "chunked", 2_000),
    ];
    thread::scope(|scope| {
        for case in cases {
            scope.spawn(move || {
                let (point, framing, length) = case;
                let site = start_pair(second, Silence { point, duration });
                let record = call(&site, "GET", format!("/status/{framing}-{length}"));
                assert_served(&site, &record, &body_bytes(length), &case);
                assert_eq!(site.workers[0].received_ids().len(), 1, "{case:?}");
            });
        }
    });
}

/// A caller gets its answer although all hosts of the service fall silent together.
#[parameterized(
    order_500 = { "POST", "order", 500 },
    order_1600 = { "POST", "order", 1_600 },
    order_2500 = { "POST", "order", 2_500 },
    status_500 = { "GET", "status", 500 },
    status_1600 = { "GET", "status", 1_600 },
    status_2500 = { "GET", "status", 2_500 },
)]
fn plain_answer_comes_after_all_hosts_were_silent(
    method: &'static str,
    route: &str,
    silent_ms: u64,
) {
    let duration = time::Duration::from_millis(silent_ms);
    let points = [
        SilencePoint::BeforeHead,
        SilencePoint::InsideHead,
        SilencePoint::InsideBody,
    ];
    thread::scope(|scope| {
        for point in points {
            scope.spawn(move || {
                let mut site = SilentSite::prepare(program(), 1);
                site.add_group("app", None, 3);
                site.cluster.start();
                site.workers[0].gate.plan(Silence { point, duration });
                let record = call(&site, method, format!("/{route}/length-2000"));
                assert_served(&site, &record, &body_bytes(2_000), &point);
            });
        }
    });
}

/// An order is sent once, however long its host is silent and although there is another.
#[test]
fn order_is_sent_to_no_second_host() {
    let point = SilencePoint::BeforeHead;
    let duration = time::Duration::from_millis(2_500);
    let site = start_pair(
        SecondHost::Faulty(CallFault::Refuses),
        Silence { point, duration },
    );
    let record = call(&site, "POST", "/order/length-2000".to_owned());
    assert_served(&site, &record, &body_bytes(2_000), &point);
    assert_eq!(site.workers[0].received_ids().len(), 1);
    assert!(site.workers[1].received_ids().is_empty());
}

/// A caller is not told that its call has not run while a silent host may have run it, and
/// the second host is told the time that is left.
#[test]
fn silent_host_and_refusal_are_no_promise() {
    let point = SilencePoint::BeforeHead;
    let duration = time::Duration::from_secs(12);
    let site = start_pair(
        SecondHost::Faulty(CallFault::Refuses),
        Silence { point, duration },
    );
    let record = call(&site, "GET", "/status/length-2000".to_owned());
    assert_eq!((record.end, record.status), (CallEnd::Whole, 504));
    let timeouts: Vec<u64> = site
        .workers
        .iter()
        .flat_map(|w| w.received_timeouts())
        .collect();
    let [first, second] = timeouts[..] else {
        panic!("both hosts are asked once: {timeouts:?}");
    };
    // An attempt is late after 1.8 s.
    assert!(second + 1_800 <= first, "{timeouts:?}");
}

/// The second host's answer is passed on at once, and the connection to the silent host is
/// closed, so that it need not go on.
#[test]
fn late_host_is_given_up_for_the_answer_of_another() {
    let point = SilencePoint::BeforeHead;
    let duration = time::Duration::from_secs(4);
    let mut site = SilentSite::prepare(program(), 1);
    site.add_workers("app", None, 2);
    site.cluster.start();
    site.workers[0].gate.plan(Silence { point, duration });
    let record = call(&site, "GET", "/status/length-2000".to_owned());
    assert_served(&site, &record, &body_bytes(2_000), &point);
    assert!(!site.workers[0].gate.is_idle(), "the first host is silent");
    site.cluster
        .wait_until(|_| site.workers[0].gate.is_idle() && site.workers[0].abandoned_count() == 1);
}
