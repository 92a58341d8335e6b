//! The way of one model request from its bid to the end of its answer.
//!
//! The picture is in docs/ARCHITECTURE.md. A journey decides; the entry around
//! it carries actions out and brings events in. Every event names its attempt,
//! so that late and crossed ones are known and dropped.

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

/// Rounds of bids after which a request is given up with a clear error.
const MAX_BID_ROUNDS: u32 = 12;
/// Failed prefills after which a request is given up with a clear error.
const MAX_FAILED_PREFILLS: u32 = 12;
/// Wait before looking for agents again where there were none.
const RETRY_WAIT: time::Duration = time::Duration::from_millis(100);
/// How often a waiting request looks for a seat that came free elsewhere.
const FREE_SEAT_CHECK: time::Duration = time::Duration::from_millis(250);

/// What is known of a request before it starts.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// The pool that serves it.
    pub upstream: Name,
    /// Its content.
    pub digest: Digest,
    /// The prefixes of its prompt.
    pub prefixes: PrefixHashes,
    /// Tokens of its prompt, estimated.
    pub prompt_tokens: u64,
    /// Most tokens of its answer.
    pub max_tokens: u32,
    /// Pieces of memory that it needs.
    pub pieces: u32,
    /// Its target between tokens.
    pub gap_target: time::Duration,
    /// The strictest target between tokens of any class.
    pub strictest_target: time::Duration,
}

impl RequestSpec {
    fn demand(&self) -> DecodeDemand<'_> {
        DecodeDemand {
            upstream: &self.upstream,
            pieces: self.pieces,
            gap_target: self.gap_target,
            strictest_target: self.strictest_target,
        }
    }
}

/// Why an attempt ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The agent takes no new work.
    Draining,
    /// Nothing came for too long.
    Stalled,
    /// The agent or its engine was lost.
    Lost,
    /// The engine died before this request had a first token there; counts the
    /// deaths of that host's engine.
    Crashed(u64),
    /// The prefilled result had died.
    Expired,
    /// The engine can never take this request.
    Invalid,
}

/// What happens to a journey. The first `u32` is the round of bids or the run of
/// prefill that it belongs to.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A seat was granted by this host.
    SeatGranted(u32, Name),
    /// The prefilled result is ready: tokens, and those found cached.
    PrefillDone(u32, u64, u64),
    /// The prefill failed.
    PrefillFault(u32, Fault),
    /// The result arrived at the decode engine after this time.
    ImportDone(u32, time::Duration),
    /// A token came: its offset and text.
    Chunk(u32, u32, String),
    /// The answer ended: how, and how many tokens it has.
    StreamEnded(u32, String, u32),
    /// The bid or stream at this host failed.
    DecodeFault(u32, Name, Fault),
    /// The caller has gone.
    CallerGone,
    /// The caller's key was withdrawn.
    KeyWithdrawn,
    /// The time asked for has come.
    TimerFired,
}

/// What the entry is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Bid for a seat.
    Bid(u32, Name),
    /// Drop a bid, seat or stream at a host.
    Release(u32, Name),
    /// Work through the prompt and what was answered so far.
    Prefill(u32, PrefillChoice),
    /// Drop a prefill.
    CancelPrefill(u32),
    /// Import the result at the host that holds the seat and stream from the
    /// offset on.
    StartDecode(u32, Name, u32),
    /// Give the caller this text.
    EmitText(String),
    /// The answer is whole: how it ended and its tokens.
    Finish(String, u32),
    /// The request has failed.
    Fail(Failure),
    /// Tell all other entries that this content has crashed an engine.
    ReportCrash(Digest, CrashId),
    /// Come back with a wake after this time.
    SetTimer(time::Duration),
}

