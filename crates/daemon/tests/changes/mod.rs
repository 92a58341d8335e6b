//! Changes of the configuration, the list of hosts and the settings, and planned stops.

use fake::tracks::SilentSite;
use fake::tracks::names;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;
use std::thread;
use std::time;

/// The lower time limit of routes.
pub const LOWER_TIMEOUT_MS: u64 = 3_000;
/// The higher time limit of routes in milliseconds.
const HIGHER_TIMEOUT_MS: u64 = 20_000;
/// The lower idle limit of connections in milliseconds.
const LOWER_IDLE_MS: u64 = 900;
/// Versions in a storm of them.
const STORM_VERSIONS: u64 = 20;
/// Time between two versions of a storm.
const STORM_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// What comes beside the silences; each kind but the stop is undone by its next occurrence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Routes move to other services.
    Move,
    /// Routes are dropped.
    DropRoutes,
    /// Services are dropped while their requests run.
    DropServices,
    /// Routes are split between two services.
    Split,
    /// The time limit of all routes is raised.
    RaiseTimeout,
    /// The time limit of all routes is lowered.
    LowerTimeout,
    /// The idle limit of connections is lowered.
    IdleTimeout,
    /// An API key gets another organisation with a low limit, or none.
    Keys,
    /// Many versions follow each other.
    Storm,
    /// Workers drain, and leave the list while they go on.
    HostList,
    /// An older version arrives again.
    OlderVersion,
    /// The settings are reloaded.
    Reload,
    /// An entry is told to stop.
    Stop,
}

/// All kinds of changes.
pub const ALL_CHANGES: [Change; 13] = [
    Change::Move,
    Change::DropRoutes,
    Change::DropServices,
    Change::Split,
    Change::RaiseTimeout,
    Change::LowerTimeout,
    Change::IdleTimeout,
    Change::Keys,
    Change::Storm,
    Change::HostList,
    Change::OlderVersion,
    Change::Reload,
    Change::Stop,
];

/// Applies a change, or undoes it if it is in force.
pub fn apply(site: &mut SilentSite, change: Change, initial: &Value, rng: &mut ChaCha8Rng) {
    match change {
        Change::HostList => {
            let index = rng.random_range(0..site.workers.len());
            match rng.random_range(0..3) {
                0 => site.list_worker(index, "draining"),
                1 => {
                    let key = names::member_key(&site.workers[index].id);
                    site.cluster.store.remove(&key);
                }
                _ => (0..site.workers.len()).for_each(|i| site.list_worker(i, "ready")),
            }
        }
        Change::OlderVersion => {
            let newest = site.cluster.configuration.to_string();
            for text in [initial.to_string(), newest] {
                site.cluster
                    .store
                    .put(names::CONFIGURATION_KEY, text.as_bytes());
            }
            site.cluster.configure(|_| {});
        }
        Change::Reload => {
            for entry in &site.cluster.entries {
                let ratio = ["0.2", "0.1"][rng.random_range(0..2)];
                entry.set_setting("retry_budget_ratio", ratio);
                // An entry that has been told to stop may have exited.
                let _ = entry.signal("HUP");
            }
        }
        Change::Stop => {
            // Another signal than the first changes nothing.
            let _ = site.cluster.entries[0].signal("TERM");
        }
        Change::Storm => {
            for _ in 0..STORM_VERSIONS {
                site.cluster.configure(|_| {});
                thread::sleep(STORM_INTERVAL);
            }
        }
        _ => site.cluster.configure(|document| {
            let is_changed = ["routes", "services", "limits", "tenants"]
                .iter()
                .any(|part| document[part] != initial[part]);
            *document = with_version_of(initial, document);
            if !is_changed {
                edit(document, change, rng);
            }
        }),
    }
}

/// Returns a configuration with the version of another one, which may not go back.
fn with_version_of(document: &Value, newer: &Value) -> Value {
    let mut document = document.clone();
    document["version"] = newer["version"].clone();
    document
}

fn edit(document: &mut Value, change: Change, rng: &mut ChaCha8Rng) {
    let routes = document["routes"].as_array_mut().expect("a list");
    let other = |service: &Value| format!("{}-b", service.as_str().unwrap_or_default());
    match change {
        Change::Move | Change::DropServices => {
            for route in routes {
                route["service"] = json!(other(&route["service"]));
            }
            if change == Change::DropServices {
                let services = document["services"].as_array_mut().expect("a list");
                services.drain(..2);
            }
        }
        Change::DropRoutes => {
            let dropped = rng.random_range(0..4);
            routes.remove(dropped);
        }
        Change::Split => {
            for route in routes {
                let service = route["service"].take();
                let weight = rng.random_range(1..10);
                route["traffic_split"] = json!([
                    {"service": other(&service), "weight": weight},
                    {"service": service, "weight": 10 - weight},
                ]);
                route.as_object_mut().expect("a route").remove("service");
            }
        }
        Change::RaiseTimeout => routes
            .iter_mut()
            .for_each(|r| r["timeout_ms"] = json!(HIGHER_TIMEOUT_MS)),
        Change::LowerTimeout => routes
            .iter_mut()
            .for_each(|r| r["timeout_ms"] = json!(LOWER_TIMEOUT_MS)),
        Change::IdleTimeout => document["limits"]["idle_timeout_ms"] = json!(LOWER_IDLE_MS),
        Change::Keys => {
            let tenants = document["tenants"].as_array_mut().expect("a list");
            tenants[0]["api_keys"] = json!([]);
            if rng.random_bool(0.7) {
                tenants[1]["api_keys"] = json!(["key-a", "key-b"]);
            }
        }
        Change::Storm | Change::HostList | Change::OlderVersion | Change::Reload | Change::Stop => {
        }
    }
}
