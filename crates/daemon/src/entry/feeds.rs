//! Threads that read the platform: its host list and its key-value service.

use crate::app;
use crate::entry::core::Entry;
use std::io;
use std::sync;
use std::thread;
use std::time;
use store::StoreError;

const LIST_INTERVAL: time::Duration = time::Duration::from_millis(500);
const VOUCH_INTERVAL: time::Duration = time::Duration::from_secs(2);
const LIST_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// How the store keeps a division: with its writer, so that a lost answer can
/// be read back.
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) struct DivisionRecord {
    pub division: quota::Division,
    pub writer: String,
}

/// Starts all feeds.
pub(crate) fn start(entry: &sync::Arc<Entry>) -> io::Result<()> {
    let hosts = entry.clone();
    spawn("hosts", move || read_hosts(&hosts))?;
    let conf = entry.clone();
    spawn("conf", move || {
        follow_key(&conf, store::CONF_KEY, take_conf)
    })?;
    let epochs = entry.clone();
    spawn("epochs", move || {
        follow_key(&epochs, store::EPOCH_KEY, take_division);
    })?;
    let voucher = entry.clone();
    spawn("vouch", move || vouch(&voucher))?;
    Ok(())
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name(name.into()).spawn(work)?;
    Ok(())
}

fn read_hosts(entry: &Entry) {
    let agent = ureq::Agent::config_builder()
        .timeout_global(Some(LIST_TIMEOUT))
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
                entry.trust.lock().hear_list(named, time::Instant::now());
                entry.peers.list(hosts);
            }
            Err(error) => trace::Line::new("hosts_unread")
                .with("error", error)
                .debug(),
        }
        thread::sleep(LIST_INTERVAL);
    }
}

/// Follows a key and notes that the store was heard.
fn follow_key(entry: &Entry, key: &str, take: fn(&Entry, &store::Versioned)) {
    let client = store::Client::new(entry.settings.store);
    app::follow(&client, key, entry.incarnation, |found| {
        entry.trust.lock().hear_store(time::Instant::now());
        if let Some(found) = found {
            take(entry, found);
        }
    });
}

/// Asks the store while the host list is no sign that nothing has changed: a
/// watch that is silent may be one that was cut.
fn vouch(entry: &Entry) {
    loop {
        thread::sleep(VOUCH_INTERVAL);
        if entry.trust.lock().listed(time::Instant::now()) {
            continue;
        }
        if let Err(error) = read_once(entry) {
            trace::Line::new("store_silent")
                .with("error", error)
                .debug();
        }
    }
}

/// Reads both keys once, as after a pause.
pub(crate) fn read_once(entry: &Entry) -> Result<(), StoreError> {
    let client = store::Client::new(entry.settings.store);
    if let Some(found) = client.get(store::CONF_KEY)? {
        take_conf(entry, &found);
    }
    if let Some(found) = client.get(store::EPOCH_KEY)? {
        take_division(entry, &found);
    }
    entry.trust.lock().hear_store(time::Instant::now());
    Ok(())
}

fn take_conf(entry: &Entry, found: &store::Versioned) {
    match serde_json::from_slice::<conf::Revised>(&found.value) {
        Ok(revised) => entry.offer(revised),
        Err(error) => trace::Line::new("configuration_unreadable")
            .with("error", error)
            .error(),
    }
}

fn take_division(entry: &Entry, found: &store::Versioned) {
    match serde_json::from_slice::<DivisionRecord>(&found.value) {
        Ok(record) => entry.adopt(record.division, Some(found.revision)),
        Err(error) => trace::Line::new("division_unreadable")
            .with("error", error)
            .error(),
    }
}
