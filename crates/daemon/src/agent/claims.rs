//! The thread that keeps this agent's claims, and those that talk to the store
//! for it.

use crossbeam::channel;
use once::Action;
use once::Answer;
use once::Call;
use once::CallId;
use once::CallOutcome;
use once::ClaimTracker;
use once::Event;
use once::ReadResult;
use once::Shard;
use once::ShardRecord;
use once::WriteResult;
use std::collections;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;
use store::StoreError;
use tokio::sync::oneshot;

/// Each shard has one call to the store at a time.
const STORE_THREADS: usize = 4;
const TICK: time::Duration = time::Duration::from_millis(5);
/// With nothing under way, ticks only cost.
const IDLE_TICK: time::Duration = time::Duration::from_secs(1);
/// Calls of the store that one agent may make for its claims.
const CALLS_PER_SECOND: f64 = 60.0;
const CALLS_AT_ONCE: f64 = 60.0;

/// Runs the call itself, once; it must report how that ended.
pub(crate) type Work = Box<dyn FnOnce(Report) + Send>;

/// Where a running call reports its end.
pub(crate) struct Report {
    id: CallId,
    inbox: channel::Sender<Message>,
}

impl Report {
    /// The call ran and gave this answer.
    pub(crate) fn ran(self, answer: Answer) {
        let _ = self
            .inbox
            .send(Message::Event(Event::CallRan(self.id, answer)));
    }

    /// The service has surely not seen the call.
    pub(crate) fn not_run(self, reason: String) {
        let _ = self
            .inbox
            .send(Message::Event(Event::CallNotRun(self.id, reason)));
    }

    /// The call may have run.
    pub(crate) fn lost(self, reason: String) {
        let _ = self
            .inbox
            .send(Message::Event(Event::OutcomeUnknown(self.id, reason)));
    }
}

/// A call with a claim, as the agent's methods hand it in.
pub(crate) struct Submission {
    pub shard: Shard,
    pub key: once::KeyHash,
    pub content: once::KeyHash,
    pub until: time::Instant,
    pub work: Work,
}

enum Message {
    Submit(CallId, Submission, oneshot::Sender<CallOutcome>),
    Event(Event),
}

/// What is asked of the store.
enum Errand {
    Read(Shard),
    Write(Shard, u64, Vec<u8>),
}

/// The way to the thread that keeps the claims.
pub(crate) struct Claims {
    inbox: channel::Sender<Message>,
    next: atomic::AtomicU64,
    idle: sync::Arc<atomic::AtomicBool>,
}

impl Claims {
    /// Starts the threads.
    pub(crate) fn start(host: &str, store: net::SocketAddr) -> io::Result<Self> {
        let (inbox, messages) = channel::unbounded();
        let (errands, work) = channel::unbounded();
        let budget = store::RateLimiter::new(CALLS_PER_SECOND, CALLS_AT_ONCE);
        let client = store::Client::with_rate_limiter(store, budget);
        for _ in 0..STORE_THREADS {
            let (client, work, inbox) = (client.clone(), work.clone(), inbox.clone());
            thread::Builder::new()
                .name("claims-store".into())
                .spawn(move || run_errands(&client, &work, &inbox))?;
        }
        let idle = sync::Arc::new(atomic::AtomicBool::new(true));
        let keeper = Keeper {
            ledger: ClaimTracker::new(format!("{host}-{:016x}", rand::random::<u64>())),
            inbox: inbox.clone(),
            messages,
            errands,
            waiting: collections::BTreeMap::new(),
            idle: idle.clone(),
        };
        thread::Builder::new()
            .name("claims".into())
            .spawn(move || keeper.run())?;
        Ok(Self {
            inbox,
            next: atomic::AtomicU64::new(1),
            idle,
        })
    }

    /// Claims a call, runs it if it may run, and tells how it ended.
    pub(crate) async fn submit(&self, submission: Submission) -> CallOutcome {
        let id = CallId(self.next.fetch_add(1, atomic::Ordering::Relaxed));
        let (reply, verdict) = oneshot::channel();
        // The keeper lives as long as the process.
        let _ = self.inbox.send(Message::Submit(id, submission, reply));
        verdict
            .await
            .unwrap_or_else(|_| CallOutcome::Unknown("the agent broke off".into()))
    }

    /// Tells whether every outcome is in the store.
    pub(crate) fn is_idle(&self) -> bool {
        self.idle.load(atomic::Ordering::SeqCst)
    }
}

struct Keeper {
    ledger: ClaimTracker,
    inbox: channel::Sender<Message>,
    messages: channel::Receiver<Message>,
    errands: channel::Sender<Errand>,
    waiting: collections::BTreeMap<CallId, Waiting>,
    idle: sync::Arc<atomic::AtomicBool>,
}

