//! All that one entry knows and shares between its tasks.

use crate::crashes::Crash;
use crate::measure;
use crate::news::News;
use crate::plain::Plains;
use crate::queue::Pool;
use crate::queue::Pools;
use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;
use world::Name;

/// Orders that were taken and may not be seen in the list yet: the engine, its
/// part to be, and when the order is given up.
pub(crate) type Shifts = collections::BTreeMap<Name, (seam::Role, time::Instant)>;

/// The state of an entry; all of its tasks run on one thread.
pub struct Entry<P: seam::Platform> {
    /// What the process was told of itself.
    pub settings: seam::Settings,
    pub(crate) store: P::Store,
    pub(crate) upstreams: P::Upstreams,
    pub(crate) links: rc::Rc<web::Client>,
    pub(crate) agreement: cell::RefCell<Option<rc::Rc<Force>>>,
    pub(crate) roster: cell::RefCell<pool::HostList>,
    pub(crate) listed: cell::RefCell<Option<rc::Rc<Listing>>>,
    pub(crate) pools: Pools,
    pub(crate) plains: Plains,
    pub(crate) allowance: cell::RefCell<pool::RateLimiter>,
    pub(crate) retries: cell::RefCell<pool::RetryBudget>,
    pub(crate) crashes: cell::RefCell<route::Quarantine>,
    pub(crate) told: cell::RefCell<collections::VecDeque<(time::Instant, Crash)>>,
    pub(crate) returns: cell::RefCell<pool::RecentRefusals<route::Digest>>,
    pub(crate) demand: cell::RefCell<collections::BTreeMap<Name, pool::Demand>>,
    pub(crate) shifts: cell::RefCell<Shifts>,
    pub(crate) peers: cell::RefCell<collections::BTreeMap<Name, Peer>>,
    pub(crate) catching: cell::RefCell<pool::ConfigFetch>,
    pub(crate) duties: cell::Cell<seam::Bounds>,
    pub(crate) holds: cell::Cell<bool>,
    pub(crate) stopping: cell::Cell<bool>,
    pub(crate) active: cell::Cell<usize>,
}

/// How long an engine is left alone that was found to change its part; then it
/// is tried again.
const SHUN_TIME: time::Duration = time::Duration::from_secs(3);

/// How long a peer's word counts that it holds the key of orders.
const HOLDS_MEMORY: time::Duration = time::Duration::from_millis(1_000);

/// The configuration in force, also as it was read.
#[derive(Debug)]
pub(crate) struct Force {
    pub(crate) agreement: seam::Config,
    pub(crate) raw: bytes::Bytes,
}

/// The newest list of upstream hosts, as it was read.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub(crate) struct Listing {
    pub(crate) revision: u64,
    pub(crate) members: Vec<(String, String)>,
}

/// Another entry.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) address: net::SocketAddr,
    pub(crate) news: Option<(time::Instant, News)>,
    pub(crate) quiet: Option<time::Instant>,
}

impl<P: seam::Platform> Entry<P> {
    /// Begins with nothing known.
    pub fn new(
        settings: seam::Settings,
        store: P::Store,
        upstreams: P::Upstreams,
        links: rc::Rc<web::Client>,
    ) -> rc::Rc<Self> {
        let duties = settings.bounds;
        let mut allowance = pool::RateLimiter::new(duties.quota_window);
        if !settings.first_start {
            allowance.note_restart(time::Instant::now());
        }
        rc::Rc::new(Self {
            store,
            upstreams,
            links,
            agreement: cell::RefCell::default(),
            roster: cell::RefCell::default(),
            listed: cell::RefCell::default(),
            pools: Pools::new(),
            plains: Plains::default(),
            allowance: cell::RefCell::new(allowance),
            retries: cell::RefCell::new(pool::RetryBudget::new(
                duties.retry_ratio,
                duties.retry_slack,
                duties.retry_window,
            )),
            crashes: cell::RefCell::default(),
            told: cell::RefCell::default(),
            returns: cell::RefCell::default(),
            demand: cell::RefCell::default(),
            shifts: cell::RefCell::default(),
            peers: cell::RefCell::default(),
            catching: cell::RefCell::default(),
            duties: cell::Cell::new(duties),
            holds: cell::Cell::new(false),
            stopping: cell::Cell::new(false),
            active: cell::Cell::new(0),
            settings,
        })
    }

    /// Tells whether callers' requests can be served.
    pub(crate) fn ready(&self) -> bool {
        let known = self.agreement.borrow().is_some() && self.listed.borrow().is_some();
        known && !self.stopping.get()
    }

    /// The configuration in force.
    pub(crate) fn force(&self) -> Option<rc::Rc<Force>> {
        self.agreement.borrow().clone()
    }

    /// Entries that share allowances and budgets, this one among them.
    pub(crate) fn entries(&self) -> usize {
        self.peers.borrow().len() + 1
    }

    /// Takes a configuration from the store or a peer, unless it is older than
    /// the one in force.
    pub(crate) fn adopt(&self, raw: bytes::Bytes, from: &str) {
        if self.force().is_some_and(|f| f.raw == raw) {
            return;
        }
        let agreement = match P::decode_config(&raw) {
            Ok(agreement) => agreement,
            Err(fault) => {
                trace::Line::new("configuration_unreadable")
                    .with("from", from)
                    .with("fault", fault)
                    .warn();
                return;
            }
        };
        let known = self.force().map_or(0, |f| f.agreement.version);
        if agreement.version <= known {
            trace::Line::new("configuration_older")
                .with("from", from)
                .with("version", agreement.version)
                .with("known", known)
                .info();
            return;
        }
        trace::Line::new("configuration")
            .with("from", from)
            .with("version", agreement.version)
            .with("routes", agreement.routes.len())
            .info();
        metrics::gauge!("configuration_version").set(agreement.version as f64);
        self.catching.borrow_mut().note_applied();
        *self.agreement.borrow_mut() = Some(rc::Rc::new(Force { agreement, raw }));
        self.refresh();
    }

