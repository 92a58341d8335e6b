//! Links to peers, and the tick that keeps this entry's views true.

use crate::entry::core::Entry;
use crate::entry::division;
use crate::entry::feeds;
use member::Action;
use member::Event;
use member::Holders;
use member::Identity;
use member::Pulse;
use member::Roster;
use member::Standing;
use parking_lot::Mutex;
use std::collections;
use std::sync;
use std::time;
use wire::LoadState;
use wire::api::AgentClient;
use wire::api::PeerClient;
use wire::border;
use world::Host;
use world::Name;
use world::Role;

const RECHECK_WAIT: time::Duration = time::Duration::from_millis(200);
const HELLO_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// All links of this entry.
pub(crate) struct Peers {
    pub roster: Mutex<Roster>,
    links: Mutex<collections::BTreeMap<Name, Linked>>,
    listed: Mutex<Option<Vec<Host>>>,
    pub holders: Mutex<Holders>,
    pub division: Mutex<u64>,
    pub proposed: Mutex<Option<time::Instant>>,
}

#[derive(Clone)]
struct Linked {
    link: sync::Arc<wire::Link>,
    role: Role,
    abort: tokio::task::AbortHandle,
}

impl Peers {
    pub(crate) fn new(me: Name, seed: u64) -> Self {
        Self {
            roster: Mutex::new(Roster::new(me, seed)),
            links: Mutex::default(),
            listed: Mutex::default(),
            holders: Mutex::default(),
            division: Mutex::new(0),
            proposed: Mutex::default(),
        }
    }

    /// Takes the platform's list; it is worked in with the next tick.
    pub(crate) fn list(&self, hosts: Vec<Host>) {
        *self.listed.lock() = Some(hosts);
    }

    /// Takes the hosts that operators are emptying.
    pub(crate) fn drain(&self, hosts: &[Name]) {
        self.roster.lock().drain(hosts.iter().cloned());
    }

    /// The open link to a host.
    pub(crate) fn link(&self, host: &str) -> Option<sync::Arc<wire::Link>> {
        self.links.lock().get(host).map(|l| l.link.clone())
    }

    /// The open links to other entries.
    pub(crate) fn entries(&self) -> Vec<(Name, sync::Arc<wire::Link>)> {
        self.links
            .lock()
            .iter()
            .filter(|(_, l)| l.role == Role::Entry)
            .map(|(name, l)| (name.clone(), l.link.clone()))
            .collect()
    }
}

/// Ticks for as long as the process lives.
pub(crate) async fn run(entry: sync::Arc<Entry>) {
    let mut interval = tokio::time::interval(Pulse::INTERVAL);
    loop {
        interval.tick().await;
        tick(&entry);
    }
}

fn tick(entry: &sync::Arc<Entry>) {
    let now = time::Instant::now();
    if entry.pulse.lock().beat(now) {
        trace::Line::new("pause_noticed").warn();
        tokio::spawn(recheck(entry.clone()));
    }
    let listed = entry.peers.listed.lock().take();
    let read = listed.is_some();
    let event = listed.map_or(Event::Tick, Event::Listed);
    step(entry, event, now);
    division::watch_holders(entry, read, now);
    refresh_standings(entry, now);
    division::bury_gone(entry, now);
    division::propose_division(entry, now);
}

/// Reads configuration and epoch again after a pause, from the store or else
/// from a peer that is awake itself; until then nothing is decided.
async fn recheck(entry: sync::Arc<Entry>) {
    loop {
        let reader = entry.clone();
        let read = tokio::task::spawn_blocking(move || feeds::read_once(&reader)).await;
        if matches!(read, Ok(Ok(()))) || recheck_by_peers(&entry).await {
            break;
        }
        tokio::time::sleep(RECHECK_WAIT).await;
    }
    entry.pulse.lock().checked();
    trace::Line::new("pause_checked").info();
}

async fn recheck_by_peers(entry: &sync::Arc<Entry>) -> bool {
    for (_, link) in entry.peers.entries() {
        if catch_up(entry.clone(), link).await {
            return true;
        }
    }
    false
}

fn step(entry: &sync::Arc<Entry>, event: Event, now: time::Instant) {
    let actions = entry.peers.roster.lock().step(event, now);
    for action in actions {
        match action {
            Action::Open(host) => {
                tokio::spawn(keep_link(entry.clone(), host));
            }
            Action::Close(name) => close(entry, &name),
        }
    }
}

fn close(entry: &Entry, name: &Name) {
    if let Some(linked) = entry.peers.links.lock().remove(name) {
        linked.abort.abort();
    }
    entry.decisions.lock().fleet.remove_agent(name);
    trace::Line::new("peer_closed").with("peer", name).info();
}

/// Opens a link and listens to its reports until it breaks.
async fn keep_link(entry: sync::Arc<Entry>, host: Host) {
    let name = host.name.clone();
    match open(&entry, &host).await {
        Some((link, hello)) => {
            let task = tokio::spawn(listen(entry.clone(), host, link.clone(), hello.clone()));
            let linked = Linked {
                link,
                role: role_of(hello.role),
                abort: task.abort_handle(),
            };
            entry.peers.links.lock().insert(name.clone(), linked);
            // An aborted task has been closed by the roster already.
            if task.await.is_ok() {
                entry.peers.links.lock().remove(&name);
                entry.decisions.lock().fleet.remove_agent(&name);
                trace::Line::new("peer_lost").with("peer", &name).info();
                step(&entry, Event::Closed(name), time::Instant::now());
            }
        }
        None => step(&entry, Event::Failed(name), time::Instant::now()),
    }
}

