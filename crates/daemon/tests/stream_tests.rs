//! Streams under failure: the whole answer or a clear error, no token twice,
//! and no engine memory held afterwards.

mod session;

use fake::ClusterSpec;
use session::TestSite;
use std::path;
use std::time;

const PROMPT: &str = "Inspection log of the northern mule path [len=120]";
const MAX: u32 = 200;

fn start(spec: ClusterSpec) -> TestSite {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    TestSite::start(spec, program, &[])
}

/// Streams last for seconds, so that what is done to one is done midway.
fn two_of_each() -> ClusterSpec {
    let mut spec = ClusterSpec {
        entries: 2,
        prefill_engines: 2,
        decode_engines: 2,
        ..ClusterSpec::small()
    };
    spec.engine.step_time = time::Duration::from_millis(15);
    spec
}

/// Streams a completion and does `harm` once, after the tenth token.
fn stream_with_harm(site: &mut TestSite, harm: impl FnOnce(&mut TestSite)) -> session::Response {
    let (_, key) = site.issue_key(session::RANGERS);
    session::stream_with_action(site, &key, PROMPT, MAX, harm)
}

fn assert_whole(response: &session::Response) {
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.text, fake::answer_text(PROMPT, MAX));
    assert!(response.finished);
}

fn busy_decode(site: &TestSite) -> usize {
    let found = site
        .cluster
        .decode_engines
        .iter()
        .position(|e| !e.held_requests().is_empty());
    found.expect("an engine streams")
}

#[test]
fn agent_killed_midway_resumes_elsewhere() {
    let mut site = start(two_of_each());
    let response = stream_with_harm(&mut site, |s| {
        let agent = s
            .cluster
            .daemon_index(&format!("decode-{}", busy_decode(s) + 1));
        s.cluster.daemons[agent].kill();
    });
    assert_whole(&response);
}

#[test]
fn agent_restarted_sweeps_what_nobody_claims() {
    let mut site = start(two_of_each());
    let mut killed = None;
    let response = stream_with_harm(&mut site, |s| {
        let engine = busy_decode(s);
        let agent = s.cluster.daemon_index(&format!("decode-{}", engine + 1));
        s.cluster.daemons[agent].kill();
        // The engine goes on by itself: nobody has told it to stop.
        assert!(!s.cluster.decode_engines[engine].held_requests().is_empty());
        s.cluster.spawn(agent);
        killed = Some(agent);
    });
    assert_whole(&response);
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
}

#[test]
fn agent_started_beside_a_frozen_engine_sweeps_it_later() {
    let mut site = start(two_of_each());
    let mut struck = (0, 0);
    let response = stream_with_harm(&mut site, |s| {
        let engine = busy_decode(s);
        let agent = s.cluster.daemon_index(&format!("decode-{}", engine + 1));
        s.cluster.decode_engines[engine].set_frozen(true);
        s.cluster.daemons[agent].kill();
        s.cluster.spawn(agent);
        struck = (engine, agent);
    });
    assert_whole(&response);
    let (engine, agent) = struck;
    assert!(
        !site.cluster.decode_engines[engine]
            .held_requests()
            .is_empty()
    );
    site.cluster.decode_engines[engine].set_frozen(false);
    let swept = site.cluster.wait_until(session::WAIT_LIMIT, |cluster| {
        cluster.daemons[agent]
            .log()
            .contains("event=unclaimed_cancelled")
    });
    assert!(swept, "{}", site.cluster.daemons[agent].log());
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
}

#[test]
fn engine_killed_midway_resumes_elsewhere() {
    let mut site = start(two_of_each());
    let response = stream_with_harm(&mut site, |s| {
        s.cluster.decode_engines[busy_decode(s)].kill()
    });
    assert_whole(&response);
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
}

#[test]
fn agent_frozen_midway_resumes_elsewhere() {
    let mut site = start(two_of_each());
    let mut frozen = String::new();
    let response = stream_with_harm(&mut site, |s| {
        frozen = format!("decode-{}", busy_decode(s) + 1);
        assert!(s.cluster.signal(&frozen, "STOP"));
    });
    assert!(site.cluster.signal(&frozen, "CONT"));
    assert_whole(&response);
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
}

#[test]
fn entry_killed_midway_frees_the_engine() {
    let mut site = start(two_of_each());
    let response = stream_with_harm(&mut site, |s| s.cluster.daemons[0].kill());
    assert!(!response.finished);
    assert!(fake::answer_text(PROMPT, MAX).starts_with(&response.text));
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
}

#[test]
fn entry_frozen_midway_frees_the_engine() {
    let mut spec = two_of_each();
    spec.engine.step_time = time::Duration::from_millis(60);
    let mut site = start(spec);
    let mut empty = false;
    let response = stream_with_harm(&mut site, |s| {
        assert!(s.cluster.signal("entry-1", "STOP"));
        // The engine would go on for longer than this by itself.
        empty = s.wait_idle();
        assert!(s.cluster.signal("entry-1", "CONT"));
    });
    assert!(empty, "{:?}", site.cluster.held_requests());
    assert_whole(&response);
}

#[test]
fn transfer_stalled_prefills_again_elsewhere() {
    let mut site = start(two_of_each());
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster.prefill_engines[0].set_stalled(true);
    for i in 0..4 {
        let prompt = format!("{PROMPT} {i}");
        let response = site.stream_completion(0, &key, &prompt, MAX);
        assert_eq!(
            response.text,
            fake::answer_text(&prompt, MAX),
            "{response:?}"
        );
        assert!(response.finished);
    }
    site.cluster.prefill_engines[0].set_stalled(false);
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
    site.cluster.daemons[0].kill();
}

#[test]
fn prefill_engine_killed_prefills_elsewhere() {
    let site = start(two_of_each());
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster.prefill_engines[0].kill();
    for i in 0..4 {
        let prompt = format!("{PROMPT} {i}");
        let response = site.stream_completion(0, &key, &prompt, MAX);
        assert_eq!(
            response.text,
            fake::answer_text(&prompt, MAX),
            "{response:?}"
        );
    }
}

#[test]
fn key_withdrawn_ends_a_running_stream() {
    let mut spec = two_of_each();
    spec.engine.step_time = time::Duration::from_millis(60);
    let mut site = start(spec);
    let (id, key) = site.issue_key(session::RANGERS);
    let response = session::stream_with_action(&mut site, &key, PROMPT, MAX, |s| {
        let (code, out) = s.run_client(&["key", "withdraw", &id]);
        assert_eq!(code, 0, "{out}");
    });
    assert!(!response.finished, "{response:?}");
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
    let refused = site.stream_completion(0, &key, PROMPT, MAX);
    assert_eq!(refused.status, 401);
    assert!(refused.text.contains("\"not_run\":true"), "{refused:?}");
}

#[test]
fn poison_is_quarantined_and_neighbours_are_served() {
    let site = start(two_of_each());
    let (_, key) = site.issue_key(session::RANGERS);
    let poison = "[crash] this inspection log kills engines";
    let first = site.stream_completion(0, &key, poison, MAX);
    assert_eq!(first.status, 422, "{first:?}");
    // The caller sends it again, through the other entry.
    let again = site.stream_completion(1, &key, poison, MAX);
    assert_eq!(again.status, 422, "{again:?}");
    let crashes: u64 = site
        .cluster
        .prefill_engines
        .iter()
        .map(|e| e.stats().crashes)
        .sum();
    assert_eq!(crashes, 2);
    let response = site.stream_completion(1, &key, PROMPT, MAX);
    assert_eq!(
        response.text,
        fake::answer_text(PROMPT, MAX),
        "{response:?}"
    );
}
