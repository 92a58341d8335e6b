//! Pools of engines with the streams that wait for them.

use crate::entry::Entry;
use rand::Rng;
use std::cell;
use std::collections;
use std::rc;
use std::time;
use tokio::sync::oneshot;
use world::Name;

/// While streams wait, seats are looked for at least this often.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(25);
/// How full a pool may be for late work to begin: the rest is kept for work
/// that can be on time, which is worth several times as much.
const MAX_LATE_FILL: f64 = 0.85;
/// The longest expected reading of a prompt for which a seat is taken already.
const MAX_PREFILL_DELAY: time::Duration = time::Duration::from_millis(800);

/// The pools of all model services.
#[derive(Debug, Default)]
pub(crate) struct EnginePools {
    pools: cell::RefCell<collections::BTreeMap<Name, rc::Rc<EnginePool>>>,
    tickets: cell::Cell<u64>,
}

/// The engines of one service and the streams that wait for them.
#[derive(Debug)]
pub(crate) struct EnginePool {
    pub(crate) spec: cell::RefCell<seam::EngineSpec>,
    pub(crate) seats: cell::RefCell<pool::DecodePool>,
    pub(crate) lanes: cell::RefCell<pool::PrefillPool>,
    pub(crate) queue: cell::RefCell<pool::WaitQueue>,
    waiters: cell::RefCell<collections::BTreeMap<pool::Ticket, oneshot::Sender<Offer>>>,
    zone: cell::RefCell<Name>,
    polling: cell::Cell<bool>,
}

/// What a waiting stream is told.
#[derive(Debug)]
pub(crate) enum Offer {
    /// Try for a seat at this engine, where room is already counted for it.
    Seat(Name),
    /// It can't be served any more.
    Expired,
}

/// A place counted at an engine; it is given back when dropped.
pub(crate) struct Seat {
    pool: rc::Rc<EnginePool>,
    pub(crate) engine: Name,
    tokens: u64,
    /// Whether the stream has run there.
    pub(crate) ran: bool,
    /// When it was given.
    pub(crate) since: time::Instant,
}

impl Drop for Seat {
    fn drop(&mut self) {
        let mut seats = self.pool.seats.borrow_mut();
        seats.end_stream(&self.engine, self.tokens, self.ran);
        drop(seats);
        self.pool.assign_seats(time::Instant::now());
    }
}

/// A prompt counted at an engine; it is given back when dropped.
pub(crate) struct PendingPrefill {
    pool: rc::Rc<EnginePool>,
    pub(crate) engine: Name,
    prompt: u64,
}

impl Drop for PendingPrefill {
    fn drop(&mut self) {
        let mut lanes = self.pool.lanes.borrow_mut();
        lanes.end_prompt(&self.engine, self.prompt);
        drop(lanes);
        self.pool.assign_seats(time::Instant::now());
    }
}

/// A stream in the line; it leaves when dropped.
struct QueuedStream {
    pool: rc::Rc<EnginePool>,
    ticket: pool::Ticket,
}

impl Drop for QueuedStream {
    fn drop(&mut self) {
        self.pool.queue.borrow_mut().remove(self.ticket);
        self.pool.waiters.borrow_mut().remove(&self.ticket);
    }
}

impl EnginePools {
    /// Begins without pools.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Names a stream in order of arrival.
    pub(crate) fn ticket(&self) -> pool::Ticket {
        self.tickets.set(self.tickets.get() + 1);
        pool::Ticket(self.tickets.get())
    }

    /// Finds the pool of a service.
    pub(crate) fn get(&self, service: &str) -> Option<rc::Rc<EnginePool>> {
        self.pools.borrow().get(service).cloned()
    }

    /// All pools, by service.
    pub(crate) fn all(&self) -> Vec<(Name, rc::Rc<EnginePool>)> {
        let pools = self.pools.borrow();
        pools.iter().map(|(n, p)| (n.clone(), p.clone())).collect()
    }

    /// Writes how full the pools are, where anybody waits, and counts it.
    pub(crate) fn log_usage(&self) {
        let now = time::Instant::now();
        for (service, pool) in self.all() {
            let (seats, lanes) = (pool.seats.borrow(), pool.lanes.borrow());
            let (fill, waiting) = (seats.fill_ratio(now), pool.queue.borrow().len());
            metrics::gauge!("pool_fill", "service" => service.to_string()).set(fill);
            metrics::gauge!("pool_waiting", "service" => service.to_string()).set(waiting as f64);
            if waiting == 0 {
                continue;
            }
            trace::Line::new("pool")
                .with("service", &service)
                .with("fill", format!("{fill:.2}"))
                .with("waiting", waiting)
                .with("decode", seats.engine_count())
                .with("prefill", lanes.engine_count())
                .info();
        }
    }

