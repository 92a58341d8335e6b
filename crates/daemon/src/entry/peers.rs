//! Maintains the links to peers and runs the periodic tick that updates this
//! entry's view of them.

use crate::entry::division;
use crate::entry::state::Entry;
use crate::entry::watchers;
use member::LinkAction;
use member::PauseDetector;
use member::PeerEvent;
use member::PeerIdentity;
use member::PeerStatus;
use member::PeerTable;
use member::ShareHolders;
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

/// Delay before another attempt to refresh the state after a pause or to
/// subscribe to cache reports.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);
/// Maximum time to wait for the response to a `hello` or `snapshot` call.
const PEER_CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The links of this entry to its peers, and what this entry knows of the peers.
pub(crate) struct Peers {
    /// Decides which links to open and close.
    pub peer_table: Mutex<PeerTable>,
    links: Mutex<collections::BTreeMap<Name, PeerLink>>,
    /// The platform's latest host list, if the tick has not applied it yet.
    new_hosts: Mutex<Option<Vec<Host>>>,
    /// The other entries that hold shares of the allowances.
    pub share_holders: Mutex<ShareHolders>,
    /// The latest known revision in the store of the key that holds the division.
    pub division_revision: Mutex<u64>,
    /// When this entry last proposed a division.
    pub proposed_at: Mutex<Option<time::Instant>>,
}

#[derive(Clone)]
struct PeerLink {
    link: sync::Arc<wire::Connection>,
    role: Role,
    /// Aborts the task that receives load reports over the link.
    abort_handle: tokio::task::AbortHandle,
}

impl Peers {
    pub(crate) fn new(own_name: Name, seed: u64) -> Self {
        Self {
            peer_table: Mutex::new(PeerTable::new(own_name, seed)),
            links: Mutex::default(),
            new_hosts: Mutex::default(),
            share_holders: Mutex::default(),
            division_revision: Mutex::new(0),
            proposed_at: Mutex::default(),
        }
    }

    /// Stores the platform's list of hosts; the next tick applies it.
    pub(crate) fn set_hosts(&self, hosts: Vec<Host>) {
        *self.new_hosts.lock() = Some(hosts);
    }

    /// Sets the hosts that operators are draining.
    pub(crate) fn set_drained(&self, hosts: &[Name]) {
        self.peer_table.lock().set_drained(hosts.iter().cloned());
    }

    /// Returns the open link to a host, if there is one.
    pub(crate) fn link(&self, host: &str) -> Option<sync::Arc<wire::Connection>> {
        self.links.lock().get(host).map(|l| l.link.clone())
    }

    /// Returns the open links to other entries.
    pub(crate) fn entry_links(&self) -> Vec<(Name, sync::Arc<wire::Connection>)> {
        self.links
            .lock()
            .iter()
            .filter(|(_, l)| l.role == Role::Entry)
            .map(|(name, l)| (name.clone(), l.link.clone()))
            .collect()
    }
}

/// Runs the tick every [`PauseDetector::TICK_INTERVAL`] until the task is
/// aborted.
pub(crate) async fn run_ticks(entry: sync::Arc<Entry>) {
    let mut interval = tokio::time::interval(PauseDetector::TICK_INTERVAL);
    loop {
        interval.tick().await;
        tick(&entry);
    }
}

/// Checks for a pause, and updates peers, share holders and the division.
fn tick(entry: &sync::Arc<Entry>) {
    let now = time::Instant::now();
    if entry.pause_detector.lock().tick(now) {
        trace::LogLine::new("pause_noticed").warn();
        tokio::spawn(refresh_after_pause(entry.clone()));
    }
    let new_hosts = entry.peers.new_hosts.lock().take();
    let list_read = new_hosts.is_some();
    let event = new_hosts.map_or(PeerEvent::Tick, PeerEvent::HostListRead);
    handle_event(entry, event, now);
    division::update_holders(entry, list_read, now);
    update_serving(entry, now);
    division::mark_gone_holders(entry, now);
    division::propose_division(entry, now);
}

/// Reads the configuration and the division again after this process was
/// paused. They come from the store or, if it does not answer, from a peer that
/// still considers its own state valid. Until this succeeds no key is accepted
/// and no allowance is charged.
async fn refresh_after_pause(entry: sync::Arc<Entry>) {
    loop {
        let reader = entry.clone();
        let read = tokio::task::spawn_blocking(move || watchers::read_store(&reader)).await;
        if matches!(read, Ok(Ok(()))) || refresh_from_peers(&entry).await {
            break;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    entry.pause_detector.lock().mark_checked();
    trace::LogLine::new("pause_checked").info();
}

/// Copies the state of the first entry that returns it. Returns false if none
/// does.
async fn refresh_from_peers(entry: &sync::Arc<Entry>) -> bool {
    for (_, link) in entry.peers.entry_links() {
        if copy_state_from(entry.clone(), link).await {
            return true;
        }
    }
    false
}

fn handle_event(entry: &sync::Arc<Entry>, event: PeerEvent, now: time::Instant) {
    let actions = entry.peers.peer_table.lock().handle_event(event, now);
    for action in actions {
        match action {
            LinkAction::Open(host) => {
                tokio::spawn(maintain_link(entry.clone(), host));
            }
            LinkAction::Close(name) => close_link(entry, &name),
        }
    }
}

fn close_link(entry: &Entry, name: &Name) {
    if let Some(peer_link) = entry.peers.links.lock().remove(name) {
        peer_link.abort_handle.abort();
    }
    entry.placement.lock().fleet.remove_agent(name);
    trace::LogLine::new("peer_closed").with("peer", name).info();
}

/// Opens a link and receives load reports over it until it breaks. Notifies the
/// peer table if the link could not be opened or has broken.
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
            // If the task was aborted, the peer table has already closed the link.
            if task.await.is_ok() {
                entry.peers.links.lock().remove(&name);
                entry.placement.lock().fleet.remove_agent(&name);
                trace::LogLine::new("peer_lost").with("peer", &name).info();
                handle_event(&entry, PeerEvent::LinkClosed(name), time::Instant::now());
            }
        }
        None => handle_event(&entry, PeerEvent::LinkFailed(name), time::Instant::now()),
    }
}

