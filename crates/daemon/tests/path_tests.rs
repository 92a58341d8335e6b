//! Tests a request on its whole path: entry, prefill and decode agents, and fake engines.

mod session;

use fake::ClusterSpec;
use session::TestSite;
use std::path;

fn start(spec: ClusterSpec) -> TestSite {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    TestSite::start(spec, program, &[])
}

#[test]
fn completion_streams_the_whole_answer() {
    let site = start(ClusterSpec::small());
    let (_, key) = site.issue_key(session::RANGERS);
    let response = site.stream_completion(0, &key, "The track is washed out", 64);
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.finished);
    assert_eq!(
        response.text,
        fake::answer_text("The track is washed out", 64)
    );
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
}
