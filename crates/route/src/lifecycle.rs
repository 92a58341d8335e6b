//! The state machine of one model request, from its bids for a decode seat to the
//! end of its answer; docs/ARCHITECTURE.md has a diagram.
//!
//! The entry passes events in and carries out the returned actions. Every event
//! names the round of bids or the prefill attempt that it belongs to, so that those
//! of abandoned attempts are recognised and ignored.

use crate::budget::RetryBudget;
use crate::budget::RetryCause;
use crate::fleet::DecodeDemand;
use crate::fleet::Fleet;
use crate::fleet::PrefillChoice;
use crate::prefix_cache::PrefixHashes;
use crate::quarantine::CrashId;
use crate::quarantine::Digest;
use crate::quarantine::Quarantine;
use std::time;
use world::Name;

/// Rounds of bids after which a request fails.
const MAX_BID_ROUNDS: u32 = 12;
/// Failed prefills after which a request fails.
const MAX_FAILED_PREFILLS: u32 = 12;
/// Wait before the next attempt while no agent is available or the retry budget is
/// used up.
const RETRY_WAIT: time::Duration = time::Duration::from_millis(100);
/// How often a request that waits for a seat checks other agents for a free one.
const SEAT_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// What is known of a request before it starts.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Upstream that serves the request.
    pub upstream: Name,
    /// Hash of the request's content.
    pub digest: Digest,
    /// Hashes of the prompt's prefixes.
    pub prefixes: PrefixHashes,
    /// Estimated number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens that the answer may have.
    pub max_tokens: u32,
    /// Pieces of engine memory that the request needs.
    pub pieces: u32,
    /// Target for the time between tokens.
    pub gap_target: time::Duration,
    /// Strictest target for the time between tokens of any class.
    pub strictest_target: time::Duration,
}

impl RequestSpec {
    /// What the request needs from a decode agent.
    fn demand(&self) -> DecodeDemand<'_> {
        DecodeDemand {
            upstream: &self.upstream,
            pieces: self.pieces,
            gap_target: self.gap_target,
            strictest_target: self.strictest_target,
        }
    }
}

/// Why a bid, prefill or stream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The agent accepts no new requests.
    Draining,
    /// Nothing was received for too long.
    Stalled,
    /// The agent or its engine was lost.
    Lost,
    /// The engine crashed before the request got a first token there. Carries the
    /// sequence number of the crash, counted by that host's agent.
    Crashed(u64),
    /// The prefilled KV cache has expired.
    Expired,
    /// The engine can never accept this request.
    Invalid,
}

/// What happens to a request. The first `u32` is the round of bids, or for prefill
/// events the prefill attempt, that the event belongs to.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A host granted a seat.
    SeatGranted(u32, Name),
    /// The prefill is done: the prompt's tokens, and how many of them were cached.
    PrefillDone(u32, u64, u64),
    /// The prefill failed.
    PrefillFault(u32, Fault),
    /// The decode engine imported the KV cache; carries the time this took.
    ImportDone(u32, time::Duration),
    /// A token was received: its offset in the answer and its text.
    Chunk(u32, u32, String),
    /// The stream ended: the finish reason and the answer's number of tokens.
    StreamEnded(u32, String, u32),
    /// The bid, seat or stream at a host failed.
    DecodeFault(u32, Name, Fault),
    /// The caller disconnected.
    CallerGone,
    /// The caller's API key was withdrawn.
    KeyWithdrawn,
    /// The time set by [`Action::SetTimer`] has passed.
    TimerFired,
}

/// What the entry has to do. The first `u32` is the round of bids, or for prefill
/// actions the prefill attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Bid for a seat at a host.
    Bid(u32, Name),
    /// Release a bid, seat or stream at a host.
    Release(u32, Name),
    /// Prefill the prompt and the answer so far.
    Prefill(u32, PrefillChoice),
    /// Cancel a prefill or free its result.
    CancelPrefill(u32),
    /// Import the prefilled KV cache at the host of the seat, and stream the answer
    /// from this token offset on.
    StartDecode(u32, Name, u32),
    /// Send text to the caller.
    EmitText(String),
    /// The answer is complete: its finish reason and number of tokens.
    Finish(String, u32),
    /// The request has failed.
    Fail(Failure),
    /// Report to all other entries that this content crashed an engine.
    ReportCrash(Digest, CrashId),
    /// Send [`Event::TimerFired`] after this time.
    SetTimer(time::Duration),
}