/// Why a request was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Failure {
    /// It crashed upstreams.
    #[display("this request has crashed two upstreams and is run no more")]
    Quarantined,
    /// Too many attempts failed.
    #[display("the request was tried too often without success")]
    RetriesExhausted,
    /// No engine could ever hold it.
    #[display("the request needs more memory than any engine has")]
    TooLarge,
    /// The key was withdrawn while it ran.
    #[display("the key was withdrawn")]
    KeyWithdrawn,
    /// Nobody waits for it.
    #[display("the caller has gone")]
    CallerGone,
}

/// Where a journey is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waits for a seat at these hosts.
    Waiting(Vec<Name>),
    /// It holds a seat and waits to prefill once the retry budget allows.
    SeatHeld(Name),
    /// It holds a seat at the first host while the second works.
    Prefilling(Name, Name),
    /// The result goes from the second host to the first.
    Importing(Name, Name),
    /// The host streams.
    Streaming(Name),
    /// It has ended.
    Finished,
}

/// One request's decisions.
#[derive(Debug)]
pub struct RequestLifecycle {
    spec: RequestSpec,
    stage: Stage,
    /// Counts rounds of bids; a seat and its stream belong to one.
    round: u32,
    /// Counts prefills; one seat may see several.
    run: u32,
    /// Prefills that failed where work was taken.
    failed_prefills: u32,
    emitted_tokens: u32,
    expected_cached: u64,
    computed_tokens: u64,
    suspect_host: Option<Name>,
    /// Prompt tokens that were worked through in vain.
    wasted_tokens: u64,
}

impl RequestLifecycle {
    /// Begins a journey; [`Journey::start`] gives its first actions.
    pub fn new(spec: RequestSpec) -> Self {
        Self {
            spec,
            stage: Stage::Waiting(Vec::new()),
            round: 0,
            run: 0,
            failed_prefills: 0,
            emitted_tokens: 0,
            expected_cached: 0,
            computed_tokens: 0,
            suspect_host: None,
            wasted_tokens: 0,
        }
    }

    /// Where the journey is.
    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    /// Tokens given to the caller so far.
    pub fn emitted_tokens(&self) -> u32 {
        self.emitted_tokens
    }

    /// Prompt tokens that were worked through in vain so far.
    pub fn wasted_tokens(&self) -> u64 {
        self.wasted_tokens
    }

    /// What is known of the request.
    pub fn spec(&self) -> &RequestSpec {
        &self.spec
    }

    /// Tells whether no engine has seen the request.
    pub fn is_unexecuted(&self) -> bool {
        self.run == 0
    }

    /// Starts the first round of bids.
    pub fn start(&mut self, cx: &mut Context<'_>) -> Vec<Action> {
        cx.budget.record_attempt();
        self.place_bids(cx)
    }

