//! Threads that read the platform: its host list and its key-value service.

use crate::app;
use crate::entry::state::Entry;
use std::io;
use std::sync;
use std::thread;
use std::time;
use store::StoreError;

const HOSTS_INTERVAL: time::Duration = time::Duration::from_millis(500);
const STORE_INTERVAL: time::Duration = time::Duration::from_secs(2);
const HOSTS_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// How the store keeps a division: with its writer, so that a lost answer can
/// be read back.
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) struct DivisionRecord {
    pub division: quota::Division,
    pub writer: String,
}

/// Starts all feeds.
pub(crate) fn start_threads(entry: &sync::Arc<Entry>) -> io::Result<()> {
    let hosts = entry.clone();
    spawn("hosts", move || poll_hosts(&hosts))?;
    let conf = entry.clone();
    spawn("conf", move || {
        follow_key(&conf, store::CONF_KEY, apply_configuration)
    })?;
    let epochs = entry.clone();
    spawn("epochs", move || {
        follow_key(&epochs, store::EPOCH_KEY, apply_division);
    })?;
    let poller = entry.clone();
    spawn("vouch", move || poll_store(&poller))?;
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
        let listed = agent
            .get(&url)
            .call()
            .and_then(|mut response| response.body_mut().read_json::<Vec<world::Host>>());
        match listed {
            Ok(hosts) => {
                let named = hosts.iter().any(|h| h.name == entry.settings.host);
                entry.trust.lock().record_list(named, time::Instant::now());
                entry.peers.set_hosts(hosts);
            }
            Err(error) => trace::Line::new("hosts_unread")
                .with("error", error)
                .debug(),
        }
        thread::sleep(HOSTS_INTERVAL);
    }
}

/// Follows a key and notes that the store was heard.
fn follow_key(entry: &Entry, key: &str, on_value: fn(&Entry, &store::Versioned)) {
    let client = store::Client::new(entry.settings.store);
    app::watch_key(&client, key, entry.incarnation, |value| {
        entry.trust.lock().record_store_answer(time::Instant::now());
        if let Some(value) = value {
            on_value(entry, value);
        }
    });
}

/// Asks the store while the host list is no sign that nothing has changed: a
/// watch that is silent may be one that was cut.
fn poll_store(entry: &Entry) {
    loop {
        thread::sleep(STORE_INTERVAL);
        if entry.trust.lock().list_suffices(time::Instant::now()) {
            continue;
        }
        if let Err(error) = read_store(entry) {
            trace::Line::new("store_silent")
                .with("error", error)
                .debug();
        }
    }
}

/// Reads both keys once, as after a pause.
pub(crate) fn read_store(entry: &Entry) -> Result<(), StoreError> {
    let client = store::Client::new(entry.settings.store);
    if let Some(value) = client.get(store::CONF_KEY)? {
        apply_configuration(entry, &value);
    }
    if let Some(value) = client.get(store::EPOCH_KEY)? {
        apply_division(entry, &value);
    }
    entry.trust.lock().record_store_answer(time::Instant::now());
    Ok(())
}

fn apply_configuration(entry: &Entry, value: &store::Versioned) {
    match serde_json::from_slice::<conf::Revised>(&value.value) {
        Ok(configuration) => entry.adopt_configuration(configuration),
        Err(error) => trace::Line::new("configuration_unreadable")
            .with("error", error)
            .error(),
    }
}

fn apply_division(entry: &Entry, value: &store::Versioned) {
    match serde_json::from_slice::<DivisionRecord>(&value.value) {
        Ok(record) => entry.adopt_division(record.division, Some(value.revision)),
        Err(error) => trace::Line::new("division_unreadable")
            .with("error", error)
            .error(),
    }
}