/// Connects to a host and checks its identity. Returns `None` if either fails.
async fn open_link(
    entry: &Entry,
    host: &Host,
) -> Option<(sync::Arc<wire::Connection>, border::Hello)> {
    let link = wire::connect(host.address, &entry.secrets).await.ok()?;
    let hello = tokio::time::timeout(PEER_CALL_TIMEOUT, link.hello()).await;
    let hello = hello.ok()?.ok()?;
    // The address may have been reassigned to another host since the list was
    // read.
    if *hello.host != *host.name {
        return None;
    }
    Some((sync::Arc::new(link), hello))
}

/// Adds a peer whose link was opened, and applies its load reports until the link
/// breaks.
async fn receive_reports(
    entry: sync::Arc<Entry>,
    host: Host,
    link: sync::Arc<wire::Connection>,
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
    trace::LogLine::new("peer_joined")
        .with("peer", &host.name)
        .with("role", identity.role.name())
        .info();
    if identity.role == Role::Entry {
        let mut allowances = entry.allowances.lock();
        allowances.shares.forget_peer(&host.name);
    } else {
        let agent =
            route::AgentView::new(host.zone.clone(), identity.role, identity.upstream.clone());
        entry
            .placement
            .lock()
            .fleet
            .add_agent(host.name.clone(), agent);
    }
    let opened = PeerEvent::LinkOpened(host.name.clone(), identity.clone());
    handle_event(&entry, opened, time::Instant::now());
    let cache_task = (identity.role == Role::Prefill).then(|| {
        tokio::spawn(receive_cache_reports(
            entry.clone(),
            host.name.clone(),
            link.clone(),
        ))
    });
    let _cache_guard = cache_task.map(|task| AbortOnDrop(task.abort_handle()));
    let mut receiver = wire::LoadReceiver::default();
    while let Some(Ok(report)) = reports.next().await {
        let Some(state) = receiver.apply(&report) else {
            return;
        };
        apply_report(&entry, &host.name, identity.role, &link, state);
    }
}

/// Aborts a task when dropped.
struct AbortOnDrop(tokio::task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Receives from a prefill agent which prompt blocks its engine has cached.
/// After a gap in the sequence it subscribes again, which starts with the whole
/// content.
async fn receive_cache_reports(
    entry: sync::Arc<Entry>,
    name: Name,
    link: sync::Arc<wire::Connection>,
) {
    while let Ok(mut reports) = link.cache().await {
        let mut receiver = wire::CacheReceiver::default();
        while let Some(Ok(report)) = reports.next().await {
            let Some(delta) = receiver.apply(&report) else {
                break;
            };
            let delta = route::CacheDelta {
                added: delta.added,
                removed: delta.removed,
            };
            metrics::counter!("hornbeampitch_cache_blocks_told_total")
                .increment(delta.added.len() as u64);
            entry
                .placement
                .lock()
                .fleet
                .apply_cache_delta(&name, &delta);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Applies a load report, which is also a heartbeat. Copies the state of an entry
/// whose configuration or division is newer than that of this entry.
fn apply_report(
    entry: &sync::Arc<Entry>,
    name: &Name,
    role: Role,
    link: &sync::Arc<wire::Connection>,
    state: LoadState,
) {
    let now = time::Instant::now();
    entry.peers.share_holders.lock().record_heartbeat(name, now);
    let heartbeat = PeerEvent::Heartbeat(name.clone(), state.draining);
    handle_event(entry, heartbeat, now);
    if role != Role::Entry {
        let report = route::LoadReport {
            free_seats: state.free_seats,
            free_pieces: state.free_pieces,
            waiting_requests: state.waiting_requests,
            backlog_tokens: state.backlog_tokens,
            token_rate: state.token_rate,
            saturated_rate: state.saturated_rate,
        };
        entry.placement.lock().fleet.update_load(name, report);
        return;
    }
    let (share_changed, epoch) = {
        let mut allowances = entry.allowances.lock();
        let before = allowances.shares.share();
        allowances.shares.record_epoch(name, state.epoch);
        let changed = allowances.shares.share() != before;
        (changed, allowances.shares.epoch())
    };
    if share_changed {
        entry.recompute_shares();
    }
    let peer_is_newer =
        entry.active_configuration.lock().revision() < state.revision || epoch < state.epoch;
    if peer_is_newer {
        tokio::spawn(copy_state_from(entry.clone(), link.clone()));
    }
}

/// Copies configuration and division from a peer, for example while the store
/// is down. Returns false if the peer does not answer or does not consider its
/// own state valid.
async fn copy_state_from(entry: sync::Arc<Entry>, link: sync::Arc<wire::Connection>) -> bool {
    let Ok(Ok(snapshot)) = tokio::time::timeout(PEER_CALL_TIMEOUT, link.snapshot()).await else {
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

/// Updates which agents may receive new requests.
fn update_serving(entry: &Entry, now: time::Instant) {
    let peer_table = entry.peers.peer_table.lock();
    let statuses: Vec<(Name, bool)> = peer_table
        .connected()
        .map(|(host, _)| {
            let status = peer_table.status(&host.name, now);
            (host.name.clone(), status == PeerStatus::Serving)
        })
        .collect();
    drop(peer_table);
    let mut placement = entry.placement.lock();
    for (name, serving) in statuses {
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
