//! Engine pools of the model services, and the streams that wait for a seat.
//!
//! A seat is room for one stream at a decode engine.

use crate::entry::Entry;
use crate::metric;
use crate::seat::PendingPrefill;
use crate::seat::Seat;
use rand::Rng;
use std::cell;
use std::collections;
use std::rc;
use std::time;
use tokio::sync;
use tokio::sync::oneshot;
use world::Name;

/// Longest time between two attempts to assign seats while streams wait.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(25);
/// Above this fill ratio of the pool, streams that will miss their latency
/// target are not started unless their caller has retried after a refusal: the
/// remaining room is kept for streams that can be on time, which are worth several
/// times as much.
const MAX_LATE_FILL: f64 = 0.85;
/// Longest expected prefill time at which a seat is still assigned; the seat stays
/// unused while the prompt is processed.
const MAX_PREFILL_DELAY: time::Duration = time::Duration::from_millis(800);

/// The engine pools of all model services.
#[derive(Debug, Default)]
pub(crate) struct EnginePools {
    pools: cell::RefCell<collections::BTreeMap<Name, rc::Rc<EnginePool>>>,
    /// Number of the last ticket.
    last_ticket: cell::Cell<u64>,
    notices: pool::SharedNotices,
}

/// The engines of one service and the streams that wait for them.
#[derive(Debug)]
pub(crate) struct EnginePool {
    pub(crate) spec: cell::RefCell<seam::EngineSpec>,
    pub(crate) decode_pool: cell::RefCell<pool::DecodePool>,
    pub(crate) prefill_pool: cell::RefCell<pool::PrefillPool>,
    /// Lengths and speeds of the responses.
    pub(crate) responses: cell::RefCell<pool::ResponseModel>,
    pub(crate) queue: cell::RefCell<pool::WaitQueue>,
    /// What waits at all entries, if they share one order of streams.
    pub(crate) shared_order: cell::RefCell<Option<pool::SharedOrder>>,
    /// When the room that is kept for urgent streams was last worked out.
    pub(crate) kept_at: cell::Cell<Option<time::Instant>>,
    /// Engines of waiting streams that may run at no others.
    restricted: cell::RefCell<collections::BTreeMap<pool::Ticket, Vec<Name>>>,
    /// Channels on which the waiting streams receive their offer.
    waiters: cell::RefCell<collections::BTreeMap<pool::Ticket, oneshot::Sender<Offer>>>,
    /// Zone of this entry, whose engines are preferred.
    zone: cell::RefCell<Name>,
    /// Whether the polling task runs.
    polling: cell::Cell<bool>,
    /// Tells waiting streams that all decode engines want no call now.
    pub(crate) all_paused: sync::Notify,
}

/// Message that ends a stream's wait.
#[derive(Debug)]
pub(crate) enum Offer {
    /// The stream should reserve this seat at its engine.
    Seat(Seat),
    /// The stream waited too long to be served.
    Expired,
}

/// A stream in the wait queue; dropping it removes the stream from the queue.
struct QueueGuard {
    pool: rc::Rc<EnginePool>,
    ticket: pool::Ticket,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.pool.queue.borrow_mut().remove(self.ticket);
        self.pool.waiters.borrow_mut().remove(&self.ticket);
        self.pool.restricted.borrow_mut().remove(&self.ticket);
    }
}

impl EnginePools {
    pub(crate) fn new(notices: pool::SharedNotices) -> Self {
        Self {
            notices,
            ..Self::default()
        }
    }

    /// Returns the next ticket; tickets are numbered in order of arrival.
    pub(crate) fn next_ticket(&self) -> pool::Ticket {
        self.last_ticket.set(self.last_ticket.get() + 1);
        pool::Ticket(self.last_ticket.get())
    }

    pub(crate) fn get(&self, service: &str) -> Option<rc::Rc<EnginePool>> {
        self.pools.borrow().get(service).cloned()
    }

    /// Returns all pools with the names of their services.
    pub(crate) fn all(&self) -> Vec<(Name, rc::Rc<EnginePool>)> {
        let pools = self.pools.borrow();
        pools.iter().map(|(n, p)| (n.clone(), p.clone())).collect()
    }

