//! The whole path, by real processes over small stand-ins.

mod session;

use fake::Shape;
use session::Session;
use std::path;

fn start(shape: Shape) -> Session {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    Session::start(shape, program, &[])
}

#[test]
fn complete_streams_the_whole_answer() {
    let session = start(Shape::small());
    let (_, key) = session.key(session::RANGERS);
    let got = session.complete(0, &key, "The track is washed out", 64);
    assert_eq!(got.status, 200, "{got:?}");
    assert!(got.whole);
    assert_eq!(got.text, fake::answer_text("The track is washed out", 64));
    assert!(session.wait_empty(), "{:?}", session.lab.held());
}
