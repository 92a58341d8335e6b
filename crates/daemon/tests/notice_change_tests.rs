//! Tests that what a worker says of itself outlasts changes of the list, the configuration
//! and the settings.

use fake::tracks::TracksCluster;
use fake::tracks::WorkerBehaviour;
use fake::tracks::names;
use std::path;
use yare::parameterized;

/// Calls that practically always reach each of two equal hosts.
const MANY_CALLS: usize = 24;

/// What a host says of itself.
type Notice = fn(&mut WorkerBehaviour);

/// What changes after that.
type Change = fn(&mut TracksCluster);

fn say_leaving(behaviour: &mut WorkerBehaviour) {
    behaviour.leaving = &["1"];
}

fn want_no_call(behaviour: &mut WorkerBehaviour) {
    behaviour.retry_after = Some("60");
}

fn call(cluster: &TracksCluster) {
    let response = cluster.request(0, "GET", "/status/a", "", &[]);
    assert_eq!(response.status, 200, "{response:?}");
}

/// Removes a host from the list, and adds the same process again.
fn list_again(cluster: &mut TracksCluster) {
    let key = names::member_key(&cluster.hosts[0].id);
    cluster.store.remove(&key);
    cluster.wait_until(|c| c.entries[0].log().contains("id=host-0 state=Gone "));
    cluster.list_worker(&cluster.hosts[0], "app", "ready");
    let listed = "id=host-0 state=Ready ";
    cluster.wait_until(|c| c.entries[0].log().matches(listed).count() > 1);
}

fn reload(cluster: &mut TracksCluster) {
    cluster.entries[0].edit_settings("budget_slack = 56", "budget_slack = 57");
    assert!(cluster.entries[0].signal("HUP"));
    cluster.wait_until(|c| c.entries[0].log().contains("event=reload changed=true"));
}

fn reconfigure(cluster: &mut TracksCluster) {
    cluster.configure(|_| {});
    let version = format!("version={} ", cluster.configuration["version"]);
    cluster.wait_until(|c| c.entries[0].log().contains(&version));
}

#[parameterized(
    leaving_listed_again = { say_leaving, list_again },
    leaving_reloaded = { say_leaving, reload },
    leaving_reconfigured = { say_leaving, reconfigure },
    paused_listed_again = { want_no_call, list_again },
    paused_reloaded = { want_no_call, reload },
    paused_reconfigured = { want_no_call, reconfigure },
)]
fn notice_outlasts_a_change(notice: Notice, change: Change) {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut cluster = TracksCluster::new(program, &[], 2, 1);
    cluster.start();
    cluster.hosts[0].set_behaviour(notice);
    cluster.wait_until(|c| {
        call(c);
        !c.hosts[0].received().is_empty()
    });
    change(&mut cluster);
    for _ in 0..MANY_CALLS {
        call(&cluster);
    }
    assert_eq!(cluster.hosts[0].received().len(), 1);
}
