//! What entries tell each other.

use crate::crashes::Crash;
use crate::entry::Entry;
use crate::entry::Listing;
use crate::entry::Peer;
use std::collections;
use std::net;
use std::time;
use world::Name;

/// What one entry tells a peer, a few times a second.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct News {
    /// Who tells.
    pub(crate) entry: Name,
    /// Where it takes news.
    #[serde(default)]
    pub(crate) address: Option<net::SocketAddr>,
    /// The version of its configuration.
    pub(crate) version: u64,
    /// The store's revision of its list of upstream hosts.
    pub(crate) listed: u64,
    /// The age of that list in milliseconds.
    pub(crate) age_ms: u64,
    /// Its streams, by engine.
    pub(crate) seats: collections::BTreeMap<Name, pool::EngineLoad>,
    /// Its prompts, by engine, in tokens.
    pub(crate) lanes: collections::BTreeMap<Name, u64>,
    /// Its calls, by host of plain services.
    pub(crate) calls: collections::BTreeMap<Name, u32>,
    /// What it has let through, by organisation.
    pub(crate) used: collections::BTreeMap<Name, f64>,
    /// How many milliseconds ago it was started again, while it doesn't know what
    /// it has let through before.
    #[serde(default)]
    pub(crate) restart_ms: Option<u64>,
    /// What callers ask it for, by service.
    pub(crate) asked: collections::BTreeMap<Name, pool::DemandRate>,
    /// Prompt tokens a second that it has seen engines read; empty in most
    /// messages, the last ones told hold on.
    pub(crate) speeds: collections::BTreeMap<Name, f64>,
    /// Upstream hosts that it has seen fail, with the milliseconds of their rest.
    #[serde(default)]
    pub(crate) faults: collections::BTreeMap<Name, u64>,
    /// Whether it holds the key of orders.
    pub(crate) holds: bool,
    /// Crashes of upstream hosts over requests.
    pub(crate) crashes: Vec<Crash>,
    /// Engines that change their part, with the part to be and the
    /// milliseconds after which that is given up.
    pub(crate) shifts: collections::BTreeMap<Name, (seam::Role, u64)>,
}

/// What a peer answers: what it knows better.
#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct Better {
    /// The version of its configuration.
    #[serde(default)]
    pub(crate) version: u64,
    /// A newer list of upstream hosts.
    pub(crate) listing: Option<Listing>,
    /// The age in milliseconds of its list, where that is the same as the asker's
    /// but was read later.
    #[serde(default)]
    pub(crate) confirmed: Option<u64>,
}

impl<P: seam::Platform> Entry<P> {
    /// What this entry tells its peers now; what hardly changes too if `whole`.
    pub(crate) fn news(&self, whole: bool, now: time::Instant) -> News {
        let mut allowance = self.allowance.borrow_mut();
        let (used, restart) = (allowance.usage(now), allowance.time_since_restart(now));
        drop(allowance);
        let mut news = News {
            entry: self.settings.host.clone(),
            address: Some(self.settings.peer_listen),
            version: self.version(),
            listed: self.roster.borrow().revision(),
            age_ms: u64::try_from(self.list_age(now).as_millis()).unwrap_or(u64::MAX),
            used,
            restart_ms: restart.and_then(|r| u64::try_from(r.as_millis()).ok()),
            asked: self.asked(now),
            holds: self.holds.get(),
            crashes: self.crash_news(now),
            shifts: self.own_shifts(now),
            ..News::default()
        };
        for (_, pool) in self.pools.all() {
            let seats = pool.seats.borrow();
            news.seats.extend(seats.own_loads());
            news.faults.extend(seats.failures.own_failures(now));
            let lanes = pool.lanes.borrow();
            news.lanes.extend(lanes.own_backlogs());
            news.faults.extend(lanes.failures.own_failures(now));
            if whole {
                news.speeds.extend(lanes.speeds());
            }
        }
        for (_, plain) in self.plains.all() {
            let hosts = plain.hosts.borrow();
            news.calls.extend(hosts.own_calls());
            news.faults.extend(hosts.failures.own_failures(now));
        }
        news
    }

