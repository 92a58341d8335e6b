//! State of an entry, which its tasks share.

use crate::active_config::ActiveConfig;
use crate::engine_pool::EnginePool;
use crate::engine_pool::EnginePools;
use crate::gate::HostGate;
use crate::gossip_message::GossipMessage;
use crate::listeners::Listeners;
use crate::members::MemberList;
use crate::metered_store::MeteredStore;
use crate::meters;
use crate::odd_records::OddRecords;
use crate::plain_service::PlainServices;
use callers::MemoryAccount;
use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::sync::Arc;
use std::time;
use tokio::sync;
use world::Name;

/// Engines with a role change that the membership list may not show yet, with the
/// new role and the time at which to stop waiting for it.
pub(crate) type RoleChanges = collections::BTreeMap<Name, (seam::Role, time::Instant)>;

/// State of an entry; all of its tasks run on one thread.
pub struct Entry<P: seam::Platform> {
    /// Settings of this process.
    pub settings: seam::Settings,
    pub(crate) store: MeteredStore<P::Store>,
    pub(crate) upstreams: HostGate<P::Upstreams>,
    /// The bytes of requests and answers that the process holds.
    pub(crate) memory: Arc<MemoryAccount>,
    /// The connections of each listener.
    pub(crate) listeners: Listeners,
    /// What upstream hosts have said of themselves.
    pub(crate) notices: pool::SharedNotices,
    /// HTTP client for calls to peers.
    pub(crate) peer_client: rc::Rc<web::Client>,
    pub(crate) config: cell::RefCell<Option<rc::Rc<ActiveConfig>>>,
    /// Idle limit of callers' connections, which wakes those that wait when it changes.
    pub(crate) idle_limit: sync::watch::Sender<time::Duration>,
    /// The zones that are evacuated.
    pub(crate) evacuations: cell::RefCell<pool::Evacuations>,
    /// The upstream hosts, decoded from the membership list.
    pub(crate) host_list: cell::RefCell<pool::HostList>,
    /// Revision of the last list that was ignored as older than the known one.
    pub(crate) outdated_list: cell::Cell<Option<seam::Revision>>,
    /// Records in the store that can't be decoded and were logged.
    pub(crate) odd_records: cell::RefCell<OddRecords>,
    /// The membership list as it was read, for forwarding to peers.
    pub(crate) member_list: cell::RefCell<Option<rc::Rc<MemberList>>>,
    pub(crate) pools: EnginePools,
    pub(crate) plain_services: PlainServices,
    pub(crate) rate_limiter: cell::RefCell<pool::RateLimiter>,
    pub(crate) retry_budget: cell::RefCell<pool::RetryBudget>,
    /// What crashes upstream hosts.
    pub(crate) quarantine: cell::RefCell<pool::CrashQuarantine>,
    /// Suspected elements of the requests that run alone.
    pub(crate) trials: cell::RefCell<pool::ElementSet>,
    /// Keys of verdicts that are to be removed from the store, with their revisions.
    pub(crate) outdated_keys: cell::RefCell<Vec<(String, seam::Revision)>>,
    /// Era of the store in which verdicts were last read.
    pub(crate) verdict_era: cell::Cell<seam::Era>,
    /// Wakes those that wait for a change of the verdicts.
    pub(crate) verdicts_changed: sync::Notify,
    /// Asks for a message to the peers ahead of time.
    pub(crate) gossip_due: sync::Notify,
    /// Messages from other zones that wait to be passed on to the own zone.
    pub(crate) relay_queue: cell::RefCell<pool::RelayQueue<GossipMessage>>,
    /// Asks for a message to the own zone ahead of time.
    pub(crate) relay_due: sync::Notify,
    /// Recently refused requests, to recognise their retries.
    pub(crate) refusals: cell::RefCell<pool::RecentRefusals<u64>>,
    /// Demand of this entry's callers, by service.
    pub(crate) demand: cell::RefCell<collections::BTreeMap<Name, pool::Demand>>,
    pub(crate) role_changes: cell::RefCell<RoleChanges>,
    /// The other entries, by host name.
    pub(crate) peers: cell::RefCell<collections::BTreeMap<Name, Peer>>,
    /// When this process started.
    pub(crate) started_at: time::Instant,
    /// Lease of this entry's key in the store.
    pub(crate) lease: cell::Cell<Option<seam::LeaseId>>,
    /// When to read a newer configuration from a peer.
    pub(crate) config_fetch: cell::RefCell<pool::ConfigFetch>,
    /// The current bounds; a reload may change them.
    pub(crate) bounds: cell::Cell<seam::Bounds>,
    /// Whether this entry holds the lease for role orders.
    pub(crate) is_holder: cell::Cell<bool>,
    /// When the process was told to stop.
    pub(crate) stopped_at: sync::watch::Sender<Option<time::Instant>>,
    /// Number of callers' requests in progress.
    pub(crate) active_requests: cell::Cell<usize>,
}

