//! Streams: a seat first, then the prompt, then the answer, event by event.

use crate::admit::Job;
use crate::body::Body;
use crate::entry::Entry;
use crate::guards::Cache;
use crate::guards::Hold;
use crate::guards::InHand;
use crate::measure;
use crate::plain;
use crate::prompt::PROMPT_FACTOR;
use crate::queue::Pool;
use crate::queue::Seat;
use http::StatusCode;
use seam::Upstreams;
use std::rc;
use std::time;
use world::Name;

/// Callers come back within this part of the time that they have left.
const RETURN_PART: u32 = 3;
/// Least time that must be left for a caller to come back.
const RETURN_LEAST: time::Duration = time::Duration::from_secs(6);
/// Callers leave a stream without an event for so many targets of the first one,
/// so many of its pauses, or so long, whichever is longest.
const PATIENCE: (u32, u32, time::Duration) = (4, 8, time::Duration::from_secs(2));
/// Time for a reservation's call.
const RESERVE_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// What a reservation lasts longer than its prompt is expected to take.
const HOLD_MARGIN: time::Duration = time::Duration::from_millis(400);
/// How long the first event may take after the engine has the prompt.
pub(crate) const FIRST_TIME: time::Duration = time::Duration::from_millis(2_500);
/// The part of an answer's memory that is counted from the start.
const ANSWER_PART: f64 = 0.3;
/// Tries of one request in all.
const TRIES_MOST: u32 = 6;

/// A stream that an engine has begun.
pub(crate) struct Begun<S> {
    pub(crate) answer: seam::Response<S>,
    pub(crate) engine: Name,
    pub(crate) seat: Seat,
}

