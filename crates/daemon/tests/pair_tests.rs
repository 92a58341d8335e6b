//! Failures that come together or one after the other: the caller still gets
//! the whole answer, and no engine holds memory afterwards.

mod session;

use fake::ClusterSpec;
use session::Session;
use std::path;
use std::time;
use yare::parameterized;

const PROMPT: &str = "Condition of the washed-out western track [len=80]";
const MAX: u32 = 120;

fn start() -> Session {
    let mut shape = ClusterSpec {
        entries: 2,
        prefill_engines: 2,
        decode_engines: 3,
        services: 2,
        ..ClusterSpec::small()
    };
    shape.engine.step_time = time::Duration::from_millis(20);
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    Session::start(shape, program, &[])
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
    fn strike(self, session: &mut Session) {
        match self {
            Harm::DecodeAgentKilled => {
                let agent = session.lab.daemon_index(&busy_host(session));
                session.lab.daemons[agent].kill();
            }
            Harm::DecodeAgentFrozen => {
                assert!(session.lab.signal(&busy_host(session), "STOP"));
            }
            Harm::DecodeEngineKilled => session.lab.decode_engines[busy(session)].kill(),
            Harm::DecodeEngineFrozen => session.lab.decode_engines[busy(session)].set_frozen(true),
            Harm::PrefillAgentKilled => {
                let agent = session.lab.daemon_index("prefill-1");
                session.lab.daemons[agent].kill();
            }
            Harm::PrefillEngineKilled => session.lab.prefill_engines[0].kill(),
            Harm::TransfersStalled => session.lab.prefill_engines[0].set_stalled(true),
            Harm::OtherEntryKilled => session.lab.daemons[1].kill(),
            Harm::StoreOut => session.lab.store.kill(),
            Harm::ListOut => session.lab.hosts.kill(),
        }
    }
}

/// The decode engine that streams for its agent, once one does.
fn busy(session: &Session) -> usize {
    let find =
        |lab: &fake::TestCluster| (0..lab.decode_engines.len()).find(|i| is_streaming(lab, *i));
    session
        .lab
        .wait_until(session::WAIT_LIMIT, |lab| find(lab).is_some());
    find(&session.lab).expect("an engine streams")
}

/// An engine whose agent was killed goes on for nobody.
fn is_streaming(lab: &fake::TestCluster, i: usize) -> bool {
    let agent = &lab.daemons[lab.daemon_index(&format!("decode-{}", i + 1))];
    let engine = &lab.decode_engines[i];
    agent.id().is_some() && engine.is_responding() && !engine.held_requests().is_empty()
}

fn busy_host(session: &Session) -> String {
    format!("decode-{}", busy(session) + 1)
}

/// Brings back what was frozen, and agents that were killed: they free what
/// their engines hold for nobody, as after an import that died with its agent.
fn mend(session: &mut Session) {
    for engine in &session.lab.decode_engines {
        engine.set_frozen(false);
    }
    for host in ["decode-1", "decode-2", "decode-3", "prefill-1"] {
        if !session.lab.signal(host, "CONT") {
            let agent = session.lab.daemon_index(host);
            session.lab.spawn(agent);
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
    let mut session = start();
    let (_, key) = session.issue_key(session::RANGERS);
    let response = session::stream_with_action(&mut session, &key, PROMPT, MAX, |s| {
        first.strike(s);
        second.strike(s);
    });
    mend(&mut session);
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.text, fake::answer_text(PROMPT, MAX));
    assert!(response.finished);
    let empty = session
        .lab
        .wait_until(session::WAIT_LIMIT, |lab| lab.held_requests().is_empty());
    assert!(empty, "{:?}", session.lab.held_requests());
}

/// Everything in the second of two availability zones goes at once.
fn lose_zone(session: &mut Session) {
    for host in ["entry-2", "prefill-2", "decode-2", "service-2"] {
        let i = session.lab.daemon_index(host);
        session.lab.daemons[i].kill();
    }
    session.lab.prefill_engines[1].kill();
    session.lab.decode_engines[1].kill();
    session.lab.services[1].kill();
}

#[test]
fn zone_gone_at_once_cuts_off_no_stream_of_the_others() {
    let mut session = start();
    let (_, key) = session.issue_key(session::RANGERS);
    let response = session::stream_with_action(&mut session, &key, PROMPT, MAX, lose_zone);
    assert_eq!(
        response.text,
        fake::answer_text(PROMPT, MAX),
        "{response:?}"
    );
    for i in 0..6 {
        let prompt = format!("{PROMPT} again {i}");
        let response = session.stream_completion(0, &key, &prompt, 40);
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
    let order = session::send_request("POST", &session.url(0, "/dispatch/orders"), &headers, "{}");
    assert_eq!(order.status, 201, "{order:?}");
    assert!(session.wait_idle(), "{:?}", session.lab.held_requests());
}

#[test]
fn entry_dead_while_its_transfer_stalls_leaves_nothing() {
    let mut session = start();
    let (_, key) = session.issue_key(session::RANGERS);
    session
        .lab
        .prefill_engines
        .iter()
        .for_each(|e| e.set_stalled(true));
    std::thread::scope(|scope| {
        let url = session.url(0, "/v1/completions");
        let body = session::completion_body(PROMPT, MAX, true);
        let key = &key;
        let caller = scope.spawn(move || session::stream_request(&url, key, &body, |_| true));
        busy(&session);
        session.lab.daemons[0].kill();
        let response = caller.join().expect("the caller does not panic");
        assert_eq!(response.text, "");
    });
    session
        .lab
        .prefill_engines
        .iter()
        .for_each(|e| e.set_stalled(false));
    assert!(session.wait_idle(), "{:?}", session.lab.held_requests());
    let response = session.stream_completion(1, &key, PROMPT, MAX);
    assert_eq!(
        response.text,
        fake::answer_text(PROMPT, MAX),
        "{response:?}"
    );
}

#[test]
fn key_withdrawn_while_its_agent_dies_ends_the_stream() {
    let mut session = start();
    let (id, key) = session.issue_key(session::RANGERS);
    // The answer would take far longer than a withdrawal.
    let prompt = "A very long dossier [len=4000]";
    let response = session::stream_with_action(&mut session, &key, prompt, 5_000, |s| {
        Harm::DecodeAgentKilled.strike(s);
        let (code, out) = s.run_client(&["key", "withdraw", &id]);
        assert_eq!(code, 0, "{out}");
    });
    assert!(!response.finished);
    assert!(fake::answer_text(prompt, 5_000).starts_with(&response.text));
    let again = session.stream_completion(1, &key, PROMPT, MAX);
    assert_eq!(again.status, 401, "{again:?}");
}
