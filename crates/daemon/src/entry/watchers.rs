//! Threads that read the platform's host list and watch the keys of the store.

use crate::app;
use crate::entry::state::Entry;
use std::io;
use std::sync;
use std::thread;
use std::time;
use store::StoreError;

/// Time between two reads of the host list.
const HOSTS_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time between two checks whether the store has to be read.
const STORE_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Maximum time to read the host list.
const HOSTS_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// A division as it is stored. The random `writer` allows an entry to recognise
/// its own write if the answer to it was lost.
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) struct DivisionRecord {
    pub division: quota::Division,
    pub writer: String,
}

/// Starts all watcher threads.
pub(crate) fn start_threads(entry: &sync::Arc<Entry>) -> io::Result<()> {
    let hosts = entry.clone();
    spawn("hosts", move || poll_hosts(&hosts))?;
    let conf = entry.clone();
    spawn("conf", move || {
        watch_key(&conf, store::CONFIG_KEY, apply_configuration)
    })?;
    let epochs = entry.clone();
    spawn("epochs", move || {
        watch_key(&epochs, store::EPOCH_KEY, apply_division);
    })?;
    let poller = entry.clone();
    spawn("store-poll", move || poll_store(&poller))?;
    Ok(())
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.into()).spawn(work)?;
    Ok(())
}

fn poll_hosts(entry: &Entry) {
    let agent = ureq::Agent::config_builder()
        .timeout_global(Some(HOSTS_TIMEOUT))
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
                let named = hosts.iter().any(|h| h.name == entry.settings.host);
                entry
                    .validity
                    .lock()
                    .record_host_list(named, time::Instant::now());
                entry.peers.set_hosts(hosts);
            }
            Err(error) => trace::LogLine::new("hosts_unreadable")
                .with("error", error)
                .debug(),
        }
        thread::sleep(HOSTS_INTERVAL);
    }
}

/// Watches a key and records each answer of the store as proof of contact.
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

/// Reads the store while the host list does not prove that this entry is
/// connected: a watch without events may be a broken connection.
fn poll_store(entry: &Entry) {
    loop {
        thread::sleep(STORE_INTERVAL);
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
