//! Admits requests against the allowance of their organisation, borrowing
//! tokens from peers if this entry's share is too small.

use crate::entry::errors::ErrorResponse;
use crate::entry::state::Entry;
use quota::Admission;
use quota::ChargeId;
use std::sync;
use std::time;
use wire::api::EntryClient;
use wire::border;
use world::Name;

/// Maximum time to wait for one peer's response to a loan request.
const LOAN_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// Maximum time for one attempt to collect loans and make the charge. It is
/// shorter than [`quota::LOAN_LIFETIME`], the time for which a loan may be used.
const ALL_LOANS_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// Minimum time between two attempts to admit a waiting request.
const MIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(10);

/// The tokens charged for one admitted request. Dropping it settles the charge
/// at this entry and the loans at the lenders to what was used.
pub(crate) struct Charge {
    entry: sync::Arc<Entry>,
    organisation: Name,
    id: ChargeId,
    tokens: u64,
    loans: Vec<Loan>,
    /// Tokens used so far.
    used: u64,
}

/// Tokens that a peer has lent from its share for a request.
struct Loan {
    link: sync::Arc<wire::Connection>,
    tokens: u64,
}

impl Charge {
    /// Sets the number of tokens used so far, at most the number charged. The
    /// rest is refunded when the charge is dropped.
    pub(crate) fn record_use(&mut self, used: u64) {
        self.used = used.min(self.tokens);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let lent: u64 = self.loans.iter().map(|l| l.tokens).sum();
        let own = self.tokens - lent.min(self.tokens);
        let own_used = self.used.min(own);
        let now = time::Instant::now();
        self.entry.allowances.lock().escrow.settle(
            &self.organisation,
            &self.id,
            own_used as f64,
            now,
        );
        let loans = std::mem::take(&mut self.loans);
        settle_loans(&self.organisation, &self.id, loans, self.used - own_used);
    }
}

/// A request to be admitted.
pub(crate) struct AdmissionRequest<'a> {
    pub organisation: &'a Name,
    pub request_id: &'a str,
    /// Maximum number of tokens that the request may use (prompt and answer).
    pub tokens: u64,
    /// How long the request may wait until enough tokens are available.
    pub max_wait: time::Duration,
}

/// Charges a request against its organisation's allowance.
///
/// If tokens are missing but the organisation's rate will supply them within
/// `max_wait`, the request waits: it is within the allowance, so it must not be
/// refused. Otherwise it fails with status 429 and the time after which to
/// retry.
pub(crate) async fn admit(
    entry: &sync::Arc<Entry>,
    request: AdmissionRequest<'_>,
) -> Result<Charge, ErrorResponse> {
    let started = time::Instant::now();
    let mut attempt = 0;
    let mut queued: Option<QueuedTokens> = None;
    loop {
        let id = ChargeId(format!("{}#{attempt}", request.request_id));
        let missing = match try_admit(entry, &request, id).await? {
            AdmissionAttempt::Admitted(charge) => return Ok(charge),
            AdmissionAttempt::Insufficient(missing) => missing,
        };
        let tokens_ahead = QueuedTokens::tokens_ahead(entry, &request, queued.as_ref());
        let wait = entry
            .allowances
            .lock()
            .escrow
            .estimate_refill_time(request.organisation, missing + tokens_ahead);
        if started.elapsed() + wait > request.max_wait {
            metrics::counter!(
                "hornbeampitch_refused_total",
                "organisation" => request.organisation.to_string()
            )
            .increment(1);
            let message = "the organisation's allowance is used up";
            return Err(
                ErrorResponse::not_run(429, "over_allowance", message).with_retry_after(wait)
            );
        }
        queued.get_or_insert_with(|| QueuedTokens::register(entry, &request));
        attempt += 1;
        tokio::time::sleep(wait.max(MIN_RETRY_DELAY)).await;
    }
}

/// The result of one attempt to admit a request.
enum AdmissionAttempt {
    Admitted(Charge),
    /// The number of tokens that this entry and all its peers together lack.
    Insufficient(f64),
}

/// Registers the tokens that a waiting request needs, so that later requests
/// take them into account. Dropping it removes them.
struct QueuedTokens {
    entry: sync::Arc<Entry>,
    organisation: Name,
    tokens: u64,
}

