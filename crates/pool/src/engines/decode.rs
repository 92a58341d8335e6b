//! Selection of decode engines by their free memory and slots.
//!
//! Each stream is sent to the engine with the most memory free over the next
//! seconds, so that many streams fit on nearly full engines and none is preempted. An
//! engine at which a stream was preempted gets no new one until it goes on. An engine that has refused a stream is
//! not tried again for a short time. Only the engines themselves know exactly
//! how much room they have, so they may refuse what fits by this view.

use crate::balance::failures::HostFailures;
use crate::engines::forecast::MemoryForecast;
use crate::hosts::host_notices::SharedNotices;
use crate::peers::heard::Heard;
use crate::peers::peer_loads::AddLoad;
use crate::peers::peer_loads::PeerLoads;
use std::collections;
use std::ops;
use std::time;
use world::Name;

/// How long an engine counts as full after its first refusal, unless one of its
/// streams ends earlier.
const FULL_BACKOFF: time::Duration = time::Duration::from_millis(60);
/// The longest time for which a refusal makes an engine count as full; the time
/// doubles with each refusal in a row.
const MAX_FULL_BACKOFF: time::Duration = time::Duration::from_millis(500);
/// How long an engine that has failed receives no new streams, at first.
const FIRST_BACKOFF: time::Duration = time::Duration::from_millis(800);
/// How much fuller an engine in the entry's zone may be than one in another zone
/// and still be preferred, as a fraction of its memory.
const SAME_ZONE_BONUS: f64 = 0.04;
/// Engines whose fill differs by less than this may be picked in any order,
/// since entries don't yet know of each other's newest streams.
const RANDOM_SPREAD: f64 = 0.2;
/// A peer's report of its streams is valid for this time.
const PEER_EXPIRY: time::Duration = time::Duration::from_secs(2);
/// Fill ratio that an engine may have more than one on whose machine work takes twice as long.
const SLOWNESS_COST: f64 = 0.1;

/// Number of streams at one engine and the memory they hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EngineLoad {
    /// Memory that the streams hold and will hold.
    #[serde(rename = "m")]
    pub memory: MemoryForecast,
    /// Number of streams.
    #[serde(rename = "n")]
    pub streams: u32,
    /// Number of streams that have begun and make no progress.
    #[serde(default, rename = "p", skip_serializing_if = "is_zero")]
    pub paused: u32,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

impl ops::Add for EngineLoad {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            memory: self.memory + other.memory,
            streams: self.streams.saturating_add(other.streams),
            paused: self.paused.saturating_add(other.paused),
        }
    }
}

impl AddLoad for EngineLoad {
    fn add_load(self, other: Self) -> Self {
        self + other
    }
}

/// The decode engines of one service, with their load and failures.
#[derive(Clone, Debug)]
pub struct DecodePool {
    engines: collections::BTreeMap<Name, Engine>,
    /// Recent failures of the engines, as seen here and reported by peers.
    pub failures: HostFailures,
    /// What the engines have said of themselves.
    notices: SharedNotices,
    peer_loads: PeerLoads<EngineLoad>,
    /// Memory that engines keep free for more urgent streams, by the priority of streams that
    /// leave it free.
    kept: collections::BTreeMap<u8, collections::BTreeMap<Name, u64>>,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    zone: Option<Name>,
    capacity_tokens: u64,
    slots: u32,
    own_load: EngineLoad,
    full_until: Option<time::Instant>,
    /// Refusals in a row.
    refusals: u32,
    ready: bool,
}

impl Default for DecodePool {
    fn default() -> Self {
        Self {
            engines: collections::BTreeMap::new(),
            failures: HostFailures::new(FIRST_BACKOFF),
            notices: SharedNotices::default(),
            peer_loads: PeerLoads::new(PEER_EXPIRY),
            kept: collections::BTreeMap::new(),
        }
    }
}

impl DecodePool {
    /// Creates a pool without engines, which shares what hosts say of themselves.
    pub fn new(notices: SharedNotices) -> Self {
        Self {
            notices,
            ..Self::default()
        }
    }

