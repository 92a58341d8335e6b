//! Runs a model request: carries out the actions that its [`RequestLifecycle`]
//! returns and passes it the events that follow.

use crate::entry::admit::Charge;
use crate::entry::request::ModelRequest;
use crate::entry::runner_attempts::OpenPrefill;
use crate::entry::state::Entry;
use crate::entry::state::Placement;
use crate::entry::subscription::SubscriptionGuard;
use callers::HeldBytes;
use route::Action;
use route::Event;
use route::Failure;
use route::RequestLifecycle;
use std::collections;
use std::sync;
use std::time;
use tokio::sync::mpsc;
use wire::api::EntryClient;
use wire::border;
use world::Name;

/// Maximum time for reporting a crash to the other entries before the caller
/// gets its error response. The caller may then send the request again at once, to
/// any entry.
const CRASH_REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// What the runner sends to the task that responds to the caller.
#[derive(Debug)]
pub(crate) enum Output {
    /// The text of the next token.
    Text(String),
    /// The answer is complete: its finish reason and its number of tokens.
    Finish(String, u32),
    /// The request failed. The flag is true if no engine has received it.
    Fail(Failure, bool),
}

/// A running request with its open subscriptions.
pub(crate) struct RequestRunner {
    pub(super) entry: sync::Arc<Entry>,
    pub(super) request: sync::Arc<ModelRequest>,
    pub(super) request_id: String,
    /// What the request takes of the process's memory.
    _held: HeldBytes,
    /// Id of the caller's key.
    key_id: Name,
    pub(super) organisation: Name,
    /// When the first token is due.
    pub(super) deadline: time::Instant,
    pub(super) lifecycle: RequestLifecycle,
    pub(super) charge: Charge,
    event_receiver: mpsc::UnboundedReceiver<Event>,
    pub(super) event_sender: mpsc::UnboundedSender<Event>,
    /// Guards of the open subscriptions to bids, seats and streams, by round of bids and
    /// host.
    pub(super) decode_guards: collections::BTreeMap<(u32, Name), SubscriptionGuard>,
    pub(super) prefill: Option<OpenPrefill>,
    /// The part of the answer that has been sent to the caller.
    pub(super) answer_text: String,
    output_sender: mpsc::UnboundedSender<Output>,
    pub(super) span: trace::Span,
    /// Crash reports that are being sent to other entries.
    crash_reports: tokio::task::JoinSet<()>,
    /// The failure of the request, until it has been sent to the caller.
    failure: Option<Failure>,
}

/// Identifies a request and the caller that sent it.
pub(crate) struct Caller {
    pub request_id: String,
    /// Id of the caller's key.
    pub key_id: Name,
    pub organisation: Name,
    /// What the request takes of the process's memory.
    pub held: HeldBytes,
}

impl RequestRunner {
    pub(crate) fn new(
        entry: sync::Arc<Entry>,
        request: sync::Arc<ModelRequest>,
        caller: Caller,
        charge: Charge,
        output_sender: mpsc::UnboundedSender<Output>,
        span: trace::Span,
    ) -> Self {
        let (event_sender, event_receiver) = mpsc::unbounded_channel();
        let spec = route::RequestSpec {
            upstream: request.upstream.clone(),
            digest: route::Digest::of_content(&request.model, &request.prompt),
            prefixes: route::PrefixHashes::of_prompt(&request.prompt),
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
            pieces: route::pieces_for(request.prompt_tokens, u64::from(request.max_tokens)),
            gap_target: request.class.token_gap_target(),
            strictest_target: request.strictest_target,
        };
        Self {
            deadline: time::Instant::now() + request.class.first_token_target(),
            lifecycle: RequestLifecycle::new(spec),
            request_id: caller.request_id,
            key_id: caller.key_id,
            organisation: caller.organisation,
            _held: caller.held,
            entry,
            request,
            charge,
            event_receiver,
            event_sender,
            decode_guards: collections::BTreeMap::new(),
            prefill: None,
            answer_text: String::new(),
            output_sender,
            span,
            crash_reports: tokio::task::JoinSet::new(),
            failure: None,
        }
    }

    /// Runs the request until it is finished or has failed.
    pub(crate) async fn run(mut self) {
        let mut revision = self.entry.revision_sender.subscribe();
        let actions = self.step_lifecycle(None);
        let mut done = self.execute(actions);
        while !done {
            let event = tokio::select! {
                event = self.event_receiver.recv() => event,
                () = self.output_sender.closed() => Some(Event::CallerGone),
                changed = revision.changed() => {
                    let withdrawn = changed.is_ok() && !self.entry.is_key_valid(&self.key_id);
                    withdrawn.then_some(Event::KeyWithdrawn)
                }
            };
            let Some(event) = event else { continue };
            self.log_fault(&event);
            let actions = self.step_lifecycle(Some(event));
            done = self.execute(actions);
        }
        if let Some(failure) = self.failure.take() {
            self.wait_for_crash_reports().await;
            self.fail(failure);
        }
        self.crash_reports.detach_all();
        let wasted = self.lifecycle.wasted_tokens();
        metrics::counter!("hornbeampitch_wasted_prefill_tokens_total").increment(wasted);
    }