/// Why a request failed for good; a [`Fault`] is the failure of a single attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Failure {
    /// The request is quarantined because it crashed engines.
    #[display("this request has crashed two upstreams and is run no more")]
    Quarantined,
    /// Too many attempts failed.
    #[display("the request was tried too often without success")]
    RetriesExhausted,
    /// The request needs more memory than any engine has.
    #[display("the request needs more memory than any engine has")]
    TooLarge,
    /// The API key was withdrawn while the request ran.
    #[display("the key was withdrawn")]
    KeyWithdrawn,
    /// The caller disconnected.
    #[display("the caller has gone")]
    CallerGone,
}

/// Stage of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It has bids at these hosts; with none, it waits for its timer to bid again.
    Waiting(Vec<Name>),
    /// It holds a seat and waits for a prefill agent or for the retry budget.
    SeatHeld(Name),
    /// It holds a seat at the first host while the second host prefills.
    Prefilling(Name, Name),
    /// The KV cache is transferred from the second host to the first.
    Importing(Name, Name),
    /// The host streams the answer.
    Streaming(Name),
    /// It has finished or failed.
    Finished,
}

/// State machine of one request.
#[derive(Debug)]
pub struct RequestLifecycle {
    spec: RequestSpec,
    stage: Stage,
    /// Number of the current round of bids, to which the seat and stream belong.
    round: u32,
    /// Number of the current prefill attempt; a seat may have several.
    prefill_attempt: u32,
    /// Prefills that failed after their agent had accepted them.
    failed_prefills: u32,
    /// Tokens sent to the caller.
    emitted_tokens: u32,
    /// Cached tokens that the current prefill was expected to find.
    expected_cached: u64,
    /// Tokens that the last prefill computed.
    computed_tokens: u64,
    /// Host that this request occupies as a suspect of a crash.
    suspect_host: Option<Name>,
    /// Tokens computed by prefills whose result was lost by a failure.
    wasted_tokens: u64,
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

    /// Starts a prefill for the seat held at `host`.
    fn start_prefill(&mut self, host: Name, cx: &mut Context<'_>) -> Vec<Action> {
        // A peer may have reported a crash since the bid.
        if cx.quarantine.is_quarantined(self.spec.digest) {
            return self.fail(Failure::Quarantined, cx);
        }
        if self.failed_prefills >= MAX_FAILED_PREFILLS {
            return self.fail(Failure::RetriesExhausted, cx);
        }
        let tokens = self.spec.prompt_tokens + u64::from(self.emitted_tokens);
        let choice = cx.fleet.choose_prefill(
            &self.spec.upstream,
            &host,
            tokens,
            &self.spec.prefixes,
            cx.now,
        );
        let Some(choice) = choice else {
            self.stage = Stage::SeatHeld(host);
            return vec![Action::SetTimer(RETRY_WAIT)];
        };
        self.prefill_attempt += 1;
        self.expected_cached = choice.cached_tokens;
        self.stage = Stage::Prefilling(host, choice.host.clone());
        vec![Action::Prefill(self.prefill_attempt, choice)]
    }

    /// Starts the decoding once the prefill is done.
    fn prefill_done(
        &mut self,
        attempt: u32,
        tokens: u64,
        cached: u64,
        cx: &mut Context<'_>,
    ) -> Vec<Action> {
        let (decode, prefill) = match &self.stage {
            Stage::Prefilling(d, p) if attempt == self.prefill_attempt => (d.clone(), p.clone()),
            _ => return Vec::new(),
        };
        cx.fleet
            .record_prefill(&prefill, &self.spec.prefixes, self.expected_cached, cached);
        self.computed_tokens = tokens.saturating_sub(cached);
        self.stage = Stage::Importing(decode.clone(), prefill);
        vec![Action::StartDecode(self.round, decode, self.emitted_tokens)]
    }

