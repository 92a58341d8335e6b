//! Tests calls to plain services: they are relayed unchanged, and a non-idempotent call runs at most
//! once.

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

/// Sends an order with a timeout of 25 s, which is long enough for a machine under load.
fn send_order(
    site: &TestSite,
    entry: usize,
    key: &str,
    idempotency_key: &str,
    body: &str,
) -> Response {
    send_order_within(site, entry, key, idempotency_key, body, "25000")
}

/// Sends an order with a timeout in milliseconds.
fn send_order_within(
    site: &TestSite,
    entry: usize,
    key: &str,
    idempotency_key: &str,
    body: &str,
    timeout_ms: &str,
) -> Response {
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", idempotency_key),
        ("x-hornbeampitch-timeout-ms", timeout_ms),
    ];
    let url = site.url(entry, "/dispatch/orders?unit=tracks");
    session::send_request("POST", &url, &headers, body)
}

/// Sets the fault of every service from now on.
fn set_fault(site: &TestSite, fault: ServiceFault) {
    let services = site.cluster.services.iter();
    services.for_each(|s| s.set_fault(fault));
}

/// Counts how often the services have recorded a run of the order with this idempotency key.
fn execution_count(site: &TestSite, idempotency_key: &str) -> usize {
    let services = site.cluster.services.iter();
    services
        .flat_map(|s| s.executions())
        .filter(|e| e.key.as_deref() == Some(idempotency_key))
        .count()
}

/// Waits until a service runs a call and returns the service's index.
fn wait_for_execution(site: &TestSite) -> usize {
    let busy_service = |cluster: &fake::TestCluster| {
        let mut services = cluster.services.iter();
        services.position(|s| !s.executions().is_empty())
    };
    site.cluster.wait_until(session::WAIT_LIMIT, |cluster| {
        busy_service(cluster).is_some()
    });
    busy_service(&site.cluster).expect("the order runs")
}

/// Checks that an order whose response says that it has not run has indeed never run.
fn assert_not_run_is_true(site: &TestSite, response: &Response, idempotency_key: &str) {
    if response.text.contains("\"not_run\":true") {
        assert_eq!(execution_count(site, idempotency_key), 0, "{response:?}");
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
    let executions: Vec<_> = site
        .cluster
        .services
        .iter()
        .flat_map(|s| s.executions())
        .collect();
    assert_eq!(executions.len(), 1);
    assert_eq!(executions[0].method, "PUT");
    assert_eq!(executions[0].path, "/dispatch/orders/9?unit=tracks");
    assert_eq!(executions[0].body, ORDER);
    assert!(executions[0].headers.contains("x-caller"));
    assert!(!executions[0].headers.contains(&key));
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
fn repeated_order_gets_the_first_answer() {
    let site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    let first = send_order(&site, 0, &key, "order-1", ORDER);
    assert_eq!(first.status, 201, "{first:?}");
    let repeated = send_order(&site, 1, &key, "order-1", ORDER);
    assert_eq!((repeated.status, &repeated.text), (201, &first.text));
    assert!(repeated.headers.contains("idempotent-replayed"));
    assert_eq!(execution_count(&site, "order-1"), 1);
}

#[test]
fn order_key_used_for_another_order_is_refused() {
    let site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    send_order(&site, 0, &key, "order-1", ORDER);
    let other = send_order(&site, 0, &key, "order-1", "{\"defect\":18}");
    assert_eq!(other.status, 422, "{other:?}");
    // Idempotency keys of different organisations are independent of each other.
    let (_, farms) = site.issue_key(session::FARMS);
    let theirs = send_order(&site, 0, &farms, "order-1", "{\"defect\":18}");
    assert_eq!(theirs.status, 201, "{theirs:?}");
}

#[test]
fn order_sent_concurrently_runs_once() {
    let site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    let slow = ServiceFault::Delay(time::Duration::from_millis(100));
    set_fault(&site, slow);
    let responses: Vec<Response> = thread::scope(|scope| {
        let callers: Vec<_> = (0..8)
            .map(|i| {
                let (site, key) = (&site, &key);
                scope.spawn(move || send_order(site, i % 2, key, "order-1", ORDER))
            })
            .collect();
        let joined = callers.into_iter().map(|c| c.join());
        joined.map(|c| c.expect("no caller panics")).collect()
    });
    assert_eq!(execution_count(&site, "order-1"), 1);
    assert!(responses.iter().all(|r| r.status == 201), "{responses:?}");
}

#[test]
fn order_with_lost_answer_has_unknown_outcome_and_is_not_repeated() {
    let site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    set_fault(&site, ServiceFault::DropResponse);
    let first = send_order(&site, 0, &key, "order-1", ORDER);
    set_fault(&site, ServiceFault::None);
    let repeated = send_order(&site, 1, &key, "order-1", ORDER);
    for response in [first, repeated] {
        assert_eq!(response.status, 502, "{response:?}");
        assert!(response.text.contains("outcome_unknown"), "{response:?}");
    }
    assert_eq!(execution_count(&site, "order-1"), 1);
}

#[test]
fn order_is_not_repeated_after_its_agent_is_killed() {
    let mut site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    set_fault(&site, ServiceFault::Delay(time::Duration::from_secs(20)));
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
        let service = wait_for_execution(&site);
        let agent = site
            .cluster
            .daemon_index(&format!("service-{}", service + 1));
        site.cluster.daemons[agent].kill();
        caller.join().expect("the caller thread does not panic")
    });
    assert_eq!(first.status, 502, "{first:?}");
    let repeated = send_order_within(&site, 1, &key, "order-1", ORDER, "3000");
    assert_eq!(repeated.status, 502, "{repeated:?}");
    assert_eq!(execution_count(&site, "order-1"), 1);
}