/// How long an engine receives no requests after it was found to be changing its
/// role.
const ROLE_CHANGE_BACKOFF: time::Duration = time::Duration::from_secs(3);

/// How long a peer's message that it holds the lease for role orders is valid.
const HOLDER_MESSAGE_TTL: time::Duration = time::Duration::from_millis(1_000);

/// Another entry.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) address: net::SocketAddr,
    /// Availability zone, once the peer has told it.
    pub(crate) zone: Option<Name>,
    /// The last message and how it came.
    pub(crate) last_message: Option<(pool::Heard, GossipMessage)>,
    /// Recognises messages that are older than the last one.
    pub(crate) order: pool::UpdateOrder,
    /// When to send again to a peer that did not reply.
    pub(crate) retry_at: Option<time::Instant>,
}

impl<P: seam::Platform> Entry<P> {
    /// Creates an entry without configuration, membership list and peers.
    pub fn new(
        settings: seam::Settings,
        store: P::Store,
        upstreams: P::Upstreams,
        peer_client: rc::Rc<web::Client>,
    ) -> rc::Rc<Self> {
        let bounds = settings.bounds;
        let mut rate_limiter = pool::RateLimiter::new(
            pool::Tolerance {
                window: bounds.quota_window,
                overage: bounds.quota_overage,
                slack: bounds.quota_slack,
            },
            rand::random(),
        );
        if !settings.first_start {
            rate_limiter.record_restart(time::Instant::now());
        }
        let memory = MemoryAccount::new(pool::ByteBudget::new(settings.resources.memory_mb));
        let notices = pool::HostNotices::new(settings.host.clone());
        let notices = pool::SharedNotices::new(notices.into());
        rc::Rc::new(Self {
            store: MeteredStore::new(store),
            upstreams: HostGate::new(upstreams, notices.clone()),
            listeners: Listeners::new(settings.resources, &memory),
            memory,
            peer_client,
            config: cell::RefCell::default(),
            idle_limit: sync::watch::Sender::new(seam::Limits::default().idle_timeout),
            evacuations: cell::RefCell::default(),
            host_list: cell::RefCell::default(),
            outdated_list: cell::Cell::default(),
            odd_records: cell::RefCell::default(),
            member_list: cell::RefCell::default(),
            pools: EnginePools::new(notices.clone()),
            plain_services: PlainServices::new(notices.clone()),
            notices,
            rate_limiter: cell::RefCell::new(rate_limiter),
            retry_budget: cell::RefCell::new(pool::RetryBudget::new(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window,
            )),
            quarantine: cell::RefCell::default(),
            trials: cell::RefCell::default(),
            outdated_keys: cell::RefCell::default(),
            verdict_era: cell::Cell::default(),
            verdicts_changed: sync::Notify::new(),
            gossip_due: sync::Notify::new(),
            relay_queue: cell::RefCell::default(),
            relay_due: sync::Notify::new(),
            refusals: cell::RefCell::default(),
            demand: cell::RefCell::default(),
            role_changes: cell::RefCell::default(),
            peers: cell::RefCell::default(),
            started_at: time::Instant::now(),
            lease: cell::Cell::new(None),
            config_fetch: cell::RefCell::default(),
            bounds: cell::Cell::new(bounds),
            is_holder: cell::Cell::new(false),
            stopped_at: sync::watch::Sender::new(None),
            active_requests: cell::Cell::new(0),
            settings,
        })
    }

