//! Tests that a stream survives two failures, at once or in succession: the caller still gets the
//! full answer, and no engine holds memory for it afterwards.

mod session;

use fake::ClusterSpec;
use session::TestSite;
use std::path;
use std::time;
use yare::parameterized;

const PROMPT: &str = "Condition of the washed-out western track [len=80]";
const MAX_TOKENS: u32 = 120;

fn start() -> TestSite {
    let mut spec = ClusterSpec {
        entries: 2,
        prefill_engines: 2,
        decode_engines: 3,
        services: 2,
        ..ClusterSpec::small()
    };
    spec.engine.step_time = time::Duration::from_millis(20);
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    TestSite::start(spec, program, &[])
}

/// A fault of one process, or of the transfers out of a prefill engine.
#[derive(Clone, Copy, Debug)]
enum Fault {
    DecodeAgentKilled,
    DecodeAgentFrozen,
    DecodeEngineKilled,
    DecodeEngineFrozen,
    PrefillAgentKilled,
    PrefillEngineKilled,
    TransfersStalled,
    OtherEntryKilled,
    StoreDown,
    HostListDown,
}

impl Fault {
    /// Injects the fault. A fault of a decode agent or engine hits the host that is streaming. Every
    /// other fault always hits the same process.
    fn inject(self, site: &mut TestSite) {
        match self {
            Fault::DecodeAgentKilled => {
                let agent = site.cluster.daemon_index(&streaming_host(site));
                site.cluster.daemons[agent].kill();
            }
            Fault::DecodeAgentFrozen => {
                assert!(site.cluster.signal(&streaming_host(site), "STOP"));
            }
            Fault::DecodeEngineKilled => site.cluster.decode_engines[streaming_engine(site)].kill(),
            Fault::DecodeEngineFrozen => {
                site.cluster.decode_engines[streaming_engine(site)].set_frozen(true)
            }
            Fault::PrefillAgentKilled => {
                let agent = site.cluster.daemon_index("prefill-1");
                site.cluster.daemons[agent].kill();
            }
            Fault::PrefillEngineKilled => site.cluster.prefill_engines[0].kill(),
            Fault::TransfersStalled => site.cluster.prefill_engines[0].set_exports_stalled(true),
            Fault::OtherEntryKilled => site.cluster.daemons[1].kill(),
            Fault::StoreDown => site.cluster.store.kill(),
            Fault::HostListDown => site.cluster.host_list.kill(),
        }
    }
}

/// Waits until a decode engine holds a request of a running agent and returns the engine's index.
fn streaming_engine(site: &TestSite) -> usize {
    let find = |cluster: &fake::TestCluster| {
        (0..cluster.decode_engines.len()).find(|i| is_streaming(cluster, *i))
    };
    site.cluster
        .wait_until(session::WAIT_LIMIT, |cluster| find(cluster).is_some());
    find(&site.cluster).expect("an engine streams")
}

/// Returns whether a decode engine holds a request of a running agent, to import or to stream it. An
/// engine whose agent was killed may still hold an orphaned request, and does not count.
fn is_streaming(cluster: &fake::TestCluster, i: usize) -> bool {
    let agent = &cluster.daemons[cluster.daemon_index(&format!("decode-{}", i + 1))];
    let engine = &cluster.decode_engines[i];
    agent.id().is_some() && engine.is_responding() && !engine.held_requests().is_empty()
}

fn streaming_host(site: &TestSite) -> String {
    format!("decode-{}", streaming_engine(site) + 1)
}

/// Resumes frozen engines and agents and restarts killed agents. A restarted agent cancels the
/// orphaned requests of its engine, such as one that was imported when the agent was killed.
fn recover(site: &mut TestSite) {
    for engine in &site.cluster.decode_engines {
        engine.set_frozen(false);
    }
    for host in ["decode-1", "decode-2", "decode-3", "prefill-1"] {
        if !site.cluster.signal(host, "CONT") {
            let agent = site.cluster.daemon_index(host);
            site.cluster.spawn(agent);
        }
    }
}