    /// Takes the engines of a service as they are now.
    pub(crate) fn update<'a>(
        &self,
        service: &Name,
        spec: &seam::EngineSpec,
        engines: impl Iterator<Item = &'a seam::Member> + Clone,
        position: (usize, usize),
    ) {
        let pool = self
            .pools
            .borrow_mut()
            .entry(service.clone())
            .or_insert_with(|| rc::Rc::new(EnginePool::new(spec.clone())))
            .clone();
        *pool.spec.borrow_mut() = spec.clone();
        let mut seats = pool.seats.borrow_mut();
        seats.set_engines(engines.clone(), spec);
        drop(seats);
        let mut lanes = pool.lanes.borrow_mut();
        lanes.set_engines(engines);
        lanes.assign_preferred(position.0, position.1);
        drop(lanes);
        pool.assign_seats(time::Instant::now());
    }
}

impl EnginePool {
    fn new(spec: seam::EngineSpec) -> Self {
        Self {
            spec: cell::RefCell::new(spec),
            seats: cell::RefCell::default(),
            lanes: cell::RefCell::default(),
            queue: cell::RefCell::default(),
            waiters: cell::RefCell::default(),
            zone: cell::RefCell::new(Name::from("")),
            polling: cell::Cell::new(false),
        }
    }

    /// Waits for a seat; none where the stream can't be served any more.
    pub(crate) async fn wait_for_seat(
        self: &rc::Rc<Self>,
        ticket: pool::Ticket,
        wait: pool::QueuedStream,
        zone: &Name,
    ) -> Option<Seat> {
        let (sender, receiver) = oneshot::channel();
        *self.zone.borrow_mut() = zone.clone();
        self.queue.borrow_mut().insert(ticket, wait);
        self.waiters.borrow_mut().insert(ticket, sender);
        let queued = QueuedStream {
            pool: self.clone(),
            ticket,
        };
        self.assign_seats(time::Instant::now());
        self.start_polling();
        let offered = receiver.await;
        drop(queued);
        match offered {
            Ok(Offer::Seat(engine)) => Some(Seat {
                pool: self.clone(),
                engine,
                tokens: wait.tokens,
                ran: false,
                since: time::Instant::now(),
            }),
            Ok(Offer::Expired) | Err(_) => None,
        }
    }

    /// Counts a prompt at the engine that will have read it soonest.
    pub(crate) fn assign_prefill(
        self: &rc::Rc<Self>,
        prompt: u64,
        zone: Option<&str>,
    ) -> Option<(PendingPrefill, time::Duration)> {
        let now = time::Instant::now();
        let mut lanes = self.lanes.borrow_mut();
        let (engine, time) = lanes.pick(prompt, zone, now)?;
        lanes.start_prompt(&engine, prompt, now);
        let prefill = PendingPrefill {
            pool: self.clone(),
            engine,
            prompt,
        };
        Some((prefill, time))
    }

    /// Offers seats to those who wait, in the line's order.
    pub(crate) fn assign_seats(&self, now: time::Instant) {
        let expired = self.queue.borrow().expired(now);
        for ticket in expired {
            self.offer(ticket, Offer::Expired);
        }
        let order = self.queue.borrow().ordered(now);
        let zone = self.zone.borrow().clone();
        for (ticket, wait) in order {
            if self.prefill_is_backlogged(now) {
                return;
            }
            if wait.is_late(now)
                && !wait.returned
                && self.seats.borrow().fill_ratio(now) > MAX_LATE_FILL
            {
                continue;
            }
            let draw = || rand::rng().random_range(0.0..1.0);
            let picked = self.seats.borrow().pick(wait.tokens, &zone, draw, now);
            let engine = match picked {
                Some(engine) => engine,
                None if wait.allows_overtaking(now) => continue,
                None => return,
            };
            self.seats
                .borrow_mut()
                .start_stream(&engine, wait.tokens, now);
            if !self.offer(ticket, Offer::Seat(engine.clone())) {
                self.seats
                    .borrow_mut()
                    .end_stream(&engine, wait.tokens, false);
            }
        }
    }

    /// Tells whether prompts already wait so long that a seat would lie idle.
    fn prefill_is_backlogged(&self, now: time::Instant) -> bool {
        let lanes = self.lanes.borrow();
        let soonest = lanes.pick(0, None, now);
        soonest.is_some_and(|(_, time)| time > MAX_PREFILL_DELAY)
    }

    fn offer(&self, ticket: pool::Ticket, offer: Offer) -> bool {
        self.queue.borrow_mut().remove(ticket);
        let waiter = self.waiters.borrow_mut().remove(&ticket);
        waiter.is_some_and(|w| w.send(offer).is_ok())
    }

    /// Looks again and again while anybody waits: room also comes free at peers.
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
    /// Tells whether an upstream host still takes new work.
    pub(crate) fn is_accepting(&self, id: &str) -> bool {
        let roster = self.roster.borrow();
        let member = roster.get(id);
        member.is_some_and(|m| m.state == seam::MemberState::Ready)
    }

    /// The address under which an upstream host is called.
    pub(crate) fn target(&self, id: &str) -> Option<seam::Target> {
        let roster = self.roster.borrow();
        let member = roster.get(id)?;
        Some(seam::Target {
            id: member.id.clone(),
            address: member.address,
        })
    }
}