#[test]
fn order_is_refused_during_a_store_outage() {
    let site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster.store.set_mode(StoreMode::Unavailable);
    let refused = send_order_within(&site, 0, &key, "order-1", ORDER, "3000");
    assert_eq!(refused.status, 503, "{refused:?}");
    // This attempt has not run; without the store, the entry cannot tell whether an earlier one did.
    assert!(
        refused.text.contains("\"this_sending_not_run\":true"),
        "{refused:?}"
    );
    assert!(refused.text.contains("\"not_run\":false"), "{refused:?}");
    assert!(refused.text.contains("durable"), "{refused:?}");
    assert_eq!(execution_count(&site, "order-1"), 0);
    // Idempotent methods are still served.
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let read = session::send_request("GET", &site.url(1, "/dispatch/orders/1"), &headers, "");
    assert_eq!(read.status, 200, "{read:?}");
    site.cluster.store.set_mode(StoreMode::Normal);
    let repeated = send_order(&site, 1, &key, "order-1", ORDER);
    assert_eq!(repeated.status, 201, "{repeated:?}");
    assert_eq!(execution_count(&site, "order-1"), 1);
}

#[test]
fn order_runs_once_although_the_answer_to_its_claim_is_lost() {
    let site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    for i in 0..6 {
        site.cluster
            .store
            .set_mode(StoreMode::DropResponses(1 + i % 3));
        let idempotency_key = format!("order-{i}");
        let response = send_order(&site, i as usize % 2, &key, &idempotency_key, ORDER);
        assert_eq!(response.status, 201, "{response:?}");
        assert_eq!(execution_count(&site, &idempotency_key), 1);
    }
}

#[test]
fn order_to_a_stopped_service_is_not_run_and_can_be_repeated() {
    let site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    site.cluster.services.iter().for_each(fake::Service::kill);
    let refused = send_order_within(&site, 0, &key, "order-1", ORDER, "3000");
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.text.contains("\"not_run\":true"), "{refused:?}");
    assert_not_run_is_true(&site, &refused, "order-1");
    site.cluster
        .services
        .iter()
        .for_each(fake::Service::restart);
    let repeated = send_order(&site, 1, &key, "order-1", ORDER);
    assert_eq!(repeated.status, 201, "{repeated:?}");
    assert_eq!(execution_count(&site, "order-1"), 1);
}

#[test]
fn call_without_an_idempotency_key_is_sent_once() {
    let site = start();
    let (_, key) = site.issue_key(session::RANGERS);
    set_fault(&site, ServiceFault::DropResponse);
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
fn refusal_of_a_repeated_order_says_nothing_about_the_first_attempt() {
    let site = start();
    let (id, key) = site.issue_key(session::RANGERS);
    assert_eq!(send_order(&site, 0, &key, "order-1", ORDER).status, 201);
    let (code, out) = site.run_client(&["key", "withdraw", &id]);
    assert_eq!(code, 0, "{out}");
    let repeated = send_order(&site, 0, &key, "order-1", ORDER);
    assert_eq!(repeated.status, 401, "{repeated:?}");
    assert_not_run_is_true(&site, &repeated, "order-1");
    assert!(
        repeated.text.contains("\"this_sending_not_run\":true"),
        "{repeated:?}"
    );
}