    /// Updates the metrics of all pools, and logs the usage of the pools in which
    /// streams wait.
    pub(crate) fn report_usage(&self) {
        let now = time::Instant::now();
        for (service, pool) in self.all() {
            let (decode_pool, prefill_pool) =
                (pool.decode_pool.borrow(), pool.prefill_pool.borrow());
            let (fill, waiting) = (decode_pool.fill_ratio(now), pool.queue.borrow().len());
            let labels = [("service", &*service)];
            metric::POOL_FILL.gauge(&labels).set(fill);
            metric::POOL_WAITING.gauge(&labels).set(waiting as f64);
            if waiting == 0 {
                continue;
            }
            trace::LogLine::new("pool")
                .with("service", &service)
                .with("fill", format!("{fill:.2}"))
                .with("waiting", waiting)
                .with("decode", decode_pool.engine_count())
                .with("prefill", prefill_pool.engine_count())
                .info();
        }
    }

    /// Updates the pool of a service with its current engines, and creates the
    /// pool if needed.
    pub(crate) fn update<'a>(
        &self,
        service: &Name,
        spec: &seam::EngineSpec,
        engines: impl Iterator<Item = &'a seam::Member> + Clone,
        position: (usize, usize),
        has_ranks: bool,
    ) {
        let pool = self
            .pools
            .borrow_mut()
            .entry(service.clone())
            .or_insert_with(|| rc::Rc::new(EnginePool::new(spec.clone(), &self.notices)))
            .clone();
        *pool.spec.borrow_mut() = spec.clone();
        pool.share_order(has_ranks);
        let mut decode_pool = pool.decode_pool.borrow_mut();
        decode_pool.set_engines(engines.clone(), spec);
        drop(decode_pool);
        let mut prefill_pool = pool.prefill_pool.borrow_mut();
        prefill_pool.set_engines(engines);
        prefill_pool.assign_preferred(position.0, position.1);
        drop(prefill_pool);
        pool.assign_seats(time::Instant::now());
    }
}

impl EnginePool {
    fn new(spec: seam::EngineSpec, notices: &pool::SharedNotices) -> Self {
        Self {
            spec: cell::RefCell::new(spec),
            decode_pool: cell::RefCell::new(pool::DecodePool::new(notices.clone())),
            prefill_pool: cell::RefCell::new(pool::PrefillPool::new(notices.clone())),
            responses: cell::RefCell::default(),
            queue: cell::RefCell::default(),
            shared_order: cell::RefCell::default(),
            kept_at: cell::Cell::new(None),
            restricted: cell::RefCell::default(),
            waiters: cell::RefCell::default(),
            zone: cell::RefCell::new(Name::from("")),
            polling: cell::Cell::new(false),
            all_paused: sync::Notify::new(),
        }
    }

    /// Waits for a seat, at one of `engines` if the stream may run at no others; returns
    /// `None` if it waited too long to be served.
    pub(crate) async fn wait_for_seat(
        self: &rc::Rc<Self>,
        ticket: pool::Ticket,
        stream: pool::QueuedStream,
        engines: Option<Vec<Name>>,
        zone: &Name,
    ) -> Option<Seat> {
        let (sender, receiver) = oneshot::channel();
        *self.zone.borrow_mut() = zone.clone();
        self.queue.borrow_mut().insert(ticket, stream);
        self.waiters.borrow_mut().insert(ticket, sender);
        if let Some(engines) = engines {
            self.restricted.borrow_mut().insert(ticket, engines);
        }
        let queue_guard = QueueGuard {
            pool: self.clone(),
            ticket,
        };
        self.assign_seats(time::Instant::now());
        self.start_polling();
        let offered = receiver.await;
        drop(queue_guard);
        match offered {
            Ok(Offer::Seat(seat)) => Some(seat),
            Ok(Offer::Expired) | Err(_) => None,
        }
    }

    /// Assigns a prompt to the prefill engine that is expected to finish it
    /// first. Returns the assignment and the expected time until then, or
    /// `None` if there is no engine.
    pub(crate) fn assign_prefill(
        self: &rc::Rc<Self>,
        prompt_tokens: u64,
        zone: Option<&str>,
    ) -> Option<(PendingPrefill, time::Duration)> {
        let now = time::Instant::now();
        let mut prefill_pool = self.prefill_pool.borrow_mut();
        let (engine, time) = prefill_pool.pick(prompt_tokens, zone, now)?;
        prefill_pool.start_prompt(&engine, prompt_tokens, now);
        let prefill = PendingPrefill {
            pool: self.clone(),
            engine,
            prompt_tokens,
        };
        Some((prefill, time))
    }

