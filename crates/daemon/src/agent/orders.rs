//! Orders to the engine: which model to load, under a fencing number.

use crate::app;
use crossbeam::channel;
use member::Fence;
use member::Pulse;
use std::io;
use std::sync;
use std::thread;
use std::time;
use world::Kind;
use world::Name;

const RETRY_WAIT: time::Duration = time::Duration::from_secs(1);

/// How the store keeps a host's fencing number.
#[derive(serde::Serialize, serde::Deserialize)]
struct FenceRecord {
    number: u64,
    by: String,
}

/// Starts the threads that learn what to order and order it.
pub(crate) fn start(settings: &sync::Arc<conf::Settings>) -> io::Result<()> {
    let (wishes, wished) = channel::unbounded();
    let reader = settings.clone();
    thread::Builder::new()
        .name("conf".into())
        .spawn(move || read_wishes(&reader, &wishes))?;
    let giver = settings.clone();
    thread::Builder::new()
        .name("orders".into())
        .spawn(move || give_orders(&giver, &wished))?;
    Ok(())
}

/// Reads from the configuration which model this upstream should serve.
fn read_wishes(settings: &conf::Settings, wishes: &channel::Sender<Name>) {
    let client = store::Client::new(settings.store);
    let mut newest = 0;
    app::follow(&client, store::CONF_KEY, rand::random(), |found| {
        let revised = found.and_then(|f| serde_json::from_slice::<conf::Revised>(&f.value).ok());
        let Some(revised) = revised.filter(|r| r.revision > newest) else {
            return;
        };
        newest = revised.revision;
        if let Some(model) = model_of(settings, &revised) {
            // The giver lives as long as the process.
            let _ = wishes.send(model);
        }
    });
}

fn model_of(settings: &conf::Settings, revised: &conf::Revised) -> Option<Name> {
    let own = &settings.upstream.as_ref()?.name;
    let mut upstreams = revised.contract.upstreams.iter();
    match &upstreams.find(|u| u.name == *own)?.kind {
        Kind::Model { model, .. } => Some(model.clone()),
        Kind::Service => None,
    }
}

fn give_orders(settings: &conf::Settings, wished: &channel::Receiver<Name>) {
    let Some(upstream) = &settings.upstream else {
        return;
    };
    let client = store::Client::new(settings.store);
    let model = engine::Model::new(upstream.address);
    let mut fence = Fence::new(upstream.fencing);
    let mut pulse = Pulse::new(time::Instant::now());
    let mut wish: Option<Name> = None;
    let mut given: Option<Name> = None;
    loop {
        match wished.recv_timeout(Pulse::INTERVAL) {
            Ok(name) => wish = Some(name),
            Err(channel::RecvTimeoutError::Timeout) => {}
            Err(channel::RecvTimeoutError::Disconnected) => return,
        }
        if pulse.beat(time::Instant::now()) {
            fence.wake();
            pulse.checked();
        }
        if fence.wants_claim()
            && let Some(number) = claim_number(&client, &settings.host)
        {
            fence.claim(number, time::Instant::now());
        }
        let Some(number) = fence.number(time::Instant::now()) else {
            continue;
        };
        if wish.is_none() || wish == given {
            continue;
        }
        if let Some(name) = wish.clone() {
            match give(&model, number, &name) {
                Ok(()) => given = Some(name),
                Err(engine::EngineError::Fenced) => fence.depose(),
                Err(_) => thread::sleep(RETRY_WAIT),
            }
            // The call itself may have taken longer than a pause.
            pulse.beat(time::Instant::now());
            pulse.checked();
        }
    }
}

fn give(model: &engine::Model, fence: u64, name: &Name) -> Result<(), engine::EngineError> {
    let kind = engine::OrderKind::Model {
        name: name.to_string(),
    };
    model.order(&engine::Order { fence, kind })?;
    trace::Line::new("order_given")
        .with("model", name)
        .with("fence", fence)
        .info();
    Ok(())
}

/// Takes the next fencing number of this host.
fn claim_number(client: &store::Client, host: &str) -> Option<u64> {
    let key = format!("{}{host}", store::FENCE_PREFIX);
    let found = client.get(&key).ok()?;
    let (at, last) = match &found {
        None => (0, 0),
        Some(found) => {
            let record: FenceRecord = serde_json::from_slice(&found.value).ok()?;
            (found.revision, record.number)
        }
    };
    let record = FenceRecord {
        number: last + 1,
        by: format!("{:016x}", rand::random::<u64>()),
    };
    let value = serde_json::to_vec(&record).ok()?;
    match client.swap_surely(&key, at, &value) {
        Ok(store::Swap::Done(_)) => Some(record.number),
        Ok(store::Swap::Lost(_)) | Err(_) => {
            thread::sleep(RETRY_WAIT);
            None
        }
    }
}
