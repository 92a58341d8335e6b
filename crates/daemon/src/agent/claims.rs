//! Runs the state machine of claimed calls ([`ClaimTracker`]) on a thread, and its
//! calls of the store on others.

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

/// Number of threads that call the store. A shard has one call at a time, so more
/// shards than this wait for each other.
const STORE_THREADS: usize = 4;
/// Time between timer events while calls are in progress.
const TIMER_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// Time between timer events while no call is in progress and no write is pending;
/// they have no effect then.
const IDLE_TIMER_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Maximum rate of this agent's store calls for claims, after the burst.
const STORE_CALLS_PER_SECOND: f64 = 60.0;
/// Store calls for claims that may be made at once.
const STORE_CALL_BURST: f64 = 60.0;

/// Makes the call to the service, once; it must report the outcome.
pub(crate) type CallFn = Box<dyn FnOnce(CallReporter) + Send>;

/// Reports the outcome of a running call.
pub(crate) struct CallReporter {
    id: CallId,
    inbox: channel::Sender<Message>,
}

impl CallReporter {
    /// Reports that the call has run and got this answer.
    pub(crate) fn report_answer(self, answer: Answer) {
        let _ = self
            .inbox
            .send(Message::Event(Event::CallRan(self.id, answer)));
    }

    /// Reports that the call has certainly not run.
    pub(crate) fn report_not_run(self, reason: String) {
        let _ = self
            .inbox
            .send(Message::Event(Event::CallNotRun(self.id, reason)));
    }

    /// Reports that the call may have run.
    pub(crate) fn report_unknown(self, reason: String) {
        let _ = self
            .inbox
            .send(Message::Event(Event::OutcomeUnknown(self.id, reason)));
    }
}

/// A call to be claimed and then run.
pub(crate) struct Submission {
    /// Shard to which the key belongs.
    pub shard: Shard,
    /// Hash of the organisation and its idempotency key.
    pub key: once::HexHash,
    /// Hash of the call's content, by which a reused key is detected.
    pub content: once::HexHash,
    /// Time until which the call may wait for its claim.
    pub deadline: time::Instant,
    /// Makes the call once it is claimed.
    pub call: CallFn,
}

/// A message to the thread that runs the claim tracker.
enum Message {
    Submit(CallId, Submission, oneshot::Sender<CallOutcome>),
    Event(Event),
}

/// A request to the store.
enum StoreRequest {
    Read(Shard),
    Write(Shard, u64, Vec<u8>),
}

/// Handle to the thread that runs the claim tracker.
pub(crate) struct Claims {
    inbox: channel::Sender<Message>,
    next_id: atomic::AtomicU64,
    idle: sync::Arc<atomic::AtomicBool>,
}

impl Claims {
    /// Starts the threads. `host` becomes a part of the id that marks this process's
    /// claims in the store.
    pub(crate) fn start(host: &str, store: net::SocketAddr) -> io::Result<Self> {
        let (inbox, messages) = channel::unbounded();
        let (store_requests, queue) = channel::unbounded();
        let rate_limiter = store::RateLimiter::new(STORE_CALLS_PER_SECOND, STORE_CALL_BURST);
        let client = store::Client::with_rate_limiter(store, rate_limiter);
        for _ in 0..STORE_THREADS {
            let (client, queue, inbox) = (client.clone(), queue.clone(), inbox.clone());
            thread::Builder::new()
                .name("claims-store".into())
                .spawn(move || run_store_requests(&client, &queue, &inbox))?;
        }
        let idle = sync::Arc::new(atomic::AtomicBool::new(true));
        let claim_thread = ClaimThread {
            tracker: ClaimTracker::new(format!("{host}-{:016x}", rand::random::<u64>())),
            inbox: inbox.clone(),
            messages,
            store_requests,
            pending_calls: collections::BTreeMap::new(),
            idle: idle.clone(),
        };
        thread::Builder::new()
            .name("claims".into())
            .spawn(move || claim_thread.run())?;
        Ok(Self {
            inbox,
            next_id: atomic::AtomicU64::new(1),
            idle,
        })
    }

    /// Claims a call, runs it unless it has run before, and returns the outcome.
    pub(crate) async fn submit(&self, submission: Submission) -> CallOutcome {
        let id = CallId(self.next_id.fetch_add(1, atomic::Ordering::Relaxed));
        let (reply, outcome) = oneshot::channel();
        // Never fails: the thread runs as long as the process.
        let _ = self.inbox.send(Message::Submit(id, submission, reply));
        outcome
            .await
            .unwrap_or_else(|_| CallOutcome::Unknown("the agent broke off".into()))
    }

    /// Returns whether all outcomes are in the store.
    pub(crate) fn is_idle(&self) -> bool {
        self.idle.load(atomic::Ordering::SeqCst)
    }
}

