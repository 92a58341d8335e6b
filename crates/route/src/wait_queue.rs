//! A priority queue of waiting requests whose ranks change with time.

use crate::urgency::Urgency;

/// Identifies one attempt of a request at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// A waiting request and the amount of a resource that it needs.
#[derive(Clone, Debug)]
pub(crate) struct Waiter<N> {
    pub attempt: AttemptId,
    pub urgency: Urgency,
    pub need: N,
    /// Sequence number of arrival.
    arrival: u64,
    /// How often a later-ranked request was admitted while this one did not fit.
    overtaken: u32,
}

/// Whether a waiting request can be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It fits now and is served well here.
    Now,
    /// It doesn't fit yet. Others may overtake it a limited number of times.
    Later,
    /// It is better served elsewhere. Others may overtake it without limit.
    Elsewhere,
}

/// Waiting requests, taken by rank and among equal ranks in order of arrival.
#[derive(Clone, Debug)]
pub(crate) struct WaitQueue<N> {
    waiters: Vec<Waiter<N>>,
    /// Number of requests added so far.
    arrivals: u64,
}

/// How often others may overtake a request that doesn't fit yet.
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

    /// Removes all waiting requests and returns them.
    pub(crate) fn take_all(&mut self) -> Vec<AttemptId> {
        self.waiters.drain(..).map(|w| w.attempt).collect()
    }

    /// Removes and returns the first request by `rank`, then by arrival, that is
    /// admitted now. A request that was overtaken too often blocks all that rank
    /// after it until it fits.
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
        let mut skipped = Vec::new();
        for i in order {
            match admission(&self.waiters[i]) {
                Admission::Now => {
                    for p in skipped {
                        let w: &mut Waiter<N> = &mut self.waiters[p];
                        w.overtaken += 1;
                    }
                    return Some(self.waiters.remove(i));
                }
                Admission::Elsewhere => {}
                Admission::Later if self.waiters[i].overtaken >= MAX_OVERTAKES => return None,
                Admission::Later => skipped.push(i),
            }
        }
        None
    }
}
