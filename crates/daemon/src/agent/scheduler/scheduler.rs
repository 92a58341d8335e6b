//! All jobs at one engine, and the thread that decides for them.

use crate::agent::job::DecodeStage;
use crate::agent::job::Event;
use crate::agent::job::Job;
use crate::agent::job::PrefillStage;
use crate::agent::scheduler::messages;
use crate::agent::scheduler::messages::tell;
use crate::agent::worker;
use crate::app::LoadPublisher;
use crossbeam::channel;
use route::AttemptId;
use route::PrefillQueue;
use route::SeatScheduler;
use std::collections;
use std::io;
use std::time;
use wire::border;
use world::Name;
use world::Role;

/// Prompts given to the engine at a time; more would only queue inside it,
/// where their order can no longer be changed.
const PREFILL_WIDTH: usize = 1;

/// All jobs at one engine.
pub(crate) struct Desk {
    pub(super) host: Name,
    pub(super) role: Role,
    pub(super) model: engine::EngineClient,
    /// Where other engines fetch results.
    pub(super) source: String,
    pub(super) seats: SeatScheduler,
    pub(super) lane: PrefillQueue,
    pub(super) jobs: collections::BTreeMap<AttemptId, Job>,
    pub(super) heart: LoadPublisher,
    pub(super) inbox: channel::Receiver<Event>,
    pub(super) outbox: channel::Sender<Event>,
    pub(super) crashes: u64,
    pub(super) crashed: Option<time::Instant>,
    /// Whether the engine has not answered since it failed or this process
    /// began; nothing is given to it meanwhile, since that would be in vain.
    pub(super) down: bool,
    /// What the engine holds for nobody.
    pub(super) leftovers: collections::BTreeSet<String>,
    pub(super) draining: bool,
}

impl Desk {
    /// Makes a desk and the channel to it.
    pub(crate) fn new(
        host: Name,
        role: Role,
        upstream: &conf::UpstreamSettings,
        heart: LoadPublisher,
    ) -> (Self, channel::Sender<Event>) {
        let (outbox, inbox) = channel::unbounded();
        let desk = Self {
            host,
            role,
            model: engine::EngineClient::new(upstream.address),
            source: upstream.address.to_string(),
            seats: SeatScheduler::new(upstream.seats, upstream.pieces),
            lane: PrefillQueue::new(PREFILL_WIDTH),
            jobs: collections::BTreeMap::new(),
            heart,
            inbox,
            outbox: outbox.clone(),
            crashes: 0,
            crashed: None,
            down: true,
            leftovers: collections::BTreeSet::new(),
            draining: false,
        };
        (desk, outbox)
    }

    /// Serves until drained and empty.
    pub(crate) fn run(mut self) {
        // Nothing is granted before what an earlier agent left is swept.
        self.look();
        self.publish();
        while let Ok(event) = self.inbox.recv() {
            self.step(event);
            // Events that have come meanwhile are decided together.
            while let Ok(event) = self.inbox.try_recv() {
                self.step(event);
            }
            self.proceed();
            self.publish();
            if self.draining && self.jobs.is_empty() {
                return;
            }
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Bid(ticket, bid, out) => self.bid(ticket, bid, out),
            Event::Start(start, reply) => {
                let started = self.start(start);
                // An entry that has gone meanwhile needs no reply.
                let _ = reply.send(started);
            }
            Event::Prefill(ticket, ask, out) => self.prefill(ticket, ask, out),
            Event::Left(ticket) => self.left(ticket),
            Event::Imported(ticket, took) => self.imported(ticket, took),
            Event::Token(ticket, token) => self.token(ticket, token),
            Event::StreamEnd(ticket, result) => self.stream_end(ticket, result),
            Event::Prefilled(ticket, result, took) => self.prefilled(ticket, result, took),
            Event::Freed(ticket) => self.forget(ticket),
            Event::Silent => self.shed_prompts(),
            Event::Answers(held) => self.answers(held),
            Event::Swept(id) => self.swept(&id),
            Event::Drain => self.drain(),
        }
    }