/// State of the thread that runs the claim tracker.
struct ClaimThread {
    tracker: ClaimTracker,
    inbox: channel::Sender<Message>,
    messages: channel::Receiver<Message>,
    store_requests: channel::Sender<StoreRequest>,
    pending_calls: collections::BTreeMap<CallId, PendingCall>,
    idle: sync::Arc<atomic::AtomicBool>,
}

/// A submitted call that has not been answered.
struct PendingCall {
    /// Taken when the call is run.
    call: Option<CallFn>,
    reply: oneshot::Sender<CallOutcome>,
}

impl ClaimThread {
    /// Handles messages and timer events without end.
    fn run(mut self) {
        loop {
            let interval = match self.tracker.is_idle() {
                true => IDLE_TIMER_INTERVAL,
                false => TIMER_INTERVAL,
            };
            let event = match self.messages.recv_timeout(interval) {
                Ok(Message::Submit(id, submission, reply)) => self.accept(id, submission, reply),
                Ok(Message::Event(event)) => event,
                Err(channel::RecvTimeoutError::Timeout) => Event::Timer,
                Err(channel::RecvTimeoutError::Disconnected) => return,
            };
            let since_unix_epoch = time::SystemTime::now()
                .duration_since(time::UNIX_EPOCH)
                .unwrap_or_default();
            let actions = self
                .tracker
                .step(event, time::Instant::now(), since_unix_epoch);
            for action in actions {
                self.perform(action);
            }
            self.idle
                .store(self.tracker.is_idle(), atomic::Ordering::SeqCst);
        }
    }

    /// Registers a submitted call and returns the event for the tracker.
    fn accept(
        &mut self,
        id: CallId,
        submission: Submission,
        reply: oneshot::Sender<CallOutcome>,
    ) -> Event {
        let pending = PendingCall {
            call: Some(submission.call),
            reply,
        };
        self.pending_calls.insert(id, pending);
        Event::CallReceived(Call {
            id,
            shard: submission.shard,
            key: submission.key,
            content: submission.content,
            deadline: submission.deadline,
        })
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::ReadShard(shard) => {
                let _ = self.store_requests.send(StoreRequest::Read(shard));
            }
            Action::WriteShard(shard, revision, bytes) => {
                let _ = self
                    .store_requests
                    .send(StoreRequest::Write(shard, revision, bytes));
            }
            Action::RunCall(id) => self.run_call(id),
            Action::SendReply(id, outcome) => {
                if let Some(pending) = self.pending_calls.remove(&id) {
                    // If the entry has disconnected, the outcome remains in the store
                    // for a resent call.
                    let _ = pending.reply.send(outcome);
                }
            }
        }
    }

    /// Runs a call on its own thread.
    fn run_call(&mut self, id: CallId) {
        let call = self.pending_calls.get_mut(&id).and_then(|p| p.call.take());
        let Some(call) = call else { return };
        let reporter = CallReporter {
            id,
            inbox: self.inbox.clone(),
        };
        let spawned = thread::Builder::new()
            .name("call".into())
            .spawn(move || call(reporter));
        if let Err(error) = spawned {
            let event = Event::CallNotRun(id, error.to_string());
            let _ = self.inbox.send(Message::Event(event));
        }
    }
}

fn run_store_requests(
    client: &store::Client,
    queue: &channel::Receiver<StoreRequest>,
    inbox: &channel::Sender<Message>,
) {
    while let Ok(request) = queue.recv() {
        let event = match request {
            StoreRequest::Read(shard) => Event::ShardRead(shard, read_shard(client, shard)),
            StoreRequest::Write(shard, revision, bytes) => {
                Event::ShardWritten(shard, write_shard(client, shard, revision, &bytes))
            }
        };
        if inbox.send(Message::Event(event)).is_err() {
            return;
        }
    }
}

fn read_shard(client: &store::Client, shard: Shard) -> ReadResult {
    match client.get(&shard.store_key(store::ONCE_PREFIX)) {
        Ok(found) => parse_record(found).map_or(ReadResult::Failed, |(revision, record)| {
            ReadResult::Found(revision, record)
        }),
        Err(_) => ReadResult::Failed,
    }
}

fn write_shard(client: &store::Client, shard: Shard, revision: u64, bytes: &[u8]) -> WriteResult {
    match client.compare_and_swap(&shard.store_key(store::ONCE_PREFIX), revision, bytes) {
        Ok(store::SwapResult::Written(revision)) => WriteResult::Written(revision),
        Ok(store::SwapResult::Conflict(found)) => parse_record(found)
            .map_or(WriteResult::NoEffect, |(revision, record)| {
                WriteResult::Conflict(revision, record)
            }),
        Err(StoreError::Unreachable(_) | StoreError::RateLimited) => WriteResult::NoEffect,
        Err(StoreError::ResponseLost(_) | StoreError::Refused(_)) => WriteResult::Unknown,
    }
}

/// Parses a stored record; a missing one is empty. A record that cannot be decoded
/// gives `None`: if it counted as empty, calls could run twice.
fn parse_record(found: Option<store::VersionedValue>) -> Option<(u64, ShardRecord)> {
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
