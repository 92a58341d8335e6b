//! Tests that a stream survives failures with its full answer and no token twice, or ends with a
//! clear error, and that no engine holds memory for it afterwards.

mod session;

use fake::ClusterSpec;
use session::TestSite;
use std::path;
use std::time;

const PROMPT: &str = "Inspection log of the northern mule path [len=120]";
const MAX_TOKENS: u32 = 200;

fn start(spec: ClusterSpec) -> TestSite {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    TestSite::start(spec, program, &[])
}

/// Describes a cluster with two entries, two prefill engines and two decode engines. Its streams last for
/// seconds, so that a fault after the tenth token interrupts them midway.
fn two_hosts_per_role() -> ClusterSpec {
    let mut spec = ClusterSpec {
        entries: 2,
        prefill_engines: 2,
        decode_engines: 2,
        ..ClusterSpec::small()
    };
    spec.engine.step_time = time::Duration::from_millis(15);
    spec
}

/// Streams a completion and injects a fault once, after the tenth token.
fn stream_with_fault(
    site: &mut TestSite,
    inject_fault: impl FnOnce(&mut TestSite),
) -> session::Response {
    let (_, key) = site.issue_key(session::RANGERS);
    session::stream_with_action(site, &key, PROMPT, MAX_TOKENS, inject_fault)
}

fn assert_full_answer(response: &session::Response) {
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.text, fake::answer_text(PROMPT, MAX_TOKENS));
    assert!(response.finished);
}

/// Returns the index of the first decode engine that holds memory for a request.
fn busy_engine(site: &TestSite) -> usize {
    let found = site
        .cluster
        .decode_engines
        .iter()
        .position(|e| !e.held_requests().is_empty());
    found.expect("an engine streams")
}

#[test]
fn stream_resumes_elsewhere_after_agent_is_killed() {
    let mut site = start(two_hosts_per_role());
    let response = stream_with_fault(&mut site, |s| {
        let agent = s
            .cluster
            .daemon_index(&format!("decode-{}", busy_engine(s) + 1));
        s.cluster.daemons[agent].kill();
    });
    assert_full_answer(&response);
}

#[test]
fn restarted_agent_cancels_orphaned_requests() {
    let mut site = start(two_hosts_per_role());
    let mut killed = None;
    let response = stream_with_fault(&mut site, |s| {
        let engine = busy_engine(s);
        let agent = s.cluster.daemon_index(&format!("decode-{}", engine + 1));
        s.cluster.daemons[agent].kill();
        // The engine still decodes: nothing has cancelled the request of the killed agent yet.
        assert!(!s.cluster.decode_engines[engine].held_requests().is_empty());
        s.cluster.spawn(agent);
        killed = Some(agent);
    });
    assert_full_answer(&response);
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
}

#[test]
fn restarted_agent_cancels_orphaned_requests_once_its_engine_responds() {
    let mut site = start(two_hosts_per_role());
    let mut engine_and_agent = (0, 0);
    let response = stream_with_fault(&mut site, |s| {
        let engine = busy_engine(s);
        let agent = s.cluster.daemon_index(&format!("decode-{}", engine + 1));
        s.cluster.decode_engines[engine].set_frozen(true);
        s.cluster.daemons[agent].kill();
        s.cluster.spawn(agent);
        engine_and_agent = (engine, agent);
    });
    assert_full_answer(&response);
    let (engine, agent) = engine_and_agent;
    assert!(
        !site.cluster.decode_engines[engine]
            .held_requests()
            .is_empty()
    );
    site.cluster.decode_engines[engine].set_frozen(false);
    let cancelled = site.cluster.wait_until(session::WAIT_LIMIT, |cluster| {
        cluster.daemons[agent]
            .log()
            .contains("event=unclaimed_cancelled")
    });
    assert!(cancelled, "{}", site.cluster.daemons[agent].log());
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
}

#[test]
fn stream_resumes_elsewhere_after_engine_is_killed() {
    let mut site = start(two_hosts_per_role());
    let response = stream_with_fault(&mut site, |s| {
        s.cluster.decode_engines[busy_engine(s)].kill()
    });
    assert_full_answer(&response);
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
}

