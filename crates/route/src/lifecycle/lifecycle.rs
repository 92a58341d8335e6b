//! The state machine of one model request, from its bids for a decode seat to the
//! end of its answer; docs/ARCHITECTURE.md has a diagram.
//!
//! The entry passes events in and carries out the returned actions. Every event
//! names the round of bids or the prefill attempt that it belongs to, so that those
//! of abandoned attempts are recognised and ignored.

use crate::budget::RetryBudget;
use crate::budget::RetryCause;
use crate::fleet::Fleet;
use crate::lifecycle::messages::Action;
use crate::lifecycle::messages::Event;
use crate::lifecycle::messages::Failure;
use crate::lifecycle::messages::Stage;
use crate::lifecycle::spec::RequestSpec;
use crate::quarantine::Quarantine;
use std::time;
use world::Name;

/// Rounds of bids after which a request fails.
const MAX_BID_ROUNDS: u32 = 12;
/// Wait before the next attempt while no agent is available or the retry budget is
/// used up.
pub(super) const RETRY_WAIT: time::Duration = time::Duration::from_millis(100);
/// How often a request that waits for a seat checks other agents for a free one.
const SEAT_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// State that all requests of an entry share.
pub struct Context<'a> {
    /// The entry's view of all agents.
    pub fleet: &'a mut Fleet,
    /// Limit on retries.
    pub budget: &'a mut RetryBudget,
    /// Requests that crashed engines.
    pub quarantine: &'a mut Quarantine,
    /// Time of the event.
    pub now: time::Instant,
}

/// State machine of one request.
#[derive(Debug)]
pub struct RequestLifecycle {
    pub(super) spec: RequestSpec,
    pub(super) stage: Stage,
    /// Number of the current round of bids, to which the seat and stream belong.
    pub(super) round: u32,
    /// Number of the current prefill attempt; a seat may have several.
    pub(super) prefill_attempt: u32,
    /// Prefills that failed after their agent had accepted them.
    pub(super) failed_prefills: u32,
    /// Tokens sent to the caller.
    pub(super) emitted_tokens: u32,
    /// Cached tokens that the current prefill was expected to find.
    pub(super) expected_cached: u64,
    /// Tokens that the last prefill computed.
    pub(super) computed_tokens: u64,
    /// Host that this request occupies as a suspect of a crash.
    suspect_host: Option<Name>,
    /// Tokens computed by prefills whose result was lost by a failure.
    pub(super) wasted_tokens: u64,
}

impl RequestLifecycle {
    /// Creates the state of a request; [`RequestLifecycle::start`] returns its first
    /// actions.
    pub fn new(spec: RequestSpec) -> Self {
        Self {
            spec,
            stage: Stage::Waiting(Vec::new()),
            round: 0,
            prefill_attempt: 0,
            failed_prefills: 0,
            emitted_tokens: 0,
            expected_cached: 0,
            computed_tokens: 0,
            suspect_host: None,
            wasted_tokens: 0,
        }
    }

    /// Current stage.
    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    /// Tokens sent to the caller so far.
    pub fn emitted_tokens(&self) -> u32 {
        self.emitted_tokens
    }

    /// Tokens computed so far by prefills whose result was lost by a failure.
    pub fn wasted_tokens(&self) -> u64 {
        self.wasted_tokens
    }

    /// What is known of the request from its start.
    pub fn spec(&self) -> &RequestSpec {
        &self.spec
    }

    /// Returns whether the request was not sent to any engine.
    pub fn is_unexecuted(&self) -> bool {
        self.prefill_attempt == 0
    }

    /// Starts the first round of bids.
    pub fn start(&mut self, cx: &mut Context<'_>) -> Vec<Action> {
        cx.budget.record_attempt();
        self.place_bids(cx)
    }

    /// Handles one event and returns the actions to carry out.
    pub fn step(&mut self, event: Event, cx: &mut Context<'_>) -> Vec<Action> {
        if self.stage == Stage::Finished {
            return release_late_seat(event);
        }
        match event {
            Event::SeatGranted(round, host) => self.seat_granted(round, host, cx),
            Event::PrefillDone(attempt, tokens, cached) => {
                self.prefill_done(attempt, tokens, cached, cx)
            }
            Event::PrefillFault(attempt, fault) => self.prefill_fault(attempt, fault, cx),
            Event::ImportDone(round, took) => self.import_done(round, took, cx),
            Event::Chunk(round, offset, text) => self.chunk(round, offset, text, cx),
            Event::StreamEnded(round, finish, tokens) => {
                self.stream_ended(round, finish, tokens, cx)
            }
            Event::DecodeFault(round, host, fault) => self.decode_fault(round, host, fault, cx),
            Event::CallerGone => self.fail(Failure::CallerGone, cx),
            Event::KeyWithdrawn => self.fail(Failure::KeyWithdrawn, cx),
            Event::TimerFired => self.timer_fired(cx),
        }
    }

