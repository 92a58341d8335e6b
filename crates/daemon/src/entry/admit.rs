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

/// Least wait before tokens are looked for again.
const LEAST_WAIT: time::Duration = time::Duration::from_millis(10);

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

/// A request that wants to be admitted.
pub(crate) struct Wish<'a> {
    pub organisation: &'a Name,
    pub request: &'a str,
    /// Most tokens that it may use.
    pub tokens: u64,
    /// How long it may wait for tokens that are about to be there.
    pub patience: time::Duration,
}

/// Charges a request, or says when to come back.
///
/// A request that lacks only what its organisation's rate brings within its
/// patience waits for it: that is within the allowance, so it isn't refused.
pub(crate) async fn admit(entry: &sync::Arc<Entry>, wish: Wish<'_>) -> Result<Charge, Refusal> {
    let began = time::Instant::now();
    let mut round = 0;
    let mut queued: Option<Queued> = None;
    loop {
        let id = ChargeId(format!("{}#{round}", wish.request));
        let missing = match try_admit(entry, &wish, id).await? {
            Tried::Admitted(charge) => return Ok(charge),
            Tried::Short(missing) => missing,
        };
        let ahead = Queued::ahead(entry, &wish, queued.as_ref());
        let wait = entry
            .allowances
            .lock()
            .escrow
            .wait(wish.organisation, missing + ahead);
        if began.elapsed() + wait > wish.patience {
            metrics::counter!(
                "hornbeampitch_refused_total",
                "organisation" => wish.organisation.to_string()
            )
            .increment(1);
            let text = "the organisation's allowance is used up";
            return Err(Refusal::not_run(429, "over_allowance", text).after(wait));
        }
        queued.get_or_insert_with(|| Queued::join(entry, &wish));
        round += 1;
        tokio::time::sleep(wait.max(LEAST_WAIT)).await;
    }
}

enum Tried {
    Admitted(Charge),
    /// So many tokens are missing at this entry and all its peers.
    Short(f64),
}

/// Tokens that a waiting request is about to take, seen by those behind it.
struct Queued {
    entry: sync::Arc<Entry>,
    organisation: Name,
    tokens: u64,
}

impl Queued {
    fn join(entry: &sync::Arc<Entry>, wish: &Wish<'_>) -> Self {
        let mut allowances = entry.allowances.lock();
        *allowances
            .queued
            .entry(wish.organisation.clone())
            .or_insert(0) += wish.tokens;
        Self {
            entry: entry.clone(),
            organisation: wish.organisation.clone(),
            tokens: wish.tokens,
        }
    }

    /// Tokens that others wait for; one that waits itself is not behind them.
    fn ahead(entry: &Entry, wish: &Wish<'_>, own: Option<&Self>) -> f64 {
        if own.is_some() {
            return 0.0;
        }
        let allowances = entry.allowances.lock();
        let queued = allowances.queued.get(wish.organisation);
        queued.copied().unwrap_or(0) as f64
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        let mut allowances = self.entry.allowances.lock();
        if let Some(queued) = allowances.queued.get_mut(&self.organisation) {
            *queued = queued.saturating_sub(self.tokens);
        }
    }
}

/// Charges a request once, with whatever peers can lend now.
async fn try_admit(
    entry: &sync::Arc<Entry>,
    wish: &Wish<'_>,
    id: ChargeId,
) -> Result<Tried, Refusal> {
    let organisation = wish.organisation;
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
                .charge(organisation, &id, wish.tokens, lent as f64, now);
        let missing = match admission {
            Admission::Admitted => {
                return Ok(Tried::Admitted(Charge {
                    entry: entry.clone(),
                    organisation: organisation.clone(),
                    id,
                    tokens: wish.tokens,
                    loans,
                    used: 0,
                }));
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
            return Ok(Tried::Short(missing));
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
