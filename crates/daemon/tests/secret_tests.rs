//! Tests that a caller's key appears in no upstream call, log, metric, span, file or stored value,
//! and that no process accepts a peer with another secret.

mod session;

use fake::ClusterSpec;
use session::TestSite;
use std::fs;
use std::path;
use tokio::runtime;
use wire::api::PeerClient;

fn start() -> TestSite {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let spec = ClusterSpec {
        traces: true,
        ..ClusterSpec::small()
    };
    TestSite::start(spec, program, &[])
}

#[test]
fn key_secret_appears_nowhere() {
    let site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    let secret = key
        .split('_')
        .nth(2)
        .expect("a key has a secret")
        .to_owned();
    assert_eq!(site.stream_completion(0, &key, "a prompt", 20).status, 200);
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "order-1"),
        ("cookie", key.as_str()),
    ];
    let url = site.url(0, "/dispatch/orders");
    assert_eq!(
        session::send_request("POST", &url, &headers, "{}").status,
        201
    );
    for daemon in &site.cluster.daemons {
        assert!(!daemon.log().contains(&secret), "{}", daemon.host);
        assert!(!session::read_metrics(daemon.admin_address).contains(&secret));
    }
    let received = format!("{:?}", site.cluster.services[0].executions());
    assert!(
        received.contains("order-1") && !received.contains(&secret),
        "{received}"
    );
    let has_agent_span =
        |cluster: &fake::TestCluster| cluster.collector.dump().contains("\"agent\"");
    assert!(site.cluster.wait_until(session::WAIT_LIMIT, has_agent_span));
    assert!(!site.cluster.collector.dump().contains(&secret));
    let stored = format!("{:?}", site.cluster.store.dump());
    assert!(stored.contains(session::RANGERS) && !stored.contains(&secret));
    for file in fs::read_dir(&site.cluster.folder).expect("the folder of the cluster can be listed")
    {
        let path = file.expect("an entry of the folder can be read").path();
        let text = fs::read_to_string(&path).unwrap_or_default();
        assert!(!text.contains(&secret), "{}", path.display());
    }
}

#[test]
fn peer_with_another_secret_is_refused_by_every_process() {
    let site = start();
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
    for daemon in &site.cluster.daemons {
        let response = hello(daemon.peer_address, fake::SHARED_SECRET);
        assert_eq!(response.map(|h| h.host), Some(daemon.host.clone()));
        assert!(hello(daemon.peer_address, "some other secret").is_none());
    }
}
