//! Selection of prefill engines by their backlog.
//!
//! Each prompt is sent to the engine that is expected to finish it first, by the
//! engine's known backlog and measured speed, so that long prompts and bursts
//! are spread over the engines. An engine often finishes a prompt before the other
//! entries learn of it. Each entry therefore prefers some of the engines, and
//! uses the others only where these are clearly faster.

use crate::balance::failures::HostFailures;
use crate::hosts::host_notices::SharedNotices;
use crate::peers::heard::Heard;
use crate::peers::peer_loads::PeerLoads;
use std::collections;
use std::time;
use world::Name;

/// Assumed speed of an engine that has not been measured, in tokens per second:
/// faster than any engine is, so that each is tried early.
const INITIAL_SPEED: f64 = 60_000.0;
/// Weight of a measurement that is faster than the engine's known speed.
const FASTER_WEIGHT: f64 = 0.4;
/// Weight of a measurement that is slower than the engine's known speed.
const SLOWER_WEIGHT: f64 = 0.04;
/// Shortest prefill time that is counted, in seconds, so that tiny prompts
/// hardly change the measured speed.
const MIN_PREFILL_SECONDS: f64 = 0.02;
/// Slowest speed that is believed, in tokens per second. No engine is as slow.
const MIN_SPEED: f64 = 1.0;
/// Fastest speed that is believed, in tokens per second.
const MAX_SPEED: f64 = 1e9;
/// Longest time that is expected of a prompt, in seconds.
const MAX_PROMPT_SECONDS: f64 = 86_400.0;
/// Time of the call itself and of the engine's first step, in seconds.
const CALL_SECONDS: f64 = 0.015;
/// An engine that this entry doesn't prefer is picked only if it finishes sooner
/// by this many seconds: about the time of one prompt from another entry that
/// this one doesn't know of yet.
const NOT_PREFERRED_SECONDS: f64 = 0.1;
/// An engine that has just started or come back, and has its part of prompts from this entry,
/// is picked only if it finishes sooner by this many seconds: about the time of the prompts
/// that the others have sent it unseen.
const FILLED_SECONDS: f64 = 0.3;
/// How long an engine that has refused or failed receives no prompts, at first.
const FIRST_BACKOFF: time::Duration = time::Duration::from_millis(500);
/// Extra cost of a transfer between zones, in seconds.
const OTHER_ZONE_SECONDS: f64 = 0.02;
/// A peer's report of its prompts is valid for this time.
const PEER_EXPIRY: time::Duration = time::Duration::from_millis(700);

/// The prefill engines of one service, with their backlog and speed.
#[derive(Clone, Debug)]
pub struct PrefillPool {
    engines: collections::BTreeMap<Name, Engine>,
    /// Recent failures of the engines, as seen here and reported by peers.
    pub failures: HostFailures,
    /// What the engines have said of themselves.
    notices: SharedNotices,
    peer_backlogs: PeerLoads<u64>,
}

#[derive(Clone, Debug)]
struct Engine {
    zone: Name,
    /// Prompt tokens that this entry has sent and the engine has not finished.
    own_backlog: u64,
    /// Measured tokens per second.
    speed: Option<f64>,
    ready: bool,
    preferred: bool,
}

impl Default for PrefillPool {
    fn default() -> Self {
        Self {
            engines: collections::BTreeMap::new(),
            failures: HostFailures::new(FIRST_BACKOFF),
            notices: SharedNotices::default(),
            peer_backlogs: PeerLoads::new(PEER_EXPIRY),
        }
    }
}

impl PrefillPool {
    /// Creates a pool without engines, which shares what hosts say of themselves.
    pub fn new(notices: SharedNotices) -> Self {
        Self {
            notices,
            ..Self::default()
        }
    }

