//! The scheduler of one engine's jobs: it grants seats, starts prompts, and handles
//! the events of entries and of the engine's calls.

use crate::agent::job::DecodeStage;
use crate::agent::job::Event;
use crate::agent::job::Job;
use crate::agent::job::PrefillStage;
use crate::agent::scheduler::messages;
use crate::agent::scheduler::messages::send;
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

/// Maximum prompts given to the engine at a time. More would only queue inside the
/// engine, where their order can no longer be changed.
const PREFILL_CONCURRENCY: usize = 1;

/// Schedules all jobs of one engine.
pub(crate) struct JobScheduler {
    pub(super) host: Name,
    pub(super) role: Role,
    pub(super) engine: engine::EngineClient,
    /// Address from which decode engines fetch this engine's prefill results.
    pub(super) source: String,
    pub(super) seats: SeatScheduler,
    pub(super) prefills: PrefillQueue,
    pub(super) jobs: collections::BTreeMap<AttemptId, Job>,
    pub(super) load: LoadPublisher,
    pub(super) events: channel::Receiver<Event>,
    /// Sends events to this scheduler; cloned for each call of the engine.
    pub(super) event_sender: channel::Sender<Event>,
    /// Crashes of the engine since this process started.
    pub(super) crash_count: u64,
    /// Time of the latest failure that was counted as a crash or as part of one.
    pub(super) last_crash: Option<time::Instant>,
    /// Whether the engine is considered down: it has not answered a probe since it
    /// failed or since this process started, or it still holds orphans. While it is
    /// down, it gets no new requests, which would only fail.
    pub(super) down: bool,
    /// Ids of requests that the engine holds, but that belong to no job here.
    pub(super) orphans: collections::BTreeSet<String>,
    pub(super) draining: bool,
}

impl JobScheduler {
    /// Creates a scheduler and the channel to it.
    pub(crate) fn new(
        host: Name,
        role: Role,
        upstream: &conf::UpstreamSettings,
        load: LoadPublisher,
    ) -> (Self, channel::Sender<Event>) {
        let (event_sender, events) = channel::unbounded();
        let scheduler = Self {
            host,
            role,
            engine: engine::EngineClient::new(upstream.address),
            source: upstream.address.to_string(),
            seats: SeatScheduler::new(upstream.seats, upstream.pieces),
            prefills: PrefillQueue::new(PREFILL_CONCURRENCY),
            jobs: collections::BTreeMap::new(),
            load,
            events,
            event_sender: event_sender.clone(),
            crash_count: 0,
            last_crash: None,
            down: true,
            orphans: collections::BTreeSet::new(),
            draining: false,
        };
        (scheduler, event_sender)
    }