async fn open(entry: &Entry, host: &Host) -> Option<(sync::Arc<wire::Link>, border::Hello)> {
    let link = wire::open(host.address, &entry.secrets).await.ok()?;
    let hello = tokio::time::timeout(HELLO_TIMEOUT, link.hello()).await;
    let hello = hello.ok()?.ok()?;
    // An address may have passed to another host since the list was read.
    if *hello.host != *host.name {
        return None;
    }
    Some((sync::Arc::new(link), hello))
}

async fn listen(
    entry: sync::Arc<Entry>,
    host: Host,
    link: sync::Arc<wire::Link>,
    hello: border::Hello,
) {
    let Ok(mut reports) = link.load().await else {
        return;
    };
    let identity = Identity {
        role: role_of(hello.role),
        upstream: hello.upstream.as_str().into(),
        incarnation: hello.incarnation,
    };
    trace::Line::new("peer_joined")
        .with("peer", &host.name)
        .with("role", identity.role.word())
        .info();
    if identity.role == Role::Entry {
        let mut allowances = entry.allowances.lock();
        allowances.epochs.restart(&host.name);
    } else {
        let view =
            route::AgentView::new(host.zone.clone(), identity.role, identity.upstream.clone());
        entry
            .decisions
            .lock()
            .fleet
            .add_agent(host.name.clone(), view);
    }
    let opened = Event::Opened(host.name.clone(), identity.clone());
    step(&entry, opened, time::Instant::now());
    let cache = (identity.role == Role::Prefill)
        .then(|| tokio::spawn(listen_cache(entry.clone(), host.name.clone(), link.clone())));
    let _cache = cache.map(|task| AbortOnDrop(task.abort_handle()));
    let mut listener = wire::Listener::default();
    while let Some(Ok(report)) = reports.next().await {
        let Some(state) = listener.take(&report) else {
            return;
        };
        take_report(&entry, &host.name, identity.role, &link, state);
    }
}

/// Ends a task with whatever began it.
struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Listens to what a prefill engine has cached; after a gap, from the beginning.
async fn listen_cache(entry: sync::Arc<Entry>, name: Name, link: sync::Arc<wire::Link>) {
    while let Ok(mut reports) = link.cache().await {
        let mut listener = wire::CacheListener::default();
        while let Some(Ok(report)) = reports.next().await {
            let Some(delta) = listener.take(&report) else {
                break;
            };
            let news = route::CacheDelta {
                added: delta.added,
                removed: delta.removed,
            };
            metrics::counter!("hornbeampitch_cache_blocks_told_total")
                .increment(news.added.len() as u64);
            entry.decisions.lock().fleet.apply_cache_delta(&name, &news);
        }
        tokio::time::sleep(RECHECK_WAIT).await;
    }
}

fn take_report(
    entry: &sync::Arc<Entry>,
    name: &Name,
    role: Role,
    link: &sync::Arc<wire::Link>,
    state: LoadState,
) {
    let now = time::Instant::now();
    entry.peers.holders.lock().hear(name, now);
    let heard = Event::Heard(name.clone(), state.draining);
    step(entry, heard, now);
    if role != Role::Entry {
        let report = route::LoadReport {
            free_seats: state.seats,
            free_pieces: state.pieces,
            waiting_bids: state.waiting,
            backlog_tokens: state.backlog,
            token_rate: state.pace,
            full_rate: state.crowded,
        };
        entry.decisions.lock().fleet.update_load(name, report);
        return;
    }
    let (part, epoch) = {
        let mut allowances = entry.allowances.lock();
        let before = allowances.epochs.part();
        allowances.epochs.hear(name, state.epoch);
        let changed = allowances.epochs.part() != before;
        (changed, allowances.epochs.epoch())
    };
    if part {
        entry.redivide();
    }
    let behind = entry.adoption.lock().revision() < state.revision || epoch < state.epoch;
    if behind {
        tokio::spawn(catch_up(entry.clone(), link.clone()));
    }
}

/// Takes from a peer what the store has not told, as in an outage. Gives false
/// where the peer does not answer or has nothing it trusts itself.
async fn catch_up(entry: sync::Arc<Entry>, link: sync::Arc<wire::Link>) -> bool {
    let Ok(Ok(snapshot)) = tokio::time::timeout(HELLO_TIMEOUT, link.snapshot()).await else {
        return false;
    };
    let revised = serde_json::from_str(&snapshot.document);
    let division = serde_json::from_str(&snapshot.division);
    let (Ok(revised), Ok(division)) = (revised, division) else {
        return false;
    };
    entry.offer(revised);
    entry.adopt(division, None);
    true
}

fn refresh_standings(entry: &Entry, now: time::Instant) {
    let roster = entry.peers.roster.lock();
    let standings: Vec<(Name, bool)> = roster
        .linked()
        .map(|(host, _)| {
            let standing = roster.standing(&host.name, now);
            (host.name.clone(), standing == Standing::Serving)
        })
        .collect();
    drop(roster);
    let mut decisions = entry.decisions.lock();
    for (name, serving) in standings {
        decisions.fleet.set_serving(&name, serving);
    }
}

fn role_of(role: border::Role) -> Role {
    match role {
        border::Role::Entry => Role::Entry,
        border::Role::Prefill => Role::Prefill,
        border::Role::Decode => Role::Decode,
        border::Role::Service => Role::Service,
    }
}
