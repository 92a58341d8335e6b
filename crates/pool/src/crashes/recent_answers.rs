//! Remembers which elements of requests have been answered lately.

use crate::crashes::evidence::Element;
use std::collections;
use std::mem;
use std::time;

/// Number of elements in one generation; two generations are kept.
const GENERATION_SIZE: usize = 8_192;

/// Times of the last answers, by element. Elements that were answered longest ago are
/// forgotten first once there are too many.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentAnswers {
    current: collections::HashMap<Element, time::Instant>,
    previous: collections::HashMap<Element, time::Instant>,
}

impl RecentAnswers {
    /// Records an answer unless a later one is known.
    pub(super) fn record(&mut self, element: &Element, at: time::Instant) {
        let at = self.last(element).map_or(at, |last| last.max(at));
        if let Some(known) = self.current.get_mut(element) {
            *known = at;
            return;
        }
        if self.current.len() >= GENERATION_SIZE {
            self.previous = mem::take(&mut self.current);
        }
        self.current.insert(element.clone(), at);
    }

    /// Returns when the element was last answered, if that is known.
    pub(super) fn last(&self, element: &Element) -> Option<time::Instant> {
        let current = self.current.get(element);
        current.or_else(|| self.previous.get(element)).copied()
    }
}