/// Why no engine has begun a stream.
pub(crate) enum Miss {
    /// It has not run; another try may help.
    Unrun(&'static str),
    /// It may have run.
    Unknown(&'static str),
    /// It can't be served any more.
    Lost,
}

/// Serves a request whose answer is a stream.
pub(crate) async fn serve<P: seam::Platform>(
    entry: rc::Rc<Entry<P>>,
    job: rc::Rc<Job>,
    in_hand: InHand<P>,
) -> hyper::Response<Body> {
    let Some(pool) = entry.pools.get(&job.service) else {
        let reply = job.reply(StatusCode::SERVICE_UNAVAILABLE, None, "no_service");
        return plain::refuse(&entry, &job, &reply);
    };
    entry.ask(&job.service, job.call.prompt_tokens(), job.arrived);
    let mut runner = Runner::new(entry.clone(), pool, job.clone());
    let begun = match runner.begin(job.call.last_event).await {
        Ok(begun) => begun,
        Err(miss) => return missed(&entry, &job, &miss),
    };
    let (feed, body) = Body::fed(None);
    let mut response = hyper::Response::new(body);
    *response.status_mut() = begun.answer.status;
    *response.headers_mut() = begun.answer.headers.clone();
    tokio::task::spawn_local(async move {
        let _in_hand = in_hand;
        runner.pump(begun, feed).await;
    });
    response
}

fn missed<P: seam::Platform>(entry: &Entry<P>, job: &Job, miss: &Miss) -> hyper::Response<Body> {
    let reply = match miss {
        Miss::Lost | Miss::Unrun(_) => {
            let mut returns = entry.returns.borrow_mut();
            let now = time::Instant::now();
            let again = (job.left() > RETURN_LEAST)
                .then(|| returns.record_refusal(job.digest, job.left() / RETURN_PART, now));
            job.reply(StatusCode::SERVICE_UNAVAILABLE, again, "no_seat")
        }
        Miss::Unknown(_) if job.left().is_zero() => {
            job.reply(StatusCode::GATEWAY_TIMEOUT, None, "timeout")
        }
        Miss::Unknown(_) => job.reply(StatusCode::BAD_GATEWAY, None, "outcome_unknown"),
    };
    plain::refuse(entry, job, &reply)
}

pub(crate) struct Runner<P: seam::Platform> {
    pub(crate) entry: rc::Rc<Entry<P>>,
    pub(crate) pool: rc::Rc<Pool>,
    pub(crate) job: rc::Rc<Job>,
    ticket: pool::Ticket,
    tries: u32,
    pub(crate) prompts: u32,
    sends: u32,
    pub(crate) may_have_run: bool,
    back: bool,
}

impl<P: seam::Platform> Runner<P> {
    fn new(entry: rc::Rc<Entry<P>>, pool: rc::Rc<Pool>, job: rc::Rc<Job>) -> Self {
        let ticket = entry.pools.ticket();
        let back = entry
            .returns
            .borrow_mut()
            .take_refusal(job.digest, job.arrived);
        Self {
            entry,
            pool,
            job,
            ticket,
            tries: 0,
            prompts: 0,
            sends: 0,
            may_have_run: false,
            back,
        }
    }

    /// Tries engines until one has begun the stream.
    pub(crate) async fn begin(
        &mut self,
        after: Option<u64>,
    ) -> Result<Begun<<P::Upstreams as Upstreams>::Body>, Miss> {
        loop {
            let missed = match self.attempt(after).await {
                Ok(begun) => return Ok(begun),
                Err(missed) => missed,
            };
            self.tries += 1;
            let why = match missed {
                Miss::Unrun(why) => why,
                Miss::Unknown(why) => {
                    self.may_have_run = true;
                    if !self.job.route.retry.is_repeatable() {
                        return Err(missed);
                    }
                    why
                }
                Miss::Lost if self.may_have_run => return Err(Miss::Unknown("lost")),
                Miss::Lost => return Err(missed),
            };
            self.job
                .line("stream_missed")
                .with("why", why)
                .with("tries", self.tries)
                .info();
            if self.tries >= TRIES_MOST || self.job.left().is_zero() {
                return Err(match self.may_have_run {
                    true => Miss::Unknown(why),
                    false => missed,
                });
            }
        }
    }

    /// Waits for a seat, has the prompt read, and begins the stream.
    async fn attempt(
        &mut self,
        after: Option<u64>,
    ) -> Result<Begun<<P::Upstreams as Upstreams>::Body>, Miss> {
        let job = self.job.clone();
        let need = self.need();
        let wait = pool::QueuedStream {
            tokens: need,
            due: job.arrived + job.route.latency_target,
            caller_deadline: self.patience(after),
            returned: self.back || after.is_some(),
            priority: if after.is_some() { 0 } else { job.rank },
            queued_at: time::Instant::now(),
        };
        let zone = self.entry.settings.zone.clone();
        let seat = self.pool.wait(self.ticket, wait, &zone).await;
        let mut seat = seat.ok_or(Miss::Lost)?;
        let engine = seat.engine.clone();
        let target = self.entry.target(&engine).ok_or(Miss::Unrun("gone"))?;
        let zone = self.pool.seats.borrow().zone(&engine).cloned();
        let lane = self.pool.read(job.call.prompt_tokens(), zone.as_deref());
        let expected = lane.as_ref().map_or(time::Duration::ZERO, |(_, t)| *t);
        let mut hold = self.reserve(&target, need, expected).await?;
        let mut cache = self.read_anywhere(lane, zone.as_deref()).await?;
        // The prompt took a while: what the list says now counts.
        if !self.entry.takes_work(&engine) {
            return Err(Miss::Unrun("leaving"));
        }
        if self.sends > 0 && !self.may_repeat() {
            return Err(Miss::Lost);
        }
        self.sends += 1;
        let begin = seam::SendOptions {
            tenant: job.tenant.clone(),
            timeout: Some(job.left()),
            hold: hold.name(),
            kv_source: cache.as_ref().and_then(Cache::source),
            last_event: after,
            priority: None,
        };
        let by = job.deadline.min(time::Instant::now() + FIRST_TIME * 2);
        let answered = self
            .entry
            .upstreams
            .send(&target, &job.call, &begin, by)
            .await;
        let now = time::Instant::now();
        let answer = match answered {
            Ok(answer) => answer,
            Err(fault) => {
                self.pool.seats.borrow_mut().record_failure(&engine, now);
                if fault.cause == seam::FailureCause::ConnectionLost {
                    self.entry.suspect(job.digest, &target);
                }
                let why = match fault.cause {
                    seam::FailureCause::ConnectFailed => "unconnected",
                    seam::FailureCause::TimedOut => "late",
                    seam::FailureCause::ConnectionLost => "broken",
                    seam::FailureCause::WrongRequest => "crossed",
                };
                return Err(match fault.may_have_run {
                    true => Miss::Unknown(why),
                    false => Miss::Unrun(why),
                });
            }
        };
        if answer.not_executed {
            self.pool.seats.borrow_mut().record_refusal(&engine, now);
            self.ask_why(&target, cache.as_ref().and_then(Cache::source));
            return Err(Miss::Unrun("refused"));
        }
        hold.used();
        seat.ran = true;
        if let Some(cache) = &mut cache {
            cache.taken();
        }
        if plain::promises(answer.status) {
            return Err(Miss::Unknown("unsure"));
        }
        self.pool.seats.borrow_mut().record_success(&engine);
        job.line("stream")
            .with("upstream", &engine)
            .with("status", answer.status.as_u16())
            .with("tries", self.tries + 1)
            .with("prefilled", cache.is_some())
            .with("after", after.unwrap_or(0))
            .info();
        Ok(Begun {
            answer,
            engine,
            seat,
        })
    }

    /// Tokens of memory that are counted for this stream.
    ///
    /// Memory is used as the answer grows, and the streams of an engine are of
    /// all ages: on average half of their answers are there.
    pub(crate) fn need(&self) -> u64 {
        let (prompt, answer) = self.job.call.token_counts.unwrap_or_default();
        prompt + (answer as f64 * ANSWER_PART) as u64
    }

    /// When the caller leaves if it gets no event.
    fn patience(&self, after: Option<u64>) -> time::Instant {
        let (targets, gaps, least) = PATIENCE;
        let route = &self.job.route;
        let patience = (route.latency_target * targets)
            .max(route.max_gap * gaps)
            .max(least);
        // The pause has already begun where a stream broke.
        let from = match after {
            Some(_) => time::Instant::now(),
            None => self.job.arrived,
        };
        (from + patience).min(self.job.deadline)
    }

    /// Finds out whose fault it is that an engine has refused a stream for which
    /// it had kept a seat: its own, because it changes its part, or that of the
    /// engine whose KV cache was gone.
    fn ask_why(&self, target: &seam::Target, source: Option<seam::KvSource>) {
        let (entry, pool, target) = (self.entry.clone(), self.pool.clone(), target.clone());
        tokio::task::spawn_local(async move {
            let Some(report) = entry.upstreams.engine_status(&target).await else {
                return;
            };
            let now = time::Instant::now();
            let other = report.role.filter(|p| *p != seam::Role::Decode);
            trace::Line::new("refusal_explained")
                .with("upstream", &target.id)
                .with("busy", report.switching)
                .with("part", measure::part_word(report.role))
                .with("used", report.used_tokens)
                .info();
            if report.switching || other.is_some() {
                entry.shun(&target.id, other.unwrap_or(seam::Role::Prefill), now);
            } else if let Some(source) = source {
                pool.lanes
                    .borrow_mut()
                    .record_failure(&source.holder.id, now);
            }
        });
    }

    async fn reserve(
        &mut self,
        target: &seam::Target,
        need: u64,
        expected: time::Duration,
    ) -> Result<Hold<P>, Miss> {
        let most = self.pool.facts.borrow().max_hold;
        let life = (expected * PROMPT_FACTOR + HOLD_MARGIN).min(most);
        let by = time::Instant::now() + RESERVE_TIMEOUT;
        let reserved = self.entry.upstreams.reserve(target, need, life, by).await;
        let now = time::Instant::now();
        let mut seats = self.pool.seats.borrow_mut();
        match reserved {
            seam::ReserveOutcome::Granted(name) => Ok(Hold::new(&self.entry, target, name)),
            seam::ReserveOutcome::Full => {
                let load = seats.load(&target.id, now);
                seats.record_refusal(&target.id, now);
                self.job
                    .line("seat_refused")
                    .with("upstream", &target.id)
                    .with("need", need)
                    .with("known_tokens", load.tokens)
                    .with("known_streams", load.streams)
                    .info();
                // Room is the engine's to tell; asking is no try of the request.
                self.tries = self.tries.saturating_sub(1);
                Err(Miss::Unrun("full"))
            }
            seam::ReserveOutcome::Failed(_) => {
                seats.record_failure(&target.id, now);
                Err(Miss::Unrun("unreserved"))
            }
        }
    }

    pub(crate) fn may_repeat(&self) -> bool {
        let now = time::Instant::now();
        let entries = self.entry.entries();
        let mut retries = self.entry.retries.borrow_mut();
        retries.try_take(&self.job.service, entries, now)
    }
}