    /// Handles events until it is draining and has no job left.
    pub(crate) fn run(mut self) {
        // No seat is granted before the requests that an earlier agent left at the
        // engine are cancelled.
        self.start_probe();
        self.publish();
        while let Ok(event) = self.events.recv() {
            self.handle_event(event);
            // All events that have arrived are handled before the next decision.
            while let Ok(event) = self.events.try_recv() {
                self.handle_event(event);
            }
            self.start_waiting_jobs();
            self.publish();
            if self.draining && self.jobs.is_empty() {
                return;
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Bid(attempt_id, bid, sender) => self.add_bid(attempt_id, bid, sender),
            Event::Start(start, reply) => {
                let started = self.start_decode(start);
                // Fails only if the entry has disconnected and needs no reply.
                let _ = reply.send(started);
            }
            Event::Prefill(attempt_id, request, sender) => {
                self.add_prefill(attempt_id, request, sender)
            }
            Event::Abandoned(attempt_id) => self.abandon(attempt_id),
            Event::Imported(attempt_id, took) => self.handle_import(attempt_id, took),
            Event::Token(attempt_id, token) => self.send_token(attempt_id, token),
            Event::StreamEnd(attempt_id, result) => self.handle_stream_end(attempt_id, result),
            Event::PrefillEnd(attempt_id, result, took) => {
                self.handle_prefill_end(attempt_id, result, took)
            }
            Event::Cancelled(attempt_id) => self.remove_job(attempt_id),
            Event::ProbeFailed => self.refuse_waiting_prompts(),
            Event::ProbeAnswered(running) => self.handle_probe_answer(running),
            Event::OrphanCancelled(id) => self.handle_orphan_cancelled(&id),
            Event::Drain => self.drain(),
        }
    }

    /// Grants free seats to waiting bids and starts the next prompts.
    fn start_waiting_jobs(&mut self) {
        if self.down {
            return;
        }
        let now = time::Instant::now();
        for attempt_id in self.seats.grant(now) {
            if let Some(Job::Decode(job)) = self.jobs.get_mut(&attempt_id) {
                job.stage = DecodeStage::Granted;
                job.span = None;
                send(&job.sender, border::DecodeEvent::Granted);
            }
        }
        for attempt_id in self.prefills.start_next(now) {
            self.start_prefill(attempt_id);
        }
    }

    /// Ends a job that its entry has dropped. If the engine may hold the request, it
    /// is cancelled there first.
    fn abandon(&mut self, attempt_id: AttemptId) {
        match self.jobs.get(&attempt_id) {
            Some(Job::Decode(job)) => match job.stage {
                DecodeStage::Waiting | DecodeStage::Granted => self.remove_job(attempt_id),
                DecodeStage::Importing | DecodeStage::Streaming(_) => self.cancel_job(attempt_id),
                DecodeStage::Cancelling => {}
            },
            Some(Job::Prefill(job)) => match job.stage {
                PrefillStage::Waiting => self.remove_job(attempt_id),
                PrefillStage::Running | PrefillStage::Ready => self.cancel_job(attempt_id),
                PrefillStage::Cancelling => {}
            },
            None => {}
        }
    }

    /// Cancels a job's request at the engine. The job keeps its seat until that is
    /// done; otherwise the next grant would oversubscribe the engine.
    pub(super) fn cancel_job(&mut self, attempt_id: AttemptId) {
        let id = match self.jobs.get_mut(&attempt_id) {
            Some(Job::Decode(job)) => {
                job.stage = DecodeStage::Cancelling;
                job.span = None;
                job.id.clone()
            }
            Some(Job::Prefill(job)) => {
                job.stage = PrefillStage::Cancelling;
                job.span = None;
                job.id.clone()
            }
            None => return,
        };
        let spawned = worker::cancel(
            self.engine.clone(),
            attempt_id,
            id,
            self.event_sender.clone(),
        );
        self.remove_unless_spawned(attempt_id, spawned);
    }

    /// Removes a job and frees its seat or its place in the queue.
    pub(super) fn remove_job(&mut self, attempt_id: AttemptId) {
        self.jobs.remove(&attempt_id);
        self.seats.release(attempt_id);
        self.prefills.remove(attempt_id);
    }

    /// Removes a job whose thread could not be started. This closes its channel, by
    /// which the entry learns that it failed.
    pub(super) fn remove_unless_spawned(&mut self, attempt_id: AttemptId, spawned: io::Result<()>) {
        if spawn_failed(spawned) {
            self.remove_job(attempt_id);
        }
    }

    /// Refuses new and waiting jobs from now on; started ones continue.
    fn drain(&mut self) {
        self.draining = true;
        let kind = border::FaultKind::Draining;
        for attempt_id in self.seats.drain() {
            if let Some(Job::Decode(job)) = self.jobs.remove(&attempt_id) {
                send(
                    &job.sender,
                    messages::decode_fault(kind, "this agent stops", None),
                );
            }
        }
        for attempt_id in self.prefills.drain() {
            self.refuse_prompt(attempt_id, "this agent stops");
        }
    }

    /// Updates the metrics and the load that is reported to entries.
    fn publish(&self) {
        let seats = self.seats.free_seats();
        let waiting = u32::try_from(self.seats.waiting_bids()).unwrap_or(u32::MAX);
        metrics::gauge!("hornbeampitch_seats_free").set(seats);
        metrics::gauge!("hornbeampitch_bids_waiting").set(waiting);
        metrics::gauge!("hornbeampitch_engine_answers").set(u32::from(!self.down));
        self.load.update(|load| {
            load.waiting_requests = waiting;
            (load.free_seats, load.free_pieces) = match self.down {
                true => (0, 0),
                false => (seats, self.seats.free_pieces()),
            };
            load.backlog_tokens = self.prefills.backlog_tokens();
            load.token_rate = match self.role {
                _ if self.down => 0.0,
                Role::Decode => self.seats.next_stream_rate(),
                Role::Prefill | Role::Entry | Role::Service => self.prefills.token_rate(),
            };
            // Rounded to whole tokens per second, so that smaller changes cause no
            // report.
            load.token_rate = load.token_rate.round();
            load.saturated_rate = self.seats.saturated_stream_rate().round();
            load.draining = self.draining;
        });
    }
}

/// Returns whether a thread could not be started, and logs the error if so.
pub(super) fn spawn_failed(spawned: io::Result<()>) -> bool {
    let Err(error) = spawned else { return false };
    trace::LogLine::new("thread_refused")
        .with("error", error)
        .error();
    true
}
