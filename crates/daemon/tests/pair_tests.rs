//! Failures that come together or one after the other: the caller still gets
//! the whole answer, and no engine holds memory afterwards.

mod session;

use fake::ClusterSpec;
use session::TestSite;
use std::path;
use std::time;
use yare::parameterized;

const PROMPT: &str = "Condition of the washed-out western track [len=80]";
const MAX: u32 = 120;

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

/// What fails.
#[derive(Clone, Copy, Debug)]
enum Harm {
    DecodeAgentKilled,
    DecodeAgentFrozen,
    DecodeEngineKilled,
    DecodeEngineFrozen,
    PrefillAgentKilled,
    PrefillEngineKilled,
    TransfersStalled,
    OtherEntryKilled,
    StoreOut,
    ListOut,
}

impl Harm {
    /// Does it to the host that streams, or else to the first of its kind.
    fn strike(self, site: &mut TestSite) {
        match self {
            Harm::DecodeAgentKilled => {
                let agent = site.cluster.daemon_index(&busy_host(site));
                site.cluster.daemons[agent].kill();
            }
            Harm::DecodeAgentFrozen => {
                assert!(site.cluster.signal(&busy_host(site), "STOP"));
            }
            Harm::DecodeEngineKilled => site.cluster.decode_engines[busy(site)].kill(),
            Harm::DecodeEngineFrozen => site.cluster.decode_engines[busy(site)].set_frozen(true),
            Harm::PrefillAgentKilled => {
                let agent = site.cluster.daemon_index("prefill-1");
                site.cluster.daemons[agent].kill();
            }
            Harm::PrefillEngineKilled => site.cluster.prefill_engines[0].kill(),
            Harm::TransfersStalled => site.cluster.prefill_engines[0].set_stalled(true),
            Harm::OtherEntryKilled => site.cluster.daemons[1].kill(),
            Harm::StoreOut => site.cluster.store.kill(),
            Harm::ListOut => site.cluster.hosts.kill(),
        }
    }
}

/// The decode engine that streams for its agent, once one does.
fn busy(site: &TestSite) -> usize {
    let find = |cluster: &fake::TestCluster| {
        (0..cluster.decode_engines.len()).find(|i| is_streaming(cluster, *i))
    };
    site.cluster
        .wait_until(session::WAIT_LIMIT, |cluster| find(cluster).is_some());
    find(&site.cluster).expect("an engine streams")
}

/// An engine whose agent was killed goes on for nobody.
fn is_streaming(cluster: &fake::TestCluster, i: usize) -> bool {
    let agent = &cluster.daemons[cluster.daemon_index(&format!("decode-{}", i + 1))];
    let engine = &cluster.decode_engines[i];
    agent.id().is_some() && engine.is_responding() && !engine.held_requests().is_empty()
}

fn busy_host(site: &TestSite) -> String {
    format!("decode-{}", busy(site) + 1)
}

/// Brings back what was frozen, and agents that were killed: they free what
/// their engines hold for nobody, as after an import that died with its agent.
fn mend(site: &mut TestSite) {
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
    agent_then_agent = { Harm::DecodeAgentKilled, Harm::DecodeAgentKilled },
    agent_then_engine = { Harm::DecodeAgentKilled, Harm::DecodeEngineKilled },
    engine_then_agent_frozen = { Harm::DecodeEngineKilled, Harm::DecodeAgentFrozen },
    engine_frozen_then_engine = { Harm::DecodeEngineFrozen, Harm::DecodeEngineKilled },
    prefill_agent_then_engine = { Harm::PrefillAgentKilled, Harm::DecodeEngineKilled },
    prefill_engine_then_agent = { Harm::PrefillEngineKilled, Harm::DecodeAgentKilled },
    stall_then_engine = { Harm::TransfersStalled, Harm::DecodeEngineKilled },
    stall_then_agent = { Harm::TransfersStalled, Harm::DecodeAgentKilled },
    peer_then_engine = { Harm::OtherEntryKilled, Harm::DecodeEngineKilled },
    store_then_agent = { Harm::StoreOut, Harm::DecodeAgentKilled },
    store_then_engine_frozen = { Harm::StoreOut, Harm::DecodeEngineFrozen },
    store_then_list = { Harm::StoreOut, Harm::ListOut },
    list_then_agent = { Harm::ListOut, Harm::DecodeAgentKilled },
)]
fn stream_survives(first: Harm, second: Harm) {
    let mut site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    let response = session::stream_with_action(&mut site, &key, PROMPT, MAX, |s| {
        first.strike(s);
        second.strike(s);
    });
    mend(&mut site);
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.text, fake::answer_text(PROMPT, MAX));
    assert!(response.finished);
    let empty = site.cluster.wait_until(session::WAIT_LIMIT, |cluster| {
        cluster.held_requests().is_empty()
    });
    assert!(empty, "{:?}", site.cluster.held_requests());
}

/// Everything in the second of two availability zones goes at once.
fn lose_zone(site: &mut TestSite) {
    for host in ["entry-2", "prefill-2", "decode-2", "service-2"] {
        let i = site.cluster.daemon_index(host);
        site.cluster.daemons[i].kill();
    }
    site.cluster.prefill_engines[1].kill();
    site.cluster.decode_engines[1].kill();
    site.cluster.services[1].kill();
}

#[test]
fn zone_gone_at_once_cuts_off_no_stream_of_the_others() {
    let mut site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    let response = session::stream_with_action(&mut site, &key, PROMPT, MAX, lose_zone);
    assert_eq!(
        response.text,
        fake::answer_text(PROMPT, MAX),
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
fn entry_dead_while_its_transfer_stalls_leaves_nothing() {
    let mut site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster
        .prefill_engines
        .iter()
        .for_each(|e| e.set_stalled(true));
    std::thread::scope(|scope| {
        let url = site.url(0, "/v1/completions");
        let body = session::completion_body(PROMPT, MAX, true);
        let key = &key;
        let caller = scope.spawn(move || session::stream_request(&url, key, &body, |_| true));
        busy(&site);
        site.cluster.daemons[0].kill();
        let response = caller.join().expect("the caller does not panic");
        assert_eq!(response.text, "");
    });
    site.cluster
        .prefill_engines
        .iter()
        .for_each(|e| e.set_stalled(false));
    assert!(site.wait_idle(), "{:?}", site.cluster.held_requests());
    let response = site.stream_completion(1, &key, PROMPT, MAX);
    assert_eq!(
        response.text,
        fake::answer_text(PROMPT, MAX),
        "{response:?}"
    );
}

#[test]
fn key_withdrawn_while_its_agent_dies_ends_the_stream() {
    let mut site = start();
    let (id, key) = site.issue_key(session::RANGERS);
    // The answer would take far longer than a withdrawal.
    let prompt = "A very long dossier [len=4000]";
    let response = session::stream_with_action(&mut site, &key, prompt, 5_000, |s| {
        Harm::DecodeAgentKilled.strike(s);
        let (code, out) = s.run_client(&["key", "withdraw", &id]);
        assert_eq!(code, 0, "{out}");
    });
    assert!(!response.finished);
    assert!(fake::answer_text(prompt, 5_000).starts_with(&response.text));
    let again = site.stream_completion(1, &key, PROMPT, MAX);
    assert_eq!(again.status, 401, "{again:?}");
}
