//! The way of one model request from its bid to the end of its answer.
//!
//! The picture is in docs/ARCHITECTURE.md. A journey decides; the entry around
//! it carries actions out and brings events in. Every event names its attempt,
//! so that late and crossed ones are known and dropped.

use crate::budget::Cause;
use crate::budget::RetryBudget;
use crate::fleet::Fleet;
use crate::fleet::Pick;
use crate::fleet::Want;
use crate::prefix::Blocks;
use crate::quarantine::CrashId;
use crate::quarantine::Digest;
use crate::quarantine::Quarantine;
use std::time;
use world::Name;

/// Rounds of bids after which a request is given up with a clear error.
const MOST_ROUNDS: u32 = 12;
/// Failed prefills after which a request is given up with a clear error.
const MOST_RUNS: u32 = 12;
/// Wait before looking for agents again where there were none.
const RETRY_WAIT: time::Duration = time::Duration::from_millis(100);
/// How often a waiting request looks for a seat that came free elsewhere.
const LOOK_WAIT: time::Duration = time::Duration::from_millis(250);

/// What is known of a request before it starts.
#[derive(Clone, Debug)]
pub struct Work {
    /// The pool that serves it.
    pub upstream: Name,
    /// Its content.
    pub digest: Digest,
    /// The prefixes of its prompt.
    pub blocks: Blocks,
    /// Tokens of its prompt, estimated.
    pub tokens: u64,
    /// Most tokens of its answer.
    pub max: u32,
    /// Pieces of memory that it needs.
    pub pieces: u32,
    /// Its target between tokens.
    pub token: time::Duration,
    /// The strictest target between tokens of any class.
    pub strictest: time::Duration,
}

impl Work {
    fn want(&self) -> Want<'_> {
        Want {
            upstream: &self.upstream,
            pieces: self.pieces,
            token: self.token,
            strictest: self.strictest,
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
    Granted(u32, Name),
    /// The prefilled result is ready: tokens, and those found cached.
    Ready(u32, u64, u64),
    /// The prefill failed.
    PrefillFault(u32, Fault),
    /// The result arrived at the decode engine after this time.
    Imported(u32, time::Duration),
    /// A token came: its offset and text.
    Chunk(u32, u32, String),
    /// The answer ended: how, and how many tokens it has.
    End(u32, String, u32),
    /// The bid or stream at this host failed.
    DecodeFault(u32, Name, Fault),
    /// The caller has gone.
    Gone,
    /// The caller's key was withdrawn.
    Withdrawn,
    /// The time asked for has come.
    Wake,
}

/// What the entry is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Bid for a seat.
    Bid(u32, Name),
    /// Drop a bid, seat or stream at a host.
    Drop(u32, Name),
    /// Work through the prompt and what was answered so far.
    Prefill(u32, Pick),
    /// Drop a prefill.
    DropPrefill(u32),
    /// Import the result at the host that holds the seat and stream from the
    /// offset on.
    Start(u32, Name, u32),
    /// Give the caller this text.
    Emit(String),
    /// The answer is whole: how it ended and its tokens.
    Finish(String, u32),
    /// The request has failed.
    Fail(Failure),
    /// Tell all other entries that this content has crashed an engine.
    Report(Digest, CrashId),
    /// Come back with a wake after this time.
    Wake(time::Duration),
}

/// Why a request was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Failure {
    /// It crashed upstreams.
    #[display("this request has crashed two upstreams and is run no more")]
    Quarantined,
    /// Too many attempts failed.
    #[display("the request was tried too often without success")]
    Exhausted,
    /// No engine could ever hold it.
    #[display("the request needs more memory than any engine has")]
    TooLarge,
    /// The key was withdrawn while it ran.
    #[display("the key was withdrawn")]
    Withdrawn,
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
    Holding(Name),
    /// It holds a seat at the first host while the second works.
    Prefilling(Name, Name),
    /// The result goes from the second host to the first.
    Importing(Name, Name),
    /// The host streams.
    Streaming(Name),
    /// It has ended.
    Over,
}

/// One request's decisions.
#[derive(Debug)]
pub struct Journey {
    work: Work,
    stage: Stage,
    /// Counts rounds of bids; a seat and its stream belong to one.
    round: u32,
    /// Counts prefills; one seat may see several.
    run: u32,
    /// Prefills that failed where work was taken.
    failed: u32,
    emitted: u32,
    expected: u64,
    prefilled: u64,
    suspect: Option<Name>,
    /// Prompt tokens that were worked through in vain.
    wasted: u64,
}

