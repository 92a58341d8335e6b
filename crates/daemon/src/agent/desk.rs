//! The one thread that decides for an engine.

use crate::agent::job::DecodeJob;
use crate::agent::job::DecodeOut;
use crate::agent::job::DecodeStage;
use crate::agent::job::Event;
use crate::agent::job::Job;
use crate::agent::job::PrefillJob;
use crate::agent::job::PrefillOut;
use crate::agent::job::PrefillStage;
use crate::agent::worker;
use crate::app::Heart;
use crossbeam::channel;
use route::Lane;
use route::Seats;
use route::Ticket;
use route::Urgency;
use std::collections;
use std::io;
use std::time;
use tokio::sync::mpsc;
use wire::border;
use world::Name;
use world::Role;

/// Prompts given to the engine at a time; more would only queue inside it,
/// where their order can no longer be changed.
const PREFILL_WIDTH: usize = 1;
/// Failures closer than this come from the same crash.
const SAME_CRASH: time::Duration = time::Duration::from_millis(500);

/// All jobs at one engine.
pub(crate) struct Desk {
    host: Name,
    role: Role,
    model: engine::Model,
    /// Where other engines fetch results.
    source: String,
    seats: Seats,
    lane: Lane,
    jobs: collections::BTreeMap<Ticket, Job>,
    heart: Heart,
    inbox: channel::Receiver<Event>,
    outbox: channel::Sender<Event>,
    crashes: u64,
    crashed: Option<time::Instant>,
    /// Whether the engine has not answered since it failed or this process
    /// began; nothing is given to it meanwhile, since that would be in vain.
    down: bool,
    /// What the engine holds for nobody.
    leftovers: collections::BTreeSet<String>,
    draining: bool,
}

