//! Keeps the streams of one service in one order with those of the other entries.

use crate::engine_pool::EnginePool;
use crate::entry::Entry;
use std::time;

/// Time between two times at which the room for urgent streams is worked out.
const KEEP_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Part of the time that a stream has until its first event is due for which it may be expected
/// to wait. One that would wait longer is refused at once.
const ADMITTED_PART: f64 = 0.5;
/// A caller who comes back is late, so that others go before. If a new stream would wait for
/// longer than this, there is no room for the caller for now.
const MAX_RETURN_WAIT: time::Duration = time::Duration::from_millis(400);
/// Part of the streams that begin which may be those of callers who come back.
const RETURN_PART: f64 = 0.3;

impl EnginePool {
    /// Sets whether the entries share one order of streams.
    pub(crate) fn share_order(&self, has_ranks: bool) {
        let mut order = self.shared_order.borrow_mut();
        if order.is_some() != has_ranks {
            *order = has_ranks.then(pool::SharedOrder::default);
            self.queue.borrow_mut().set_shared(has_ranks);
        }
    }

    pub(crate) fn is_shared(&self) -> bool {
        self.shared_order.borrow().is_some()
    }

    /// Returns what to tell the peers of this entry's streams.
    pub(crate) fn band_reports(&self, now: time::Instant) -> Vec<pool::BandReport> {
        let mut order = self.shared_order.borrow_mut();
        order.as_mut().map_or_else(Vec::new, |order| {
            order.set_waiting(&self.queue.borrow().waiting_by_priority(now));
            order.reports(now)
        })
    }

    /// Works out the room that engines keep for urgent streams, now and then.
    pub(crate) fn keep_room(&self, now: time::Instant) {
        let mut order = self.shared_order.borrow_mut();
        let Some(order) = order.as_mut() else {
            return;
        };
        let kept_at = self.kept_at.get();
        if kept_at.is_some_and(|at| now.saturating_duration_since(at) < KEEP_INTERVAL) {
            return;
        }
        self.kept_at.set(Some(now));
        let queue = self.queue.borrow();
        let waiting = queue.waiting_by_priority(now);
        order.set_waiting(&waiting);
        let mut decode_pool = self.decode_pool.borrow_mut();
        let (engines, capacity) = decode_pool.ready_engines();
        for priority in waiting.into_keys() {
            let kept_tokens = order.kept_tokens(priority, now);
            let stream_tokens = order.urgent_memory(priority, now);
            let kept = pool::kept_room(engines.iter(), kept_tokens, stream_tokens, capacity);
            decode_pool.set_kept(priority, kept);
        }
    }

    /// Returns whether a late stream leaves room to one at a peer that can still be on time.
    pub(crate) fn yields_to_peers(&self, stream: &pool::QueuedStream, now: time::Instant) -> bool {
        let order = self.shared_order.borrow();
        let order = order
            .as_ref()
            .filter(|_| !stream.is_urgent && stream.is_late(now));
        order.is_some_and(|order| order.waits_elsewhere(stream.priority, now))
    }

    /// Records a stream that arrives. Returns how long it would wait if that is too long for
    /// it to be on time, so that it is refused at once.
    pub(crate) fn check_wait(
        &self,
        stream: &pool::QueuedStream,
        now: time::Instant,
    ) -> Option<time::Duration> {
        let mut order = self.shared_order.borrow_mut();
        let order = order.as_mut()?;
        order.record_arrival(stream.priority, stream.memory.peak(), now);
        let wait = order.expected_wait(stream.priority, now);
        let limit = match stream.is_retry {
            true => MAX_RETURN_WAIT,
            false => stream
                .due
                .saturating_duration_since(now)
                .mul_f64(ADMITTED_PART),
        };
        (!stream.is_urgent && wait > limit).then_some(wait)
    }

    /// Returns after which time a refused caller finds room, and the time between two callers
    /// who come back to one of so many entries; none if the entries share no order.
    pub(crate) fn return_pace(
        &self,
        priority: u8,
        entries: usize,
        now: time::Instant,
    ) -> Option<(time::Duration, time::Duration)> {
        let mut order = self.shared_order.borrow_mut();
        let order = order.as_mut()?;
        let wait = order.expected_wait(priority, now);
        let rate = order.start_rate(now).max(1.0) * RETURN_PART / entries.max(1) as f64;
        let interval = time::Duration::from_secs_f64((1.0 / rate).min(10.0));
        Some((wait, interval))
    }
}

impl<P: seam::Platform> Entry<P> {
    /// Returns whether callers compete for hosts by the operator's will, so that the decisions
    /// on contention are made.
    pub(crate) fn is_sharing(&self) -> bool {
        let active = self.active_config();
        active.is_some_and(|a| a.is_sharing)
    }

    /// Returns the requests that this entry refused a moment ago, if callers who come back are
    /// known at all entries.
    pub(crate) fn recent_refusals(&self, now: time::Instant) -> Vec<(u64, u64)> {
        if !self.is_sharing() {
            return Vec::new();
        }
        let refused = self.refusals.borrow().recent(now);
        let refused = refused.into_iter();
        refused
            .map(|(d, age)| (d, age.as_millis() as u64))
            .collect()
    }

    /// Applies the requests that a peer has refused.
    pub(crate) fn apply_refusals(&self, refused: &[(u64, u64)], now: time::Instant) {
        if refused.is_empty() || !self.is_sharing() {
            return;
        }
        let mut refusals = self.refusals.borrow_mut();
        for (digest, age_ms) in refused {
            refusals.record_peer(*digest, time::Duration::from_millis(*age_ms), now);
        }
    }

    /// Returns whether no route of a service is more urgent than this priority.
    pub(crate) fn is_most_urgent(&self, service: &str, priority: u8) -> bool {
        let active = self.active_config();
        active.is_some_and(|a| a.first_priority(service) == Some(priority))
    }
}