impl QueuedTokens {
    fn register(entry: &sync::Arc<Entry>, request: &AdmissionRequest<'_>) -> Self {
        let mut allowances = entry.allowances.lock();
        *allowances
            .queued_tokens
            .entry(request.organisation.clone())
            .or_insert(0) += request.tokens;
        Self {
            entry: entry.clone(),
            organisation: request.organisation.clone(),
            tokens: request.tokens,
        }
    }

    /// Returns the tokens needed by the requests of the organisation that are
    /// already waiting. Returns 0 if the request has a `registration`, since it must
    /// not wait for its own tokens.
    fn tokens_ahead(
        entry: &Entry,
        request: &AdmissionRequest<'_>,
        registration: Option<&Self>,
    ) -> f64 {
        if registration.is_some() {
            return 0.0;
        }
        let allowances = entry.allowances.lock();
        let queued = allowances.queued_tokens.get(request.organisation);
        queued.copied().unwrap_or(0) as f64
    }
}

impl Drop for QueuedTokens {
    fn drop(&mut self) {
        let mut allowances = self.entry.allowances.lock();
        if let Some(queued) = allowances.queued_tokens.get_mut(&self.organisation) {
            *queued = queued.saturating_sub(self.tokens);
        }
    }
}

/// Tries once to charge a request, borrowing from one peer after the other
/// until the charge succeeds.
async fn try_admit(
    entry: &sync::Arc<Entry>,
    request: &AdmissionRequest<'_>,
    id: ChargeId,
) -> Result<AdmissionAttempt, ErrorResponse> {
    let organisation = request.organisation;
    let started = time::Instant::now();
    let mut loans: Vec<Loan> = Vec::new();
    let mut peers = entry.peers.entry_links();
    loop {
        let lent: u64 = loans.iter().map(|l| l.tokens).sum();
        if started.elapsed() > ALL_LOANS_TIMEOUT || !entry.can_authorize() {
            settle_loans(organisation, &id, loans, 0);
            return Err(ErrorResponse::not_run(
                503,
                "allowance_unknown",
                "the allowance could not be checked in time",
            ));
        }
        let now = time::Instant::now();
        let admission = entry.allowances.lock().escrow.charge(
            organisation,
            &id,
            request.tokens,
            lent as f64,
            now,
        );
        let missing = match admission {
            Admission::Admitted => {
                return Ok(AdmissionAttempt::Admitted(Charge {
                    entry: entry.clone(),
                    organisation: organisation.clone(),
                    id,
                    tokens: request.tokens,
                    loans,
                    used: 0,
                }));
            }
            Admission::TooLarge => {
                return Err(ErrorResponse::not_run(
                    400,
                    "exceeds_burst",
                    "the request needs more tokens than the organisation's burst",
                ));
            }
            Admission::Insufficient(missing) => missing,
        };
        let Some((_, link)) = peers.pop() else {
            settle_loans(organisation, &id, loans, 0);
            return Ok(AdmissionAttempt::Insufficient(missing));
        };
        let tokens = borrow(entry, &link, organisation, &id, missing).await;
        loans.push(Loan { link, tokens });
    }
}

/// Requests a loan of `missing` tokens from a peer, and returns how many it lent.
async fn borrow(
    entry: &Entry,
    link: &wire::Connection,
    organisation: &Name,
    id: &ChargeId,
    missing: f64,
) -> u64 {
    let loan = border::Loan {
        organisation: organisation.to_string(),
        charge: id.0.clone(),
        tokens: missing.ceil() as u64,
        epoch: entry.load.current().epoch,
    };
    metrics::counter!("hornbeampitch_loans_total").increment(1);
    match tokio::time::timeout(LOAN_TIMEOUT, link.lend(loan)).await {
        Ok(Ok(lent)) => lent.tokens,
        // If the peer lent tokens but its response was lost, it refunds them when the
        // loan is settled.
        Ok(Err(_)) | Err(_) => 0,
    }
}

/// Reports to the lenders how many tokens of their loans were used, so that they
/// refund the rest to their shares.
fn settle_loans(organisation: &Name, id: &ChargeId, loans: Vec<Loan>, mut used: u64) {
    for loan in loans {
        let loan_used = used.min(loan.tokens);
        used -= loan_used;
        let settle = border::Settle {
            organisation: organisation.to_string(),
            charge: id.0.clone(),
            used: loan_used,
        };
        tokio::spawn(async move {
            // If the lender has stopped, its share is lost together with the
            // loan, so there is nothing to refund.
            let _ = loan.link.settle(settle).await;
        });
    }
}
