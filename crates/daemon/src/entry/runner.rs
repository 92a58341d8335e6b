//! Carries out what a journey decides.

use crate::entry::admit::Charge;
use crate::entry::ask::Ask;
use crate::entry::core::Decisions;
use crate::entry::core::Entry;
use crate::entry::follow;
use crate::entry::follow::Hold;
use crate::entry::follow::Ready;
use route::Action;
use route::Event;
use route::Failure;
use route::Fault;
use route::PrefillChoice;
use route::RequestLifecycle;
use std::collections;
use std::sync;
use std::time;
use tokio::sync::mpsc;
use wire::api::AgentClient;
use wire::api::EntryClient;
use wire::border;
use world::Name;

/// Most time for peers to hear of a crash before its caller does, who may send
/// the request again at once.
const CRASH_TOLD: time::Duration = time::Duration::from_millis(500);

/// Stands for a target between tokens that no engine can meet now.
const NO_TARGET_MS: u64 = 3_600_000;

/// What a baseline tells of each request: all alike, so that the first that came
/// goes first and no seat is kept for anybody.
fn in_order_of_arrival() -> border::Urgency {
    border::Urgency {
        slack: i64::from(u32::MAX),
        waits: false,
        share: 0.0,
        work: 0,
        token: NO_TARGET_MS,
    }
}

/// What the caller's side of a request hears.
#[derive(Debug)]
pub(crate) enum Output {
    /// The next token's text.
    Text(String),
    /// The answer is whole: how it ended and its tokens.
    Finish(String, u32),
    /// There will be no whole answer. The flag tells that nothing has run.
    Fail(Failure, bool),
}

/// One request and all that is open for it.
pub(crate) struct Runner {
    entry: sync::Arc<Entry>,
    ask: sync::Arc<Ask>,
    request: String,
    key: Name,
    organisation: Name,
    due: time::Instant,
    journey: RequestLifecycle,
    charge: Charge,
    events: mpsc::UnboundedReceiver<Event>,
    sender: mpsc::UnboundedSender<Event>,
    seats: collections::BTreeMap<(u32, Name), Hold>,
    prefill: Option<Prefilling>,
    answer: String,
    output: mpsc::UnboundedSender<Output>,
    hop: trace::Hop,
    /// Crashes on their way to other entries.
    reports: tokio::task::JoinSet<()>,
    /// Why there is no answer, until the caller is told.
    failure: Option<Failure>,
}

/// An open prefill, and its result once it is ready.
struct Prefilling {
    run: u32,
    _hold: Hold,
    ready: sync::Arc<sync::OnceLock<Ready>>,
}

/// Who asks.
pub(crate) struct Caller {
    pub request: String,
    pub key: Name,
    pub organisation: Name,
}

impl Runner {
    pub(crate) fn new(
        entry: sync::Arc<Entry>,
        ask: sync::Arc<Ask>,
        caller: Caller,
        charge: Charge,
        output: mpsc::UnboundedSender<Output>,
        hop: trace::Hop,
    ) -> Self {
        let (sender, events) = mpsc::unbounded_channel();
        let work = route::RequestSpec {
            upstream: ask.upstream.clone(),
            digest: route::Digest::of_content(&ask.model, &ask.prompt),
            prefixes: route::PrefixHashes::of_prompt(&ask.prompt),
            prompt_tokens: ask.tokens,
            max_tokens: ask.max,
            pieces: route::pieces_for(ask.tokens, u64::from(ask.max)),
            gap_target: ask.class.token(),
            strictest_target: ask.strictest,
        };
        Self {
            due: time::Instant::now() + ask.class.first(),
            journey: RequestLifecycle::new(work),
            request: caller.request,
            key: caller.key,
            organisation: caller.organisation,
            entry,
            ask,
            charge,
            events,
            sender,
            seats: collections::BTreeMap::new(),
            prefill: None,
            answer: String::new(),
            output,
            hop,
            reports: tokio::task::JoinSet::new(),
            failure: None,
        }
    }

    /// Runs the request to its end.
    pub(crate) async fn run(mut self) {
        let mut revision = self.entry.revision.subscribe();
        let actions = self.decide(None);
        let mut over = self.act(actions);
        while !over {
            let event = tokio::select! {
                event = self.events.recv() => event,
                () = self.output.closed() => Some(Event::CallerGone),
                changed = revision.changed() => {
                    let withdrawn = changed.is_ok() && !self.entry.in_force(&self.key);
                    withdrawn.then_some(Event::KeyWithdrawn)
                }
            };
            let Some(event) = event else { continue };
            self.note_fault(&event);
            let actions = self.decide(Some(event));
            over = self.act(actions);
        }
        if let Some(failure) = self.failure.take() {
            self.end_reports().await;
            self.fail(failure);
        }
        self.reports.detach_all();
        let wasted = self.journey.wasted_tokens();
        metrics::counter!("hornbeampitch_wasted_prefill_tokens_total").increment(wasted);
    }