impl Journey {
    /// Begins a journey; [`Journey::start`] gives its first actions.
    pub fn new(work: Work) -> Self {
        Self {
            work,
            stage: Stage::Waiting(Vec::new()),
            round: 0,
            run: 0,
            failed: 0,
            emitted: 0,
            expected: 0,
            prefilled: 0,
            suspect: None,
            wasted: 0,
        }
    }

    /// Where the journey is.
    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    /// Tokens given to the caller so far.
    pub fn emitted(&self) -> u32 {
        self.emitted
    }

    /// Prompt tokens that were worked through in vain so far.
    pub fn wasted(&self) -> u64 {
        self.wasted
    }

    /// What is known of the request.
    pub fn work(&self) -> &Work {
        &self.work
    }

    /// Tells whether no engine has seen the request.
    pub fn untouched(&self) -> bool {
        self.run == 0
    }

    /// Starts the first round of bids.
    pub fn start(&mut self, cx: &mut Context<'_>) -> Vec<Action> {
        cx.budget.attempt();
        self.bid(cx)
    }

    /// Moves on by one event.
    pub fn step(&mut self, event: Event, cx: &mut Context<'_>) -> Vec<Action> {
        if self.stage == Stage::Over {
            return late(event);
        }
        match event {
            Event::Granted(round, host) => self.granted(round, host, cx),
            Event::Ready(run, tokens, cached) => self.ready(run, tokens, cached, cx),
            Event::PrefillFault(run, fault) => self.prefill_fault(run, fault, cx),
            Event::Imported(round, took) => self.imported(round, took, cx),
            Event::Chunk(round, offset, text) => self.chunk(round, offset, text, cx),
            Event::End(round, finish, tokens) => self.end(round, finish, tokens, cx),
            Event::DecodeFault(round, host, fault) => self.decode_fault(round, host, fault, cx),
            Event::Gone => self.fail(Failure::CallerGone, cx),
            Event::Withdrawn => self.fail(Failure::Withdrawn, cx),
            Event::Wake => self.wake(cx),
        }
    }

    fn bid(&mut self, cx: &mut Context<'_>) -> Vec<Action> {
        if cx.quarantine.holds(self.work.digest) {
            return self.fail(Failure::Quarantined, cx);
        }
        if self.round >= MOST_ROUNDS {
            return self.fail(Failure::Exhausted, cx);
        }
        let suspect = cx.quarantine.suspects(self.work.digest);
        let hosts = cx.fleet.choose_decode(&self.work.want(), suspect, cx.now);
        if hosts.is_empty() {
            self.stage = Stage::Waiting(hosts);
            return vec![Action::Wake(RETRY_WAIT)];
        }
        self.round += 1;
        let round = self.round;
        let mut actions: Vec<Action> = hosts
            .iter()
            .map(|host| Action::Bid(round, host.clone()))
            .collect();
        actions.push(Action::Wake(LOOK_WAIT));
        self.stage = Stage::Waiting(hosts);
        actions
    }

    fn granted(&mut self, round: u32, host: Name, cx: &mut Context<'_>) -> Vec<Action> {
        let bids = match &self.stage {
            Stage::Waiting(bids) if round == self.round => bids,
            _ => return vec![Action::Drop(round, host)],
        };
        let mut actions: Vec<Action> = bids
            .iter()
            .filter(|b| **b != host)
            .map(|b| Action::Drop(round, b.clone()))
            .collect();
        if cx.quarantine.suspects(self.work.digest) {
            cx.fleet.suspect(&host, true);
            self.suspect = Some(host.clone());
        }
        actions.extend(self.prefill(host, cx));
        actions
    }

    /// Prefills for the seat held at `host`.
    fn prefill(&mut self, host: Name, cx: &mut Context<'_>) -> Vec<Action> {
        // A peer may have told of a crash since the bid.
        if cx.quarantine.holds(self.work.digest) {
            return self.fail(Failure::Quarantined, cx);
        }
        if self.failed >= MOST_RUNS {
            return self.fail(Failure::Exhausted, cx);
        }
        let tokens = self.work.tokens + u64::from(self.emitted);
        let pick = cx.fleet.choose_prefill(
            &self.work.upstream,
            &host,
            tokens,
            &self.work.blocks,
            cx.now,
        );
        let Some(pick) = pick else {
            self.stage = Stage::Holding(host);
            return vec![Action::Wake(RETRY_WAIT)];
        };
        self.run += 1;
        self.expected = pick.cached;
        self.stage = Stage::Prefilling(host, pick.host.clone());
        vec![Action::Prefill(self.run, pick)]
    }

