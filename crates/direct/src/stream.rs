//! Serves streams: assigns a seat, has the prompt processed, and then starts the
//! stream at the seat's engine.

use crate::admit::Job;
use crate::body::Body;
use crate::engine_pool::EnginePool;
use crate::entry::Entry;
use crate::exchange::Exchange;
use crate::guards::KvCacheGuard;
use crate::meters;
use crate::plain_service;
use crate::retries::SpareRetry;
use crate::seat::Seat;
use crate::telemetry;
use crate::trials::TrialGuard;
use crate::unstarted;
use callers::HeldBytes;
use http::StatusCode;
use seam::Upstreams;
use std::cell;
use std::rc;
use std::time;
use world::Name;

/// Maximum number of failed attempts for one request, without those at engines
/// that were full, or gave notice before they were sent the request.
pub(crate) const MAX_ATTEMPTS: u32 = 6;

/// A stream that an engine has started.
pub(crate) struct StartedStream<S> {
    pub(crate) response: seam::Response<S>,
    pub(crate) engine: Name,
    pub(crate) seat: Seat,
    /// Complete events that this engine has sent.
    pub(crate) event_count: u64,
    /// When the request was sent to the engine.
    pub(crate) sent_at: time::Instant,
    /// The first bytes of the body, if they have been read before the others.
    pub(crate) unread: Option<bytes::Bytes>,
}