    /// Moves on by one event.
    pub fn step(&mut self, event: Event, cx: &mut Context<'_>) -> Vec<Action> {
        if self.stage == Stage::Finished {
            return release_late_seat(event);
        }
        match event {
            Event::SeatGranted(round, host) => self.seat_granted(round, host, cx),
            Event::PrefillDone(run, tokens, cached) => self.prefill_done(run, tokens, cached, cx),
            Event::PrefillFault(run, fault) => self.prefill_fault(run, fault, cx),
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
        actions.push(Action::SetTimer(FREE_SEAT_CHECK));
        self.stage = Stage::Waiting(hosts);
        actions
    }

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

    /// Prefills for the seat held at `host`.
    fn start_prefill(&mut self, host: Name, cx: &mut Context<'_>) -> Vec<Action> {
        // A peer may have told of a crash since the bid.
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
        self.run += 1;
        self.expected_cached = choice.cached_tokens;
        self.stage = Stage::Prefilling(host, choice.host.clone());
        vec![Action::Prefill(self.run, choice)]
    }

    fn prefill_done(
        &mut self,
        run: u32,
        tokens: u64,
        cached: u64,
        cx: &mut Context<'_>,
    ) -> Vec<Action> {
        let (decode, prefill) = match &self.stage {
            Stage::Prefilling(d, p) if run == self.run => (d.clone(), p.clone()),
            _ => return Vec::new(),
        };
        cx.fleet
            .record_prefill(&prefill, &self.spec.prefixes, self.expected_cached, cached);
        self.computed_tokens = tokens.saturating_sub(cached);
        self.stage = Stage::Importing(decode.clone(), prefill);
        vec![Action::StartDecode(self.round, decode, self.emitted_tokens)]
    }

    fn prefill_fault(&mut self, run: u32, fault: Fault, cx: &mut Context<'_>) -> Vec<Action> {
        let (decode, prefill) = match &self.stage {
            Stage::Prefilling(d, p) if run == self.run => (d.clone(), p.clone()),
            _ => return Vec::new(),
        };
        match fault {
            Fault::Invalid => return self.fail(Failure::TooLarge, cx),
            Fault::Crashed(count) => {
                // The seat's engine must not be the suspect's next victim by chance.
                let mut actions = self.record_crash(prefill, count, cx);
                actions.extend(self.restart(cx));
                return actions;
            }
            Fault::Stalled | Fault::Lost | Fault::Expired => self.failed_prefills += 1,
            Fault::Draining => {}
        }
        cx.fleet.record_failure(&prefill, cx.now);
        let mut actions = vec![Action::CancelPrefill(run)];
        // Where all have failed lately, trying them in turn helps nobody.
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
        vec![Action::CancelPrefill(self.run)]
    }

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
        if offset < self.emitted_tokens {
            return Vec::new();
        }
        if offset > self.emitted_tokens {
            return self.retry_decode(RetryCause::Stream, cx);
        }
        self.emitted_tokens += 1;
        vec![Action::EmitText(text)]
    }

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

    /// Blames the source of a transfer that failed, and else the agent itself.
    fn attribute_failure(&self, host: &Name, fault: Fault, cx: &mut Context<'_>) {
        match (&self.stage, fault) {
            (_, Fault::Draining) => {}
            (Stage::Importing(_, prefill), Fault::Stalled | Fault::Expired) => {
                cx.fleet.record_failure(prefill, cx.now);
            }
            _ => cx.fleet.record_failure(host, cx.now),
        }
    }

    fn record_crash(&mut self, host: Name, count: u64, cx: &mut Context<'_>) -> Vec<Action> {
        let id = CrashId { host, count };
        let digest = self.spec.digest;
        match cx.quarantine.record_crash(digest, id.clone(), cx.now) {
            true => vec![Action::ReportCrash(digest, id)],
            false => Vec::new(),
        }
    }

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

    /// Gives up the seat and bids anew as the budget allows.
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

    fn restart(&mut self, cx: &mut Context<'_>) -> Vec<Action> {
        let mut actions = self.release_all();
        self.release_suspect(cx);
        actions.extend(self.place_bids(cx));
        actions
    }

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

    /// Adds a bid where a seat has come free since the first were made. A
    /// suspect moves there, since it bids at one host at a time.
    fn check_free_seat(&mut self, mut bids: Vec<Name>, cx: &mut Context<'_>) -> Vec<Action> {
        let mut actions = vec![Action::SetTimer(FREE_SEAT_CHECK)];
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
                Action::CancelPrefill(self.run),
                Action::Release(round, host.clone()),
            ],
            Stage::Finished => Vec::new(),
        }
    }

    fn release_suspect(&mut self, cx: &mut Context<'_>) {
        if let Some(host) = self.suspect_host.take() {
            cx.fleet.count_suspect(&host, false);
        }
    }
}

/// What journeys of one entry share.
pub struct Context<'a> {
    /// The views of agents.
    pub fleet: &'a mut Fleet,
    /// The bound on retries.
    pub budget: &'a mut RetryBudget,
    /// Requests that crash engines.
    pub quarantine: &'a mut Quarantine,
    /// The time of the event.
    pub now: time::Instant,
}

/// A seat granted to a journey that has ended is given back.
fn release_late_seat(event: Event) -> Vec<Action> {
    match event {
        Event::SeatGranted(round, host) => vec![Action::Release(round, host)],
        _ => Vec::new(),
    }
}
