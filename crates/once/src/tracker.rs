//! The claims of one agent as a state machine; see docs/DESIGN.md, "At most once".

use crate::event::Action;
use crate::event::Call;
use crate::event::CallId;
use crate::event::CallOutcome;
use crate::event::Event;
use crate::event::ReadResult;
use crate::event::WriteResult;
use crate::record::Answer;
use crate::record::Claim;
use crate::record::ClaimState;
use crate::record::KeyHash;
use crate::shard::Shard;
use crate::shard_state::Page;
use crate::shard_state::Stage;
use std::collections;
use std::time;

/// The claims of one agent, as far as it is home to their shards.
#[derive(Debug)]
pub struct ClaimTracker {
    me: String,
    shards: collections::BTreeMap<Shard, Page>,
    calls: collections::BTreeMap<CallId, Entry>,
    writes: u64,
}

#[derive(Debug)]
struct Entry {
    call: Call,
    state: CallState,
    /// Why it has not run.
    reason: String,
    /// Errands to the store that its shard had begun when the call came: what
    /// they bring may be older than the call.
    since: u64,
    /// Whether a later errand has brought news.
    fresh: bool,
    /// Whether such news had the key free.
    free: bool,
    /// Resends that came while the call was under way.
    others: Vec<CallId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    Arrived,
    Claiming,
    Running,
    /// It has surely not run; that is being written, so that it can be claimed
    /// again anywhere.
    Voiding,
    /// A resend that waits for the first one's answer.
    Joined,
}

/// One step while it lasts: its time, and what it has decided so far.
struct Turn {
    now: time::Instant,
    /// Since the Unix epoch.
    wall: time::Duration,
    actions: Vec<Action>,
}

impl ClaimTracker {
    /// Begins empty. `me` must differ with each start of the process.
    pub fn new(me: String) -> Self {
        Self {
            me,
            shards: collections::BTreeMap::new(),
            calls: collections::BTreeMap::new(),
            writes: 0,
        }
    }

    /// Moves on by one event. `wall` is the time since the Unix epoch.
    pub fn step(&mut self, event: Event, now: time::Instant, wall: time::Duration) -> Vec<Action> {
        let turn = &mut Turn {
            now,
            wall,
            actions: Vec::new(),
        };
        match event {
            Event::CallReceived(call) => self.arrive(call, turn),
            Event::ShardRead(shard, read) => self.read(shard, read, turn),
            Event::ShardWritten(shard, write) => self.written(shard, write, turn),
            Event::CallRan(id, answer) => self.ran(id, answer, turn),
            Event::CallNotRun(id, reason) => self.not_run(id, &reason, turn),
            Event::OutcomeUnknown(id, reason) => {
                self.finish(id, CallOutcome::Unknown(reason), turn)
            }
            Event::Timer => self.give_up(turn),
        }
        self.proceed(turn);
        std::mem::take(&mut turn.actions)
    }

