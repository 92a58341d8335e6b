//! Runs the threads that read the platform's host list and the store, and apply what
//! they read to the state of the entry.

use crate::app;
use crate::entry::state::Entry;
use std::io;
use std::sync;
use std::thread;
use std::time;
use store::StoreError;

/// Time between two reads of the host list.
const HOST_LIST_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time between two checks whether the host list proves that this entry is connected;
/// if it does not, the store is read.
const STORE_POLL_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Maximum time to read the host list.
const HOST_LIST_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// A division as it is stored. The random `writer` allows an entry to recognise
/// its own write if the response to it was lost.
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) struct DivisionRecord {
    pub division: quota::Division,
    pub writer: String,
}

/// Starts all watcher threads.
pub(crate) fn start_threads(entry: &sync::Arc<Entry>) -> io::Result<()> {
    let shared = entry.clone();
    spawn("hosts", move || poll_host_list(&shared))?;
    let shared = entry.clone();
    spawn("conf", move || {
        watch_key(&shared, store::CONFIG_KEY, apply_configuration)
    })?;
    let shared = entry.clone();
    spawn("division", move || {
        watch_key(&shared, store::EPOCH_KEY, apply_division);
    })?;
    let shared = entry.clone();
    spawn("store-poll", move || poll_store(&shared))?;
    Ok(())
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.into()).spawn(work)?;
    Ok(())
}

/// Reads the platform's host list at intervals.
fn poll_host_list(entry: &Entry) {
    let agent = ureq::Agent::config_builder()
        .timeout_global(Some(HOST_LIST_TIMEOUT))
        .build()
        .new_agent();
    let url = format!("http://{}/hosts", entry.settings.hosts);
    loop {
        let result = agent
            .get(&url)
            .call()
            .and_then(|mut response| response.body_mut().read_json::<Vec<world::Host>>());
        match result {
            Ok(hosts) => {
                let contains_self = hosts.iter().any(|h| h.name == entry.settings.host);
                entry
                    .validity
                    .lock()
                    .record_host_list(contains_self, time::Instant::now());
                entry.peers.set_hosts(hosts);
            }
            Err(error) => trace::LogLine::new("hosts_unreadable")
                .with("error", error)
                .debug(),
        }
        thread::sleep(HOST_LIST_INTERVAL);
    }
}

/// Watches a key of the store and passes each value to `on_value`. Records each
/// response as evidence that this entry is connected to the store.
fn watch_key(entry: &Entry, key: &str, on_value: fn(&Entry, &store::VersionedValue)) {
    let client = store::Client::new(entry.settings.store);
    app::watch_key(&client, key, entry.incarnation, |value| {
        entry
            .validity
            .lock()
            .record_store_response(time::Instant::now());
        if let Some(value) = value {
            on_value(entry, value);
        }
    });
}

/// Reads the store at intervals while the host list does not prove that this entry
/// is connected: a watch without events may have lost its connection unnoticed.
fn poll_store(entry: &Entry) {
    loop {
        thread::sleep(STORE_POLL_INTERVAL);
        if entry
            .validity
            .lock()
            .host_list_suffices(time::Instant::now())
        {
            continue;
        }
        if let Err(error) = read_store(entry) {
            trace::LogLine::new("store_silent")
                .with("error", error)
                .debug();
        }
    }
}

/// Reads the configuration and the division from the store once and applies
/// them.
pub(crate) fn read_store(entry: &Entry) -> Result<(), StoreError> {
    let client = store::Client::new(entry.settings.store);
    if let Some(value) = client.get(store::CONFIG_KEY)? {
        apply_configuration(entry, &value);
    }
    if let Some(value) = client.get(store::EPOCH_KEY)? {
        apply_division(entry, &value);
    }
    entry
        .validity
        .lock()
        .record_store_response(time::Instant::now());
    Ok(())
}

fn apply_configuration(entry: &Entry, value: &store::VersionedValue) {
    match serde_json::from_slice::<conf::ConfigurationRevision>(&value.value) {
        Ok(configuration) => entry.adopt_configuration(configuration),
        Err(error) => trace::LogLine::new("configuration_unreadable")
            .with("error", error)
            .error(),
    }
}

fn apply_division(entry: &Entry, value: &store::VersionedValue) {
    match serde_json::from_slice::<DivisionRecord>(&value.value) {
        Ok(record) => entry.adopt_division(record.division, Some(value.revision)),
        Err(error) => trace::LogLine::new("division_unreadable")
            .with("error", error)
            .error(),
    }
}