impl Desk {
    /// Makes a desk and the channel to it.
    pub(crate) fn new(
        host: Name,
        role: Role,
        upstream: &conf::UpstreamSettings,
        heart: Heart,
    ) -> (Self, channel::Sender<Event>) {
        let (outbox, inbox) = channel::unbounded();
        let desk = Self {
            host,
            role,
            model: engine::Model::new(upstream.address),
            source: upstream.address.to_string(),
            seats: Seats::new(upstream.seats, upstream.pieces),
            lane: Lane::new(PREFILL_WIDTH),
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

    fn bid(&mut self, ticket: Ticket, bid: border::Bid, out: DecodeOut) {
        let urgency = urgency_of(&bid.urgency);
        if !self.seats.bid(ticket, bid.pieces, urgency) {
            let kind = match self.draining {
                true => border::FaultKind::Draining,
                false => border::FaultKind::Invalid,
            };
            tell(&out, decode_fault(kind, "no seat here", None));
            return;
        }
        let job = DecodeJob {
            id: format!("{}-{}", bid.request, bid.attempt),
            request: bid.request,
            attempt: bid.attempt,
            pieces: bid.pieces,
            out,
            stage: DecodeStage::Waiting,
            last: None,
            hop: Some(trace::Hop::begin("queue", Some(&bid.trace))),
            parent: bid.trace,
        };
        self.jobs.insert(ticket, Job::Decode(job));
    }

    fn start(&mut self, start: border::Start) -> bool {
        let found = self.jobs.iter_mut().find_map(|(ticket, job)| match job {
            Job::Decode(d) if d.request == start.request && d.attempt == start.attempt => {
                Some((*ticket, d))
            }
            Job::Decode(_) | Job::Prefill(_) => None,
        });
        let Some((ticket, job)) = found else {
            return false;
        };
        if job.stage != DecodeStage::Granted {
            return false;
        }
        job.stage = DecodeStage::Importing;
        job.hop = Some(trace::Hop::begin("transfer", Some(&job.parent)));
        let import = engine::Import {
            request: job.id.clone(),
            source: start.source,
            kv: start.kv,
            pieces: job.pieces,
        };
        let resume = engine::Resume {
            request: job.id.clone(),
            model: start.model,
            prompt: start.prompt,
            max_tokens: start.max,
            offset: start.offset,
            stream: true,
        };
        let spawned = worker::decode(
            self.model.clone(),
            ticket,
            import,
            resume,
            self.outbox.clone(),
        );
        self.unless_spawned(ticket, spawned);
        true
    }

    fn prefill(&mut self, ticket: Ticket, ask: border::Prefill, out: PrefillOut) {
        if !self.lane.join(ticket, ask.tokens, urgency_of(&ask.urgency)) {
            let kind = border::FaultKind::Draining;
            tell(&out, prefill_fault(kind, "this agent stops", None));
            return;
        }
        let job = PrefillJob {
            id: format!("{}-p{}", ask.request, ask.attempt),
            hop: Some(trace::Hop::begin("prefill_queue", Some(&ask.trace))),
            ask,
            out,
            stage: PrefillStage::Waiting,
        };
        self.jobs.insert(ticket, Job::Prefill(job));
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
        for ticket in self.lane.start(now) {
            self.start_prefill(ticket);
        }
    }

    fn start_prefill(&mut self, ticket: Ticket) {
        let Some(Job::Prefill(job)) = self.jobs.get_mut(&ticket) else {
            return;
        };
        job.stage = PrefillStage::Running;
        job.hop = Some(trace::Hop::begin("prefill", Some(&job.ask.trace)));
        tell(&job.out, border::PrefillEvent::Started);
        let ask = engine::Prefill {
            request: job.id.clone(),
            model: job.ask.model.clone(),
            prompt: job.ask.prompt.clone(),
            priority: 0,
        };
        let spawned = worker::prefill(self.model.clone(), ticket, ask, self.outbox.clone());
        self.unless_spawned(ticket, spawned);
    }

    fn imported(&mut self, ticket: Ticket, took: time::Duration) {
        if let Some(Job::Decode(job)) = self.jobs.get_mut(&ticket)
            && job.stage == DecodeStage::Importing
        {
            job.stage = DecodeStage::Streaming(0);
            job.hop = Some(trace::Hop::begin("decode", Some(&job.parent)));
            let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
            tell(&job.out, border::DecodeEvent::Imported { micros });
        }
    }

    fn token(&mut self, ticket: Ticket, token: engine::Token) {
        let Some(Job::Decode(job)) = self.jobs.get_mut(&ticket) else {
            return;
        };
        let DecodeStage::Streaming(given) = &mut job.stage else {
            return;
        };
        let event = match token {
            engine::Token::Text { offset, text } => {
                *given += 1;
                let now = time::Instant::now();
                if let Some(last) = job.last.replace(now) {
                    self.seats.measure(now - last);
                }
                border::DecodeEvent::Chunk { offset, text }
            }
            engine::Token::End { finish, tokens } => border::DecodeEvent::End { finish, tokens },
        };
        tell(&job.out, event);
    }

    fn stream_end(&mut self, ticket: Ticket, result: Result<(), engine::EngineError>) {
        let Some(Job::Decode(job)) = self.jobs.get(&ticket) else {
            return;
        };
        let (stage, out) = (job.stage, job.out.clone());
        if stage == DecodeStage::Cancelling {
            return;
        }
        let Err(error) = result else {
            // The engine has freed a whole answer by itself.
            self.forget(ticket);
            return;
        };
        if let Some(hop) = &job.hop {
            hop.fail(&error.to_string());
        }
        // A transfer that stalls is its source's fault.
        if stage != DecodeStage::Importing || error != engine::EngineError::Stalled {
            self.doubt(&error);
        }
        let fresh = matches!(stage, DecodeStage::Importing | DecodeStage::Streaming(0));
        let gone = matches!(error, engine::EngineError::Gone(_));
        let crash = gone.then(|| self.count_crash());
        let kind = match error {
            engine::EngineError::Gone(_) if fresh => border::FaultKind::Crashed,
            engine::EngineError::Expired => border::FaultKind::Expired,
            engine::EngineError::Stalled => border::FaultKind::Stalled,
            _ => border::FaultKind::Lost,
        };
        tell(&out, decode_fault(kind, &error.to_string(), crash));
        self.free(ticket);
    }

    fn prefilled(
        &mut self,
        ticket: Ticket,
        result: Result<engine::Prefilled, engine::EngineError>,
        took: time::Duration,
    ) {
        self.lane.leave(ticket);
        let Some(Job::Prefill(job)) = self.jobs.get_mut(&ticket) else {
            return;
        };
        if job.stage == PrefillStage::Cancelling {
            return;
        }
        let out = job.out.clone();
        match result {
            Ok(done) => {
                if let Some(hop) = job.hop.take() {
                    hop.note("tokens", i64::try_from(done.tokens).unwrap_or(i64::MAX));
                    hop.note("cached", i64::try_from(done.cached).unwrap_or(i64::MAX));
                }
                job.stage = PrefillStage::Ready;
                self.lane
                    .measure(done.tokens.saturating_sub(done.cached), took);
                let ready = border::PrefillEvent::Ready {
                    source: self.source.clone(),
                    kv: done.kv,
                    cached: done.cached,
                    tokens: done.tokens,
                    micros: u64::try_from(took.as_micros()).unwrap_or(u64::MAX),
                };
                tell(&out, ready);
            }
            Err(error) => {
                self.doubt(&error);
                let gone = matches!(error, engine::EngineError::Gone(_));
                let crash = gone.then(|| self.count_crash());
                let kind = match error {
                    engine::EngineError::Gone(_) => border::FaultKind::Crashed,
                    engine::EngineError::Stalled => border::FaultKind::Stalled,
                    _ => border::FaultKind::Lost,
                };
                tell(&out, prefill_fault(kind, &error.to_string(), crash));
                self.free(ticket);
            }
        }
    }

    /// After a failure the engine is looked at before it gets anything more.
    fn doubt(&mut self, error: &engine::EngineError) {
        let failed = matches!(
            error,
            engine::EngineError::Absent(_)
                | engine::EngineError::Gone(_)
                | engine::EngineError::Stalled
        );
        if failed && !self.down {
            self.look();
        }
    }

    fn look(&mut self) {
        let spawned = worker::look(self.model.clone(), self.outbox.clone());
        self.down = !note_refused(spawned);
    }

    /// The engine answers. What it holds for no job here is left from before,
    /// and takes up room until it is freed.
    fn answers(&mut self, held: Vec<String>) {
        let jobs = &self.jobs;
        let claimed = |id: &String| jobs.values().any(|job| job.id() == id);
        self.leftovers = held.into_iter().filter(|id| !claimed(id)).collect();
        for id in self.leftovers.clone() {
            let spawned = worker::sweep(self.model.clone(), id.clone(), self.outbox.clone());
            if note_refused(spawned) {
                self.leftovers.remove(&id);
            }
        }
        self.down = !self.leftovers.is_empty();
    }

    fn swept(&mut self, id: &str) {
        self.leftovers.remove(id);
        self.down = !self.leftovers.is_empty();
    }

    /// Sends prompts that wait for a silent engine elsewhere. Bids may stay:
    /// each waits at several agents.
    fn shed_prompts(&mut self) {
        for ticket in self.lane.shed() {
            self.refuse_prompt(ticket, "the engine does not answer");
        }
    }

    fn refuse_prompt(&mut self, ticket: Ticket, detail: &str) {
        if let Some(Job::Prefill(job)) = self.jobs.remove(&ticket) {
            let kind = border::FaultKind::Draining;
            tell(&job.out, prefill_fault(kind, detail, None));
        }
    }

    /// Ends a job whose entry wants it no more.
    fn left(&mut self, ticket: Ticket) {
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
    fn free(&mut self, ticket: Ticket) {
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

    fn forget(&mut self, ticket: Ticket) {
        self.jobs.remove(&ticket);
        self.seats.leave(ticket);
        self.lane.leave(ticket);
    }

    /// Without a thread nothing can be done for the job, so it fails.
    fn unless_spawned(&mut self, ticket: Ticket, spawned: io::Result<()>) {
        if note_refused(spawned) {
            self.forget(ticket);
        }
    }

    fn drain(&mut self) {
        self.draining = true;
        let kind = border::FaultKind::Draining;
        for ticket in self.seats.drain() {
            if let Some(Job::Decode(job)) = self.jobs.remove(&ticket) {
                tell(&job.out, decode_fault(kind, "this agent stops", None));
            }
        }
        for ticket in self.lane.drain() {
            self.refuse_prompt(ticket, "this agent stops");
        }
    }

    fn count_crash(&mut self) -> u64 {
        let now = time::Instant::now();
        let same = self
            .crashed
            .is_some_and(|at| now.saturating_duration_since(at) < SAME_CRASH);
        if !same {
            self.crashes += 1;
            metrics::counter!("hornbeampitch_engine_crashes_total").increment(1);
            trace::Line::new("engine_crashed")
                .with("host", &self.host)
                .with("count", self.crashes)
                .warn();
        }
        self.crashed = Some(now);
        self.crashes
    }

    fn publish(&self) {
        let seats = self.seats.free_seats();
        let waiting = u32::try_from(self.seats.waiting()).unwrap_or(u32::MAX);
        metrics::gauge!("hornbeampitch_seats_free").set(seats);
        metrics::gauge!("hornbeampitch_bids_waiting").set(waiting);
        metrics::gauge!("hornbeampitch_engine_answers").set(u32::from(!self.down));
        self.heart.set(|load| {
            load.waiting = waiting;
            (load.seats, load.pieces) = match self.down {
                true => (0, 0),
                false => (seats, self.seats.free_pieces()),
            };
            load.backlog = self.lane.backlog();
            load.pace = match self.role {
                _ if self.down => 0.0,
                Role::Decode => self.seats.pace(),
                Role::Prefill | Role::Entry | Role::Service => self.lane.pace(),
            };
            // Whole tokens a second: less is no news worth a message.
            load.pace = load.pace.round();
            load.crowded = self.seats.crowded().round();
            load.draining = self.draining;
        });
    }
}

/// Tells whether the system refused a thread.
fn note_refused(spawned: io::Result<()>) -> bool {
    let Err(error) = spawned else { return false };
    trace::Line::new("thread_refused")
        .with("error", error)
        .error();
    true
}

fn urgency_of(urgency: &border::Urgency) -> Urgency {
    let now = time::Instant::now();
    let slack = time::Duration::from_millis(u64::try_from(urgency.slack).unwrap_or(0));
    Urgency {
        due: now + slack,
        waits: urgency.waits,
        share: urgency.share,
        work: time::Duration::from_millis(urgency.work),
        token: time::Duration::from_millis(urgency.token),
    }
}

fn decode_fault(kind: border::FaultKind, detail: &str, crash: Option<u64>) -> border::DecodeEvent {
    border::DecodeEvent::Fault {
        fault: border::Fault {
            kind,
            detail: detail.to_owned(),
            crash,
        },
    }
}

fn prefill_fault(
    kind: border::FaultKind,
    detail: &str,
    crash: Option<u64>,
) -> border::PrefillEvent {
    border::PrefillEvent::Fault {
        fault: border::Fault {
            kind,
            detail: detail.to_owned(),
            crash,
        },
    }
}

/// An entry that has gone is noticed by its subscription's end.
fn tell<T>(out: &mpsc::UnboundedSender<T>, event: T) {
    let _ = out.send(event);
}
