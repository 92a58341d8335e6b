//! The attempts of a model request: its bids, prefills and streams at agents.

use crate::entry::runner::RequestRunner;
use crate::entry::subscription;
use crate::entry::subscription::PrefillResult;
use crate::entry::subscription::SubscriptionGuard;
use route::Event;
use route::Fault;
use route::PrefillChoice;
use std::sync;
use std::time;
use wire::api::AgentClient;
use wire::border;
use world::Name;

/// Target for the time between tokens that is sent when no engine can meet the
/// class's target at present. One hour is so long that it does not constrain the
/// agents.
const NO_TARGET_MS: u64 = 3_600_000;

/// The urgency sent under a policy that does not order work by targets. It is
/// the same for all requests, so that agents serve them in order of arrival and
/// reserve no seats.
fn arrival_order_urgency() -> border::Urgency {
    border::Urgency {
        slack: i64::from(u32::MAX),
        waits: false,
        share: 0.0,
        work: 0,
        token: NO_TARGET_MS,
    }
}

/// An open prefill subscription, with its result once the prefill is done.
pub(super) struct OpenPrefill {
    attempt: u32,
    _guard: SubscriptionGuard,
    result: sync::Arc<sync::OnceLock<PrefillResult>>,
}

impl RequestRunner {
    /// Bids for a seat at a host, and forwards the events of the seat and stream.
    pub(super) fn place_bid(&mut self, round: u32, host: Name) {
        let bid = border::Bid {
            request: self.request_id.clone(),
            attempt: round,
            organisation: self.organisation.to_string(),
            upstream: self.request.upstream.to_string(),
            pieces: self.lifecycle.spec().pieces,
            urgency: self.urgency(),
            trace: self.span.traceparent(),
        };
        let link = self.entry.peers.link(&host);
        let event_sender = self.event_sender.clone();
        let name = host.clone();
        let (guard, cancelled) = SubscriptionGuard::new();
        tokio::spawn(async move {
            let fault = match link {
                Some(link) => {
                    subscription::receive_decode(&link, bid, round, &name, &event_sender, cancelled)
                        .await
                }
                None => Some(Fault::Lost),
            };
            if let Some(fault) = fault {
                let _ = event_sender.send(Event::DecodeFault(round, name, fault));
            }
        });
        self.decode_guards.insert((round, host), guard);
    }

    /// Ends the subscription of a bid; the agent then releases all resources
    /// that it holds for it.
    pub(super) fn cancel_bid(&mut self, round: u32, host: &Name) {
        self.decode_guards.remove(&(round, host.clone()));
    }

    /// Starts the prefill of the prompt and the answer so far.
    pub(super) fn start_prefill(&mut self, attempt: u32, choice: PrefillChoice) {
        let prefill = border::Prefill {
            request: self.request_id.clone(),
            attempt,
            organisation: self.organisation.to_string(),
            model: self.request.model.to_string(),
            prompt: format!("{}{}", self.request.prompt, self.answer_text),
            tokens: self
                .request
                .prompt_tokens
                .saturating_sub(choice.cached_tokens)
                .max(1),
            urgency: self.urgency(),
            trace: self.span.traceparent(),
        };
        let link = self.entry.peers.link(&choice.host);
        let event_sender = self.event_sender.clone();
        let result = sync::Arc::new(sync::OnceLock::new());
        let result_cell = result.clone();
        let (guard, cancelled) = SubscriptionGuard::new();
        tokio::spawn(async move {
            let fault = match link {
                Some(link) => {
                    subscription::receive_prefill(
                        &link,
                        prefill,
                        attempt,
                        &result_cell,
                        &event_sender,
                        cancelled,
                    )
                    .await
                }
                None => Some(Fault::Lost),
            };
            if let Some(fault) = fault {
                let _ = event_sender.send(Event::PrefillFault(attempt, fault));
            }
        });
        self.charge.record_use(self.request.prompt_tokens);
        self.prefill = Some(OpenPrefill {
            attempt,
            _guard: guard,
            result,
        });
    }

    pub(super) fn cancel_prefill(&mut self, attempt: u32) {
        self.prefill.take_if(|p| p.attempt == attempt);
    }

    /// Starts the stream at the host of the seat, from the token `offset` on.
    pub(super) fn start_decode(&mut self, round: u32, host: Name, offset: u32) {
        let result = self.prefill.as_ref().and_then(|p| p.result.get().cloned());
        let Some(result) = result else {
            let _ = self
                .event_sender
                .send(Event::DecodeFault(round, host, Fault::Lost));
            return;
        };
        let start = border::Start {
            request: self.request_id.clone(),
            attempt: round,
            source: result.source,
            kv: result.kv,
            model: self.request.model.to_string(),
            prompt: self.request.prompt.clone(),
            max: self.request.max_tokens,
            offset,
        };
        let link = self.entry.peers.link(&host);
        let event_sender = self.event_sender.clone();
        tokio::spawn(async move {
            let accepted = match link {
                Some(link) => link.start(start).await.unwrap_or(false),
                None => false,
            };
            if !accepted {
                let _ = event_sender.send(Event::DecodeFault(round, host, Fault::Lost));
            }
        });
    }

    /// Computes the urgency of the request for its next bid or prefill.
    fn urgency(&self) -> border::Urgency {
        if !self.entry.settings.policy.orders_by_target() {
            return arrival_order_urgency();
        }
        let now = time::Instant::now();
        let slack = self.deadline.saturating_duration_since(now).as_millis();
        let rate = self
            .entry
            .configuration()
            .and_then(|c| c.content.organisation(&self.organisation).map(|o| o.rate))
            .unwrap_or(1);
        let mut placement = self.entry.placement.lock();
        let share = placement.usage.share(&self.organisation, rate, now);
        let spec = self.lifecycle.spec();
        let first_token_time = placement.fleet.estimate_first_token(
            &spec.upstream,
            spec.prompt_tokens,
            &spec.prefixes,
        );
        border::Urgency {
            slack: i64::try_from(slack).unwrap_or(i64::MAX),
            waits: self.request.class.waits,
            share,
            work: u64::try_from(first_token_time.as_millis()).unwrap_or(u64::MAX),
            token: match placement
                .fleet
                .can_meet_target(&spec.upstream, spec.gap_target)
            {
                true => self.request.class.token_ms,
                false => NO_TARGET_MS,
            },
        }
    }
}