    /// Asks the journey, under the lock that all decisions share.
    fn decide(&mut self, event: Option<Event>) -> Vec<Action> {
        let mut decisions = self.entry.decisions.lock();
        let Decisions {
            fleet,
            budget,
            quarantine,
            ..
        } = &mut *decisions;
        let mut cx = route::Context {
            fleet,
            budget,
            quarantine,
            now: time::Instant::now(),
        };
        match event {
            None => self.journey.start(&mut cx),
            Some(event) => self.journey.step(event, &mut cx),
        }
    }

    /// Carries actions out; tells whether the request is over.
    fn act(&mut self, actions: Vec<Action>) -> bool {
        let mut over = false;
        for action in actions {
            match action {
                Action::Bid(round, host) => self.bid(round, host),
                Action::Release(round, host) => self.drop_seat(round, &host),
                Action::Prefill(run, pick) => self.start_prefill(run, pick),
                Action::CancelPrefill(run) => self.drop_prefill(run),
                Action::StartDecode(round, host, offset) => self.start(round, host, offset),
                Action::EmitText(text) => self.emit(text),
                Action::Finish(finish, tokens) => {
                    self.finish(finish, tokens);
                    over = true;
                }
                Action::Fail(failure) => {
                    self.failure = Some(failure);
                    over = true;
                }
                Action::ReportCrash(digest, id) => self.report_crash(digest, &id),
                Action::SetTimer(wait) => self.wake(wait),
            }
        }
        over
    }

    fn bid(&mut self, round: u32, host: Name) {
        let bid = border::Bid {
            request: self.request.clone(),
            attempt: round,
            organisation: self.organisation.to_string(),
            upstream: self.ask.upstream.to_string(),
            pieces: self.journey.spec().pieces,
            urgency: self.urgency(),
            trace: self.hop.traceparent(),
        };
        let link = self.entry.peers.link(&host);
        let events = self.sender.clone();
        let name = host.clone();
        let (hold, released) = Hold::new();
        tokio::spawn(async move {
            let fault = match link {
                Some(link) => {
                    follow::follow_seat(&link, bid, round, &name, &events, released).await
                }
                None => Some(Fault::Lost),
            };
            if let Some(fault) = fault {
                let _ = events.send(Event::DecodeFault(round, name, fault));
            }
        });
        self.seats.insert((round, host), hold);
    }

    /// Ends a subscription, which frees all that its agent holds for it.
    fn drop_seat(&mut self, round: u32, host: &Name) {
        self.seats.remove(&(round, host.clone()));
    }

    fn start_prefill(&mut self, run: u32, pick: PrefillChoice) {
        let ask = border::Prefill {
            request: self.request.clone(),
            attempt: run,
            organisation: self.organisation.to_string(),
            model: self.ask.model.to_string(),
            prompt: format!("{}{}", self.ask.prompt, self.answer),
            tokens: self.ask.tokens.saturating_sub(pick.cached_tokens).max(1),
            urgency: self.urgency(),
            trace: self.hop.traceparent(),
        };
        let link = self.entry.peers.link(&pick.host);
        let events = self.sender.clone();
        let ready = sync::Arc::new(sync::OnceLock::new());
        let found = ready.clone();
        let (hold, released) = Hold::new();
        tokio::spawn(async move {
            let fault = match link {
                Some(link) => {
                    follow::follow_prefill(&link, ask, run, &found, &events, released).await
                }
                None => Some(Fault::Lost),
            };
            if let Some(fault) = fault {
                let _ = events.send(Event::PrefillFault(run, fault));
            }
        });
        self.charge.spend(self.ask.tokens);
        self.prefill = Some(Prefilling {
            run,
            _hold: hold,
            ready,
        });
    }

    fn drop_prefill(&mut self, run: u32) {
        self.prefill.take_if(|p| p.run == run);
    }

