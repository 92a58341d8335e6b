//! Tests of requests that were admitted before their service was dropped from the
//! configuration: changes of the list of hosts go on to apply to them.

use fake::tracks::CallEnd;
use fake::tracks::CallRecord;
use fake::tracks::CallerRequest;
use fake::tracks::KeptCaller;
use fake::tracks::Silence;
use fake::tracks::SilencePoint;
use fake::tracks::SilentSite;
use serde_json::json;
use std::net;
use std::path;
use std::thread;
use std::time;

/// Longest wait of a caller; above the time limit of its request.
const PATIENCE: time::Duration = time::Duration::from_secs(12);
/// Latency target of the routes in milliseconds; a second attempt begins after twice this
/// time.
const TARGET_MS: u64 = 1_500;
/// Silence of a host, longer than its first attempt.
const SILENCE: time::Duration = time::Duration::from_millis(5_000);

/// Starts an entry whose services have these workers.
fn start_site(engines: usize, hosts: usize) -> SilentSite {
    let mut site = SilentSite::prepare(path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd")), 1);
    site.add_workers("llm", Some("decode"), engines);
    site.add_workers("app", None, hosts);
    let routes = &mut site.cluster.configuration["routes"];
    for route in routes.as_array_mut().expect("a list") {
        route["target_latency_ms"] = json!(TARGET_MS);
    }
    site.cluster.start();
    site
}

fn call(address: net::SocketAddr, method: &'static str, path: &str, id: &str) -> CallRecord {
    let mut caller = KeptCaller::connect(address).expect("the entry listens");
    caller.call(&CallerRequest {
        method,
        path: path.to_owned(),
        id: id.to_owned(),
        patience: PATIENCE,
    })
}

/// Drops a service and its routes, and waits until that is in force.
fn drop_service(site: &mut SilentSite, service: &str) {
    site.cluster.configure(|document| {
        for (list, name) in [("routes", "service"), ("services", "name")] {
            let items = document[list].as_array_mut().expect("a list");
            items.retain(|item| item[name] != service);
        }
    });
    let version = format!(" version={} ", site.cluster.configuration["version"]);
    site.cluster.wait_until(|cluster| {
        let log = cluster.entries[0].log();
        let mut lines = log.lines();
        lines.any(|l| l.contains("event=configuration ") && l.contains(&version))
    });
}

/// A call isn't sent again to a host that drains, also if its service was dropped.
#[test]
fn call_of_a_dropped_service_is_not_repeated_at_a_draining_host() {
    let mut site = start_site(0, 2);
    for gate in site.gates("app") {
        gate.plan(Silence {
            point: SilencePoint::BeforeHead,
            duration: SILENCE,
        });
    }
    let address = site.cluster.entries[0].caller_address;
    let other = thread::scope(|scope| {
        let caller = scope.spawn(|| call(address, "GET", "/status/length-100", "0000000000000001"));
        site.cluster
            .wait_until(|_| site.has_received("0000000000000001"));
        let mut workers = site.workers.iter();
        let other = workers
            .position(|w| w.received_ids().is_empty())
            .expect("one host has the call");
        drop_service(&mut site, "app");
        site.list_worker(other, "draining");
        let record = caller.join().expect("the caller does not panic");
        assert_eq!(record.end, CallEnd::Whole);
        other
    });
    let received = site.workers[other].received_ids();
    assert!(received.is_empty(), "{}", site.log_of_request(&received[0]));
}

/// A stream that waits for a seat gets one at an engine that comes after its service was
/// dropped.
#[test]
fn stream_of_a_dropped_service_gets_a_seat_at_a_new_engine() {
    let mut site = start_site(1, 0);
    site.workers[0].refuse_reservations(true);
    let address = site.cluster.entries[0].caller_address;
    let id = "0000000000000002";
    let record = thread::scope(|scope| {
        let caller = scope.spawn(|| call(address, "POST", "/once/events-5-10", id));
        site.cluster
            .wait_until(|_| !site.log_of_request(id).is_empty());
        drop_service(&mut site, "llm");
        site.add_workers("llm", Some("decode"), 1);
        caller.join().expect("the caller does not panic")
    });
    let seen = (record.end, record.status);
    assert_eq!(seen, (CallEnd::Whole, 200), "{}", site.log_of_request(id));
}
