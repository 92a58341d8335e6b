//! Tests of plain answers that are passed on as they come.

use fake::tracks::CallEnd;
use fake::tracks::CallRecord;
use fake::tracks::CallerRequest;
use fake::tracks::KeptCaller;
use fake::tracks::Silence;
use fake::tracks::SilencePoint;
use fake::tracks::SilentSite;
use std::path;
use std::time;

/// Length of an answer that is too long to be read before it is passed on.
const LONG_BYTES: usize = 200_000;
/// Number of answers, as whether the last bytes are taken before the end is known varies.
const CALLS: usize = 20;

fn start_site() -> SilentSite {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut site = SilentSite::prepare(program, 1);
    site.add_workers("app", None, 1);
    site.cluster.start();
    site
}

fn call(site: &SilentSite, number: usize, patience: time::Duration) -> CallRecord {
    let address = site.cluster.entries[0].caller_address;
    let mut caller = KeptCaller::connect(address).expect("the entry listens");
    caller.call(&CallerRequest {
        method: "POST",
        path: format!("/order/length-{LONG_BYTES}"),
        id: format!("{number:016x}"),
        patience,
    })
}

/// A host that is silent inside its answer is left as soon as the caller leaves, not only
/// with its next bytes or at the deadline.
#[test]
fn host_is_left_with_its_caller() {
    let site = start_site();
    site.gates("app")[0].plan(Silence {
        point: SilencePoint::InsideBody,
        duration: time::Duration::from_secs(60),
    });
    let record = call(&site, 1, time::Duration::from_millis(500));
    assert_eq!(record.end, CallEnd::GaveUp);
    let entry = &site.cluster.entries[0];
    site.cluster
        .wait_until(|_| entry.log().contains("event=answer_cut"));
    let log = entry.log();
    let cut = log.lines().find(|l| l.contains("event=answer_cut"));
    assert!(
        cut.is_some_and(|l| l.contains("cause=caller_left")),
        "{cut:?}"
    );
}

/// A connection has all of an answer with a length before its end is told to it.
#[test]
fn whole_answer_is_not_logged_as_cut() {
    let site = start_site();
    for number in 0..CALLS {
        let record = call(&site, number, time::Duration::from_secs(10));
        assert_eq!((record.end, record.status), (CallEnd::Whole, 200));
    }
    let entry = &site.cluster.entries[0];
    // A refusal after them, so that their lines have been written.
    let address = entry.caller_address;
    let mut caller = KeptCaller::connect(address).expect("the entry listens");
    let last = caller.call(&CallerRequest {
        method: "POST",
        path: "/unknown/".to_owned(),
        id: "ffff".to_owned(),
        patience: time::Duration::from_secs(10),
    });
    assert_eq!(last.status, 404);
    site.cluster
        .wait_until(|_| entry.log().contains("request=ffff"));
    assert!(!entry.log().contains("event=answer_cut"), "{}", entry.log());
}