    fn start(&mut self, round: u32, host: Name, offset: u32) {
        let ready = self.prefill.as_ref().and_then(|p| p.ready.get().cloned());
        let Some(ready) = ready else {
            let _ = self
                .sender
                .send(Event::DecodeFault(round, host, Fault::Lost));
            return;
        };
        let start = border::Start {
            request: self.request.clone(),
            attempt: round,
            source: ready.source,
            kv: ready.kv,
            model: self.ask.model.to_string(),
            prompt: self.ask.prompt.clone(),
            max: self.ask.max,
            offset,
        };
        let link = self.entry.peers.link(&host);
        let events = self.sender.clone();
        tokio::spawn(async move {
            let started = match link {
                Some(link) => link.start(start).await.unwrap_or(false),
                None => false,
            };
            if !started {
                let _ = events.send(Event::DecodeFault(round, host, Fault::Lost));
            }
        });
    }

    fn emit(&mut self, text: String) {
        self.answer += &text;
        let emitted = u64::from(self.journey.emitted_tokens());
        if emitted == 1 {
            let slack = self.due.saturating_duration_since(time::Instant::now());
            let met = !slack.is_zero();
            metrics::counter!("hornbeampitch_first_token_total", "met" => met.to_string())
                .increment(1);
        }
        self.charge.spend(self.ask.tokens + emitted);
        // A caller that has gone is noticed by the closed channel.
        let _ = self.output.send(Output::Text(text));
    }

    fn finish(&mut self, finish: String, tokens: u32) {
        let used = self.ask.tokens + u64::from(tokens);
        self.entry
            .decisions
            .lock()
            .shares
            .record(&self.organisation, used, time::Instant::now());
        self.line("answered").with("tokens", tokens).info();
        let _ = self.output.send(Output::Finish(finish, tokens));
    }

    fn fail(&mut self, failure: Failure) {
        self.hop.fail(&failure.to_string());
        self.line("unanswered")
            .with("reason", failure)
            .with("emitted", self.journey.emitted_tokens())
            .info();
        let untouched = self.journey.is_unexecuted();
        let _ = self.output.send(Output::Fail(failure, untouched));
    }

    fn wake(&self, wait: time::Duration) {
        let events = self.sender.clone();
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            let _ = events.send(Event::TimerFired);
        });
    }

    fn urgency(&self) -> border::Urgency {
        if !self.entry.settings.policy.by_target() {
            return in_order_of_arrival();
        }
        let now = time::Instant::now();
        let slack = self.due.saturating_duration_since(now).as_millis();
        let rate = self
            .entry
            .contract()
            .and_then(|c| c.contract.organisation(&self.organisation).map(|o| o.rate))
            .unwrap_or(1);
        let mut decisions = self.entry.decisions.lock();
        let share = decisions.shares.share(&self.organisation, rate, now);
        let known = self.journey.spec();
        let work = decisions.fleet.estimate_first_token(
            &known.upstream,
            known.prompt_tokens,
            &known.prefixes,
        );
        border::Urgency {
            slack: i64::try_from(slack).unwrap_or(i64::MAX),
            waits: self.ask.class.waits,
            share,
            work: u64::try_from(work.as_millis()).unwrap_or(u64::MAX),
            token: match decisions
                .fleet
                .can_meet_target(&known.upstream, known.gap_target)
            {
                true => self.ask.class.token_ms,
                false => NO_TARGET_MS,
            },
        }
    }

    /// Tells operators of a failed attempt, which the caller may never notice.
    fn note_fault(&self, event: &Event) {
        let (stage, fault) = match event {
            Event::PrefillFault(_, fault) => ("prefill", fault),
            Event::DecodeFault(_, _, fault) => ("decode", fault),
            _ => return,
        };
        metrics::counter!("hornbeampitch_faults_total", "stage" => stage).increment(1);
        self.line("attempt_failed")
            .with("stage", stage)
            .with("fault", format!("{fault:?}").to_lowercase())
            .info();
    }

    /// Waits until the other entries know of the crashes seen here.
    async fn end_reports(&mut self) {
        let told = async { while self.reports.join_next().await.is_some() {} };
        // A peer that does not answer hears of the next crash.
        let _ = tokio::time::timeout(CRASH_TOLD, told).await;
    }

    /// Tells all other entries of a crash, since a resend may come in anywhere.
    fn report_crash(&mut self, digest: route::Digest, id: &route::CrashId) {
        self.line("crash_noted")
            .with("digest", digest)
            .with("host", &id.host)
            .warn();
        for (_, link) in self.entry.peers.entries() {
            let crash = border::Crash {
                digest: digest.to_string(),
                host: id.host.to_string(),
                count: id.count,
            };
            self.reports.spawn(async move {
                // An entry that is away hears of the next crash.
                let _ = link.crash(crash).await;
            });
        }
    }

    fn line(&self, event: &str) -> trace::Line {
        trace::Line::new(event)
            .with("request", &self.request)
            .with("organisation", &self.organisation)
            .with("class", &self.ask.class.name)
    }
}