#[test]
fn stream_resumes_elsewhere_after_agent_is_frozen() {
    let mut site = start(two_hosts_per_role());
    let mut frozen = String::new();
    let response = stream_with_fault(&mut site, |s| {
        frozen = format!("decode-{}", busy_engine(s) + 1);
        assert!(s.cluster.signal(&frozen, "STOP"));
    });
    assert!(site.cluster.signal(&frozen, "CONT"));
    assert_full_answer(&response);
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
}

#[test]
fn engine_is_freed_after_entry_is_killed() {
    let mut site = start(two_hosts_per_role());
    let response = stream_with_fault(&mut site, |s| s.cluster.daemons[0].kill());
    assert!(!response.finished);
    assert!(fake::answer_text(PROMPT, MAX_TOKENS).starts_with(&response.text));
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
}

#[test]
fn engine_is_freed_while_entry_is_frozen() {
    let mut spec = two_hosts_per_role();
    spec.engine.step_time = time::Duration::from_millis(60);
    let mut site = start(spec);
    let mut is_idle = false;
    let response = stream_with_fault(&mut site, |s| {
        assert!(s.cluster.signal("entry-1", "STOP"));
        // Without a cancellation, the engine would hold the request for 110 more tokens, about 7 s.
        is_idle = s.wait_idle();
        assert!(s.cluster.signal("entry-1", "CONT"));
    });
    assert!(is_idle, "{:?}", site.cluster.held_requests());
    assert_full_answer(&response);
}

#[test]
fn prompt_is_prefilled_elsewhere_after_transfer_stalls() {
    let mut site = start(two_hosts_per_role());
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster.prefill_engines[0].set_exports_stalled(true);
    for i in 0..4 {
        let prompt = format!("{PROMPT} {i}");
        let response = site.stream_completion(0, &key, &prompt, MAX_TOKENS);
        assert_eq!(
            response.text,
            fake::answer_text(&prompt, MAX_TOKENS),
            "{response:?}"
        );
        assert!(response.finished);
    }
    site.cluster.prefill_engines[0].set_exports_stalled(false);
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
    site.cluster.daemons[0].kill();
}

#[test]
fn prompt_is_prefilled_elsewhere_after_engine_is_killed() {
    let site = start(two_hosts_per_role());
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster.prefill_engines[0].kill();
    for i in 0..4 {
        let prompt = format!("{PROMPT} {i}");
        let response = site.stream_completion(0, &key, &prompt, MAX_TOKENS);
        assert_eq!(
            response.text,
            fake::answer_text(&prompt, MAX_TOKENS),
            "{response:?}"
        );
    }
}

#[test]
fn withdrawn_key_ends_a_running_stream() {
    let mut spec = two_hosts_per_role();
    spec.engine.step_time = time::Duration::from_millis(60);
    let mut site = start(spec);
    let (id, key) = site.issue_key(session::RANGERS);
    let response = session::stream_with_action(&mut site, &key, PROMPT, MAX_TOKENS, |s| {
        let (code, out) = s.run_client(&["key", "withdraw", &id]);
        assert_eq!(code, 0, "{out}");
    });
    assert!(!response.finished, "{response:?}");
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
    let refused = site.stream_completion(0, &key, PROMPT, MAX_TOKENS);
    assert_eq!(refused.status, 401);
    assert!(refused.text.contains("\"not_run\":true"), "{refused:?}");
}

#[test]
fn request_that_crashes_engines_is_quarantined_and_others_are_served() {
    let site = start(two_hosts_per_role());
    let (_, key) = site.issue_key(session::RANGERS);
    let crashing_prompt = "[crash] this inspection log kills engines";
    let first = site.stream_completion(0, &key, crashing_prompt, MAX_TOKENS);
    assert_eq!(first.status, 422, "{first:?}");
    // The caller sends the same request again, through the other entry.
    let repeated = site.stream_completion(1, &key, crashing_prompt, MAX_TOKENS);
    assert_eq!(repeated.status, 422, "{repeated:?}");
    let crashes: u64 = site
        .cluster
        .prefill_engines
        .iter()
        .map(|e| e.stats().crashes)
        .sum();
    assert_eq!(crashes, 2);
    let response = site.stream_completion(1, &key, PROMPT, MAX_TOKENS);
    assert_eq!(
        response.text,
        fake::answer_text(PROMPT, MAX_TOKENS),
        "{response:?}"
    );
}