/// Why no engine has started a stream.
pub(crate) enum StartError {
    /// The request was not executed; another attempt may succeed.
    NotExecuted(&'static str),
    /// The request may have been executed.
    Unknown(&'static str),
    /// The request waited too long or has no retry budget left.
    Abandoned,
    /// The request holds what crashes engines.
    Condemned,
    /// The process stops before the request could be answered.
    Stopping,
}

/// Serves a request whose response is a stream.
pub(crate) async fn serve<P: seam::Platform>(
    entry: rc::Rc<Entry<P>>,
    job: rc::Rc<Job>,
    exchange: rc::Rc<Exchange<P>>,
) -> hyper::Response<Body> {
    let Some(pool) = entry.pools.get(&job.service) else {
        let reply = job.reply(StatusCode::SERVICE_UNAVAILABLE, None, "no_service");
        return plain_service::refusal_response(&entry, &job, &reply);
    };
    entry.record_demand(&job.service, job.request.prompt_tokens(), job.arrived_at);
    let mut runner = StreamRunner::new(entry.clone(), pool, job.clone());
    let started = match runner.start(job.request.last_event).await {
        Ok(started) => started,
        Err(error) => {
            let now = time::Instant::now();
            let retry_at = runner.pool.decode_pool.borrow().retry_at(now);
            return match (error, retry_at) {
                (StartError::Abandoned | StartError::NotExecuted(_), Some(at)) => {
                    plain_service::refusal_response(&entry, &job, &job.paused_reply(at, now))
                }
                (error, _) => unstarted::failure_response(&entry, &job, &error, runner.first_asked),
            };
        }
    };
    if !started.response.status.is_success() {
        return unstarted::forward_failure(&entry, &job, &exchange, started).await;
    }
    let (sender, body) = Body::channel(None, &entry.memory);
    let mut response = hyper::Response::new(body);
    *response.status_mut() = started.response.status;
    *response.headers_mut() = started.response.headers.clone();
    tokio::task::spawn_local(async move {
        let _guard = exchange;
        runner.forward_events(started, sender).await;
    });
    response
}

/// Starts one stream at an engine, and starts or resumes it at another one where
/// that is safe.
pub(crate) struct StreamRunner<P: seam::Platform> {
    pub(crate) entry: rc::Rc<Entry<P>>,
    pub(crate) pool: rc::Rc<EnginePool>,
    pub(crate) job: rc::Rc<Job>,
    ticket: pool::Ticket,
    /// Attempts that have failed since the stream was last to be started or resumed, as
    /// [`MAX_ATTEMPTS`] counts them.
    pub(crate) failed_attempts: u32,
    pub(crate) arrivals: pool::Arrivals,
    /// Whether the silent engine of a stream that is being resumed may still go on.
    pub(crate) silent_kept: rc::Rc<cell::Cell<bool>>,
    /// Engines that were sent the request, or its prompt.
    pub(crate) sent_to: Vec<Name>,
    /// Engines at which the request may run.
    pub(crate) runs: pool::RunLimit,
    /// Whether an engine may have executed the request.
    pub(crate) may_have_run: bool,
    /// When the current attempt sent the request, as long as it has got no response.
    pub(crate) sent_at: rc::Rc<cell::Cell<Option<time::Instant>>>,
    /// When its caller asked first, if this request is a retry after a recent refusal.
    pub(crate) first_asked: Option<time::Instant>,
    /// Whether no stream of the service can be more urgent, where entries share one order.
    pub(crate) is_urgent: bool,
    /// Whether it has waited for an engine.
    has_queued: bool,
    /// The prompt's KV cache, until it is sent to a decode engine.
    pub(crate) cache: Option<KvCacheGuard<P>>,
    /// Keeps similar requests back while this one may crash its engine.
    pub(crate) trial: Option<TrialGuard<P>>,
    /// Bytes of the event that is incomplete.
    pub(crate) partial: rc::Rc<cell::RefCell<HeldBytes>>,
    /// Retry for the case that an engine refuses the stream after another was given up.
    pub(crate) spare: Option<SpareRetry<P>>,
}

impl<P: seam::Platform> StreamRunner<P> {
    fn new(entry: rc::Rc<Entry<P>>, pool: rc::Rc<EnginePool>, job: rc::Rc<Job>) -> Self {
        let ticket = entry.pools.next_ticket();
        let first_asked = entry
            .refusals
            .borrow_mut()
            .take_first(job.refusal_digest(), job.arrived_at);
        let is_urgent = pool.is_shared() && entry.is_most_urgent(&job.service, job.route.priority);
        Self {
            is_urgent,
            has_queued: false,
            runs: pool::RunLimit::new(job.route.max_attempts),
            partial: rc::Rc::new(cell::RefCell::new(entry.memory.hold())),
            entry,
            pool,
            job,
            ticket,
            failed_attempts: 0,
            arrivals: pool::Arrivals::default(),
            silent_kept: rc::Rc::default(),
            sent_to: Vec::new(),
            may_have_run: false,
            sent_at: rc::Rc::default(),
            first_asked,
            cache: None,
            trial: None,
            spare: None,
        }
    }

    /// Makes attempts until an engine has started the stream.
    pub(crate) async fn start(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<StartedStream<<P::Upstreams as Upstreams>::Body>, StartError> {
        loop {
            let (entry, job) = (self.entry.clone(), self.job.clone());
            let (sent_at, may_have_run) = (self.sent_at.clone(), self.may_have_run);
            let is_sent = || may_have_run || sent_at.get().is_some();
            let tried = tokio::select! {
                biased;
                () = entry.wait_until_refused(&job, is_sent) => Err(StartError::Stopping),
                tried = self.try_start(last_event) => tried,
                () = entry.wait_for_verdict(&job) => Err(StartError::Condemned),
            };
            let error = match tried {
                Ok(started) => return Ok(started),
                Err(error) => error,
            };
            self.trial = None;
            self.failed_attempts += 1;
            let reason = match error {
                StartError::Condemned if self.may_have_run || self.sent_at.get().is_some() => {
                    return Err(StartError::Unknown("quarantined"));
                }
                StartError::Stopping if self.may_have_run || self.sent_at.get().is_some() => {
                    return Err(StartError::Unknown("stopping"));
                }
                StartError::Condemned | StartError::Stopping => return Err(error),
                StartError::NotExecuted(reason) => reason,
                StartError::Unknown(reason) => {
                    self.may_have_run = true;
                    if !self.job.route.retry.is_repeatable() {
                        return Err(error);
                    }
                    reason
                }
                StartError::Abandoned if self.may_have_run => {
                    return Err(StartError::Unknown("lost"));
                }
                StartError::Abandoned => return Err(error),
            };
            self.job
                .log_line("stream_missed")
                .with("why", reason)
                .with("tries", self.failed_attempts)
                .info();
            if self.failed_attempts >= MAX_ATTEMPTS || self.job.time_left().is_zero() {
                return Err(match self.may_have_run {
                    true => StartError::Unknown(reason),
                    false => error,
                });
            }
        }
    }

    /// Waits for a seat, processes the prompt, and sends the request to the
    /// seat's engine.
    async fn try_start(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<StartedStream<<P::Upstreams as Upstreams>::Body>, StartError> {
        let job = self.job.clone();
        self.trial = self.enter_trial(last_event).await?;
        let (memory, need) = self.needed_memory(last_event, None);
        let queued = pool::QueuedStream {
            memory,
            due: self.asked_at() + job.route.latency_target,
            caller_deadline: self.caller_deadline(last_event),
            is_retry: self.first_asked.is_some() || last_event.is_some(),
            is_suspect: self.is_trial(),
            is_urgent: self.is_urgent,
            priority: match last_event.is_some() {
                true => 0,
                false => job.priority,
            },
            queued_at: time::Instant::now(),
        };
        let is_first = !std::mem::replace(&mut self.has_queued, true);
        if is_first && let Some(wait) = self.pool.check_wait(&queued, queued.queued_at) {
            job.log_line("refused_early")
                .with("priority", queued.priority)
                .with("wait_ms", telemetry::millis(wait))
                .info();
            return Err(StartError::Abandoned);
        }
        let (zone, queued_at) = (self.entry.settings.zone.clone(), queued.queued_at);
        let engines = self.remaining_engines().await;
        let seat = tokio::select! {
            biased;
            seat = self.pool.wait_for_seat(self.ticket, queued, engines, &zone) => seat,
            // A stream that may have begun can't be refused any more.
            () = self.pool.all_paused.notified(), if !self.may_have_run => None,
        };
        let waited = queued_at.elapsed().as_secs_f64();
        meters::meters().seat_wait.record(waited);
        let mut seat = seat.ok_or(StartError::Abandoned)?;
        let engine = seat.engine.clone();
        let target = self
            .entry
            .target(&engine)
            .ok_or(StartError::NotExecuted("gone"))?;
        let zone = self.pool.decode_pool.borrow().zone(&engine).cloned();
        let assignment = match self.has_cache() {
            true => None,
            false => self
                .pool
                .assign_prefill(job.request.prompt_tokens(), zone.as_deref()),
        };
        let expected = assignment
            .as_ref()
            .map_or(time::Duration::ZERO, |(_, t)| *t);
        let mut reservation = self.reserve(&target, need, expected).await?;
        self.check_accepting(&engine)?;
        if !self.has_cache() {
            self.cache = self.prefill_with_retry(assignment, zone.as_deref()).await?;
        }
        self.check_accepting(&engine)?;
        let mut cache = self.cache.take();
        if !self.take_needed_retry() {
            return Err(StartError::Abandoned);
        }
        self.arrivals.record_send();
        let options = seam::SendOptions {
            tenant: job.tenant.clone(),
            timeout: Some(job.time_left()),
            reservation: reservation.name(),
            kv_source: cache.as_ref().and_then(KvCacheGuard::source),
            last_event,
            priority: self.engine_priority(),
            is_repeat: self.record_sending(&target),
        };
        self.runs.record_send(&engine);
        let sent_at = time::Instant::now();
        self.sent_at.set(Some(sent_at));
        let result = self.send(&target, &options).await;
        self.sent_at.set(None);
        // A verdict may come while the crash of the engine is checked.
        self.may_have_run |= result.as_ref().is_err_and(|e| e.may_have_run);
        let now = time::Instant::now();
        let response = match result {
            Ok(response) => response,
            Err(error) => return Err(self.record_unsent(&target, error).await),
        };
        if response.not_executed {
            self.runs.record_unrun(&engine);
            self.pool
                .decode_pool
                .borrow_mut()
                .record_refusal(&engine, now);
            self.diagnose_refusal(&target, cache.as_ref().and_then(KvCacheGuard::source));
            return Err(StartError::NotExecuted("refused"));
        }
        reservation.disarm();
        seat.has_run = true;
        if let Some(order) = self.pool.shared_order.borrow_mut().as_mut() {
            order.record_start(queued.priority, now);
        }
        if let Some(cache) = &mut cache {
            cache.disarm();
        }
        if plain_service::implies_not_executed(response.status) {
            let tokens = job.request.prompt_tokens();
            meters::meters().wasted_tokens.add("decode_failed", tokens);
            return Err(StartError::Unknown("status_ambiguous"));
        }
        self.pool.decode_pool.borrow_mut().record_success(&engine);
        job.log_line("stream")
            .with("upstream", &engine)
            .with("status", response.status.as_u16())
            .with("tries", self.failed_attempts + 1)
            .with("prefilled", cache.is_some())
            .with("parts", job.request.part_list())
            .with("after", last_event.unwrap_or(0))
            .info();
        Ok(StartedStream {
            response,
            engine,
            seat,
            event_count: 0,
            sent_at,
            unread: None,
        })
    }

    /// Fails if an engine has begun to leave or wants no call, as it may say when it grants
    /// a seat, or while the prompt is processed. That does not count as a failed attempt,
    /// as the engine was not sent the request and is not picked again.
    fn check_accepting(&mut self, engine: &Name) -> Result<(), StartError> {
        if self.entry.is_accepting(engine) {
            return Ok(());
        }
        self.failed_attempts = self.failed_attempts.saturating_sub(1);
        Err(StartError::NotExecuted("draining"))
    }
}