#[parameterized(
    agent_then_agent = { Fault::DecodeAgentKilled, Fault::DecodeAgentKilled },
    agent_then_engine = { Fault::DecodeAgentKilled, Fault::DecodeEngineKilled },
    engine_then_agent_frozen = { Fault::DecodeEngineKilled, Fault::DecodeAgentFrozen },
    engine_frozen_then_engine = { Fault::DecodeEngineFrozen, Fault::DecodeEngineKilled },
    prefill_agent_then_engine = { Fault::PrefillAgentKilled, Fault::DecodeEngineKilled },
    prefill_engine_then_agent = { Fault::PrefillEngineKilled, Fault::DecodeAgentKilled },
    stalled_transfer_then_engine = { Fault::TransfersStalled, Fault::DecodeEngineKilled },
    stalled_transfer_then_agent = { Fault::TransfersStalled, Fault::DecodeAgentKilled },
    other_entry_then_engine = { Fault::OtherEntryKilled, Fault::DecodeEngineKilled },
    store_then_agent = { Fault::StoreDown, Fault::DecodeAgentKilled },
    store_then_engine_frozen = { Fault::StoreDown, Fault::DecodeEngineFrozen },
    store_then_host_list = { Fault::StoreDown, Fault::HostListDown },
    host_list_then_agent = { Fault::HostListDown, Fault::DecodeAgentKilled },
)]
fn stream_survives_two_faults(first: Fault, second: Fault) {
    let mut site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    let response = session::stream_with_action(&mut site, &key, PROMPT, MAX_TOKENS, |s| {
        first.inject(s);
        second.inject(s);
    });
    recover(&mut site);
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.text, fake::answer_text(PROMPT, MAX_TOKENS));
    assert!(response.finished);
    let released = site.cluster.wait_until(session::WAIT_LIMIT, |cluster| {
        cluster.held_requests().is_empty()
    });
    assert!(released, "{:?}", site.cluster.held_requests());
}

/// Kills everything in the second of two availability zones at once.
fn kill_zone(site: &mut TestSite) {
    for host in ["entry-2", "prefill-2", "decode-2", "service-2"] {
        let i = site.cluster.daemon_index(host);
        site.cluster.daemons[i].kill();
    }
    site.cluster.prefill_engines[1].kill();
    site.cluster.decode_engines[1].kill();
    site.cluster.services[1].kill();
}

#[test]
fn lost_zone_interrupts_no_stream_of_the_other_zone() {
    let mut site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    let response = session::stream_with_action(&mut site, &key, PROMPT, MAX_TOKENS, kill_zone);
    assert_eq!(
        response.text,
        fake::answer_text(PROMPT, MAX_TOKENS),
        "{response:?}"
    );
    for i in 0..6 {
        let prompt = format!("{PROMPT} again {i}");
        let response = site.stream_completion(0, &key, &prompt, 40);
        assert_eq!(
            response.text,
            fake::answer_text(&prompt, 40),
            "{response:?}"
        );
    }
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "order-1"),
    ];
    let order = session::send_request("POST", &site.url(0, "/dispatch/orders"), &headers, "{}");
    assert_eq!(order.status, 201, "{order:?}");
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
}

#[test]
fn engines_are_freed_after_entry_is_killed_during_a_stalled_transfer() {
    let mut site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster
        .prefill_engines
        .iter()
        .for_each(|e| e.set_exports_stalled(true));
    std::thread::scope(|scope| {
        let url = site.url(0, "/v1/completions");
        let body = session::completion_body(PROMPT, MAX_TOKENS, true);
        let key = &key;
        let caller = scope.spawn(move || session::stream_request(&url, key, &body, |_| true));
        streaming_engine(&site);
        site.cluster.daemons[0].kill();
        let response = caller.join().expect("the caller thread does not panic");
        assert_eq!(response.text, "");
    });
    site.cluster
        .prefill_engines
        .iter()
        .for_each(|e| e.set_exports_stalled(false));
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
    let response = site.stream_completion(1, &key, PROMPT, MAX_TOKENS);
    assert_eq!(
        response.text,
        fake::answer_text(PROMPT, MAX_TOKENS),
        "{response:?}"
    );
}

#[test]
fn withdrawn_key_ends_the_stream_of_a_killed_agent() {
    let mut site = start();
    let (id, key) = site.issue_key(session::RANGERS);
    // The full answer takes far longer than the withdrawal of a key.
    let prompt = "A very long dossier [len=4000]";
    let response = session::stream_with_action(&mut site, &key, prompt, 5_000, |s| {
        Fault::DecodeAgentKilled.inject(s);
        let (code, out) = s.run_client(&["key", "withdraw", &id]);
        assert_eq!(code, 0, "{out}");
    });
    assert!(!response.finished);
    assert!(fake::answer_text(prompt, 5_000).starts_with(&response.text));
    let repeated = site.stream_completion(1, &key, PROMPT, MAX_TOKENS);
    assert_eq!(repeated.status, 401, "{repeated:?}");
}