struct Waiting {
    work: Option<Work>,
    reply: oneshot::Sender<CallOutcome>,
}

impl Keeper {
    fn run(mut self) {
        loop {
            let wait = match self.ledger.is_idle() {
                true => IDLE_TICK,
                false => TICK,
            };
            let event = match self.messages.recv_timeout(wait) {
                Ok(Message::Submit(id, submission, reply)) => self.take(id, submission, reply),
                Ok(Message::Event(event)) => event,
                Err(channel::RecvTimeoutError::Timeout) => Event::Timer,
                Err(channel::RecvTimeoutError::Disconnected) => return,
            };
            let wall = time::SystemTime::now()
                .duration_since(time::UNIX_EPOCH)
                .unwrap_or_default();
            let actions = self.ledger.step(event, time::Instant::now(), wall);
            for action in actions {
                self.act(action);
            }
            self.idle
                .store(self.ledger.is_idle(), atomic::Ordering::SeqCst);
        }
    }

    fn take(
        &mut self,
        id: CallId,
        submission: Submission,
        reply: oneshot::Sender<CallOutcome>,
    ) -> Event {
        let waiting = Waiting {
            work: Some(submission.work),
            reply,
        };
        self.waiting.insert(id, waiting);
        Event::CallReceived(Call {
            id,
            shard: submission.shard,
            key: submission.key,
            content: submission.content,
            deadline: submission.until,
        })
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::ReadShard(shard) => {
                let _ = self.errands.send(Errand::Read(shard));
            }
            Action::WriteShard(shard, revision, bytes) => {
                let _ = self.errands.send(Errand::Write(shard, revision, bytes));
            }
            Action::RunCall(id) => self.start(id),
            Action::SendReply(id, verdict) => {
                if let Some(waiting) = self.waiting.remove(&id) {
                    // The entry may have gone; the outcome is kept for a resend.
                    let _ = waiting.reply.send(verdict);
                }
            }
        }
    }

    fn start(&mut self, id: CallId) {
        let work = self.waiting.get_mut(&id).and_then(|w| w.work.take());
        let Some(work) = work else { return };
        let report = Report {
            id,
            inbox: self.inbox.clone(),
        };
        let refused = thread::Builder::new()
            .name("call".into())
            .spawn(move || work(report));
        if let Err(error) = refused {
            let event = Event::CallNotRun(id, error.to_string());
            let _ = self.inbox.send(Message::Event(event));
        }
    }
}

fn run_errands(
    client: &store::Client,
    work: &channel::Receiver<Errand>,
    inbox: &channel::Sender<Message>,
) {
    while let Ok(errand) = work.recv() {
        let event = match errand {
            Errand::Read(shard) => Event::ShardRead(shard, read(client, shard)),
            Errand::Write(shard, revision, bytes) => {
                Event::ShardWritten(shard, write(client, shard, revision, &bytes))
            }
        };
        if inbox.send(Message::Event(event)).is_err() {
            return;
        }
    }
}

fn read(client: &store::Client, shard: Shard) -> ReadResult {
    match client.get(&shard.store_key(store::ONCE_PREFIX)) {
        Ok(found) => parse(found).map_or(ReadResult::Failed, |(at, record)| {
            ReadResult::Found(at, record)
        }),
        Err(_) => ReadResult::Failed,
    }
}

fn write(client: &store::Client, shard: Shard, revision: u64, bytes: &[u8]) -> WriteResult {
    match client.compare_and_swap(&shard.store_key(store::ONCE_PREFIX), revision, bytes) {
        Ok(store::SwapResult::Written(at)) => WriteResult::Written(at),
        Ok(store::SwapResult::Conflict(found)) => parse(found)
            .map_or(WriteResult::NoEffect, |(at, record)| {
                WriteResult::Conflict(at, record)
            }),
        Err(StoreError::Unreachable(_) | StoreError::RateLimited) => WriteResult::NoEffect,
        Err(StoreError::ResponseLost(_) | StoreError::Refused(_)) => WriteResult::Unknown,
    }
}

/// Reads a record; a damaged one is never taken for an empty one.
fn parse(found: Option<store::VersionedValue>) -> Option<(u64, ShardRecord)> {
    let Some(found) = found else {
        return Some((0, ShardRecord::default()));
    };
    match serde_json::from_slice(&found.value) {
        Ok(record) => Some((found.revision, record)),
        Err(error) => {
            trace::LogLine::new("claims_unreadable")
                .with("error", error)
                .error();
            None
        }
    }
}