    /// Starts a new round of bids.
    fn place_bids(&mut self, cx: &mut Context<'_>) -> Vec<Action> {
        if cx.quarantine.is_quarantined(self.spec.digest) {
            return self.fail(Failure::Quarantined, cx);
        }
        if self.round >= MAX_BID_ROUNDS {
            return self.fail(Failure::RetriesExhausted, cx);
        }
        let suspect = cx.quarantine.is_suspect(self.spec.digest);
        let hosts = cx.fleet.choose_decode(&self.spec.demand(), suspect, cx.now);
        if hosts.is_empty() {
            self.stage = Stage::Waiting(hosts);
            return vec![Action::SetTimer(RETRY_WAIT)];
        }
        self.round += 1;
        let round = self.round;
        let mut actions: Vec<Action> = hosts
            .iter()
            .map(|host| Action::Bid(round, host.clone()))
            .collect();
        actions.push(Action::SetTimer(SEAT_CHECK_INTERVAL));
        self.stage = Stage::Waiting(hosts);
        actions
    }

    /// Takes the first seat of the round and releases the other bids.
    fn seat_granted(&mut self, round: u32, host: Name, cx: &mut Context<'_>) -> Vec<Action> {
        let bids = match &self.stage {
            Stage::Waiting(bids) if round == self.round => bids,
            _ => return vec![Action::Release(round, host)],
        };
        let mut actions: Vec<Action> = bids
            .iter()
            .filter(|b| **b != host)
            .map(|b| Action::Release(round, b.clone()))
            .collect();
        if cx.quarantine.is_suspect(self.spec.digest) {
            cx.fleet.count_suspect(&host, true);
            self.suspect_host = Some(host.clone());
        }
        actions.extend(self.start_prefill(host, cx));
        actions
    }

    /// Releases everything and starts a new round of bids.
    pub(super) fn restart(&mut self, cx: &mut Context<'_>) -> Vec<Action> {
        let mut actions = self.release_all();
        self.release_suspect(cx);
        actions.extend(self.place_bids(cx));
        actions
    }

    /// Continues what the request waits for.
    fn timer_fired(&mut self, cx: &mut Context<'_>) -> Vec<Action> {
        match self.stage.clone() {
            Stage::Waiting(bids) if bids.is_empty() => self.place_bids(cx),
            Stage::Waiting(bids) => self.check_free_seat(bids, cx),
            Stage::SeatHeld(host) => {
                if cx.budget.try_retry(RetryCause::Prefill, cx.now) {
                    return self.start_prefill(host, cx);
                }
                vec![Action::SetTimer(RETRY_WAIT)]
            }
            Stage::Prefilling(..)
            | Stage::Importing(..)
            | Stage::Streaming(_)
            | Stage::Finished => Vec::new(),
        }
    }

    /// Adds a bid at an agent where a seat has become free since the first bids. A
    /// suspect of a crash moves its bid there, because it bids at one host at a time.
    fn check_free_seat(&mut self, mut bids: Vec<Name>, cx: &mut Context<'_>) -> Vec<Action> {
        let mut actions = vec![Action::SetTimer(SEAT_CHECK_INTERVAL)];
        let suspect = cx.quarantine.is_suspect(self.spec.digest);
        let free = cx
            .fleet
            .find_free_seat(&self.spec.upstream, self.spec.pieces, suspect, &bids);
        let Some(host) = free else {
            return actions;
        };
        if suspect {
            actions.extend(self.release_all());
            bids.clear();
        }
        actions.push(Action::Bid(self.round, host.clone()));
        bids.push(host);
        self.stage = Stage::Waiting(bids);
        actions
    }

    /// Ends the request and releases all it holds.
    pub(super) fn fail(&mut self, failure: Failure, cx: &mut Context<'_>) -> Vec<Action> {
        if matches!(self.stage, Stage::Importing(..)) {
            self.wasted_tokens += self.computed_tokens;
        }
        let mut actions = self.release_all();
        self.release_suspect(cx);
        self.stage = Stage::Finished;
        actions.push(Action::Fail(failure));
        actions
    }

    /// Returns the actions that release all that is open for the request.
    pub(super) fn release_all(&mut self) -> Vec<Action> {
        let round = self.round;
        match &self.stage {
            Stage::Waiting(bids) => bids
                .iter()
                .map(|b| Action::Release(round, b.clone()))
                .collect(),
            Stage::SeatHeld(host) | Stage::Streaming(host) => {
                vec![Action::Release(round, host.clone())]
            }
            Stage::Prefilling(host, _) | Stage::Importing(host, _) => vec![
                Action::CancelPrefill(self.prefill_attempt),
                Action::Release(round, host.clone()),
            ],
            Stage::Finished => Vec::new(),
        }
    }

    /// Ends the count of this request as a suspect at its host.
    pub(super) fn release_suspect(&mut self, cx: &mut Context<'_>) {
        if let Some(host) = self.suspect_host.take() {
            cx.fleet.count_suspect(&host, false);
        }
    }
}

/// Releases a seat that was granted after the request had ended.
fn release_late_seat(event: Event) -> Vec<Action> {
    match event {
        Event::SeatGranted(round, host) => vec![Action::Release(round, host)],
        _ => Vec::new(),
    }
}
