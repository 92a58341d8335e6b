//! Makes the calls to upstream hosts, and withholds those that a host does not want.

use crate::meters;
use std::net;
use std::time;

/// The number of characters of an unreadable value that are logged.
const MAX_LOGGED_CHARS: usize = 60;
/// The longest pause that is logged without a warning. A host that asks for more by mistake
/// is lost until it starts again.
const USUAL_PAUSE: time::Duration = time::Duration::from_secs(60);

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
    async fn pass<T>(
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
        let result = call.await;
        self.apply_notices();
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
        let sent = self.pass(target, pool::CallKind::Work, call).await;
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
