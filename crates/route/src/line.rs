//! Waiting work, ordered by what it can still reach.

use crate::urgency::Urgency;

/// Names one attempt at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// One that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiter<N> {
    pub ticket: Ticket,
    pub urgency: Urgency,
    pub need: N,
    order: u64,
    passed: u32,
}

/// Whether one that waits can be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fit {
    Now,
    /// Not yet; it must not be passed for ever.
    Later,
    /// It would do better elsewhere; others may pass.
    Better,
}

/// Work that waits, taken by rank; equal ranks in order of arrival.
#[derive(Clone, Debug)]
pub(crate) struct Line<N> {
    waiters: Vec<Waiter<N>>,
    arrivals: u64,
}

/// How often smaller work may pass one that does not fit yet.
const MOST_PASSES: u32 = 8;

impl<N> Line<N> {
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

    pub(crate) fn join(&mut self, ticket: Ticket, urgency: Urgency, need: N) {
        self.arrivals += 1;
        self.waiters.push(Waiter {
            ticket,
            urgency,
            need,
            order: self.arrivals,
            passed: 0,
        });
    }

    pub(crate) fn leave(&mut self, ticket: Ticket) -> Option<Waiter<N>> {
        let i = self.waiters.iter().position(|w| w.ticket == ticket)?;
        Some(self.waiters.remove(i))
    }

    /// Ends every wait; gives those that waited.
    pub(crate) fn clear(&mut self) -> Vec<Ticket> {
        self.waiters.drain(..).map(|w| w.ticket).collect()
    }

    /// Takes the first by `rank` that fits; equals in the order they came. One
    /// that has been passed too often holds all others back until it fits.
    pub(crate) fn take<R: Ord>(
        &mut self,
        rank: impl Fn(&Waiter<N>) -> R,
        fits: impl Fn(&Waiter<N>) -> Fit,
    ) -> Option<Waiter<N>> {
        let mut order: Vec<usize> = (0..self.waiters.len()).collect();
        order.sort_by_key(|&i| {
            let w = &self.waiters[i];
            (rank(w), w.order)
        });
        let mut passed = Vec::new();
        for i in order {
            match fits(&self.waiters[i]) {
                Fit::Now => {
                    for p in passed {
                        let w: &mut Waiter<N> = &mut self.waiters[p];
                        w.passed += 1;
                    }
                    return Some(self.waiters.remove(i));
                }
                Fit::Better => {}
                Fit::Later if self.waiters[i].passed >= MOST_PASSES => return None,
                Fit::Later => passed.push(i),
            }
        }
        None
    }
}
