//! Admission against an organisation's allowance, with loans from peers.

use crate::entry::core::Entry;
use crate::entry::errors::Refusal;
use quota::Admission;
use quota::ChargeId;
use std::sync;
use std::time;
use wire::api::EntryClient;
use wire::border;
use world::Name;

/// Most time for one peer's answer to a loan.
const LOAN_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// All loans of one admission are used within this; shorter than they live.
const LOANS_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// What one request was charged, to be settled when it ends.
pub(crate) struct Charge {
    entry: sync::Arc<Entry>,
    organisation: Name,
    id: ChargeId,
    tokens: u64,
    loans: Vec<Taken>,
    used: u64,
}

/// Tokens that a peer has subtracted.
struct Taken {
    link: sync::Arc<wire::Link>,
    tokens: u64,
}

impl Charge {
    /// Notes what has been used so far; the rest is given back at the end.
    pub(crate) fn spend(&mut self, used: u64) {
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
        repay(&self.organisation, &self.id, loans, self.used - own_used);
    }
}

/// Charges a request, or says when to come back.
pub(crate) async fn admit(
    entry: &sync::Arc<Entry>,
    organisation: &Name,
    id: &str,
    tokens: u64,
) -> Result<Charge, Refusal> {
    let id = ChargeId(id.to_owned());
    let began = time::Instant::now();
    let mut loans: Vec<Taken> = Vec::new();
    let mut peers = entry.peers.entries();
    loop {
        let lent: u64 = loans.iter().map(|l| l.tokens).sum();
        if began.elapsed() > LOANS_TIMEOUT || !entry.trusted() {
            repay(organisation, &id, loans, 0);
            return Err(Refusal::not_run(
                503,
                "allowance_unknown",
                "the allowance could not be checked in time",
            ));
        }
        let now = time::Instant::now();
        let admission =
            entry
                .allowances
                .lock()
                .escrow
                .charge(organisation, &id, tokens, lent as f64, now);
        let missing = match admission {
            Admission::Admitted => {
                return Ok(Charge {
                    entry: entry.clone(),
                    organisation: organisation.clone(),
                    id,
                    tokens,
                    loans,
                    used: 0,
                });
            }
            Admission::TooLarge => {
                return Err(Refusal::not_run(
                    400,
                    "exceeds_burst",
                    "the request needs more tokens than the organisation's burst",
                ));
            }
            Admission::Short(missing) => missing,
        };
        let Some((_, link)) = peers.pop() else {
            repay(organisation, &id, loans, 0);
            let wait = entry.allowances.lock().escrow.wait(organisation, missing);
            metrics::counter!("hornbeampitch_refused_total", "organisation" => organisation.to_string())
                .increment(1);
            let text = "the organisation's allowance is used up";
            return Err(Refusal::not_run(429, "over_allowance", text).after(wait));
        };
        let tokens = borrow(entry, &link, organisation, &id, missing).await;
        loans.push(Taken { link, tokens });
    }
}

async fn borrow(
    entry: &Entry,
    link: &wire::Link,
    organisation: &Name,
    id: &ChargeId,
    missing: f64,
) -> u64 {
    let loan = border::Loan {
        organisation: organisation.to_string(),
        charge: id.0.clone(),
        tokens: missing.ceil() as u64,
        epoch: entry.heart.get().epoch,
    };
    metrics::counter!("hornbeampitch_loans_total").increment(1);
    match tokio::time::timeout(LOAN_TIMEOUT, link.lend(loan)).await {
        Ok(Ok(lent)) => lent.tokens,
        // Where the answer was lost, the settlement gives the tokens back.
        Ok(Err(_)) | Err(_) => 0,
    }
}

/// Tells lenders what of their loans was used.
fn repay(organisation: &Name, id: &ChargeId, loans: Vec<Taken>, mut used: u64) {
    for loan in loans {
        let spent = used.min(loan.tokens);
        used -= spent;
        let settle = border::Settle {
            organisation: organisation.to_string(),
            charge: id.0.clone(),
            used: spent,
        };
        tokio::spawn(async move {
            // A lender that is gone has lost its slice with the loan.
            let _ = loan.link.settle(settle).await;
        });
    }
}