    /// Returns whether callers' requests can be served.
    pub(crate) fn is_ready(&self) -> bool {
        let loaded = self.config.borrow().is_some() && self.member_list.borrow().is_some();
        loaded && self.knows_evacuations() && !self.is_stopping()
    }

    /// Returns the configuration in force.
    pub(crate) fn active_config(&self) -> Option<rc::Rc<ActiveConfig>> {
        self.config.borrow().clone()
    }

    /// Returns the limits of callers' requests.
    pub(crate) fn limits(&self) -> seam::Limits {
        let active = self.config.borrow();
        active.as_ref().map(|a| a.config.limits).unwrap_or_default()
    }

    /// Returns the number of entries that share allowances and retry budgets,
    /// including this one.
    pub(crate) fn entry_count(&self) -> usize {
        self.peers.borrow().len() + 1
    }

    /// Applies a configuration that the store had in this era, from it or a peer, if it is
    /// newer than the one in force; one that can't be decoded is logged and ignored.
    pub(crate) fn apply_config(&self, raw: bytes::Bytes, era: seam::Era, from: &str) {
        if let Some(active) = self.active_config().filter(|c| c.raw == raw) {
            if era > active.era.replace(era.max(active.era.get())) {
                self.config_fetch.borrow_mut().record_applied();
            }
            return;
        }
        let config = match P::decode_config(&raw) {
            Ok(config) => config,
            Err(error) => {
                trace::LogLine::new("configuration_unreadable")
                    .with("from", from)
                    .with("fault", error)
                    .warn();
                return;
            }
        };
        let current_version = self.config_version();
        let number = config.version;
        if (pool::ConfigVersion { number, era }) <= current_version {
            meters::meters().outdated.add("configuration", 1);
            trace::LogLine::new("configuration_older")
                .with("from", from)
                .with("version", config.version)
                .with("known", current_version)
                .info();
            return;
        }
        trace::LogLine::new("configuration")
            .with("from", from)
            .with("version", config.version)
            .with("routes", config.routes.len())
            .with("ranks", config.route_priorities())
            .info();
        meters::meters().config_version.set(config.version as f64);
        self.config_fetch.borrow_mut().record_applied();
        let idle_limit = config.limits.idle_timeout;
        self.idle_limit
            .send_if_modified(|l| std::mem::replace(l, idle_limit) != idle_limit);
        self.set_paces(&config);
        let active = ActiveConfig::new(config, raw, era);
        *self.config.borrow_mut() = Some(rc::Rc::new(active));
        self.update_pools();
    }

    /// Updates the pools of all services from the configuration and the
    /// membership list. Requests of a service that the configuration no longer has may
    /// still run, wait or be retried, so its pools are updated too.
    pub(crate) fn update_pools(&self) {
        let Some(active) = self.active_config() else {
            return;
        };
        for service in &active.config.services {
            match &service.engine {
                Some(spec) => self.update_engines(&service.name, spec),
                None => self.update_hosts(&service.name),
            }
        }
        let has_engines =
            |name: &Name| active.config.find_service(name).map(|s| s.engine.is_some());
        for (name, pool) in self.pools.all() {
            if has_engines(&name) != Some(true) {
                let spec = pool.spec.borrow().clone();
                self.update_engines(&name, &spec);
            }
        }
        for (name, _) in self.plain_services.all() {
            if has_engines(&name) != Some(false) {
                self.update_hosts(&name);
            }
        }
    }

    /// Updates the pool of a model service with the engines that accept requests.
    fn update_engines(&self, service: &Name, spec: &seam::EngineSpec) {
        let host_list = self.host_list.borrow();
        let accepting = host_list
            .ready(service)
            .filter(|m| self.may_get_work(&m.id) && !self.is_changing_role(m));
        let active = self.active_config();
        let has_ranks = active.is_some_and(|a| a.has_ranks(service));
        let position = self.position();
        self.pools
            .update(service, spec, accepting, position, has_ranks);
    }

