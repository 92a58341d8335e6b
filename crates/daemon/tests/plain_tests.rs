//! Plain services: relayed as they are, and non-idempotent calls at most once.

mod session;

use fake::ClusterSpec;
use fake::ServiceFault;
use fake::StoreMode;
use session::Response;
use session::TestSite;
use std::path;
use std::thread;
use std::time;

const ORDER: &str = "{\"defect\":17,\"crew\":\"north\"}";

fn start() -> TestSite {
    let spec = ClusterSpec {
        entries: 2,
        services: 2,
        prefill_engines: 1,
        decode_engines: 1,
        ..ClusterSpec::small()
    };
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    TestSite::start(spec, program, &[])
}

/// Orders with a caller who waits for as long as a machine under load may need.
fn order(site: &TestSite, entry: usize, key: &str, claim: &str, body: &str) -> Response {
    order_within(site, entry, key, claim, body, "25000")
}

fn order_within(
    site: &TestSite,
    entry: usize,
    key: &str,
    claim: &str,
    body: &str,
    millis: &str,
) -> Response {
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", claim),
        ("x-hornbeampitch-timeout-ms", millis),
    ];
    let url = site.url(entry, "/dispatch/orders?unit=tracks");
    session::send_request("POST", &url, &headers, body)
}

/// Sets what goes wrong at every service from now on.
fn trouble(site: &TestSite, trouble: ServiceFault) {
    let services = site.cluster.services.iter();
    services.for_each(|s| s.set_fault(trouble));
}

/// How often the services ran a key, by their own record.
fn executions(site: &TestSite, claim: &str) -> usize {
    let services = site.cluster.services.iter();
    services
        .flat_map(|s| s.executions())
        .filter(|e| e.key.as_deref() == Some(claim))
        .count()
}

/// Waits until a service runs something; tells which.
fn wait_for_run(site: &TestSite) -> usize {
    let busy = |cluster: &fake::TestCluster| {
        let mut services = cluster.services.iter();
        services.position(|s| !s.executions().is_empty())
    };
    site.cluster
        .wait_until(session::WAIT_LIMIT, |cluster| busy(cluster).is_some());
    busy(&site.cluster).expect("the order runs")
}

/// Holds a refusal to its word.
fn assert_honest(site: &TestSite, response: &Response, claim: &str) {
    if response.text.contains("\"not_run\":true") {
        assert_eq!(executions(site, claim), 0, "{response:?}");
    }
}

#[test]
fn call_keeps_method_path_status_and_body() {
    let site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str()), ("x-caller", "kept")];
    let url = site.url(0, "/dispatch/orders/9?unit=tracks");
    let response = session::send_request("PUT", &url, &headers, ORDER);
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.headers.contains("x-service"), "{response:?}");
    let seen: Vec<_> = site
        .cluster
        .services
        .iter()
        .flat_map(|s| s.executions())
        .collect();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].method, "PUT");
    assert_eq!(seen[0].path, "/dispatch/orders/9?unit=tracks");
    assert_eq!(seen[0].body, ORDER);
    assert!(seen[0].headers.contains("x-caller"));
    assert!(!seen[0].headers.contains(&key));
}

#[test]
fn open_route_needs_no_key_and_others_do() {
    let site = start();
    let open = session::send_request("GET", &site.url(0, "/open/status"), &[], "");
    assert_eq!(open.status, 200, "{open:?}");
    let closed = session::send_request("GET", &site.url(0, "/dispatch/orders"), &[], "");
    assert_eq!(closed.status, 401, "{closed:?}");
    let nowhere = session::send_request("GET", &site.url(0, "/elsewhere"), &[], "");
    assert_eq!(nowhere.status, 404, "{nowhere:?}");
}

#[test]
fn order_sent_again_gets_the_first_answer() {
    let site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    let first = order(&site, 0, &key, "order-1", ORDER);
    assert_eq!(first.status, 201, "{first:?}");
    let again = order(&site, 1, &key, "order-1", ORDER);
    assert_eq!((again.status, &again.text), (201, &first.text));
    assert!(again.headers.contains("idempotent-replayed"));
    assert_eq!(executions(&site, "order-1"), 1);
}

#[test]
fn order_key_used_for_another_order_is_refused() {
    let site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    order(&site, 0, &key, "order-1", ORDER);
    let other = order(&site, 0, &key, "order-1", "{\"defect\":18}");
    assert_eq!(other.status, 422, "{other:?}");
    // The same key of another organisation is another key.
    let (_, farms) = site.issue_key(session::FARMS);
    let theirs = order(&site, 0, &farms, "order-1", "{\"defect\":18}");
    assert_eq!(theirs.status, 201, "{theirs:?}");
}

#[test]
fn order_sent_many_times_at_once_runs_once() {
    let site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    let slow = ServiceFault::Delay(time::Duration::from_millis(100));
    trouble(&site, slow);
    let response: Vec<Response> = thread::scope(|scope| {
        let callers: Vec<_> = (0..8)
            .map(|i| {
                let (site, key) = (&site, &key);
                scope.spawn(move || order(site, i % 2, key, "order-1", ORDER))
            })
            .collect();
        let joined = callers.into_iter().map(|c| c.join());
        joined.map(|c| c.expect("no caller panics")).collect()
    });
    assert_eq!(executions(&site, "order-1"), 1);
    assert!(response.iter().all(|g| g.status == 201), "{response:?}");
}

