//! Threads that read the platform: its host list and its key-value service.

use crate::entry::core::Entry;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::io;
use std::sync;
use std::thread;
use std::time;
use store::Backoff;
use store::StoreError;

const LIST_INTERVAL: time::Duration = time::Duration::from_millis(500);
const LIST_TIMEOUT: time::Duration = time::Duration::from_secs(1);
const RETRY_FIRST: time::Duration = time::Duration::from_millis(200);
const RETRY_MOST: time::Duration = time::Duration::from_secs(3);

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
    spawn("conf", move || follow(&conf, store::CONF_KEY, take_conf))?;
    let epochs = entry.clone();
    spawn("epochs", move || {
        follow(&epochs, store::EPOCH_KEY, take_division);
    })?;
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
                entry.freshness.lock().hear(time::Instant::now());
                entry.peers.list(hosts);
            }
            Err(error) => trace::Line::new("hosts_unread")
                .with("error", error)
                .debug(),
        }
        thread::sleep(LIST_INTERVAL);
    }
}

/// Reads a key and watches it, for ever, with jittered waits between failures.
fn follow(entry: &Entry, key: &str, take: fn(&Entry, &store::Versioned)) {
    let client = store::Client::new(entry.settings.store);
    let mut random = StdRng::seed_from_u64(entry.incarnation);
    let mut backoff = Backoff::new(RETRY_FIRST, RETRY_MOST);
    let mut down = false;
    loop {
        let error = match follow_once(entry, &client, key, take, &mut backoff) {
            Ok(never) => match never {},
            Err(error) => error,
        };
        if !down {
            trace::Line::new("store_lost")
                .with("key", key)
                .with("error", &error)
                .warn();
        }
        down = true;
        thread::sleep(backoff.fail(&mut random));
        if client.get(key).is_ok() {
            down = false;
        }
    }
}

fn follow_once(
    entry: &Entry,
    client: &store::Client,
    key: &str,
    take: fn(&Entry, &store::Versioned),
    backoff: &mut Backoff,
) -> Result<std::convert::Infallible, StoreError> {
    let found = client.get(key)?;
    entry.freshness.lock().hear(time::Instant::now());
    let mut after = 0;
    if let Some(found) = found {
        after = found.revision;
        take(entry, &found);
    }
    let mut watch = client.watch(key, after)?;
    backoff.succeed();
    loop {
        let changed = watch.wait()?;
        entry.freshness.lock().hear(time::Instant::now());
        take(entry, &changed);
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