    /// Sets the engines of the service that are ready; those with the prefill
    /// role receive no streams. An engine that is no longer among them is
    /// removed once its last stream has ended.
    pub fn set_engines<'a>(
        &mut self,
        members: impl Iterator<Item = &'a seam::Member>,
        spec: &seam::EngineSpec,
    ) {
        for engine in self.engines.values_mut() {
            engine.ready = false;
        }
        for member in members {
            let engine = self.engines.entry(member.id.clone()).or_default();
            engine.zone = Some(member.zone.clone());
            engine.capacity_tokens = spec.capacity_tokens;
            engine.slots = spec.slots;
            engine.ready = member.role != Some(seam::Role::Prefill);
        }
        self.engines
            .retain(|_, e| e.ready || e.own_load.streams > 0);
        self.failures.set_hosts(self.engines.keys());
    }

    /// Picks the engine for a stream that needs the given memory at an entry
    /// in the given zone; returns `None` if no usable engine has room. `random`
    /// returns a number from 0 to 1 for each engine, so that entries with the
    /// same view don't all pick the same one.
    pub fn pick(
        &self,
        need: MemoryForecast,
        zone: &str,
        random: impl FnMut() -> f64,
        now: time::Instant,
    ) -> Option<Name> {
        self.pick_ranked(need, (0, false), zone, random, now)
    }

    /// Does the same for a stream of a priority, which leaves room for more urgent ones. The
    /// most urgent need no room for what others may need later: these yield.
    pub fn pick_ranked(
        &self,
        need: MemoryForecast,
        (priority, is_urgent): (u8, bool),
        zone: &str,
        mut random: impl FnMut() -> f64,
        now: time::Instant,
    ) -> Option<Name> {
        let cost = |engine: &Engine, load: EngineLoad| {
            let held = match is_urgent {
                true => (load.memory + need).now(),
                false => (load.memory + need).peak(),
            };
            let fill = held as f64 / engine.capacity_tokens.max(1) as f64;
            let same_zone = engine.zone.as_deref() == Some(zone);
            let bonus = if same_zone { SAME_ZONE_BONUS } else { 0.0 };
            fill - bonus + RANDOM_SPREAD * random()
        };
        let fits = |id: &Name, engine: &Engine, load: EngineLoad| match is_urgent {
            true => engine.has_room_now(load, need),
            false => engine.fits(load, need, self.kept_at(id, priority)),
        };
        self.pick_cheapest(cost, fits, now)
    }

    /// Sets the memory that engines keep free from streams of a priority.
    pub fn set_kept(&mut self, priority: u8, kept: collections::BTreeMap<Name, u64>) {
        self.kept.insert(priority, kept);
    }

    /// Returns the ids of the engines that accept streams, and the memory of each.
    pub fn ready_engines(&self) -> (Vec<Name>, u64) {
        let ready = self.engines.iter().filter(|(_, e)| e.ready);
        let capacity = ready.clone().map(|(_, e)| e.capacity_tokens).max();
        let ids = ready.map(|(id, _)| id.clone()).collect();
        (ids, capacity.unwrap_or_default())
    }

    fn kept_at(&self, id: &Name, priority: u8) -> u64 {
        let kept = self.kept.get(&priority);
        kept.and_then(|k| k.get(id)).copied().unwrap_or_default()
    }

    /// Picks the engine at which the fewest streams run, for a stream that may crash it.
    pub fn pick_emptiest(&self, need: MemoryForecast, now: time::Instant) -> Option<Name> {
        let streams = |_: &Engine, load: EngineLoad| f64::from(load.streams);
        let fits = |_: &Name, engine: &Engine, load| engine.fits(load, need, 0);
        self.pick_cheapest(streams, fits, now)
    }

    /// Picks the engine at which the fewest streams run among these, for a stream that may
    /// run at no other.
    pub fn pick_among(
        &self,
        ids: &[Name],
        need: MemoryForecast,
        now: time::Instant,
    ) -> Option<Name> {
        let streams = |_: &Engine, load: EngineLoad| f64::from(load.streams);
        let fits =
            |id: &Name, engine: &Engine, load| ids.contains(id) && engine.fits(load, need, 0);
        self.pick_cheapest(streams, fits, now)
    }

    /// Picks the usable engine with the lowest cost among those with room.
    fn pick_cheapest(
        &self,
        mut cost: impl FnMut(&Engine, EngineLoad) -> f64,
        fits: impl Fn(&Name, &Engine, EngineLoad) -> bool,
        now: time::Instant,
    ) -> Option<Name> {
        let (peer_loads, backed_off) =
            (self.peer_loads.by_host(now), self.failures.backed_off(now));
        let notices = self.notices.borrow();
        let usable = self
            .engines
            .iter()
            .filter(|(id, e)| e.is_usable(now) && !backed_off.contains(&***id))
            .filter(|(id, _)| notices.allows(id, now))
            .filter_map(|(id, e)| {
                let slowness = notices.machines.factor(id, now) - 1.0;
                let load = e.own_load + peer_loads.get(&**id).copied().unwrap_or_default();
                fits(id, e, load).then(|| (cost(e, load) + SLOWNESS_COST * slowness, id))
            });
        let best = usable.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, id)| id.clone())
    }

    /// Returns when the first engine takes streams again, if all of them want no call now.
    pub fn retry_at(&self, now: time::Instant) -> Option<time::Instant> {
        let ready = self.engines.iter().filter(|(_, e)| e.ready);
        self.notices.borrow().retry_at(ready.map(|(id, _)| id), now)
    }

    /// Returns the zone of an engine.
    pub fn zone(&self, id: &str) -> Option<&Name> {
        self.engines.get(id)?.zone.as_ref()
    }

    /// Records that a stream is assigned to an engine. If that engine had failed,
    /// it receives no other stream until this one has shown whether it works
    /// again.
    pub fn start_stream(&mut self, id: &str, need: MemoryForecast, now: time::Instant) {
        if let Some(engine) = self.engines.get_mut(id) {
            let load = EngineLoad {
                memory: need,
                streams: 1,
                paused: 0,
            };
            engine.own_load = engine.own_load + load;
            self.failures.record_attempt(id, now);
        }
    }

    /// Replaces what a stream at an engine was expected to need.
    pub fn update_stream(&mut self, id: &str, before: MemoryForecast, need: MemoryForecast) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.own_load.memory = engine.own_load.memory.without(before) + need;
        }
    }

    /// Records that a stream at an engine makes no progress, or does so again.
    pub fn set_paused(&mut self, id: &str, paused: bool) {
        if let Some(engine) = self.engines.get_mut(id) {
            let count = &mut engine.own_load.paused;
            *count = match paused {
                true => *count + 1,
                false => count.saturating_sub(1),
            };
        }
    }

    /// Records that a stream is no longer assigned to an engine. If it `ran`
    /// there, the engine has room again and no longer counts as full.
    pub fn end_stream(&mut self, id: &str, need: MemoryForecast, ran: bool) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.own_load.memory = engine.own_load.memory.without(need);
            engine.own_load.streams = engine.own_load.streams.saturating_sub(1);
            if ran {
                engine.full_until = None;
                engine.refusals = 0;
            }
        }
    }

    /// Records that an engine refused a stream because it was full.
    pub fn record_refusal(&mut self, id: &str, now: time::Instant) {
        if let Some(engine) = self.engines.get_mut(id) {
            let backoff = FULL_BACKOFF.saturating_mul(1 << engine.refusals.min(4));
            engine.refusals += 1;
            engine.full_until = Some(now + backoff.min(MAX_FULL_BACKOFF));
        }
    }

    /// Records that a request to an engine failed.
    pub fn record_failure(&mut self, id: &str, now: time::Instant) {
        self.failures.record_failure(id, now);
    }

    /// Records that a request to an engine succeeded.
    pub fn record_success(&mut self, id: &str) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.refusals = 0;
            self.failures.record_success(id);
        }
    }

    /// Returns the load of this entry's own streams, by engine.
    pub fn own_loads(&self) -> collections::BTreeMap<Name, EngineLoad> {
        self.engines
            .iter()
            .filter(|(_, e)| e.own_load.streams > 0)
            .map(|(id, e)| (id.clone(), e.own_load))
            .collect()
    }

    /// Replaces a peer's report of the load of its streams, by engine.
    pub fn update_peer(
        &mut self,
        peer: &Name,
        loads: collections::BTreeMap<Name, EngineLoad>,
        heard: impl Into<Heard>,
    ) {
        self.peer_loads.update(peer, loads, heard.into());
    }

    /// Returns the load of this entry's and its peers' streams at an engine.
    pub fn load(&self, id: &str, now: time::Instant) -> EngineLoad {
        let own = self.engines.get(id).map(|e| e.own_load).unwrap_or_default();
        own + self.peer_loads.at_host(id, now)
    }

    /// Returns the fraction of the pool's memory that streams will hold at most, from
    /// 0 to 1.
    pub fn fill_ratio(&self, now: time::Instant) -> f64 {
        let peer_loads = self.peer_loads.by_host(now);
        let ready = self.engines.iter().filter(|(_, e)| e.ready);
        let (used, capacity) = ready.fold((0_u64, 0_u64), |(used, capacity), (id, e)| {
            let load = e.own_load + peer_loads.get(&**id).copied().unwrap_or_default();
            (
                used.saturating_add(load.memory.peak()),
                capacity.saturating_add(e.capacity_tokens),
            )
        });
        used as f64 / (capacity.max(1)) as f64
    }

    /// Returns the number of engines that accept streams.
    pub fn engine_count(&self) -> usize {
        self.engines.values().filter(|e| e.ready).count()
    }
}

impl Engine {
    /// Returns whether a stream fits for its whole time beside the load, with so much memory
    /// kept free.
    fn fits(&self, load: EngineLoad, need: MemoryForecast, kept: u64) -> bool {
        let peak = (load.memory + need).peak();
        let has_room = peak.saturating_add(kept) <= self.capacity_tokens;
        // A new stream would go ahead of a paused one, which was preempted.
        has_room && load.streams < self.slots && load.paused == 0
    }

    /// Returns whether a stream can begin beside the load. The engine preempts less urgent
    /// streams if memory runs out later.
    fn has_room_now(&self, load: EngineLoad, need: MemoryForecast) -> bool {
        (load.memory + need).now() <= self.capacity_tokens && load.streams < self.slots
    }

    fn is_usable(&self, now: time::Instant) -> bool {
        self.ready && self.full_until.is_none_or(|f| f <= now)
    }
}
