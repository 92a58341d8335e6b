//! Links to peers, and the tick that keeps this entry's views true.

use crate::entry::division;
use crate::entry::state::Entry;
use crate::entry::watchers;
use member::LinkAction;
use member::PauseDetector;
use member::PeerEvent;
use member::PeerIdentity;
use member::PeerStatus;
use member::PeerTable;
use member::SliceHolders;
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

const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);
const HELLO_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// All links of this entry.
pub(crate) struct Peers {
    pub roster: Mutex<PeerTable>,
    links: Mutex<collections::BTreeMap<Name, PeerLink>>,
    new_hosts: Mutex<Option<Vec<Host>>>,
    pub holders: Mutex<SliceHolders>,
    pub division_revision: Mutex<u64>,
    pub proposed_at: Mutex<Option<time::Instant>>,
}

#[derive(Clone)]
struct PeerLink {
    link: sync::Arc<wire::Link>,
    role: Role,
    abort_handle: tokio::task::AbortHandle,
}

impl Peers {
    pub(crate) fn new(own_name: Name, seed: u64) -> Self {
        Self {
            roster: Mutex::new(PeerTable::new(own_name, seed)),
            links: Mutex::default(),
            new_hosts: Mutex::default(),
            holders: Mutex::default(),
            division_revision: Mutex::new(0),
            proposed_at: Mutex::default(),
        }
    }

    /// Takes the platform's list; it is worked in with the next tick.
    pub(crate) fn set_hosts(&self, hosts: Vec<Host>) {
        *self.new_hosts.lock() = Some(hosts);
    }

    /// Takes the hosts that operators are emptying.
    pub(crate) fn set_drained(&self, hosts: &[Name]) {
        self.roster.lock().set_drained(hosts.iter().cloned());
    }

    /// The open link to a host.
    pub(crate) fn link(&self, host: &str) -> Option<sync::Arc<wire::Link>> {
        self.links.lock().get(host).map(|l| l.link.clone())
    }

    /// The open links to other entries.
    pub(crate) fn entry_links(&self) -> Vec<(Name, sync::Arc<wire::Link>)> {
        self.links
            .lock()
            .iter()
            .filter(|(_, l)| l.role == Role::Entry)
            .map(|(name, l)| (name.clone(), l.link.clone()))
            .collect()
    }
}

/// Ticks for as long as the process lives.
pub(crate) async fn run_ticks(entry: sync::Arc<Entry>) {
    let mut interval = tokio::time::interval(PauseDetector::TICK_INTERVAL);
    loop {
        interval.tick().await;
        tick(&entry);
    }
}

fn tick(entry: &sync::Arc<Entry>) {
    let now = time::Instant::now();
    if entry.pulse.lock().tick(now) {
        trace::Line::new("pause_noticed").warn();
        tokio::spawn(refresh_after_pause(entry.clone()));
    }
    let new_hosts = entry.peers.new_hosts.lock().take();
    let list_read = new_hosts.is_some();
    let event = new_hosts.map_or(PeerEvent::Tick, PeerEvent::ListRead);
    step_roster(entry, event, now);
    division::watch_holders(entry, list_read, now);
    update_serving(entry, now);
    division::mark_gone_holders(entry, now);
    division::propose_division(entry, now);
}