    /// Passes an event to the lifecycle, or starts it if there is none, while
    /// holding the lock on the shared placement state.
    fn step_lifecycle(&mut self, event: Option<Event>) -> Vec<Action> {
        let mut placement = self.entry.placement.lock();
        let Placement {
            fleet,
            budget,
            quarantine,
            ..
        } = &mut *placement;
        let mut context = route::Context {
            fleet,
            budget,
            quarantine,
            now: time::Instant::now(),
        };
        match event {
            None => self.lifecycle.start(&mut context),
            Some(event) => self.lifecycle.step(event, &mut context),
        }
    }

    /// Carries out actions. Returns true once the request is finished or has
    /// failed.
    fn execute(&mut self, actions: Vec<Action>) -> bool {
        let mut done = false;
        for action in actions {
            match action {
                Action::Bid(round, host) => self.place_bid(round, host),
                Action::Release(round, host) => self.cancel_bid(round, &host),
                Action::Prefill(attempt, choice) => self.start_prefill(attempt, choice),
                Action::CancelPrefill(attempt) => self.cancel_prefill(attempt),
                Action::StartDecode(round, host, offset) => self.start_decode(round, host, offset),
                Action::EmitText(text) => self.emit_text(text),
                Action::Finish(finish_reason, tokens) => {
                    self.finish(finish_reason, tokens);
                    done = true;
                }
                Action::Fail(failure) => {
                    self.failure = Some(failure);
                    done = true;
                }
                Action::ReportCrash(digest, id) => self.report_crash(digest, &id),
                Action::SetTimer(wait) => self.start_timer(wait),
            }
        }
        done
    }

    /// Sends text to the caller and counts its token as used.
    fn emit_text(&mut self, text: String) {
        self.answer_text += &text;
        let emitted = u64::from(self.lifecycle.emitted_tokens());
        if emitted == 1 {
            let slack = self
                .deadline
                .saturating_duration_since(time::Instant::now());
            let met = !slack.is_zero();
            metrics::counter!("hornbeampitch_first_token_total", "met" => met.to_string())
                .increment(1);
        }
        self.charge.record_use(self.request.prompt_tokens + emitted);
        // A caller that has disconnected is detected by the closed channel in
        // [`Self::run`].
        let _ = self.output_sender.send(Output::Text(text));
    }

    fn finish(&mut self, finish_reason: String, tokens: u32) {
        let used = self.request.prompt_tokens + u64::from(tokens);
        self.entry
            .placement
            .lock()
            .usage
            .record(&self.organisation, used, time::Instant::now());
        self.log_line("answered").with("tokens", tokens).info();
        let _ = self
            .output_sender
            .send(Output::Finish(finish_reason, tokens));
    }

    fn fail(&mut self, failure: Failure) {
        self.span.set_error(&failure.to_string());
        self.log_line("unanswered")
            .with("reason", failure)
            .with("emitted", self.lifecycle.emitted_tokens())
            .info();
        let not_run = self.lifecycle.is_unexecuted();
        let _ = self.output_sender.send(Output::Fail(failure, not_run));
    }

    fn start_timer(&self, wait: time::Duration) {
        let event_sender = self.event_sender.clone();
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            let _ = event_sender.send(Event::TimerFired);
        });
    }

    /// Logs a failed attempt. The caller may not notice the failure, since the
    /// request is tried again.
    fn log_fault(&self, event: &Event) {
        let (stage, fault) = match event {
            Event::PrefillFault(_, fault) => ("prefill", fault),
            Event::DecodeFault(_, _, fault) => ("decode", fault),
            _ => return,
        };
        metrics::counter!("hornbeampitch_faults_total", "stage" => stage).increment(1);
        self.log_line("attempt_failed")
            .with("stage", stage)
            .with("fault", format!("{fault:?}").to_lowercase())
            .info();
    }

    /// Waits until the other entries have received the crash reports of this
    /// request, for [`CRASH_REPORT_TIMEOUT`] at most.
    async fn wait_for_crash_reports(&mut self) {
        let reported = async { while self.crash_reports.join_next().await.is_some() {} };
        // A peer that has not responded by then may miss this report, but gets that
        // of the next crash.
        let _ = tokio::time::timeout(CRASH_REPORT_TIMEOUT, reported).await;
    }

    /// Reports a crash to all other entries, since the caller may send the
    /// request again to any of them.
    fn report_crash(&mut self, digest: route::Digest, id: &route::CrashId) {
        self.log_line("crash_recorded")
            .with("digest", digest)
            .with("host", &id.host)
            .warn();
        for (_, link) in self.entry.peers.entry_links() {
            let crash = border::Crash {
                digest: digest.to_string(),
                host: id.host.to_string(),
                count: id.count,
            };
            self.crash_reports.spawn(async move {
                // An entry that cannot be reached misses this report but gets
                // that of the next crash.
                let _ = link.crash(crash).await;
            });
        }
    }

    fn log_line(&self, event: &str) -> trace::LogLine {
        trace::LogLine::new(event)
            .with("request", &self.request_id)
            .with("organisation", &self.organisation)
            .with("class", &self.request.class.name)
    }
}
