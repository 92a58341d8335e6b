//! Keys reach no upstream, log, span or store; strangers reach no agent.

mod session;

use fake::ClusterSpec;
use session::Session;
use std::fs;
use std::path;
use tokio::runtime;
use wire::api::PeerClient;

fn start() -> Session {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let shape = ClusterSpec {
        traces: true,
        ..ClusterSpec::small()
    };
    Session::start(shape, program, &[])
}

#[test]
fn key_is_found_nowhere() {
    let session = start();
    let (_, key) = session.issue_key(session::RANGERS);
    let secret = key
        .split('_')
        .nth(2)
        .expect("a key has a secret")
        .to_owned();
    assert_eq!(
        session.stream_completion(0, &key, "a prompt", 20).status,
        200
    );
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "order-1"),
        ("cookie", key.as_str()),
    ];
    let url = session.url(0, "/dispatch/orders");
    assert_eq!(
        session::send_request("POST", &url, &headers, "{}").status,
        201
    );
    for daemon in &session.lab.daemons {
        assert!(!daemon.log().contains(&secret), "{}", daemon.host);
        assert!(!session::read_metrics(daemon.admin).contains(&secret));
    }
    let seen = format!("{:?}", session.lab.services[0].executions());
    assert!(
        seen.contains("order-1") && !seen.contains(&secret),
        "{seen}"
    );
    let sent = |lab: &fake::TestCluster| lab.collector.dump().contains("\"agent\"");
    assert!(session.lab.wait_until(session::WAIT_LIMIT, sent));
    assert!(!session.lab.collector.dump().contains(&secret));
    let stored = format!("{:?}", session.lab.store.dump());
    assert!(stored.contains(session::RANGERS) && !stored.contains(&secret));
    for file in fs::read_dir(&session.lab.folder).expect("the lab has a folder") {
        let path = file.expect("the folder can be read").path();
        let text = fs::read_to_string(&path).unwrap_or_default();
        assert!(!text.contains(&secret), "{}", path.display());
    }
}

#[test]
fn stranger_is_refused_by_every_process() {
    let session = start();
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    let hello = |address, secret: &str| {
        let secrets = wire::Secrets::new([secret.to_owned()]);
        runtime.block_on(async {
            let link = wire::connect(address, &secrets).await.ok()?;
            link.hello().await.ok()
        })
    };
    for daemon in &session.lab.daemons {
        let known = hello(daemon.listen, fake::SHARED_SECRET);
        assert_eq!(known.map(|h| h.host), Some(daemon.host.clone()));
        assert!(hello(daemon.listen, "some other secret").is_none());
    }
}
