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
const LOOK_GAP: time::Duration = time::Duration::from_millis(25);
/// How full a pool may be for late work to begin: the rest is kept for work
/// that can be on time, which is worth several times as much.
const LATE_FILL: f64 = 0.85;
/// The longest expected reading of a prompt for which a seat is taken already.
const PREFILL_MOST: time::Duration = time::Duration::from_millis(800);

/// The pools of all model services.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    pools: cell::RefCell<collections::BTreeMap<Name, rc::Rc<Pool>>>,
    tickets: cell::Cell<u64>,
}

/// The engines of one service and the streams that wait for them.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) facts: cell::RefCell<seam::EngineSpec>,
    pub(crate) seats: cell::RefCell<pool::DecodePool>,
    pub(crate) lanes: cell::RefCell<pool::PrefillPool>,
    pub(crate) line: cell::RefCell<pool::WaitQueue>,
    calls: cell::RefCell<collections::BTreeMap<pool::Ticket, oneshot::Sender<Offer>>>,
    zone: cell::RefCell<Name>,
    looking: cell::Cell<bool>,
}

/// What a waiting stream is told.
#[derive(Debug)]
pub(crate) enum Offer {
    /// Try for a seat at this engine, where room is already counted for it.
    Seat(Name),
    /// It can't be served any more.
    Lost,
}

/// A place counted at an engine; it is given back when dropped.
pub(crate) struct Seat {
    pool: rc::Rc<Pool>,
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
        self.pool.look(time::Instant::now());
    }
}

/// A prompt counted at an engine; it is given back when dropped.
pub(crate) struct Reading {
    pool: rc::Rc<Pool>,
    pub(crate) engine: Name,
    prompt: u64,
}

impl Drop for Reading {
    fn drop(&mut self) {
        let mut lanes = self.pool.lanes.borrow_mut();
        lanes.end_prompt(&self.engine, self.prompt);
        drop(lanes);
        self.pool.look(time::Instant::now());
    }
}

/// A stream in the line; it leaves when dropped.
struct Place {
    pool: rc::Rc<Pool>,
    ticket: pool::Ticket,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.pool.line.borrow_mut().remove(self.ticket);
        self.pool.calls.borrow_mut().remove(&self.ticket);
    }
}

impl Pools {
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
    pub(crate) fn get(&self, service: &str) -> Option<rc::Rc<Pool>> {
        self.pools.borrow().get(service).cloned()
    }

    /// All pools, by service.
    pub(crate) fn all(&self) -> Vec<(Name, rc::Rc<Pool>)> {
        let pools = self.pools.borrow();
        pools.iter().map(|(n, p)| (n.clone(), p.clone())).collect()
    }

    /// Writes how full the pools are, where anybody waits, and counts it.
    pub(crate) fn note(&self) {
        let now = time::Instant::now();
        for (service, pool) in self.all() {
            let (seats, lanes) = (pool.seats.borrow(), pool.lanes.borrow());
            let (fill, waiting) = (seats.fill_ratio(now), pool.line.borrow().len());
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
        facts: &seam::EngineSpec,
        engines: impl Iterator<Item = &'a seam::Member> + Clone,
        rank: (usize, usize),
    ) {
        let pool = self
            .pools
            .borrow_mut()
            .entry(service.clone())
            .or_insert_with(|| rc::Rc::new(Pool::new(facts.clone())))
            .clone();
        *pool.facts.borrow_mut() = facts.clone();
        let mut seats = pool.seats.borrow_mut();
        seats.set_engines(engines.clone(), facts);
        drop(seats);
        let mut lanes = pool.lanes.borrow_mut();
        lanes.set_engines(engines);
        lanes.assign_preferred(rank.0, rank.1);
        drop(lanes);
        pool.look(time::Instant::now());
    }
}

impl Pool {
    fn new(facts: seam::EngineSpec) -> Self {
        Self {
            facts: cell::RefCell::new(facts),
            seats: cell::RefCell::default(),
            lanes: cell::RefCell::default(),
            line: cell::RefCell::default(),
            calls: cell::RefCell::default(),
            zone: cell::RefCell::new(Name::from("")),
            looking: cell::Cell::new(false),
        }
    }

    /// Waits for a seat; none where the stream can't be served any more.
    pub(crate) async fn wait(
        self: &rc::Rc<Self>,
        ticket: pool::Ticket,
        wait: pool::QueuedStream,
        zone: &Name,
    ) -> Option<Seat> {
        let (offer, offered) = oneshot::channel();
        *self.zone.borrow_mut() = zone.clone();
        self.line.borrow_mut().insert(ticket, wait);
        self.calls.borrow_mut().insert(ticket, offer);
        let place = Place {
            pool: self.clone(),
            ticket,
        };
        self.look(time::Instant::now());
        self.keep_looking();
        let offered = offered.await;
        drop(place);
        match offered {
            Ok(Offer::Seat(engine)) => Some(Seat {
                pool: self.clone(),
                engine,
                tokens: wait.tokens,
                ran: false,
                since: time::Instant::now(),
            }),
            Ok(Offer::Lost) | Err(_) => None,
        }
    }

    /// Counts a prompt at the engine that will have read it soonest.
    pub(crate) fn read(
        self: &rc::Rc<Self>,
        prompt: u64,
        zone: Option<&str>,
    ) -> Option<(Reading, time::Duration)> {
        let now = time::Instant::now();
        let mut lanes = self.lanes.borrow_mut();
        let (engine, time) = lanes.pick(prompt, zone, now)?;
        lanes.start_prompt(&engine, prompt, now);
        let reading = Reading {
            pool: self.clone(),
            engine,
            prompt,
        };
        Some((reading, time))
    }

    /// Offers seats to those who wait, in the line's order.
    pub(crate) fn look(&self, now: time::Instant) {
        let lost = self.line.borrow().expired(now);
        for ticket in lost {
            self.offer(ticket, Offer::Lost);
        }
        let order = self.line.borrow().ordered(now);
        let zone = self.zone.borrow().clone();
        for (ticket, wait) in order {
            if self.prompts_wait(now) {
                return;
            }
            if wait.is_late(now)
                && !wait.returned
                && self.seats.borrow().fill_ratio(now) > LATE_FILL
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
    fn prompts_wait(&self, now: time::Instant) -> bool {
        let lanes = self.lanes.borrow();
        let soonest = lanes.pick(0, None, now);
        soonest.is_some_and(|(_, time)| time > PREFILL_MOST)
    }

    fn offer(&self, ticket: pool::Ticket, offer: Offer) -> bool {
        self.line.borrow_mut().remove(ticket);
        let call = self.calls.borrow_mut().remove(&ticket);
        call.is_some_and(|c| c.send(offer).is_ok())
    }

    /// Looks again and again while anybody waits: room also comes free at peers.
    fn keep_looking(self: &rc::Rc<Self>) {
        if self.line.borrow().is_empty() || self.looking.replace(true) {
            return;
        }
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            while !pool.line.borrow().is_empty() {
                tokio::time::sleep(LOOK_GAP).await;
                pool.look(time::Instant::now());
            }
            pool.looking.set(false);
        });
    }
}

impl<P: seam::Platform> Entry<P> {
    /// Tells whether an upstream host still takes new work.
    pub(crate) fn takes_work(&self, id: &str) -> bool {
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