    /// Grants free seats and starts the next prompts.
    fn proceed(&mut self) {
        if self.down {
            return;
        }
        let now = time::Instant::now();
        for ticket in self.seats.grant(now) {
            if let Some(Job::Decode(job)) = self.jobs.get_mut(&ticket) {
                job.stage = DecodeStage::Granted;
                job.hop = None;
                tell(&job.out, border::DecodeEvent::Granted);
            }
        }
        for ticket in self.lane.start_next(now) {
            self.start_prefill(ticket);
        }
    }

    /// Ends a job whose entry wants it no more.
    fn left(&mut self, ticket: AttemptId) {
        match self.jobs.get(&ticket) {
            Some(Job::Decode(job)) => match job.stage {
                DecodeStage::Waiting | DecodeStage::Granted => self.forget(ticket),
                DecodeStage::Importing | DecodeStage::Streaming(_) => self.free(ticket),
                DecodeStage::Cancelling => {}
            },
            Some(Job::Prefill(job)) => match job.stage {
                PrefillStage::Waiting => self.forget(ticket),
                PrefillStage::Running | PrefillStage::Ready => self.free(ticket),
                PrefillStage::Cancelling => {}
            },
            None => {}
        }
    }

    /// Has the engine free a job. Its seat stays taken until that is done, or
    /// the next grant would oversubscribe the engine.
    pub(super) fn free(&mut self, ticket: AttemptId) {
        let id = match self.jobs.get_mut(&ticket) {
            Some(Job::Decode(job)) => {
                job.stage = DecodeStage::Cancelling;
                job.hop = None;
                job.id.clone()
            }
            Some(Job::Prefill(job)) => {
                job.stage = PrefillStage::Cancelling;
                job.hop = None;
                job.id.clone()
            }
            None => return,
        };
        let spawned = worker::cancel(self.model.clone(), ticket, id, self.outbox.clone());
        self.unless_spawned(ticket, spawned);
    }

    pub(super) fn forget(&mut self, ticket: AttemptId) {
        self.jobs.remove(&ticket);
        self.seats.release(ticket);
        self.lane.remove(ticket);
    }

    /// Without a thread nothing can be done for the job, so it fails.
    pub(super) fn unless_spawned(&mut self, ticket: AttemptId, spawned: io::Result<()>) {
        if note_refused(spawned) {
            self.forget(ticket);
        }
    }

    fn drain(&mut self) {
        self.draining = true;
        let kind = border::FaultKind::Draining;
        for ticket in self.seats.drain() {
            if let Some(Job::Decode(job)) = self.jobs.remove(&ticket) {
                tell(
                    &job.out,
                    messages::decode_fault(kind, "this agent stops", None),
                );
            }
        }
        for ticket in self.lane.drain() {
            self.refuse_prompt(ticket, "this agent stops");
        }
    }

    fn publish(&self) {
        let seats = self.seats.free_seats();
        let waiting = u32::try_from(self.seats.waiting_bids()).unwrap_or(u32::MAX);
        metrics::gauge!("hornbeampitch_seats_free").set(seats);
        metrics::gauge!("hornbeampitch_bids_waiting").set(waiting);
        metrics::gauge!("hornbeampitch_engine_answers").set(u32::from(!self.down));
        self.heart.update(|load| {
            load.waiting_requests = waiting;
            (load.free_seats, load.free_pieces) = match self.down {
                true => (0, 0),
                false => (seats, self.seats.free_pieces()),
            };
            load.backlog_tokens = self.lane.backlog_tokens();
            load.token_rate = match self.role {
                _ if self.down => 0.0,
                Role::Decode => self.seats.next_stream_rate(),
                Role::Prefill | Role::Entry | Role::Service => self.lane.token_rate(),
            };
            // Whole tokens a second: less is no news worth a message.
            load.token_rate = load.token_rate.round();
            load.saturated_rate = self.seats.full_stream_rate().round();
            load.draining = self.draining;
        });
    }
}

/// Tells whether the system refused a thread.
pub(super) fn note_refused(spawned: io::Result<()>) -> bool {
    let Err(error) = spawned else { return false };
    trace::LogLine::new("thread_refused")
        .with("error", error)
        .error();
    true
}