    /// Tells whether no call is under way and nothing waits to be written.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.shards.values().all(|p| p.pending.is_empty())
    }

    /// Calls that are under way.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    fn arrive(&mut self, call: Call, turn: &mut Turn) {
        let (id, shard) = (call.id, call.shard);
        let entry = Entry {
            call,
            state: CallState::Arrived,
            reason: String::new(),
            since: 0,
            fresh: false,
            free: false,
            others: Vec::new(),
        };
        let page = self.shards.entry(shard).or_default();
        page.arrivals.push(id);
        let since = page.errands;
        self.calls.insert(id, Entry { since, ..entry });
        if !matches!(page.stage, Stage::Blank | Stage::Reading) {
            self.admit(shard, turn);
        }
    }

    /// Decides on the calls that waited for a reading.
    fn admit(&mut self, shard: Shard, turn: &mut Turn) {
        let Some(page) = self.shards.get_mut(&shard) else {
            return;
        };
        for id in std::mem::take(&mut page.arrivals) {
            self.decide(id, turn);
        }
    }

    fn decide(&mut self, id: CallId, turn: &mut Turn) {
        let Some(entry) = self.calls.get(&id) else {
            return;
        };
        let call = entry.call.clone();
        let Some(page) = self.shards.get_mut(&call.shard) else {
            return;
        };
        let known = page.pending.get(&call.key);
        let known = known.or_else(|| page.record.claims.get(&call.key)).cloned();
        match known {
            Some(claim) if claim.state != ClaimState::Void && claim.content != call.content => {
                self.finish(id, CallOutcome::Mismatch, turn);
            }
            Some(Claim {
                state: ClaimState::Done(answer),
                ..
            }) => self.finish(id, CallOutcome::Answered(answer, true), turn),
            Some(Claim {
                state: ClaimState::Ran,
                ..
            }) => {
                let text = "the call has run, but its answer was not kept";
                self.finish(id, CallOutcome::Unknown(text.into()), turn);
            }
            Some(Claim {
                state: ClaimState::Claimed,
                ..
            }) => self.join(id, &call, turn),
            Some(Claim {
                state: ClaimState::Void,
                ..
            })
            | None => self.claim(id, call, turn),
        }
    }

    /// Lets a resend wait for the first one, if that is under way here. Of
    /// another home's claim, what became of it is read first.
    fn join(&mut self, id: CallId, call: &Call, turn: &mut Turn) {
        let first = self.calls.iter_mut().find(|(other, entry)| {
            **other != id
                && entry.call.key == call.key
                && matches!(entry.state, CallState::Claiming | CallState::Running)
        });
        if let Some((_, first)) = first {
            first.others.push(id);
            if let Some(entry) = self.calls.get_mut(&id) {
                entry.state = CallState::Joined;
            }
            return;
        }
        if self.check(id, call.shard, turn) {
            return;
        }
        let text = "the call was claimed before and its outcome was not recorded";
        self.finish(id, CallOutcome::Unknown(text.into()), turn);
    }

    /// Has a call wait for a fresh reading; gives false where it had one.
    fn check(&mut self, id: CallId, shard: Shard, turn: &mut Turn) -> bool {
        let (Some(entry), Some(page)) = (self.calls.get_mut(&id), self.shards.get_mut(&shard))
        else {
            return false;
        };
        if entry.fresh {
            return false;
        }
        entry.state = CallState::Arrived;
        page.arrivals.push(id);
        // One errand at a time: what is under way ends first.
        if matches!(page.stage, Stage::Ready | Stage::Gathering(_)) {
            page.read(shard, &mut turn.actions);
        }
        true
    }

    fn claim(&mut self, id: CallId, call: Call, turn: &mut Turn) {
        self.reply_void(&call.key, turn);
        let claim = Claim {
            content: call.content,
            by: format!("{}/{}", self.me, id.0),
            at: turn.wall.as_secs(),
            state: ClaimState::Claimed,
        };
        if let Some(entry) = self.calls.get_mut(&id) {
            entry.state = CallState::Claiming;
        }
        if let Some(page) = self.shards.get_mut(&call.shard) {
            page.pending.insert(call.key, claim);
            page.gather(turn.now);
        }
    }

    fn read(&mut self, shard: Shard, read: ReadResult, turn: &mut Turn) {
        let Some(page) = self.shards.get_mut(&shard) else {
            return;
        };
        match read {
            ReadResult::Failed => page.rest(turn.now),
            ReadResult::Found(revision, record) => {
                page.take(revision, record);
                self.settle(shard, turn);
                self.admit(shard, turn);
            }
        }
    }

    fn written(&mut self, shard: Shard, write: WriteResult, turn: &mut Turn) {
        let Some(page) = self.shards.get_mut(&shard) else {
            return;
        };
        match write {
            WriteResult::Written(revision) => {
                let flying = std::mem::take(&mut page.flying);
                let mut record = page.record.clone();
                record.claims.extend(flying);
                page.take(revision, record);
                self.settle(shard, turn);
                self.admit(shard, turn);
            }
            WriteResult::Conflict(revision, record) => {
                page.flying.clear();
                page.take(revision, record);
                self.settle(shard, turn);
                self.admit(shard, turn);
            }
            WriteResult::NoEffect => {
                page.flying.clear();
                page.rest(turn.now);
            }
            // Only a reading tells whose write stands.
            WriteResult::Unknown => {
                page.flying.clear();
                page.read(shard, &mut turn.actions);
            }
        }
    }

    /// Compares what stands in the store with what was to be written.
    fn settle(&mut self, shard: Shard, turn: &mut Turn) {
        let Some(page) = self.shards.get_mut(&shard) else {
            return;
        };
        page.void_given_up(turn.wall);
        let newer = |e: &&mut Entry| e.call.shard == shard && page.errands > e.since;
        for entry in self.calls.values_mut().filter(newer) {
            let claim = page.record.claims.get(&entry.call.key);
            entry.fresh = true;
            entry.free |= claim.is_none_or(|c| c.state == ClaimState::Void);
        }
        let mut runs = Vec::new();
        let mut voided = Vec::new();
        let mut again = Vec::new();
        let pending = std::mem::take(&mut page.pending);
        for (key, wanted) in pending {
            let stands = page.record.claims.get(&key);
            let same = stands.is_some_and(|s| s.by == wanted.by && s.state == wanted.state);
            let ours = stands.is_some_and(|s| s.by == wanted.by);
            let free = stands.is_none_or(|s| s.state == ClaimState::Void);
            if same {
                match wanted.state {
                    ClaimState::Claimed => runs.push(key),
                    ClaimState::Void => voided.push(key),
                    ClaimState::Done(_) | ClaimState::Ran => {}
                }
            } else if free || ours {
                page.pending.insert(key, wanted);
            } else {
                // Another home claimed the key first.
                again.push(key);
            }
        }
        if !page.pending.is_empty() {
            page.gather(turn.now);
        }
        for key in runs {
            self.run(&key, turn);
        }
        for key in voided {
            self.reply_void(&key, turn);
        }
        for key in again {
            self.reply_void(&key, turn);
            for id in self.claiming(&key) {
                self.decide(id, turn);
            }
        }
    }

    fn claiming(&self, key: &KeyHash) -> Vec<CallId> {
        self.calls
            .iter()
            .filter(|(_, e)| e.call.key == *key && e.state == CallState::Claiming)
            .map(|(id, _)| *id)
            .collect()
    }

    fn run(&mut self, key: &KeyHash, turn: &mut Turn) {
        for id in self.claiming(key) {
            let Some(entry) = self.calls.get_mut(&id) else {
                continue;
            };
            entry.state = CallState::Running;
            turn.actions.push(Action::RunCall(id));
            // Whoever claims a key has found it free, for its resends as well.
            for other in entry.others.clone() {
                if let Some(other) = self.calls.get_mut(&other) {
                    other.free = true;
                }
            }
        }
    }

    fn ran(&mut self, id: CallId, answer: Answer, turn: &mut Turn) {
        self.note(id, ClaimState::of_answer(answer.clone()), turn);
        self.finish(id, CallOutcome::Answered(answer, false), turn);
    }

    fn not_run(&mut self, id: CallId, reason: &str, turn: &mut Turn) {
        self.note(id, ClaimState::Void, turn);
        let Some(entry) = self.calls.get_mut(&id) else {
            return;
        };
        entry.state = CallState::Voiding;
        entry.reason = reason.to_owned();
        let by = format!("{}/{}", self.me, id.0);
        if let Some(page) = self.shards.get_mut(&entry.call.shard) {
            page.void.insert(by);
        }
    }

    /// Answers the calls of a key whose void claim is written or overtaken.
    fn reply_void(&mut self, key: &KeyHash, turn: &mut Turn) {
        let voided: Vec<(CallId, String)> = self
            .calls
            .iter()
            .filter(|(_, e)| e.call.key == *key && e.state == CallState::Voiding)
            .map(|(id, e)| (*id, e.reason.clone()))
            .collect();
        for (id, reason) in voided {
            self.finish(id, CallOutcome::NotRun(reason), turn);
        }
    }

    /// Notes what became of a running call, to be written in its turn.
    fn note(&mut self, id: CallId, state: ClaimState, turn: &mut Turn) {
        let Some(entry) = self.calls.get(&id) else {
            return;
        };
        let claim = Claim {
            content: entry.call.content.clone(),
            by: format!("{}/{}", self.me, id.0),
            at: turn.wall.as_secs(),
            state,
        };
        let key = entry.call.key.clone();
        if let Some(page) = self.shards.get_mut(&entry.call.shard) {
            page.pending.insert(key, claim);
            page.gather(turn.now);
        }
    }

    fn finish(&mut self, id: CallId, verdict: CallOutcome, turn: &mut Turn) {
        let Some(entry) = self.calls.remove(&id) else {
            return;
        };
        let repeated = match &verdict {
            CallOutcome::Answered(answer, _) => CallOutcome::Answered(answer.clone(), true),
            other => other.clone(),
        };
        turn.actions.push(Action::SendReply(id, verdict));
        for other in entry.others {
            let free = self.calls.get(&other).is_some_and(|o| o.free);
            let verdict = match &repeated {
                CallOutcome::NotRun(reason) if !free => CallOutcome::AttemptNotRun(reason.clone()),
                verdict => verdict.clone(),
            };
            self.finish(other, verdict, turn);
        }
    }

    /// Refuses calls whose callers' time is up and that have not run.
    fn give_up(&mut self, turn: &mut Turn) {
        let late: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, e)| e.call.deadline <= turn.now)
            .filter(|(_, e)| matches!(e.state, CallState::Arrived | CallState::Claiming))
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            let text = String::from("the claim could not be made durable in time");
            let verdict = match self.calls.get(&id).is_some_and(|e| e.free) {
                true => CallOutcome::NotRun(text),
                false => CallOutcome::AttemptNotRun(text),
            };
            self.abandon(id);
            self.finish(id, verdict, turn);
        }
        let unwritten: Vec<(CallId, String)> = self
            .calls
            .iter()
            .filter(|(_, e)| e.call.deadline <= turn.now && e.state == CallState::Voiding)
            .map(|(id, e)| (*id, e.reason.clone()))
            .collect();
        for (id, reason) in unwritten {
            self.finish(id, CallOutcome::NotRun(reason), turn);
        }
    }

    /// Takes back a claim that may be on its way to the store.
    fn abandon(&mut self, id: CallId) {
        let Some(entry) = self.calls.get(&id) else {
            return;
        };
        let Some(page) = self.shards.get_mut(&entry.call.shard) else {
            return;
        };
        let by = format!("{}/{}", self.me, id.0);
        page.arrivals.retain(|a| *a != id);
        page.pending.retain(|_, c| c.by != by);
        page.void.insert(by);
    }

    /// Starts the readings and writes that are due.
    fn proceed(&mut self, turn: &mut Turn) {
        let me = self.me.clone();
        for (shard, page) in &mut self.shards {
            match page.stage {
                Stage::Blank if !page.arrivals.is_empty() => {
                    page.read(*shard, &mut turn.actions);
                }
                // After a failure what stands is read again before a write.
                Stage::Resting(until) if until <= turn.now => {
                    page.read(*shard, &mut turn.actions);
                }
                Stage::Gathering(until) if until <= turn.now => {
                    self.writes += 1;
                    let writer = format!("{me}#{}", self.writes);
                    match page.write(writer, turn.wall) {
                        Some(bytes) => {
                            turn.actions
                                .push(Action::WriteShard(*shard, page.revision, bytes))
                        }
                        None => page.rest(turn.now),
                    }
                }
                Stage::Blank
                | Stage::Reading
                | Stage::Ready
                | Stage::Gathering(_)
                | Stage::Writing
                | Stage::Resting(_) => {}
            }
        }
    }
}
