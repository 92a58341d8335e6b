//! Where a stream may run: memory and places of decode engines.
//!
//! Answers the load of many streams on nearly full engines: each goes where the
//! most room is left, and one that was refused is left alone for a moment. The
//! engines themselves have the last word on room.

use crate::failures::HostFailures;
use crate::peer_loads::PeerLoads;
use std::collections;
use std::ops;
use std::time;
use world::Name;

/// How long an engine that has refused counts as full, at first, unless a
/// stream ends there.
const FULL_TIME: time::Duration = time::Duration::from_millis(60);
/// The longest such time; it doubles with each refusal in a row.
const FULL_MOST: time::Duration = time::Duration::from_millis(500);
/// How long an engine that failed gets no new streams, at first.
const FAULT_TIME: time::Duration = time::Duration::from_millis(800);
/// How much fuller an engine of the same zone may be than another.
const ZONE_WORTH: f64 = 0.04;
/// How far apart in fill engines are taken for alike: what entries don't yet
/// know of each other's streams.
const SPREAD: f64 = 0.2;
/// After this silence a peer's streams count no more.
const PEER_MEMORY: time::Duration = time::Duration::from_secs(2);

/// Streams and their tokens at one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EngineLoad {
    /// Tokens of memory.
    pub tokens: u64,
    /// Streams.
    pub streams: u32,
}

impl ops::Add for EngineLoad {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            tokens: self.tokens + other.tokens,
            streams: self.streams + other.streams,
        }
    }
}

/// A view of the decode engines of one service.
#[derive(Clone, Debug)]
pub struct DecodePool {
    engines: collections::BTreeMap<Name, Engine>,
    /// Which of them failed lately.
    pub failures: HostFailures,
    told: PeerLoads<EngineLoad>,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    zone: Option<Name>,
    capacity: u64,
    slots: u32,
    own: EngineLoad,
    full: Option<time::Instant>,
    refusals: u32,
    open: bool,
}

impl Default for DecodePool {
    fn default() -> Self {
        Self {
            engines: collections::BTreeMap::new(),
            failures: HostFailures::new(FAULT_TIME),
            told: PeerLoads::new(PEER_MEMORY),
        }
    }
}

impl DecodePool {
    /// Takes the decode engines that are ready.
    pub fn set_engines<'a>(
        &mut self,
        members: impl Iterator<Item = &'a seam::Member>,
        facts: &seam::EngineSpec,
    ) {
        for engine in self.engines.values_mut() {
            engine.open = false;
        }
        for member in members {
            let engine = self.engines.entry(member.id.clone()).or_default();
            engine.zone = Some(member.zone.clone());
            engine.capacity = facts.capacity_tokens;
            engine.slots = facts.slots;
            engine.open = member.role != Some(seam::Role::Prefill);
        }
        self.engines.retain(|_, e| e.open || e.own.streams > 0);
        self.failures.set_hosts(self.engines.keys());
    }

    /// Picks the engine for a stream that needs `need` tokens. `draw`, from 0 to
    /// 1 by engine, keeps entries that see the same from all picking the same.
    pub fn pick(
        &self,
        need: u64,
        zone: &str,
        mut draw: impl FnMut() -> f64,
        now: time::Instant,
    ) -> Option<Name> {
        let (others, resting) = (self.told.all(now), self.failures.backed_off(now));
        let usable = self
            .engines
            .iter()
            .filter(|(id, e)| e.usable(now) && !resting.contains(&***id))
            .filter_map(|(id, e)| {
                let load = e.own + others.get(&**id).copied().unwrap_or_default();
                let fits = load.tokens + need <= e.capacity && load.streams < e.slots;
                let fill = (load.tokens + need) as f64 / e.capacity.max(1) as f64;
                let near = e.zone.as_deref() == Some(zone);
                let cost = if near { fill - ZONE_WORTH } else { fill };
                fits.then_some((cost + SPREAD * draw(), id))
            });
        let best = usable.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, id)| id.clone())
    }

    /// The zone of an engine.
    pub fn zone(&self, id: &str) -> Option<&Name> {
        self.engines.get(id)?.zone.as_ref()
    }

    /// Notes a stream that is meant for an engine. One that has failed gets no
    /// other until this one has shown whether it works again.
    pub fn start_stream(&mut self, id: &str, tokens: u64, now: time::Instant) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.own = engine.own + EngineLoad { tokens, streams: 1 };
            self.failures.record_attempt(id, now);
        }
    }

    /// Notes that a stream is no longer meant for an engine; where it has run
    /// there, its room is free.
    pub fn end_stream(&mut self, id: &str, tokens: u64, ran: bool) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.own.tokens = engine.own.tokens.saturating_sub(tokens);
            engine.own.streams = engine.own.streams.saturating_sub(1);
            if ran {
                engine.full = None;
                engine.refusals = 0;
            }
        }
    }

    /// Notes that an engine has refused a stream.
    pub fn record_refusal(&mut self, id: &str, now: time::Instant) {
        if let Some(engine) = self.engines.get_mut(id) {
            let pause = FULL_TIME.saturating_mul(1 << engine.refusals.min(4));
            engine.refusals += 1;
            engine.full = Some(now + pause.min(FULL_MOST));
        }
    }

    /// Notes that an engine has failed.
    pub fn record_failure(&mut self, id: &str, now: time::Instant) {
        self.failures.record_failure(id, now);
    }

    /// Notes that an engine has done as it was asked.
    pub fn record_success(&mut self, id: &str) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.refusals = 0;
            self.failures.record_success(id);
        }
    }

    /// This entry's own streams, for its peers.
    pub fn own_loads(&self) -> collections::BTreeMap<Name, EngineLoad> {
        self.engines
            .iter()
            .filter(|(_, e)| e.own.streams > 0)
            .map(|(id, e)| (id.clone(), e.own))
            .collect()
    }

    /// Hears of a peer's streams.
    pub fn update_peer(
        &mut self,
        peer: &Name,
        loads: collections::BTreeMap<Name, EngineLoad>,
        now: time::Instant,
    ) {
        self.told.hear(peer, loads, now);
    }

    /// All streams known at an engine.
    pub fn load(&self, id: &str, now: time::Instant) -> EngineLoad {
        let own = self.engines.get(id).map(|e| e.own).unwrap_or_default();
        own + self.told.at(id, now)
    }

    /// The part of the pool's memory that streams hold, from 0 to 1.
    pub fn fill_ratio(&self, now: time::Instant) -> f64 {
        let others = self.told.all(now);
        let open = self.engines.iter().filter(|(_, e)| e.open);
        let (held, whole) = open.fold((0, 0), |(held, whole), (id, e)| {
            let load = e.own + others.get(&**id).copied().unwrap_or_default();
            (held + load.tokens, whole + e.capacity)
        });
        held as f64 / (whole.max(1)) as f64
    }

    /// Engines that take streams.
    pub fn engine_count(&self) -> usize {
        self.engines.values().filter(|e| e.open).count()
    }
}

impl Engine {
    fn usable(&self, now: time::Instant) -> bool {
        self.open && self.full.is_none_or(|f| f <= now)
    }
}
