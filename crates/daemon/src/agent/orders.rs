//! Sends the engine orders that set its role, its model and version, and its
//! adapters, each with a fencing number.

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

/// Delay after a failed order, or after a failed write of a fencing number.
const RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// Longest time that an order to a slow engine takes: the timeout of the call, with
/// a margin. A longer time means that this process was paused.
const MAX_ORDER_DURATION: time::Duration = time::Duration::from_secs(2);

/// Orders for one engine, in the sequence in which they are sent.
type OrderList = Vec<OrderKind>;

/// A host's fencing number as the store holds it.
#[derive(serde::Serialize, serde::Deserialize)]
struct FenceRecord {
    number: u64,
    /// A random id of the write, by which a writer recognises its own record after
    /// the store's response was lost.
    by: String,
}

/// Starts one thread that watches the configuration, and one that sends the orders
/// that follow from it.
pub(crate) fn start(settings: &sync::Arc<conf::Settings>) -> io::Result<()> {
    let (order_lists, received_lists) = channel::unbounded();
    let watch_settings = settings.clone();
    thread::Builder::new()
        .name("conf".into())
        .spawn(move || watch_configuration(&watch_settings, &order_lists))?;
    let order_settings = settings.clone();
    thread::Builder::new()
        .name("orders".into())
        .spawn(move || send_orders(&order_settings, &received_lists))?;
    Ok(())
}

/// Watches the configuration and passes on the orders that each revision wants.
fn watch_configuration(settings: &conf::Settings, order_lists: &channel::Sender<OrderList>) {
    let client = store::Client::new(settings.store);
    let mut newest = 0;
    app::watch_key(&client, store::CONFIG_KEY, rand::random(), |found| {
        let configuration = found
            .and_then(|f| serde_json::from_slice::<conf::ConfigurationRevision>(&f.value).ok());
        let Some(configuration) = configuration.filter(|c| c.revision > newest) else {
            return;
        };
        newest = configuration.revision;
        if let Some(wanted) = wanted_orders(settings, &configuration) {
            // Never fails: the receiving thread runs as long as the process.
            let _ = order_lists.send(wanted);
        }
    });
}

/// Returns the orders that a configuration wants for this agent's engine; `None` if
/// its upstream is not configured or is a plain service.
fn wanted_orders(
    settings: &conf::Settings,
    configuration: &conf::ConfigurationRevision,
) -> Option<OrderList> {
    let upstream = &settings.upstream.as_ref()?.name;
    let mut upstreams = configuration.content.upstreams.iter();
    let UpstreamKind::Model {
        model,
        version,
        adapters,
        ..
    } = &upstreams.find(|u| u.name == *upstream)?.kind
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

/// Sends the engine each wanted order that it has not been sent yet, while this agent
/// holds a fencing number. Runs as long as the process.
fn send_orders(settings: &conf::Settings, received_lists: &channel::Receiver<OrderList>) {
    let Some(upstream) = &settings.upstream else {
        return;
    };
    let client = store::Client::new(settings.store);
    let engine = engine::EngineClient::new(upstream.address);
    let mut fence = FencingState::new(upstream.fencing);
    let mut pause_detector = PauseDetector::new(time::Instant::now());
    let mut wanted = OrderList::new();
    let mut sent = OrderList::new();
    loop {
        match received_lists.recv_timeout(PauseDetector::TICK_INTERVAL) {
            Ok(received) => wanted = received,
            Err(channel::RecvTimeoutError::Timeout) => {}
            Err(channel::RecvTimeoutError::Disconnected) => return,
        }
        if pause_detector.tick(time::Instant::now()) {
            fence.drop_number();
            pause_detector.mark_checked();
        }
        if fence.needs_number()
            && let Some(number) = claim_number(&client, &settings.host)
        {
            fence.set_number(number, time::Instant::now());
        }
        let Some(number) = fence.number(time::Instant::now()) else {
            continue;
        };
        let Some(kind) = next_order(&wanted, &sent) else {
            continue;
        };
        let started = time::Instant::now();
        let result = send_order(&engine, number, &kind);
        // The detector is reset after the call, so that a slow engine does not count as a
        // pause of this process. A real pause shows as a call that took longer than any
        // engine does.
        let paused = started.elapsed() > MAX_ORDER_DURATION;
        match result {
            Ok(()) => record_sent(&mut sent, kind),
            Err(engine::EngineError::Fenced) => fence.supersede(),
            Err(_) => thread::sleep(RETRY_DELAY),
        }
        pause_detector.tick(time::Instant::now());
        pause_detector.mark_checked();
        if paused {
            fence.drop_number();
        }
    }
}

/// Returns the first order that is wanted and was not sent with the same content. An
/// empty list of adapters is only sent if another list was sent before.
fn next_order(wanted: &[OrderKind], sent: &[OrderKind]) -> Option<OrderKind> {
    let empty = OrderKind::Adapters { names: Vec::new() };
    let was_sent = |kind: &OrderKind| sent.iter().any(|s| same_kind(s, kind));
    let is_due = |kind: &&OrderKind| !sent.contains(kind) && (**kind != empty || was_sent(kind));
    wanted.iter().find(is_due).cloned()
}

/// Records a sent order in place of an earlier one of its kind. A new model has no
/// adapters, so an order for a model also removes the recorded order for adapters.
fn record_sent(sent: &mut OrderList, kind: OrderKind) {
    sent.retain(|s| !same_kind(s, &kind));
    if matches!(kind, OrderKind::Model { .. }) {
        sent.retain(|s| !matches!(s, OrderKind::Adapters { .. }));
    }
    sent.push(kind);
}

fn same_kind(a: &OrderKind, b: &OrderKind) -> bool {
    mem::discriminant(a) == mem::discriminant(b)
}

fn send_order(
    engine: &engine::EngineClient,
    fence: u64,
    kind: &OrderKind,
) -> Result<(), engine::EngineError> {
    engine.send_order(&engine::Order {
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

/// Claims the next fencing number of this host by a write to the store. Returns `None`
/// if that fails: at once if the present number cannot be read, after a delay if the
/// new one cannot be written.
fn claim_number(client: &store::Client, host: &str) -> Option<u64> {
    let key = format!("{}{host}", store::FENCE_PREFIX);
    let found = client.get(&key).ok()?;
    let (revision, last_number) = match &found {
        None => (0, 0),
        Some(found) => {
            let record: FenceRecord = serde_json::from_slice(&found.value).ok()?;
            (found.revision, record.number)
        }
    };
    let record = FenceRecord {
        number: last_number + 1,
        by: format!("{:016x}", rand::random::<u64>()),
    };
    let value = serde_json::to_vec(&record).ok()?;
    match client.compare_and_swap_confirmed(&key, revision, &value) {
        Ok(store::SwapResult::Written(_)) => Some(record.number),
        Ok(store::SwapResult::Conflict(_)) | Err(_) => {
            thread::sleep(RETRY_DELAY);
            None
        }
    }
}