    /// Starts another prefill or, after a crash, a new round of bids. An invalid request
    /// fails.
    fn prefill_fault(&mut self, attempt: u32, fault: Fault, cx: &mut Context<'_>) -> Vec<Action> {
        let (decode, prefill) = match &self.stage {
            Stage::Prefilling(d, p) if attempt == self.prefill_attempt => (d.clone(), p.clone()),
            _ => return Vec::new(),
        };
        match fault {
            Fault::Invalid => return self.fail(Failure::TooLarge, cx),
            Fault::Crashed(count) => {
                // The request is a suspect now and could crash the engine of its seat
                // next, so it bids again as a suspect.
                let mut actions = self.record_crash(prefill, count, cx);
                actions.extend(self.restart(cx));
                return actions;
            }
            Fault::Stalled | Fault::Lost | Fault::Expired => self.failed_prefills += 1,
            Fault::Draining => {}
        }
        cx.fleet.record_failure(&prefill, cx.now);
        let mut actions = vec![Action::CancelPrefill(attempt)];
        // If all prefill agents failed recently, trying the next one at once would
        // only fail again.
        let elsewhere = cx.fleet.has_healthy_prefill(&self.spec.upstream, cx.now);
        if elsewhere
            && (fault == Fault::Draining || cx.budget.try_retry(RetryCause::Prefill, cx.now))
        {
            actions.extend(self.start_prefill(decode, cx));
            return actions;
        }
        self.stage = Stage::SeatHeld(decode);
        actions.push(Action::SetTimer(RETRY_WAIT));
        actions
    }

    /// Frees the prefill's result, which the decode engine has imported.
    fn import_done(
        &mut self,
        round: u32,
        took: time::Duration,
        cx: &mut Context<'_>,
    ) -> Vec<Action> {
        let (decode, prefill) = match &self.stage {
            Stage::Importing(d, p) if round == self.round => (d.clone(), p.clone()),
            _ => return Vec::new(),
        };
        cx.fleet
            .record_transfer(&prefill, &decode, self.spec.prompt_tokens, took);
        self.stage = Stage::Streaming(decode);
        vec![Action::CancelPrefill(self.prefill_attempt)]
    }

    /// Sends the next token to the caller. If tokens are missing, the request is decoded
    /// again from the first one that the caller has not received.
    fn chunk(
        &mut self,
        round: u32,
        offset: u32,
        text: String,
        cx: &mut Context<'_>,
    ) -> Vec<Action> {
        if !matches!(self.stage, Stage::Streaming(_)) || round != self.round {
            return Vec::new();
        }
        // The caller already has this token.
        if offset < self.emitted_tokens {
            return Vec::new();
        }
        // Tokens before this one are missing.
        if offset > self.emitted_tokens {
            return self.retry_decode(RetryCause::Stream, cx);
        }
        self.emitted_tokens += 1;
        vec![Action::EmitText(text)]
    }

    /// Finishes the request if all tokens have arrived.
    fn stream_ended(
        &mut self,
        round: u32,
        finish: String,
        tokens: u32,
        cx: &mut Context<'_>,
    ) -> Vec<Action> {
        let decode = match &self.stage {
            Stage::Streaming(d) if round == self.round => d.clone(),
            _ => return Vec::new(),
        };
        if tokens != self.emitted_tokens {
            return self.retry_decode(RetryCause::Stream, cx);
        }
        cx.quarantine.clear_suspect(self.spec.digest);
        self.release_suspect(cx);
        self.stage = Stage::Finished;
        vec![
            Action::Release(round, decode),
            Action::Finish(finish, tokens),
        ]
    }

