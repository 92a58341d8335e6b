//! Silences of a fake worker, which goes on after them as if nothing had been.

use std::sync;
use std::thread;
use std::time;

/// Where a worker falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilencePoint {
    /// Before the answer to a reservation.
    Reservation,
    /// Before the answer to a prefill.
    Prefill,
    /// Before the answer to a question for the engine's state.
    Report,
    /// Before the answer to an order to change its stage.
    Order,
    /// Between the head and the body of a caller's request, which the worker leaves unread.
    InsideRequest,
    /// Before the head of an answer to a caller.
    BeforeHead,
    /// In the middle of that head.
    InsideHead,
    /// Between the events after so many of them; with 0, between the head and the first, with
    /// their number, between the last and the end of the body.
    BetweenEvents(u64),
    /// In the middle of the event after so many of them.
    InsideEvent(u64),
    /// In the middle of a plain body.
    InsideBody,
}

/// A silence that a worker is to fall into once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// Where it begins.
    pub point: SilencePoint,
    /// How long it lasts.
    pub duration: time::Duration,
}

/// Holds back whatever the workers that share it send while they are silent. Each port stays open, and each
/// kernel acknowledges what arrives.
#[derive(Debug, Default)]
pub struct SilenceGate {
    state: sync::Mutex<GateState>,
}

#[derive(Debug, Default)]
struct GateState {
    planned: Option<Silence>,
    silent_until: Option<time::Instant>,
}

impl SilenceGate {
    /// Plans a silence for the next answer that gets to its point.
    pub fn plan(&self, silence: Silence) {
        self.state().planned = Some(silence);
    }

    /// Begins a silence now, or extends the present one.
    pub fn begin(&self, duration: time::Duration) {
        let mut state = self.state();
        let end = time::Instant::now() + duration;
        state.silent_until = state.silent_until.max(Some(end));
    }

    /// Returns whether no silence is planned or under way.
    pub fn is_idle(&self) -> bool {
        let state = self.state();
        state.planned.is_none() && state.silent_until.is_none_or(|t| t < time::Instant::now())
    }

    /// Begins the planned silence if it is to begin here, and waits until the worker is
    /// not silent.
    pub(super) fn pass(&self, point: Option<SilencePoint>) {
        let mut state = self.state();
        if let Some(planned) = state.planned.filter(|p| Some(p.point) == point) {
            state.planned = None;
            state.silent_until = Some(time::Instant::now() + planned.duration);
        }
        drop(state);
        while let Some(left) = self.time_left() {
            thread::sleep(left);
        }
    }

    /// Returns how long the worker stays silent; none if it is not.
    fn time_left(&self) -> Option<time::Duration> {
        let end = self.state().silent_until?;
        let left = end.saturating_duration_since(time::Instant::now());
        Some(left).filter(|l| !l.is_zero())
    }

    fn state(&self) -> sync::MutexGuard<'_, GateState> {
        self.state.lock().expect("the mutex is not poisoned")
    }
}