    /// Takes a list of upstream hosts from the store or a peer.
    pub(crate) fn list(&self, listing: Listing, from: &str) {
        let now = time::Instant::now();
        let mut members = Vec::with_capacity(listing.members.len());
        for (key, raw) in &listing.members {
            match P::decode_member(key, raw.as_bytes()) {
                Ok(member) => members.push(member),
                Err(fault) => trace::Line::new("member_unreadable")
                    .with("from", from)
                    .with("fault", fault)
                    .info(),
            }
        }
        let known = self.roster.borrow().revision();
        if listing.revision < known {
            return;
        }
        let before = self.conditions();
        let gone = self
            .roster
            .borrow_mut()
            .update(members, listing.revision, now);
        for member in gone {
            seam::Upstreams::close_connections(&self.upstreams, member.address);
        }
        self.note_changes(&before, from, listing.revision);
        *self.listed.borrow_mut() = Some(rc::Rc::new(listing));
        self.refresh();
    }

    /// Brings the views of pools up to the configuration and the list.
    pub(crate) fn refresh(&self) {
        let Some(force) = self.force() else {
            return;
        };
        let roster = self.roster.borrow();
        for service in &force.agreement.services {
            match &service.engine {
                Some(facts) => {
                    let ready = roster.ready(&service.name);
                    let steady = ready.filter(|m| !self.shifting(m));
                    self.pools.update(&service.name, facts, steady, self.rank());
                }
                None => self.plains.update(&service.name, &roster),
            }
        }
    }

    /// Notes a stream that callers ask for.
    pub(crate) fn ask(&self, service: &Name, prompt: u64, now: time::Instant) {
        let mut demand = self.demand.borrow_mut();
        let demand = demand.entry(service.clone()).or_default();
        demand.record_request(prompt, now);
    }

    /// Notes a stream that held `tokens` of an engine's memory for `held`.
    pub(crate) fn learn(&self, service: &Name, tokens: u64, held: time::Duration) {
        if let Some(demand) = self.demand.borrow_mut().get_mut(service) {
            demand.record_stream(tokens, held);
        }
    }

    /// What callers ask for here, by service.
    pub(crate) fn asked(
        &self,
        now: time::Instant,
    ) -> collections::BTreeMap<Name, pool::DemandRate> {
        let mut demand = self.demand.borrow_mut();
        demand
            .iter_mut()
            .map(|(name, demand)| (name.clone(), demand.rate(now)))
            .collect()
    }

    /// Prompt tokens a second that engines were seen to read, here or by peers.
    pub(crate) fn speeds(&self, pool: &Pool) -> collections::BTreeMap<Name, f64> {
        let mut speeds = collections::BTreeMap::new();
        for peer in self.peers.borrow().values() {
            if let Some((_, news)) = &peer.news {
                speeds.extend(news.speeds.clone());
            }
        }
        speeds.extend(pool.lanes.borrow().speeds());
        speeds
    }

    /// Tells whether a peer has said lately that it holds the key of orders.
    pub(crate) fn peer_holds(&self, now: time::Instant) -> bool {
        let peers = self.peers.borrow();
        let told = peers.values().filter_map(|p| p.news.as_ref());
        let mut fresh = told.filter(|(at, _)| now.saturating_duration_since(*at) < HOLDS_MEMORY);
        fresh.any(|(_, news)| news.holds)
    }

    /// This entry's place among all entries, and how many they are.
    pub(crate) fn rank(&self) -> (usize, usize) {
        let peers = self.peers.borrow();
        let before = peers.keys().filter(|n| **n < self.settings.host).count();
        (before, peers.len() + 1)
    }

    /// Notes that an engine was found to change its part, or to have changed it
    /// without the list telling so yet.
    pub(crate) fn shun(&self, id: &Name, part: seam::Role, now: time::Instant) {
        let mut shifts = self.shifts.borrow_mut();
        shifts.insert(id.clone(), (part, now + SHUN_TIME));
        drop(shifts);
        self.refresh();
    }

    /// Tells whether an engine is changing its part.
    pub(crate) fn shifting(&self, member: &seam::Member) -> bool {
        let shifts = self.shifts.borrow();
        let now = time::Instant::now();
        shifts
            .get(&member.id)
            .is_some_and(|(part, until)| *until > now && member.role != Some(*part))
    }

    fn conditions(&self) -> collections::BTreeMap<Name, (seam::MemberState, Option<seam::Role>)> {
        let roster = self.roster.borrow();
        roster
            .hosts()
            .map(|m| (m.id.clone(), (m.state, m.role)))
            .collect()
    }

    fn note_changes(
        &self,
        before: &collections::BTreeMap<Name, (seam::MemberState, Option<seam::Role>)>,
        from: &str,
        revision: u64,
    ) {
        let after = self.conditions();
        for (id, state) in &after {
            if before.get(id) != Some(state) {
                trace::Line::new("upstream")
                    .with("id", id)
                    .with("state", format!("{:?}", state.0))
                    .with("part", measure::part_word(state.1))
                    .with("from", from)
                    .with("revision", revision)
                    .info();
            }
        }
        for id in before.keys().filter(|id| !after.contains_key(*id)) {
            trace::Line::new("upstream")
                .with("id", id)
                .with("state", "Gone")
                .with("from", from)
                .with("revision", revision)
                .info();
        }
    }
}