    /// Sets the engines that are ready; those without the prefill role are
    /// left out. An engine that is no longer among them receives no new prompts,
    /// and is removed once its last prompt has ended.
    pub fn set_engines<'a>(&mut self, members: impl Iterator<Item = &'a seam::Member>) {
        for engine in self.engines.values_mut() {
            engine.ready = false;
        }
        for member in members.filter(|m| m.role == Some(seam::Role::Prefill)) {
            let engine = self.engines.entry(member.id.clone());
            let engine = engine.or_insert_with(|| Engine {
                zone: member.zone.clone(),
                own_backlog: 0,
                speed: None,
                ready: true,
                preferred: true,
            });
            engine.ready = true;
        }
        self.engines.retain(|_, e| e.ready || e.own_backlog > 0);
        self.failures.set_hosts(self.engines.keys());
    }

    /// Sets which engines this entry prefers, so that the entries share them
    /// evenly. This entry has the index `entry_index` among `entry_count` entries,
    /// in an order that is the same at all of them.
    pub fn assign_preferred(&mut self, entry_index: usize, entry_count: usize) {
        let engine_count = self.engine_count();
        let ready = self.engines.values_mut().filter(|e| e.ready);
        for (index, engine) in ready.enumerate() {
            engine.preferred = match engine_count >= entry_count {
                true => index % entry_count.max(1) == entry_index,
                false => index == entry_index % engine_count,
            };
        }
    }

    /// Picks the engine that will finish a prompt of `prompt_tokens` tokens first, and
    /// returns it with the time expected for that. `zone` is the zone to which
    /// the result is transferred, where that is known.
    pub fn pick(
        &self,
        prompt_tokens: u64,
        zone: Option<&str>,
        now: time::Instant,
    ) -> Option<(Name, time::Duration)> {
        let (peer_backlogs, backed_off) = (
            self.peer_backlogs.by_host(now),
            self.failures.backed_off(now),
        );
        let notices = self.notices.borrow();
        let usable = self
            .engines
            .iter()
            .filter(|(id, e)| e.ready && !backed_off.contains(&***id))
            .filter(|(id, _)| notices.allows(id, now))
            .map(|(id, e)| {
                let by_peers = peer_backlogs.get(&**id).copied().unwrap_or_default();
                let backlog = e.own_backlog.saturating_add(by_peers);
                let backlog = backlog.saturating_add(prompt_tokens);
                let seconds = backlog as f64 / e.speed.unwrap_or(INITIAL_SPEED) + CALL_SECONDS;
                let seconds = seconds.min(MAX_PROMPT_SECONDS);
                let other_zone = zone.is_some_and(|z| z != &*e.zone);
                let zone_cost = if other_zone { OTHER_ZONE_SECONDS } else { 0.0 };
                let preference_cost = if e.preferred {
                    0.0
                } else {
                    NOT_PREFERRED_SECONDS
                };
                let pace_cost = match notices.is_filled(id, now) {
                    true => FILLED_SECONDS,
                    false => 0.0,
                };
                let seconds = seconds * notices.machines.factor(id, now);
                let cost = seconds + zone_cost + preference_cost + pace_cost;
                (seconds, cost, id)
            });
        let (seconds, _, id) = usable.min_by(|a, b| a.1.total_cmp(&b.1))?;
        Some((id.clone(), time::Duration::from_secs_f64(seconds)))
    }

    /// Records that a prompt is sent to an engine. If that engine had failed, it
    /// receives no other prompt until this one has shown whether it works again.
    pub fn start_prompt(&mut self, id: &str, prompt_tokens: u64, now: time::Instant) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.own_backlog = engine.own_backlog.saturating_add(prompt_tokens);
            self.failures.record_attempt(id, now);
        }
    }

    /// Records that an engine no longer processes a prompt, whether it finished it
    /// or not.
    pub fn end_prompt(&mut self, id: &str, prompt_tokens: u64) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.own_backlog = engine.own_backlog.saturating_sub(prompt_tokens);
        }
    }

    /// Updates an engine's speed from a prompt that was processed in `took`.
    ///
    /// The engine may have processed other prompts at the same time, so each
    /// measurement is a lower bound, which is close to the true speed if the
    /// engine was otherwise idle. Higher measurements therefore weigh more. A prompt
    /// without tokens, as of a request that states none, is no measurement.
    pub fn record_prefill(&mut self, id: &str, prompt_tokens: u64, took: time::Duration) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        self.failures.record_success(id);
        if prompt_tokens == 0 {
            return;
        }
        let seconds = (took.as_secs_f64() - CALL_SECONDS).max(MIN_PREFILL_SECONDS);
        let measured = (prompt_tokens as f64 / seconds).clamp(MIN_SPEED, MAX_SPEED);
        engine.speed = Some(match engine.speed {
            Some(known) if measured > known => known + FASTER_WEIGHT * (measured - known),
            Some(known) => known + SLOWER_WEIGHT * (measured - known),
            None => measured,
        });
    }

    /// Records that an engine has refused a prompt or failed.
    pub fn record_failure(&mut self, id: &str, now: time::Instant) {
        self.failures.record_failure(id, now);
    }

    /// Returns the prompt tokens that this entry and its peers have sent to an engine
    /// and that it has not finished.
    pub fn backlog(&self, id: &str, now: time::Instant) -> u64 {
        let own = self.engines.get(id).map_or(0, |e| e.own_backlog);
        own.saturating_add(self.peer_backlogs.at_host(id, now))
    }

    /// Returns the speeds of the engines in tokens per second, where known.
    pub fn speeds(&self) -> collections::BTreeMap<Name, f64> {
        let engines = self.engines.iter();
        engines
            .filter_map(|(id, e)| Some((id.clone(), e.speed?)))
            .collect()
    }

    /// Adopts speeds that a peer has measured, for engines whose speed is not
    /// known here. What can't be a speed is left out.
    pub fn add_peer_speeds(&mut self, speeds: &collections::BTreeMap<Name, f64>) {
        let speeds = speeds.iter();
        for (id, speed) in speeds.filter(|(_, s)| (MIN_SPEED..=MAX_SPEED).contains(*s)) {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.speed.get_or_insert(*speed);
            }
        }
    }

    /// Returns the prompt tokens that this entry itself has sent and the engines have
    /// not finished, by engine.
    pub fn own_backlogs(&self) -> collections::BTreeMap<Name, u64> {
        self.engines
            .iter()
            .filter(|(_, e)| e.own_backlog > 0)
            .map(|(id, e)| (id.clone(), e.own_backlog))
            .collect()
    }

    /// Replaces a peer's report of its unfinished prompt tokens, by engine.
    pub fn update_peer(
        &mut self,
        peer: &Name,
        backlogs: collections::BTreeMap<Name, u64>,
        heard: impl Into<Heard>,
    ) {
        self.peer_backlogs.update(peer, backlogs, heard.into());
    }

    /// Returns the number of engines that accept prompts.
    pub fn engine_count(&self) -> usize {
        self.engines.values().filter(|e| e.ready).count()
    }
}
