//! Waiting work, ordered by what it can still reach.

use crate::urgency::Urgency;

/// Names one attempt at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// One that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiter<N> {
    pub attempt: AttemptId,
    pub urgency: Urgency,
    pub need: N,
    arrival: u64,
    overtaken: u32,
}

/// Whether one that waits can be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    Now,
    /// Not yet; it must not be passed for ever.
    Later,
    /// It would do better elsewhere; others may pass.
    Elsewhere,
}

/// Work that waits, taken by rank; equal ranks in order of arrival.
#[derive(Clone, Debug)]
pub(crate) struct WaitQueue<N> {
    waiters: Vec<Waiter<N>>,
    arrivals: u64,
}

/// How often smaller work may pass one that does not fit yet.
const MAX_OVERTAKES: u32 = 8;

impl<N> WaitQueue<N> {
    pub(crate) fn new() -> Self {
        Self {
            waiters: Vec::new(),
            arrivals: 0,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiters.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Waiter<N>> {
        self.waiters.iter()
    }

    pub(crate) fn push(&mut self, attempt: AttemptId, urgency: Urgency, need: N) {
        self.arrivals += 1;
        self.waiters.push(Waiter {
            attempt,
            urgency,
            need,
            arrival: self.arrivals,
            overtaken: 0,
        });
    }

    pub(crate) fn remove(&mut self, attempt: AttemptId) -> Option<Waiter<N>> {
        let i = self.waiters.iter().position(|w| w.attempt == attempt)?;
        Some(self.waiters.remove(i))
    }

    /// Ends every wait; gives those that waited.
    pub(crate) fn clear(&mut self) -> Vec<AttemptId> {
        self.waiters.drain(..).map(|w| w.attempt).collect()
    }

    /// Takes the first by `rank` that fits; equals in the order they came. One
    /// that has been passed too often holds all others back until it fits.
    pub(crate) fn take_first<R: Ord>(
        &mut self,
        rank: impl Fn(&Waiter<N>) -> R,
        admission: impl Fn(&Waiter<N>) -> Admission,
    ) -> Option<Waiter<N>> {
        let mut order: Vec<usize> = (0..self.waiters.len()).collect();
        order.sort_by_key(|&i| {
            let w = &self.waiters[i];
            (rank(w), w.arrival)
        });
        let mut passed = Vec::new();
        for i in order {
            match admission(&self.waiters[i]) {
                Admission::Now => {
                    for p in passed {
                        let w: &mut Waiter<N> = &mut self.waiters[p];
                        w.overtaken += 1;
                    }
                    return Some(self.waiters.remove(i));
                }
                Admission::Elsewhere => {}
                Admission::Later if self.waiters[i].overtaken >= MAX_OVERTAKES => return None,
                Admission::Later => passed.push(i),
            }
        }
        None
    }
}
