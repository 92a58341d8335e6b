//! Account of how all requests ended that an entry read whole: answered, refused, failed or
//! cut off.

use crate::tracks::CallEnd;
use crate::tracks::CallRecord;
use crate::tracks::CallerRequest;
use crate::tracks::RequestLog;
use crate::tracks::SilentSite;
use crate::tracks::silent_answer::Answer;
use std::collections;
use std::fmt;
use std::time;

/// A connection that ends earlier than this after a request was sent may have been closed
/// before the request arrived.
const CROSSING_TIME: time::Duration = time::Duration::from_millis(200);
/// An entry ends its answers this much earlier than the time limit of their request.
const DEADLINE_MARGIN: time::Duration = time::Duration::from_millis(20);

/// Statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// A request with what its caller knows about it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The request.
    pub request: CallerRequest,
    /// How it ended.
    pub record: CallRecord,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Its host's whole answer arrived.
    Answered,
    /// The entry refused it.
    Refused,
    /// It crossed the close of its connection, and no entry read it.
    Unread,
    /// Its answer or the wait for it ended at its time limit.
    Overdue,
    /// The entry answered that the outcome is unknown.
    Failed,
    /// The entry refused it as not run, though a host had begun to run it.
    FalselyRefused,
    /// Its connection was closed before the answer was whole.
    Cut,
    /// The caller got nothing until after the request's time limit.
    Unanswered,
    /// The answer arrived as whole, with another body than its host's.
    Altered,
}

impl Outcome {
    /// Returns whether sound hosts exclude this outcome.
    fn is_fault(self) -> bool {
        self >= Outcome::Failed
    }
}

/// How one request ended, and why.
#[derive(Clone, Debug)]
pub struct AccountRow {
    /// Id of the request.
    pub id: String,
    /// Its path.
    pub path: String,
    /// How it ended.
    pub outcome: Outcome,
    /// Cause of a cut, a failure or a refusal, as the entry's log names it; empty without
    /// a line.
    pub cause: String,
    /// Time from the request's last byte to its end.
    pub age: time::Duration,
    /// HTTP status; 0 without a head.
    pub status: u16,
    /// Lines of the entries' logs about it.
    pub lines: Vec<String>,
}

/// The rows of all requests.
#[derive(Clone, Debug, Default)]
pub struct RequestAccount {
    /// One row for each request.
    pub rows: Vec<AccountRow>,
}

impl RequestAccount {
    /// Joins what callers know with the logs of the entries and with what arrived at the
    /// workers, which are sound. No request has a shorter time limit than `min_timeout`.
    pub fn of_site(site: &SilentSite, sent: &[SentRequest], min_timeout: time::Duration) -> Self {
        let log = RequestLog::read(&site.cluster);
        let received: collections::BTreeSet<String> =
            site.workers.iter().flat_map(|w| w.received_ids()).collect();
        let row = |sent: &SentRequest| {
            let id = &sent.request.id;
            let has_run = received.contains(id);
            let is_read = has_run || !log.lines(id).is_empty();
            let age = sent.record.ended_at - sent.record.sent_at;
            let is_overdue = age + DEADLINE_MARGIN >= min_timeout;
            let outcome = match outcome(sent, is_read, is_overdue) {
                Outcome::Refused if has_run && PROMISES.contains(&sent.record.status) => {
                    Outcome::FalselyRefused
                }
                outcome => outcome,
            };
            AccountRow {
                id: id.clone(),
                path: sent.request.path.clone(),
                outcome,
                cause: log.cause(id).to_owned(),
                age,
                status: sent.record.status,
                lines: log.lines(id).to_vec(),
            }
        };
        Self {
            rows: sent.iter().map(row).collect(),
        }
    }

    /// Returns the rows of the requests that ended as they must not with sound hosts.
    pub fn faults(&self) -> Vec<&AccountRow> {
        let rows = self.rows.iter();
        rows.filter(|r| r.outcome.is_fault()).collect()
    }

    /// Returns how many requests ended in this way.
    pub fn count(&self, outcome: Outcome) -> usize {
        self.rows.iter().filter(|r| r.outcome == outcome).count()
    }
}

impl fmt::Display for AccountRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (outcome, age) = (self.outcome, self.age);
        writeln!(
            f,
            "{outcome:?} {} {} status={} cause={} after {age:?}",
            self.id, self.path, self.status, self.cause
        )?;
        for line in &self.lines {
            writeln!(f, "    {line}")?;
        }
        Ok(())
    }
}

fn outcome(sent: &SentRequest, is_read: bool, is_overdue: bool) -> Outcome {
    let record = &sent.record;
    let age = record.ended_at - record.sent_at;
    match (record.end, record.status) {
        (CallEnd::Whole, 200) if record.body == Answer::from_path(&sent.request.path).body() => {
            Outcome::Answered
        }
        (CallEnd::Whole, 200) => Outcome::Altered,
        (CallEnd::Whole, 500..=502 | 504..) if is_overdue => Outcome::Overdue,
        (CallEnd::Whole, 500..=502 | 504..) => Outcome::Failed,
        (CallEnd::Whole, _) => Outcome::Refused,
        (CallEnd::GaveUp, _) => Outcome::Unanswered,
        (CallEnd::NoAnswer, _) if !is_read && age < CROSSING_TIME => Outcome::Unread,
        (CallEnd::Cut | CallEnd::NoAnswer, _) if is_overdue => Outcome::Overdue,
        (CallEnd::Cut | CallEnd::NoAnswer, _) => Outcome::Cut,
    }
}