    /// Handles the failure of a bid, seat, import or stream at a host.
    fn decode_fault(
        &mut self,
        round: u32,
        host: Name,
        fault: Fault,
        cx: &mut Context<'_>,
    ) -> Vec<Action> {
        if round != self.round {
            return Vec::new();
        }
        self.attribute_failure(&host, fault, cx);
        let cause = match &self.stage {
            Stage::Waiting(_) => return self.remove_bid(host, fault, cx),
            Stage::SeatHeld(d) | Stage::Prefilling(d, _) if *d == host => RetryCause::Prefill,
            Stage::Importing(d, _) if *d == host => RetryCause::Transfer,
            Stage::Streaming(d) if *d == host => RetryCause::Stream,
            _ => return Vec::new(),
        };
        match fault {
            Fault::Invalid => self.fail(Failure::TooLarge, cx),
            Fault::Crashed(count) => {
                let mut actions = self.record_crash(host, count, cx);
                actions.extend(self.retry_decode(cause, cx));
                actions
            }
            Fault::Draining | Fault::Stalled | Fault::Lost | Fault::Expired => {
                self.retry_decode(cause, cx)
            }
        }
    }

    /// Records a failure at the agent that caused it: the source of a failed
    /// transfer, otherwise the decode agent itself.
    fn attribute_failure(&self, host: &Name, fault: Fault, cx: &mut Context<'_>) {
        match (&self.stage, fault) {
            (_, Fault::Draining) => {}
            (Stage::Importing(_, prefill), Fault::Stalled | Fault::Expired) => {
                cx.fleet.record_failure(prefill, cx.now);
            }
            _ => cx.fleet.record_failure(host, cx.now),
        }
    }

    /// Records a crash, and reports it to the other entries if it is new.
    fn record_crash(&mut self, host: Name, count: u64, cx: &mut Context<'_>) -> Vec<Action> {
        let id = CrashId { host, count };
        let digest = self.spec.digest;
        match cx.quarantine.record_crash(digest, id.clone(), cx.now) {
            true => vec![Action::ReportCrash(digest, id)],
            false => Vec::new(),
        }
    }

    /// Removes a failed bid; after the last one, the request bids again later.
    fn remove_bid(&mut self, host: Name, fault: Fault, cx: &mut Context<'_>) -> Vec<Action> {
        let Stage::Waiting(bids) = &mut self.stage else {
            return Vec::new();
        };
        bids.retain(|b| *b != host);
        if fault == Fault::Invalid && bids.is_empty() {
            return self.fail(Failure::TooLarge, cx);
        }
        match bids.is_empty() {
            true => vec![Action::SetTimer(RETRY_WAIT)],
            false => Vec::new(),
        }
    }

    /// Releases the seat and starts a new round of bids once the retry budget allows.
    fn retry_decode(&mut self, cause: RetryCause, cx: &mut Context<'_>) -> Vec<Action> {
        let importing = matches!(self.stage, Stage::Importing(..));
        if importing || matches!(self.stage, Stage::Streaming(_)) {
            self.wasted_tokens += self.computed_tokens;
        }
        if cx.budget.try_retry(cause, cx.now) {
            return self.restart(cx);
        }
        let mut actions = self.release_all();
        self.release_suspect(cx);
        self.stage = Stage::Waiting(Vec::new());
        actions.push(Action::SetTimer(RETRY_WAIT));
        actions
    }

    /// Releases everything and starts a new round of bids.
    fn restart(&mut self, cx: &mut Context<'_>) -> Vec<Action> {
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
    fn fail(&mut self, failure: Failure, cx: &mut Context<'_>) -> Vec<Action> {
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
    fn release_all(&mut self) -> Vec<Action> {
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
    fn release_suspect(&mut self, cx: &mut Context<'_>) {
        if let Some(host) = self.suspect_host.take() {
            cx.fleet.count_suspect(&host, false);
        }
    }
}

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

/// Releases a seat that was granted after the request had ended.
fn release_late_seat(event: Event) -> Vec<Action> {
    match event {
        Event::SeatGranted(round, host) => vec![Action::Release(round, host)],
        _ => Vec::new(),
    }
}
