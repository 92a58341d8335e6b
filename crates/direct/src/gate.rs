//! Makes the calls to upstream hosts, and withholds those that a host does not want.

use crate::meters;
use std::net;
use std::time;

/// The number of characters of an unreadable value that are logged.
const MAX_LOGGED_CHARS: usize = 60;
/// The longest pause that is logged without a warning. A host that asks for more by mistake
/// is lost until it starts again.
const USUAL_PAUSE: time::Duration = time::Duration::from_secs(60);

/// An outcome of a call that shows how its host answered.
trait Answered {
    /// Whether the time that the call takes shows how fast the host is.
    const IS_RUN: bool = false;

    fn quality(&self) -> pool::AnswerQuality {
        pool::AnswerQuality::Unclear
    }
}

impl Answered for () {}
impl Answered for seam::HostState {}
impl Answered for seam::OrderOutcome {}
impl Answered for Option<seam::EngineStatus> {}

impl<B> Answered for Result<seam::Response<B>, seam::SendError> {
    const IS_RUN: bool = true;

    fn quality(&self) -> pool::AnswerQuality {
        match self {
            Ok(response) if response.not_executed => pool::AnswerQuality::Refused,
            Ok(response) if response.status.is_server_error() => pool::AnswerQuality::Unclear,
            Ok(_) => pool::AnswerQuality::Good,
            Err(error) => failure_quality(error.cause),
        }
    }
}

impl Answered for seam::ReserveOutcome {
    fn quality(&self) -> pool::AnswerQuality {
        match self {
            // An engine's memory decides on its reservations, however long it has run.
            seam::ReserveOutcome::Granted(_) | seam::ReserveOutcome::Full => {
                pool::AnswerQuality::Unclear
            }
            seam::ReserveOutcome::Failed(cause) => failure_quality(*cause),
        }
    }
}

impl Answered for seam::PrefillOutcome {
    fn quality(&self) -> pool::AnswerQuality {
        match self {
            seam::PrefillOutcome::Ready(_) => pool::AnswerQuality::Good,
            seam::PrefillOutcome::Refused => pool::AnswerQuality::Refused,
            seam::PrefillOutcome::Failed(cause) => failure_quality(*cause),
        }
    }
}

fn failure_quality(cause: seam::FailureCause) -> pool::AnswerQuality {
    match cause {
        seam::FailureCause::ConnectFailed => pool::AnswerQuality::Unreachable,
        _ => pool::AnswerQuality::Unclear,
    }
}

/// A request at a host, which counts as in flight until this is dropped.
struct PendingAnswer {
    notices: pool::SharedNotices,
    host: pool::Incarnation,
    sent_at: time::Instant,
    quality: pool::AnswerQuality,
    took: Option<time::Duration>,
}

impl PendingAnswer {
    fn start(notices: pool::SharedNotices, host: pool::Incarnation) -> Self {
        let now = time::Instant::now();
        notices.borrow_mut().paces.record_send(&host, now);
        Self {
            notices,
            host,
            sent_at: now,
            quality: pool::AnswerQuality::Unclear,
            took: None,
        }
    }

    fn end(&mut self, quality: pool::AnswerQuality, is_run: bool) {
        self.quality = quality;
        self.took = is_run.then(|| self.sent_at.elapsed());
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        let now = time::Instant::now();
        let mut notices = self.notices.borrow_mut();
        notices.record_answer(&self.host, self.quality, self.took, now);
    }
}

/// A client of upstream hosts that heeds what they say of themselves in their answers. All
/// calls of an entry go through it, so that none reaches a host against its notice.
pub(crate) struct HostGate<U> {
    upstreams: U,
    notices: pool::SharedNotices,
}

impl<U: seam::Upstreams> HostGate<U> {
    pub(crate) fn new(upstreams: U, notices: pool::SharedNotices) -> Self {
        Self { upstreams, notices }
    }

    /// Makes a call unless the host does not want it; returns `None` then.
    async fn pass<T: Answered>(
        &self,
        target: &seam::Target,
        kind: pool::CallKind,
        call: impl Future<Output = T>,
    ) -> Option<T> {
        self.apply_notices();
        let host = pool::Incarnation::from(target);
        let now = time::Instant::now();
        let started = self.notices.borrow_mut().start_call(&host, kind, now);
        let permit = match started {
            Ok(permit) => permit,
            Err(withheld) => {
                trace::LogLine::new("withheld")
                    .with("upstream", &host.id)
                    .with("started", host.started_ms)
                    .with("call", kind)
                    .with("why", withheld)
                    .info();
                meters::meters()
                    .calls_withheld
                    .add(withheld_label(withheld), 1);
                return None;
            }
        };
        let mut answer = (kind != pool::CallKind::Control).then(|| {
            let host = host.clone();
            PendingAnswer::start(self.notices.clone(), host)
        });
        let result = call.await;
        self.apply_notices();
        if let Some(answer) = &mut answer {
            let is_run = kind == pool::CallKind::Work && T::IS_RUN;
            answer.end(result.quality(), is_run);
        }
        self.notices.borrow_mut().end_call(&host, permit);
        Some(result)
    }