    /// Hears a peer's news; tells what this entry knows better.
    pub(crate) fn hear(&self, news: News, now: time::Instant) -> Better {
        let peer = news.entry.clone();
        for (_, pool) in self.pools.all() {
            let mut seats = pool.seats.borrow_mut();
            seats.update_peer(&peer, news.seats.clone(), now);
            seats.failures.update_peer(&peer, &news.faults, now);
            drop(seats);
            let mut lanes = pool.lanes.borrow_mut();
            lanes.update_peer(&peer, news.lanes.clone(), now);
            lanes.add_peer_speeds(&news.speeds);
            lanes.failures.update_peer(&peer, &news.faults, now);
        }
        for (_, plain) in self.plains.all() {
            let mut hosts = plain.hosts.borrow_mut();
            hosts.update_peer(&peer, news.calls.clone(), now);
            hosts.failures.update_peer(&peer, &news.faults, now);
        }
        let mut allowance = self.allowance.borrow_mut();
        let since = news.restart_ms.map(time::Duration::from_millis);
        allowance.update_peer(&peer, news.used.clone(), since, now);
        drop(allowance);
        for crash in &news.crashes {
            self.note_crash(crash, now);
        }
        self.hear_shifts(&news, now);
        let better = self.better(&news);
        self.meet(&peer, news.address, news, now);
        better
    }

    /// Keeps a peer's news; one that the store has not told of yet is known by them.
    fn meet(&self, peer: &Name, address: Option<net::SocketAddr>, news: News, now: time::Instant) {
        let mut peers = self.peers.borrow_mut();
        if let Some(known) = peers.get_mut(peer) {
            let mut news = news;
            if let Some((_, old)) = known.news.take()
                && news.speeds.is_empty()
            {
                news.speeds = old.speeds;
            }
            known.news = Some((now, news));
        } else if let Some(address) = address.filter(|_| *peer != self.settings.host) {
            trace::Line::new("peer")
                .with("peer", peer)
                .with("address", address)
                .info();
            let met = Peer {
                address,
                news: Some((now, news)),
                quiet: None,
            };
            peers.insert(peer.clone(), met);
        }
    }

    fn better(&self, news: &News) -> Better {
        let mut better = Better {
            version: self.version(),
            ..Better::default()
        };
        let age = time::Duration::from_millis(news.age_ms);
        if !pool::shares_host_list(self.rank().0, age) {
            return better;
        }
        let own = self.list_age(time::Instant::now());
        let listing = self.listed.borrow().clone();
        match listing {
            Some(listing) if listing.revision > news.listed => {
                better.listing = Some(Listing::clone(&listing));
            }
            Some(listing) if listing.revision == news.listed && own < age => {
                better.confirmed = u64::try_from(own.as_millis()).ok();
            }
            Some(_) | None => {}
        }
        better
    }

    /// How many engines were seen to read prompts.
    pub(crate) fn known_speeds(&self) -> usize {
        let pools = self.pools.all();
        let known = pools.iter().map(|(_, p)| p.lanes.borrow().speeds().len());
        known.sum()
    }

    /// The version of the configuration in force; 0 where there is none.
    pub(crate) fn version(&self) -> u64 {
        self.force().map_or(0, |f| f.agreement.version)
    }

    fn own_shifts(&self, now: time::Instant) -> collections::BTreeMap<Name, (seam::Role, u64)> {
        let shifts = self.shifts.borrow();
        let left = |until: time::Instant| until.saturating_duration_since(now).as_millis();
        shifts
            .iter()
            .map(|(id, (part, until))| (id.clone(), (*part, left(*until) as u64)))
            .filter(|(_, (_, left))| *left > 0)
            .collect()
    }

    /// Hears of engines that change their part; the one who ordered it tells
    /// last what becomes of it, so known ones are kept.
    fn hear_shifts(&self, news: &News, now: time::Instant) {
        let mut shifts = self.shifts.borrow_mut();
        let before = shifts.len();
        shifts.retain(|_, (_, until)| *until > now);
        for (id, (part, left)) in &news.shifts {
            let until = now + time::Duration::from_millis(*left);
            shifts.entry(id.clone()).or_insert((*part, until));
        }
        let changed = shifts.len() != before;
        drop(shifts);
        if changed {
            self.refresh();
        }
    }

    /// The age of this entry's list of upstream hosts.
    pub(crate) fn list_age(&self, now: time::Instant) -> time::Duration {
        let read = self.roster.borrow().read_at();
        read.map_or(time::Duration::MAX, |r| now.saturating_duration_since(r))
    }
}
