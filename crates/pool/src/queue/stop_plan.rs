//! Decides until when an entry that was told to stop accepts connections and passes requests
//! on, so that the end of its grace period cuts no answer.
//!
//! A request that is refused unrun can go to another entry; one that was passed on can't.

use std::time;

/// How long connections are still accepted after the signal to stop: the platform needs two
/// failed probes, a second apart, before it sends callers to other entries.
const ACCEPT_TIME: time::Duration = time::Duration::from_millis(2_700);
/// In a short grace period, connections are accepted for at most this part of it.
const ACCEPT_PART: f64 = 0.4;
/// The last part of the grace period belongs to answers under way: what may last beyond it
/// is passed on only before.
const ANSWER_DIVISOR: u32 = 2;
/// Part of the grace period that is reserved for the process to exit.
const EXIT_MARGIN: time::Duration = time::Duration::from_millis(250);
/// How long before the end what still waits is refused, so that its answer is sent.
const REFUSAL_MARGIN: time::Duration = time::Duration::from_millis(250);

/// A planned stop. The grace period may be changed while it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// When the process was told to stop.
    pub signalled_at: time::Instant,
    /// How long it has until it is killed.
    pub grace_period: time::Duration,
}

impl StopPlan {
    /// Returns until when connections are accepted.
    pub fn accept_end(&self) -> time::Instant {
        self.signalled_at + ACCEPT_TIME.min(self.grace_period.mul_f64(ACCEPT_PART))
    }

    /// Returns when the process exits at the latest.
    pub fn end(&self) -> time::Instant {
        self.signalled_at + self.grace_period.saturating_sub(EXIT_MARGIN)
    }

    /// Returns when to refuse a request of which not all has been read, or which waits for
    /// something else than an answer.
    pub fn last_refusal(&self) -> time::Instant {
        let margin = EXIT_MARGIN + REFUSAL_MARGIN;
        self.signalled_at + self.grace_period.saturating_sub(margin)
    }

    /// Returns from when a request must not be passed on any more; `None` if its deadline
    /// ends it in time. One that arrived when the entry was to be left already gets no part
    /// of the time that is kept for answers.
    pub fn refuse_at(
        &self,
        arrived_at: time::Instant,
        deadline: time::Instant,
    ) -> Option<time::Instant> {
        if deadline <= self.last_refusal() {
            return None;
        }
        let half = self.signalled_at + self.grace_period / ANSWER_DIVISOR;
        Some(match arrived_at <= self.accept_end() {
            true => half,
            false => self.accept_end(),
        })
    }
}