    fn ready(&mut self, run: u32, tokens: u64, cached: u64, cx: &mut Context<'_>) -> Vec<Action> {
        let (decode, prefill) = match &self.stage {
            Stage::Prefilling(d, p) if run == self.run => (d.clone(), p.clone()),
            _ => return Vec::new(),
        };
        cx.fleet
            .prefilled(&prefill, &self.work.blocks, self.expected, cached);
        self.prefilled = tokens.saturating_sub(cached);
        self.stage = Stage::Importing(decode.clone(), prefill);
        vec![Action::Start(self.round, decode, self.emitted)]
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
                let mut actions = self.note_crash(prefill, count, cx);
                actions.extend(self.again(cx));
                return actions;
            }
            Fault::Stalled | Fault::Lost | Fault::Expired => self.failed += 1,
            Fault::Draining => {}
        }
        cx.fleet.blame(&prefill, cx.now);
        let mut actions = vec![Action::DropPrefill(run)];
        // Where all have failed lately, trying them in turn helps nobody.
        let elsewhere = cx.fleet.has_well_prefill(&self.work.upstream, cx.now);
        if elsewhere && (fault == Fault::Draining || cx.budget.retry(Cause::Prefill, cx.now)) {
            actions.extend(self.prefill(decode, cx));
            return actions;
        }
        self.stage = Stage::Holding(decode);
        actions.push(Action::Wake(RETRY_WAIT));
        actions
    }

    fn imported(&mut self, round: u32, took: time::Duration, cx: &mut Context<'_>) -> Vec<Action> {
        let (decode, prefill) = match &self.stage {
            Stage::Importing(d, p) if round == self.round => (d.clone(), p.clone()),
            _ => return Vec::new(),
        };
        cx.fleet
            .transferred(&prefill, &decode, self.work.tokens, took);
        self.stage = Stage::Streaming(decode);
        vec![Action::DropPrefill(self.run)]
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
        if offset < self.emitted {
            return Vec::new();
        }
        if offset > self.emitted {
            return self.again_for(Cause::Stream, cx);
        }
        self.emitted += 1;
        vec![Action::Emit(text)]
    }

    fn end(
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
        if tokens != self.emitted {
            return self.again_for(Cause::Stream, cx);
        }
        cx.quarantine.clear(self.work.digest);
        self.release_suspect(cx);
        self.stage = Stage::Over;
        vec![Action::Drop(round, decode), Action::Finish(finish, tokens)]
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
        self.blame(&host, fault, cx);
        let cause = match &self.stage {
            Stage::Waiting(_) => return self.lose_bid(host, fault, cx),
            Stage::Holding(d) | Stage::Prefilling(d, _) if *d == host => Cause::Prefill,
            Stage::Importing(d, _) if *d == host => Cause::Transfer,
            Stage::Streaming(d) if *d == host => Cause::Stream,
            _ => return Vec::new(),
        };
        match fault {
            Fault::Invalid => self.fail(Failure::TooLarge, cx),
            Fault::Crashed(count) => {
                let mut actions = self.note_crash(host, count, cx);
                actions.extend(self.again_for(cause, cx));
                actions
            }
            Fault::Draining | Fault::Stalled | Fault::Lost | Fault::Expired => {
                self.again_for(cause, cx)
            }
        }
    }

    /// Blames the source of a transfer that failed, and else the agent itself.
    fn blame(&self, host: &Name, fault: Fault, cx: &mut Context<'_>) {
        match (&self.stage, fault) {
            (_, Fault::Draining) => {}
            (Stage::Importing(_, prefill), Fault::Stalled | Fault::Expired) => {
                cx.fleet.blame(prefill, cx.now);
            }
            _ => cx.fleet.blame(host, cx.now),
        }
    }

    fn note_crash(&mut self, host: Name, count: u64, cx: &mut Context<'_>) -> Vec<Action> {
        let id = CrashId { host, count };
        let digest = self.work.digest;
        match cx.quarantine.note(digest, id.clone(), cx.now) {
            true => vec![Action::Report(digest, id)],
            false => Vec::new(),
        }
    }

    fn lose_bid(&mut self, host: Name, fault: Fault, cx: &mut Context<'_>) -> Vec<Action> {
        let Stage::Waiting(bids) = &mut self.stage else {
            return Vec::new();
        };
        bids.retain(|b| *b != host);
        if fault == Fault::Invalid && bids.is_empty() {
            return self.fail(Failure::TooLarge, cx);
        }
        match bids.is_empty() {
            true => vec![Action::Wake(RETRY_WAIT)],
            false => Vec::new(),
        }
    }

    /// Gives up the seat and bids anew as the budget allows.
    fn again_for(&mut self, cause: Cause, cx: &mut Context<'_>) -> Vec<Action> {
        let spent = matches!(self.stage, Stage::Importing(..));
        if spent || matches!(self.stage, Stage::Streaming(_)) {
            self.wasted += self.prefilled;
        }
        if cx.budget.retry(cause, cx.now) {
            return self.again(cx);
        }
        let mut actions = self.drop_all();
        self.release_suspect(cx);
        self.stage = Stage::Waiting(Vec::new());
        actions.push(Action::Wake(RETRY_WAIT));
        actions
    }

    fn again(&mut self, cx: &mut Context<'_>) -> Vec<Action> {
        let mut actions = self.drop_all();
        self.release_suspect(cx);
        actions.extend(self.bid(cx));
        actions
    }

    fn wake(&mut self, cx: &mut Context<'_>) -> Vec<Action> {
        match self.stage.clone() {
            Stage::Waiting(bids) if bids.is_empty() => self.bid(cx),
            Stage::Waiting(bids) => self.look(bids, cx),
            Stage::Holding(host) => {
                if cx.budget.retry(Cause::Prefill, cx.now) {
                    return self.prefill(host, cx);
                }
                vec![Action::Wake(RETRY_WAIT)]
            }
            Stage::Prefilling(..) | Stage::Importing(..) | Stage::Streaming(_) | Stage::Over => {
                Vec::new()
            }
        }
    }

    /// Adds a bid where a seat has come free since the first were made. A
    /// suspect moves there, since it bids at one host at a time.
    fn look(&mut self, mut bids: Vec<Name>, cx: &mut Context<'_>) -> Vec<Action> {
        let mut actions = vec![Action::Wake(LOOK_WAIT)];
        let suspect = cx.quarantine.suspects(self.work.digest);
        let free = cx
            .fleet
            .choose_free(&self.work.upstream, self.work.pieces, suspect, &bids);
        let Some(host) = free else {
            return actions;
        };
        if suspect {
            actions.extend(self.drop_all());
            bids.clear();
        }
        actions.push(Action::Bid(self.round, host.clone()));
        bids.push(host);
        self.stage = Stage::Waiting(bids);
        actions
    }

    fn fail(&mut self, failure: Failure, cx: &mut Context<'_>) -> Vec<Action> {
        if matches!(self.stage, Stage::Importing(..)) {
            self.wasted += self.prefilled;
        }
        let mut actions = self.drop_all();
        self.release_suspect(cx);
        self.stage = Stage::Over;
        actions.push(Action::Fail(failure));
        actions
    }

    fn drop_all(&mut self) -> Vec<Action> {
        let round = self.round;
        match &self.stage {
            Stage::Waiting(bids) => bids
                .iter()
                .map(|b| Action::Drop(round, b.clone()))
                .collect(),
            Stage::Holding(host) | Stage::Streaming(host) => {
                vec![Action::Drop(round, host.clone())]
            }
            Stage::Prefilling(host, _) | Stage::Importing(host, _) => vec![
                Action::DropPrefill(self.run),
                Action::Drop(round, host.clone()),
            ],
            Stage::Over => Vec::new(),
        }
    }

    fn release_suspect(&mut self, cx: &mut Context<'_>) {
        if let Some(host) = self.suspect.take() {
            cx.fleet.suspect(&host, false);
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
fn late(event: Event) -> Vec<Action> {
    match event {
        Event::Granted(round, host) => vec![Action::Drop(round, host)],
        _ => Vec::new(),
    }
}
