//! Orders to the engine: its role, its model and version, and its adapters, all
//! under a fencing number.

use crate::app;
use crossbeam::channel;
use engine::OrderKind;
use member::FencingState;
use member::PauseDetector;
use std::io;
use std::mem;
use std::sync;
use std::thread;
use std::time;
use world::UpstreamKind;

const RETRY_WAIT: time::Duration = time::Duration::from_secs(1);

/// Most time that an order takes at a slow engine: the call's own timeout, and
/// some more.
const ORDER_TIME: time::Duration = time::Duration::from_secs(2);

/// What the configuration wants of this engine, in the order it is given.
type Wish = Vec<OrderKind>;

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

/// Reads from the configuration what this engine should hold.
fn read_wishes(settings: &conf::Settings, wishes: &channel::Sender<Wish>) {
    let client = store::Client::new(settings.store);
    let mut newest = 0;
    app::watch_key(&client, store::CONFIG_KEY, rand::random(), |found| {
        let revised = found
            .and_then(|f| serde_json::from_slice::<conf::ConfigurationRevision>(&f.value).ok());
        let Some(revised) = revised.filter(|r| r.revision > newest) else {
            return;
        };
        newest = revised.revision;
        if let Some(wish) = wish_of(settings, &revised) {
            // The giver lives as long as the process.
            let _ = wishes.send(wish);
        }
    });
}

fn wish_of(settings: &conf::Settings, revised: &conf::ConfigurationRevision) -> Option<Wish> {
    let own = &settings.upstream.as_ref()?.name;
    let mut upstreams = revised.content.upstreams.iter();
    let UpstreamKind::Model {
        model,
        version,
        adapters,
        ..
    } = &upstreams.find(|u| u.name == *own)?.kind
    else {
        return None;
    };
    let role = settings.role.name().to_owned();
    let model = OrderKind::Model {
        name: model.to_string(),
        version: version.to_string(),
    };
    let names: Vec<String> = adapters.iter().map(|a| a.to_string()).collect();
    Some(vec![
        OrderKind::Role { role },
        model,
        OrderKind::Adapters { names },
    ])
}

fn give_orders(settings: &conf::Settings, wished: &channel::Receiver<Wish>) {
    let Some(upstream) = &settings.upstream else {
        return;
    };
    let client = store::Client::new(settings.store);
    let model = engine::EngineClient::new(upstream.address);
    let mut fence = FencingState::new(upstream.fencing);
    let mut pulse = PauseDetector::new(time::Instant::now());
    let mut wish = Wish::new();
    let mut given = Wish::new();
    loop {
        match wished.recv_timeout(PauseDetector::TICK_INTERVAL) {
            Ok(wanted) => wish = wanted,
            Err(channel::RecvTimeoutError::Timeout) => {}
            Err(channel::RecvTimeoutError::Disconnected) => return,
        }
        if pulse.tick(time::Instant::now()) {
            fence.drop_number();
            pulse.mark_checked();
        }
        if fence.needs_number()
            && let Some(number) = claim_number(&client, &settings.host)
        {
            fence.set_number(number, time::Instant::now());
        }
        let Some(number) = fence.number(time::Instant::now()) else {
            continue;
        };
        let Some(kind) = next_order(&wish, &given) else {
            continue;
        };
        let began = time::Instant::now();
        let result = give(&model, number, &kind);
        // A slow engine is no pause of this process, but what is longer is.
        let paused = began.elapsed() > ORDER_TIME;
        match result {
            Ok(()) => note(&mut given, kind),
            Err(engine::EngineError::Fenced) => fence.supersede(),
            Err(_) => thread::sleep(RETRY_WAIT),
        }
        pulse.tick(time::Instant::now());
        pulse.mark_checked();
        if paused {
            fence.drop_number();
        }
    }
}

/// The first that is wanted and was not given in this form. What was never
/// ordered needs no order to hold nothing.
fn next_order(wish: &[OrderKind], given: &[OrderKind]) -> Option<OrderKind> {
    let empty = OrderKind::Adapters { names: Vec::new() };
    let known = |kind: &OrderKind| given.iter().any(|g| same_kind(g, kind));
    let wanted = |kind: &&OrderKind| !given.contains(kind) && (**kind != empty || known(kind));
    wish.iter().find(wanted).cloned()
}

/// Notes an order in place of an earlier one of its kind. A new model holds no
/// adapters yet.
fn note(given: &mut Wish, kind: OrderKind) {
    given.retain(|g| !same_kind(g, &kind));
    if matches!(kind, OrderKind::Model { .. }) {
        given.retain(|g| !matches!(g, OrderKind::Adapters { .. }));
    }
    given.push(kind);
}

fn same_kind(a: &OrderKind, b: &OrderKind) -> bool {
    mem::discriminant(a) == mem::discriminant(b)
}

fn give(
    model: &engine::EngineClient,
    fence: u64,
    kind: &OrderKind,
) -> Result<(), engine::EngineError> {
    model.send_order(&engine::Order {
        fence,
        kind: kind.clone(),
    })?;
    let line = trace::LogLine::new("order_given").with("fence", fence);
    match kind {
        OrderKind::Model { name, version } => line.with("model", name).with("version", version),
        OrderKind::Adapters { names } => line.with("adapters", names.join(",")),
        OrderKind::Role { role } => line.with("role", role),
        OrderKind::Fence => line,
    }
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
    match client.compare_and_swap_confirmed(&key, at, &value) {
        Ok(store::SwapResult::Written(_)) => Some(record.number),
        Ok(store::SwapResult::Conflict(_)) | Err(_) => {
            thread::sleep(RETRY_WAIT);
            None
        }
    }
}