    /// Assigns free seats to waiting streams in queue order, and drops expired
    /// streams from the queue.
    pub(crate) fn assign_seats(self: &rc::Rc<Self>, now: time::Instant) {
        if self.decode_pool.borrow().retry_at(now).is_some() {
            self.all_paused.notify_waiters();
        }
        let expired = self.queue.borrow().expired(now);
        for ticket in expired {
            self.offer(ticket, Offer::Expired);
        }
        self.keep_room(now);
        let order = self.queue.borrow().ordered(now);
        let zone = self.zone.borrow().clone();
        for (ticket, stream) in order {
            // A seat that nobody took assigns seats too when it is dropped.
            if !self.waiters.borrow().contains_key(&ticket) {
                continue;
            }
            if self.prefill_is_backlogged(now) {
                return;
            }
            if self.yields_to_peers(&stream, now) {
                continue;
            }
            if stream.is_late(now)
                && !stream.is_retry
                && !stream.is_urgent
                && self.decode_pool.borrow().fill_ratio(now) > MAX_LATE_FILL
            {
                continue;
            }
            let random = || rand::rng().random_range(0.0..1.0);
            let decode_pool = self.decode_pool.borrow();
            let restricted = self.restricted.borrow().get(&ticket).cloned();
            let picked = match (&restricted, stream.is_suspect) {
                (Some(engines), _) => decode_pool.pick_among(engines, stream.memory, now),
                (None, true) => decode_pool.pick_emptiest(stream.memory, now),
                (None, false) if self.is_shared() => {
                    let rank = (stream.priority, stream.is_urgent);
                    decode_pool.pick_ranked(stream.memory, rank, &zone, random, now)
                }
                (None, false) => decode_pool.pick(stream.memory, &zone, random, now),
            };
            drop(decode_pool);
            let engine = match picked {
                Some(engine) => engine,
                None if restricted.is_some() || stream.allows_overtaking(now) => continue,
                None => return,
            };
            let seat = self.take_seat(engine, stream.memory, now);
            self.offer(ticket, Offer::Seat(seat));
        }
    }

    /// Counts a stream at an engine until its seat is dropped.
    fn take_seat(
        self: &rc::Rc<Self>,
        engine: Name,
        memory: pool::MemoryForecast,
        now: time::Instant,
    ) -> Seat {
        let mut decode_pool = self.decode_pool.borrow_mut();
        decode_pool.start_stream(&engine, memory, now);
        drop(decode_pool);
        Seat {
            pool: self.clone(),
            engine,
            memory,
            has_run: false,
            is_paused: false,
            assigned_at: now,
            updated_at: now,
        }
    }

    /// Returns whether the expected prefill time is so long that a seat assigned now
    /// would stay unused for too long.
    fn prefill_is_backlogged(&self, now: time::Instant) -> bool {
        let prefill_pool = self.prefill_pool.borrow();
        let soonest = prefill_pool.pick(0, None, now);
        soonest.is_some_and(|(_, time)| time > MAX_PREFILL_DELAY)
    }

    /// Removes a stream from the queue and sends it an offer. One that nobody takes is
    /// dropped, also later, when the stream no longer waits.
    fn offer(&self, ticket: pool::Ticket, offer: Offer) {
        self.queue.borrow_mut().remove(ticket);
        let waiter = self.waiters.borrow_mut().remove(&ticket);
        if let Some(waiter) = waiter {
            let _untaken = waiter.send(offer);
        }
    }

    /// Starts a task that tries to assign seats while streams wait, because streams
    /// of peers also leave room when they end.
    fn start_polling(self: &rc::Rc<Self>) {
        if self.queue.borrow().is_empty() || self.polling.replace(true) {
            return;
        }
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            while !pool.queue.borrow().is_empty() {
                tokio::time::sleep(POLL_INTERVAL).await;
                pool.assign_seats(time::Instant::now());
            }
            pool.polling.set(false);
        });
    }
}

impl<P: seam::Platform> Entry<P> {
    /// Returns whether an upstream host still accepts requests that it has granted.
    pub(crate) fn is_accepting(&self, id: &Name) -> bool {
        let host_list = self.host_list.borrow();
        let member = host_list.get(id);
        let is_ready = member.is_some_and(|m| m.state == seam::MemberState::Ready);
        is_ready
            && self
                .notices
                .borrow()
                .allows_granted(id, time::Instant::now())
    }

    /// Returns the id and address of an upstream host.
    pub(crate) fn target(&self, id: &str) -> Option<seam::Target> {
        let host_list = self.host_list.borrow();
        let member = host_list.get(id)?;
        Some(seam::Target {
            id: member.id.clone(),
            address: member.address,
            started_ms: member.started_ms,
        })
    }
}