/// Reads configuration and epoch again after a pause, from the store or else
/// from a peer that is awake itself; until then nothing is decided.
async fn refresh_after_pause(entry: sync::Arc<Entry>) {
    loop {
        let reader = entry.clone();
        let read = tokio::task::spawn_blocking(move || watchers::read_store(&reader)).await;
        if matches!(read, Ok(Ok(()))) || refresh_from_peers(&entry).await {
            break;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    entry.pulse.lock().clear();
    trace::Line::new("pause_checked").info();
}

async fn refresh_from_peers(entry: &sync::Arc<Entry>) -> bool {
    for (_, link) in entry.peers.entry_links() {
        if copy_state_from(entry.clone(), link).await {
            return true;
        }
    }
    false
}

fn step_roster(entry: &sync::Arc<Entry>, event: PeerEvent, now: time::Instant) {
    let actions = entry.peers.roster.lock().handle_event(event, now);
    for action in actions {
        match action {
            LinkAction::Open(host) => {
                tokio::spawn(maintain_link(entry.clone(), host));
            }
            LinkAction::Close(name) => close(entry, &name),
        }
    }
}

fn close(entry: &Entry, name: &Name) {
    if let Some(peer_link) = entry.peers.links.lock().remove(name) {
        peer_link.abort_handle.abort();
    }
    entry.placement.lock().fleet.remove_agent(name);
    trace::Line::new("peer_closed").with("peer", name).info();
}

/// Opens a link and listens to its reports until it breaks.
async fn maintain_link(entry: sync::Arc<Entry>, host: Host) {
    let name = host.name.clone();
    match open_link(&entry, &host).await {
        Some((link, hello)) => {
            let task = tokio::spawn(receive_reports(
                entry.clone(),
                host,
                link.clone(),
                hello.clone(),
            ));
            let peer_link = PeerLink {
                link,
                role: to_role(hello.role),
                abort_handle: task.abort_handle(),
            };
            entry.peers.links.lock().insert(name.clone(), peer_link);
            // An aborted task has been closed by the roster already.
            if task.await.is_ok() {
                entry.peers.links.lock().remove(&name);
                entry.placement.lock().fleet.remove_agent(&name);
                trace::Line::new("peer_lost").with("peer", &name).info();
                step_roster(&entry, PeerEvent::LinkClosed(name), time::Instant::now());
            }
        }
        None => step_roster(&entry, PeerEvent::LinkFailed(name), time::Instant::now()),
    }
}

async fn open_link(entry: &Entry, host: &Host) -> Option<(sync::Arc<wire::Link>, border::Hello)> {
    let link = wire::open(host.address, &entry.secrets).await.ok()?;
    let hello = tokio::time::timeout(HELLO_TIMEOUT, link.hello()).await;
    let hello = hello.ok()?.ok()?;
    // An address may have passed to another host since the list was read.
    if *hello.host != *host.name {
        return None;
    }
    Some((sync::Arc::new(link), hello))
}

async fn receive_reports(
    entry: sync::Arc<Entry>,
    host: Host,
    link: sync::Arc<wire::Link>,
    hello: border::Hello,
) {
    let Ok(mut reports) = link.load().await else {
        return;
    };
    let identity = PeerIdentity {
        role: to_role(hello.role),
        upstream: hello.upstream.as_str().into(),
        incarnation: hello.incarnation,
    };
    trace::Line::new("peer_joined")
        .with("peer", &host.name)
        .with("role", identity.role.word())
        .info();
    if identity.role == Role::Entry {
        let mut allowances = entry.allowances.lock();
        allowances.epochs.forget_peer(&host.name);
    } else {
        let view =
            route::AgentView::new(host.zone.clone(), identity.role, identity.upstream.clone());
        entry
            .placement
            .lock()
            .fleet
            .add_agent(host.name.clone(), view);
    }
    let opened = PeerEvent::LinkOpened(host.name.clone(), identity.clone());
    step_roster(&entry, opened, time::Instant::now());
    let cache = (identity.role == Role::Prefill).then(|| {
        tokio::spawn(receive_cache_reports(
            entry.clone(),
            host.name.clone(),
            link.clone(),
        ))
    });
    let _cache = cache.map(|task| AbortOnDrop(task.abort_handle()));
    let mut listener = wire::Listener::default();
    while let Some(Ok(report)) = reports.next().await {
        let Some(state) = listener.take(&report) else {
            return;
        };
        apply_report(&entry, &host.name, identity.role, &link, state);
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
async fn receive_cache_reports(entry: sync::Arc<Entry>, name: Name, link: sync::Arc<wire::Link>) {
    while let Ok(mut reports) = link.cache().await {
        let mut listener = wire::CacheListener::default();
        while let Some(Ok(report)) = reports.next().await {
            let Some(delta) = listener.take(&report) else {
                break;
            };
            let change = route::CacheDelta {
                added: delta.added,
                removed: delta.removed,
            };
            metrics::counter!("hornbeampitch_cache_blocks_told_total")
                .increment(change.added.len() as u64);
            entry
                .placement
                .lock()
                .fleet
                .apply_cache_delta(&name, &change);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn apply_report(
    entry: &sync::Arc<Entry>,
    name: &Name,
    role: Role,
    link: &sync::Arc<wire::Link>,
    state: LoadState,
) {
    let now = time::Instant::now();
    entry.peers.holders.lock().record_heartbeat(name, now);
    let heard = PeerEvent::Heartbeat(name.clone(), state.draining);
    step_roster(entry, heard, now);
    if role != Role::Entry {
        let report = route::LoadReport {
            free_seats: state.seats,
            free_pieces: state.pieces,
            waiting_bids: state.waiting,
            backlog_tokens: state.backlog,
            token_rate: state.pace,
            full_rate: state.crowded,
        };
        entry.placement.lock().fleet.update_load(name, report);
        return;
    }
    let (part_changed, epoch) = {
        let mut allowances = entry.allowances.lock();
        let before = allowances.epochs.share();
        allowances.epochs.record_epoch(name, state.epoch);
        let changed = allowances.epochs.share() != before;
        (changed, allowances.epochs.epoch())
    };
    if part_changed {
        entry.recompute_slices();
    }
    let behind = entry.adoption.lock().revision() < state.revision || epoch < state.epoch;
    if behind {
        tokio::spawn(copy_state_from(entry.clone(), link.clone()));
    }
}

/// Takes from a peer what the store has not told, as in an outage. Gives false
/// where the peer does not answer or has nothing it trusts itself.
async fn copy_state_from(entry: sync::Arc<Entry>, link: sync::Arc<wire::Link>) -> bool {
    let Ok(Ok(snapshot)) = tokio::time::timeout(HELLO_TIMEOUT, link.snapshot()).await else {
        return false;
    };
    let configuration = serde_json::from_str(&snapshot.document);
    let division = serde_json::from_str(&snapshot.division);
    let (Ok(configuration), Ok(division)) = (configuration, division) else {
        return false;
    };
    entry.adopt_configuration(configuration);
    entry.adopt_division(division, None);
    true
}

fn update_serving(entry: &Entry, now: time::Instant) {
    let roster = entry.peers.roster.lock();
    let standings: Vec<(Name, bool)> = roster
        .connected()
        .map(|(host, _)| {
            let standing = roster.status(&host.name, now);
            (host.name.clone(), standing == PeerStatus::Serving)
        })
        .collect();
    drop(roster);
    let mut placement = entry.placement.lock();
    for (name, serving) in standings {
        placement.fleet.set_serving(&name, serving);
    }
}

fn to_role(role: border::Role) -> Role {
    match role {
        border::Role::Entry => Role::Entry,
        border::Role::Prefill => Role::Prefill,
        border::Role::Decode => Role::Decode,
        border::Role::Service => Role::Service,
    }
}