#[test]
fn order_whose_answer_was_lost_is_unknown_and_never_run_again() {
    let site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    trouble(&site, ServiceFault::DropResponse);
    let first = order(&site, 0, &key, "order-1", ORDER);
    trouble(&site, ServiceFault::None);
    let again = order(&site, 1, &key, "order-1", ORDER);
    for response in [first, again] {
        assert_eq!(response.status, 502, "{response:?}");
        assert!(response.text.contains("outcome_unknown"), "{response:?}");
    }
    assert_eq!(executions(&site, "order-1"), 1);
}

#[test]
fn order_whose_agent_died_midway_is_never_run_again() {
    let mut site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    trouble(&site, ServiceFault::Delay(time::Duration::from_secs(20)));
    let url = site.url(0, "/dispatch/orders?unit=tracks");
    let bearer = format!("Bearer {key}");
    let first = thread::scope(|scope| {
        let caller = scope.spawn(|| {
            let headers = [
                ("authorization", bearer.as_str()),
                ("idempotency-key", "order-1"),
                ("x-hornbeampitch-timeout-ms", "10000"),
            ];
            session::send_request("POST", &url, &headers, ORDER)
        });
        let home = wait_for_run(&site);
        let agent = site.cluster.daemon_index(&format!("service-{}", home + 1));
        site.cluster.daemons[agent].kill();
        caller.join().expect("the caller does not panic")
    });
    assert_eq!(first.status, 502, "{first:?}");
    let again = order_within(&site, 1, &key, "order-1", ORDER, "3000");
    assert_eq!(again.status, 502, "{again:?}");
    assert_eq!(executions(&site, "order-1"), 1);
}

#[test]
fn order_in_an_outage_is_refused_with_what_is_known() {
    let site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster.store.set_mode(StoreMode::Unavailable);
    let refused = order_within(&site, 0, &key, "order-1", ORDER, "3000");
    assert_eq!(refused.status, 503, "{refused:?}");
    // This sending has not run; whether an earlier one did, nobody can tell now.
    assert!(
        refused.text.contains("\"this_sending_not_run\":true"),
        "{refused:?}"
    );
    assert!(refused.text.contains("\"not_run\":false"), "{refused:?}");
    assert!(refused.text.contains("durable"), "{refused:?}");
    assert_eq!(executions(&site, "order-1"), 0);
    // Reading methods go on meanwhile.
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let read = session::send_request("GET", &site.url(1, "/dispatch/orders/1"), &headers, "");
    assert_eq!(read.status, 200, "{read:?}");
    site.cluster.store.set_mode(StoreMode::Normal);
    let again = order(&site, 1, &key, "order-1", ORDER);
    assert_eq!(again.status, 201, "{again:?}");
    assert_eq!(executions(&site, "order-1"), 1);
}

#[test]
fn order_whose_claim_answer_was_lost_runs_once() {
    let site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    for i in 0..6 {
        site.cluster
            .store
            .set_mode(StoreMode::DropResponses(1 + i % 3));
        let claim = format!("order-{i}");
        let response = order(&site, i as usize % 2, &key, &claim, ORDER);
        assert_eq!(response.status, 201, "{response:?}");
        assert_eq!(executions(&site, &claim), 1);
    }
}

#[test]
fn order_whose_service_is_down_is_not_run_and_can_be_sent_again() {
    let site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster.services.iter().for_each(fake::Service::kill);
    let refused = order_within(&site, 0, &key, "order-1", ORDER, "3000");
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.text.contains("\"not_run\":true"), "{refused:?}");
    assert_honest(&site, &refused, "order-1");
    site.cluster
        .services
        .iter()
        .for_each(fake::Service::restart);
    let again = order(&site, 1, &key, "order-1", ORDER);
    assert_eq!(again.status, 201, "{again:?}");
    assert_eq!(executions(&site, "order-1"), 1);
}

#[test]
fn call_without_a_key_is_sent_once() {
    let site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    trouble(&site, ServiceFault::DropResponse);
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let response = session::send_request("POST", &site.url(0, "/dispatch/orders"), &headers, ORDER);
    assert_eq!(response.status, 502, "{response:?}");
    let ran: usize = site
        .cluster
        .services
        .iter()
        .map(|s| s.executions().len())
        .sum();
    assert_eq!(ran, 1);
}

#[test]
fn resend_refused_at_the_door_says_nothing_of_the_first() {
    let site = start();
    let (id, key) = site.issue_key(session::RANGERS);
    assert_eq!(order(&site, 0, &key, "order-1", ORDER).status, 201);
    let (code, out) = site.run_client(&["key", "withdraw", &id]);
    assert_eq!(code, 0, "{out}");
    let again = order(&site, 0, &key, "order-1", ORDER);
    assert_eq!(again.status, 401, "{again:?}");
    assert_honest(&site, &again, "order-1");
    assert!(
        again.text.contains("\"this_sending_not_run\":true"),
        "{again:?}"
    );
}
