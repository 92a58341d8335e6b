//! The whole path, by real processes over small stand-ins.

mod session;

use fake::ClusterSpec;
use session::Session;
use std::path;

fn start(shape: ClusterSpec) -> Session {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    Session::start(shape, program, &[])
}

#[test]
fn complete_streams_the_whole_answer() {
    let session = start(ClusterSpec::small());
    let (_, key) = session.issue_key(session::RANGERS);
    let response = session.stream_completion(0, &key, "The track is washed out", 64);
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.finished);
    assert_eq!(
        response.text,
        fake::answer_text("The track is washed out", 64)
    );
    assert!(session.wait_idle(), "{:?}", session.lab.held_requests());
}