    /// Applies and logs the notices that have arrived.
    fn apply_notices(&self) {
        for notice in self.upstreams.take_notices() {
            let effect = self.notices.borrow_mut().record(&notice);
            if effect.leaves {
                log_leaving(&pool::Incarnation::from(&notice.host), "answer");
            }
            if let (Some(pause), Some(retry_after)) = (effect.pause, &notice.retry_after) {
                log_pause(&notice, pause, retry_after);
            }
        }
    }
}

fn withheld_label(withheld: pool::Withheld) -> &'static str {
    match withheld {
        pool::Withheld::Leaving => "leaving",
        pool::Withheld::Paused => "paused",
        pool::Withheld::Probed => "probed",
        pool::Withheld::Evacuated => "evacuated",
        pool::Withheld::Cold => "cold",
    }
}

/// Logs and counts that a host is leaving by its own word, which came in an answer or from
/// a peer.
pub(crate) fn log_leaving(host: &pool::Incarnation, from: &str) {
    meters::meters().host_notices.add("leaving", 1);
    trace::LogLine::new("host_leaving")
        .with("upstream", &host.id)
        .with("started", host.started_ms)
        .with("from", from)
        .info();
}

fn log_pause(notice: &seam::HostNotice, pause: time::Duration, asked: &seam::RetryAfter) {
    meters::meters().host_notices.add("pause", 1);
    let line = trace::LogLine::new("host_pause")
        .with("upstream", &notice.host.id)
        .with("started", notice.host.started_ms)
        .with("pause_ms", pause.as_millis())
        .with("bound_ms", pool::MAX_PAUSE.as_millis());
    match asked {
        seam::RetryAfter::Delay(delay) if !delay.is_zero() && *delay <= USUAL_PAUSE => {
            line.info();
        }
        seam::RetryAfter::Delay(delay) => line.with("asked_ms", delay.as_millis()).warn(),
        seam::RetryAfter::Invalid(text) => {
            let text: String = text.chars().take(MAX_LOGGED_CHARS).collect();
            line.with("unreadable", text).warn();
        }
    }
}

impl<U: seam::Upstreams> seam::Upstreams for HostGate<U> {
    type Body = U::Body;

    async fn send(
        &self,
        target: &seam::Target,
        request: &seam::Request,
        options: &seam::SendOptions,
        deadline: time::Instant,
    ) -> Result<seam::Response<U::Body>, seam::SendError> {
        let call = self.upstreams.send(target, request, options, deadline);
        let kind = match options.reservation.is_some() {
            true => pool::CallKind::Granted,
            false => pool::CallKind::Work,
        };
        let sent = self.pass(target, kind, call).await;
        sent.unwrap_or(Err(seam::SendError {
            may_have_run: false,
            cause: seam::FailureCause::Withheld,
        }))
    }

    async fn reserve(
        &self,
        target: &seam::Target,
        tokens: u64,
        ttl: time::Duration,
        deadline: time::Instant,
    ) -> seam::ReserveOutcome {
        let call = self.upstreams.reserve(target, tokens, ttl, deadline);
        let outcome = self.pass(target, pool::CallKind::Work, call).await;
        outcome.unwrap_or(seam::ReserveOutcome::Failed(seam::FailureCause::Withheld))
    }

    async fn release(&self, target: &seam::Target, reservation: &str) {
        let call = self.upstreams.release(target, reservation);
        // A reservation that is not released expires at the end of its TTL.
        let _ = self.pass(target, pool::CallKind::Control, call).await;
    }

    async fn prefill(
        &self,
        target: &seam::Target,
        request: &seam::Request,
        options: &seam::SendOptions,
        deadline: time::Instant,
    ) -> seam::PrefillOutcome {
        let call = self.upstreams.prefill(target, request, options, deadline);
        let outcome = self.pass(target, pool::CallKind::Work, call).await;
        outcome.unwrap_or(seam::PrefillOutcome::Failed(seam::FailureCause::Withheld))
    }

    async fn free_cache(&self, source: &seam::KvSource) {
        let call = self.upstreams.free_cache(source);
        // A KV cache that is not freed expires at the end of its TTL.
        let _ = self
            .pass(&source.holder, pool::CallKind::Control, call)
            .await;
    }

    async fn engine_status(&self, target: &seam::Target) -> Option<seam::EngineStatus> {
        let call = self.upstreams.engine_status(target);
        self.pass(target, pool::CallKind::Control, call).await?
    }

    async fn check_host(&self, target: &seam::Target) -> seam::HostState {
        let call = self.upstreams.check_host(target);
        let state = self.pass(target, pool::CallKind::Control, call).await;
        state.unwrap_or(seam::HostState::Silent)
    }

    async fn send_order(
        &self,
        target: &seam::Target,
        order: &seam::RoleOrder,
    ) -> seam::OrderOutcome {
        let call = self.upstreams.send_order(target, order);
        let outcome = self.pass(target, pool::CallKind::Work, call).await;
        outcome.unwrap_or(seam::OrderOutcome::Conflict)
    }

    fn take_notices(&self) -> Vec<seam::HostNotice> {
        self.upstreams.take_notices()
    }

    fn close_connections(&self, address: net::SocketAddr) {
        self.upstreams.close_connections(address);
    }

    fn close_idle(&self) {
        self.upstreams.close_idle();
    }
}