    /// Returns whether a host is neither leaving nor in an evacuated zone.
    pub(crate) fn may_get_work(&self, id: &Name) -> bool {
        let notices = self.notices.borrow();
        !notices.is_leaving(id) && !notices.is_evacuated(id)
    }

    /// Updates a plain service with the hosts that accept requests.
    fn update_hosts(&self, service: &Name) {
        let host_list = self.host_list.borrow();
        let ready = host_list.ready(service);
        let accepting = ready.filter(|m| self.may_get_work(&m.id));
        let has_queue = self.is_sharing();
        self.plain_services.update(service, accepting, has_queue);
    }

    /// Records a requested stream with its number of prompt tokens.
    pub(crate) fn record_demand(&self, service: &Name, prompt_tokens: u64, now: time::Instant) {
        let mut demand = self.demand.borrow_mut();
        let demand = demand.entry(service.clone()).or_default();
        demand.record_request(prompt_tokens, now);
    }

    /// Records a stream that used `tokens` of an engine's memory for
    /// `duration`.
    pub(crate) fn record_stream(&self, service: &Name, tokens: u64, duration: time::Duration) {
        if let Some(demand) = self.demand.borrow_mut().get_mut(service) {
            demand.record_stream(tokens, duration);
        }
    }

    /// Returns the current demand of this entry's callers, by service.
    pub(crate) fn current_demand(
        &self,
        now: time::Instant,
    ) -> collections::BTreeMap<Name, pool::DemandRate> {
        let mut demand = self.demand.borrow_mut();
        demand
            .iter_mut()
            .map(|(name, demand)| (name.clone(), demand.rate(now)))
            .collect()
    }

    /// Returns the prefill speed of engines in prompt tokens per second,
    /// measured by this entry or else by its peers.
    pub(crate) fn prefill_speeds(&self, pool: &EnginePool) -> collections::BTreeMap<Name, f64> {
        let mut speeds = collections::BTreeMap::new();
        for peer in self.peers.borrow().values() {
            if let Some((_, message)) = &peer.last_message {
                speeds.extend(message.speeds.clone());
            }
        }
        speeds.extend(pool.prefill_pool.borrow().speeds());
        speeds
    }

    /// Returns whether a peer has recently reported that it holds the lease for
    /// role orders.
    pub(crate) fn peer_is_holder(&self, now: time::Instant) -> bool {
        let peers = self.peers.borrow();
        let messages = peers.values().filter_map(|p| p.last_message.as_ref());
        let mut fresh = messages.filter(|(heard, _)| heard.is_valid(HOLDER_MESSAGE_TTL, now));
        fresh.any(|(_, message)| message.is_holder)
    }

    /// Returns this entry's index among all entries, sorted by host name, and
    /// their number.
    pub(crate) fn position(&self) -> (usize, usize) {
        let peers = self.peers.borrow();
        let preceding = peers.keys().filter(|n| **n < self.settings.host).count();
        (preceding, peers.len() + 1)
    }

    /// Returns this entry's place among those that read the lists for the others.
    pub(crate) fn reader_position(&self) -> pool::Position {
        let peers = self.peers.borrow();
        let zones = peers.iter().map(|(name, p)| (name, p.zone.as_ref()));
        pool::Position::find((&self.settings.host, &self.settings.zone), zones)
    }

    /// Records that an engine was found to be changing its role, or to have another
    /// role than the membership list shows.
    pub(crate) fn mark_role_change(&self, id: &Name, role: seam::Role, now: time::Instant) {
        let mut role_changes = self.role_changes.borrow_mut();
        role_changes.insert(id.clone(), (role, now + ROLE_CHANGE_BACKOFF));
        drop(role_changes);
        self.update_pools();
    }

    /// Returns whether an engine has a role change that the membership list does not
    /// show yet.
    pub(crate) fn is_changing_role(&self, member: &seam::Member) -> bool {
        let role_changes = self.role_changes.borrow();
        let now = time::Instant::now();
        role_changes
            .get(&member.id)
            .is_some_and(|(role, until)| *until > now && member.role != Some(*role))
    }
}
