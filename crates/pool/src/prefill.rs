//! Where a prompt is read: the backlog of prefill engines.
//!
//! Answers the load of long prompts and bursts: each prompt goes where it will
//! be read soonest, by the backlog that is known and the speed that was seen.
//! Entries learn of each other's prompts later than prompts are read, so each
//! prefers engines of its own and goes to others only where that is clearly
//! sooner.

use crate::failures::HostFailures;
use crate::peer_loads::PeerLoads;
use std::collections;
use std::time;
use world::Name;

/// Tokens a second that an engine is taken to read before any was seen: more
/// than any does, so that each is tried early.
const FIRST_SPEED: f64 = 60_000.0;
/// Weight of a reading that is faster than an engine's known speed.
const RISE_WEIGHT: f64 = 0.4;
/// Weight of a reading that is slower.
const FALL_WEIGHT: f64 = 0.04;
/// The least time of a reading in seconds, so that a tiny prompt says little.
const LEAST_TIME: f64 = 0.02;
/// Time for the call itself and the engine's first step.
const CALL_TIME: f64 = 0.015;
/// How much sooner an engine must be expected that is another entry's own:
/// about what a prompt takes that this entry doesn't know of yet.
const HOME_COST: f64 = 0.1;
/// How long an engine that has refused or failed gets no prompts, at first.
const FAULT_TIME: time::Duration = time::Duration::from_millis(500);
/// What a transfer between zones costs more, as time in seconds.
const ZONE_COST: f64 = 0.02;
/// After this silence a peer's prompts count no more.
const PEER_MEMORY: time::Duration = time::Duration::from_millis(700);

/// A view of the prefill engines of one service.
#[derive(Clone, Debug)]
pub struct PrefillPool {
    engines: collections::BTreeMap<Name, Engine>,
    /// Which of them failed lately.
    pub failures: HostFailures,
    told: PeerLoads<u64>,
}

#[derive(Clone, Debug)]
struct Engine {
    zone: Name,
    own: u64,
    speed: Option<f64>,
    open: bool,
    home: bool,
}

impl Default for PrefillPool {
    fn default() -> Self {
        Self {
            engines: collections::BTreeMap::new(),
            failures: HostFailures::new(FAULT_TIME),
            told: PeerLoads::new(PEER_MEMORY),
        }
    }
}

impl PrefillPool {
    /// Takes the prefill engines that are ready.
    pub fn set_engines<'a>(&mut self, members: impl Iterator<Item = &'a seam::Member>) {
        for lane in self.engines.values_mut() {
            lane.open = false;
        }
        for member in members.filter(|m| m.role == Some(seam::Role::Prefill)) {
            let lane = self.engines.entry(member.id.clone());
            let lane = lane.or_insert_with(|| Engine {
                zone: member.zone.clone(),
                own: 0,
                speed: None,
                open: true,
                home: true,
            });
            lane.open = true;
        }
        self.engines.retain(|_, l| l.open || l.own > 0);
        self.failures.set_hosts(self.engines.keys());
    }

    /// Divides the engines among entries: this one is `place` of `count`, in an
    /// order that all entries know.
    pub fn assign_preferred(&mut self, place: usize, count: usize) {
        let engines = self.engine_count();
        let open = self.engines.values_mut().filter(|l| l.open);
        for (index, lane) in open.enumerate() {
            lane.home = match engines >= count {
                true => index % count.max(1) == place,
                false => index == place % engines,
            };
        }
    }

    /// Picks the engine that will have read a prompt soonest, with the time.
    pub fn pick(
        &self,
        prompt: u64,
        zone: Option<&str>,
        now: time::Instant,
    ) -> Option<(Name, time::Duration)> {
        let (others, resting) = (self.told.all(now), self.failures.backed_off(now));
        let usable = self
            .engines
            .iter()
            .filter(|(id, l)| l.open && !resting.contains(&***id))
            .map(|(id, l)| {
                let others = others.get(&**id).copied().unwrap_or_default();
                let backlog = l.own + others + prompt;
                let time = backlog as f64 / l.speed.unwrap_or(FIRST_SPEED) + CALL_TIME;
                let far = zone.is_some_and(|z| z != &*l.zone);
                let far = if far { ZONE_COST } else { 0.0 };
                let home = if l.home { 0.0 } else { HOME_COST };
                (time, time + far + home, id)
            });
        let (time, _, id) = usable.min_by(|a, b| a.1.total_cmp(&b.1))?;
        Some((id.clone(), time::Duration::from_secs_f64(time)))
    }

    /// Notes a prompt that is sent to an engine. One that has failed gets no
    /// other until this one has shown whether it works again.
    pub fn start_prompt(&mut self, id: &str, prompt: u64, now: time::Instant) {
        if let Some(lane) = self.engines.get_mut(id) {
            lane.own += prompt;
            self.failures.record_attempt(id, now);
        }
    }

    /// Notes that a prompt is no longer there.
    pub fn end_prompt(&mut self, id: &str, prompt: u64) {
        if let Some(lane) = self.engines.get_mut(id) {
            lane.own = lane.own.saturating_sub(prompt);
        }
    }

    /// Learns from a prompt that was read in `took`.
    ///
    /// Others may have been read meanwhile, so each gives a lower bound, which
    /// is near the truth where the engine was idle: higher ones count for more.
    pub fn record_prefill(&mut self, id: &str, prompt: u64, took: time::Duration) {
        let Some(lane) = self.engines.get_mut(id) else {
            return;
        };
        let seconds = (took.as_secs_f64() - CALL_TIME).max(LEAST_TIME);
        let seen = prompt as f64 / seconds;
        lane.speed = Some(match lane.speed {
            Some(known) if seen > known => known + RISE_WEIGHT * (seen - known),
            Some(known) => known + FALL_WEIGHT * (seen - known),
            None => seen,
        });
        self.failures.record_success(id);
    }

    /// Notes that an engine has refused or failed.
    pub fn record_failure(&mut self, id: &str, now: time::Instant) {
        self.failures.record_failure(id, now);
    }

    /// Prompt tokens known at an engine.
    pub fn backlog(&self, id: &str, now: time::Instant) -> u64 {
        let own = self.engines.get(id).map_or(0, |l| l.own);
        own + self.told.at(id, now)
    }

    /// The speeds of engines in tokens a second, where they were seen.
    pub fn speeds(&self) -> collections::BTreeMap<Name, f64> {
        let seen = self.engines.iter();
        seen.filter_map(|(id, l)| Some((id.clone(), l.speed?)))
            .collect()
    }

    /// Hears of speeds that a peer has seen, where none was seen here.
    pub fn add_peer_speeds(&mut self, speeds: &collections::BTreeMap<Name, f64>) {
        for (id, speed) in speeds {
            if let Some(lane) = self.engines.get_mut(id) {
                lane.speed.get_or_insert(*speed);
            }
        }
    }

    /// This entry's own prompts, for its peers.
    pub fn own_backlogs(&self) -> collections::BTreeMap<Name, u64> {
        self.engines
            .iter()
            .filter(|(_, l)| l.own > 0)
            .map(|(id, l)| (id.clone(), l.own))
            .collect()
    }

    /// Hears of a peer's prompts.
    pub fn update_peer(
        &mut self,
        peer: &Name,
        backlogs: collections::BTreeMap<Name, u64>,
        now: time::Instant,
    ) {
        self.told.hear(peer, backlogs, now);
    }

    /// Engines that take prompts.
    pub fn engine_count(&self) -> usize {
        self.engines.values().filter(|l| l.open).count()
    }
}
