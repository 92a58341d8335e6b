//! Runs requests that may crash engines one at a time.

use crate::admit::Job;
use crate::entry::Entry;
use std::rc;
use std::time;

/// Time between two looks whether a suspect may run.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// A run of a suspect. Until it is dropped, with the first event of its answer, this entry
/// runs no other request that holds the same suspected elements.
pub(crate) struct TrialGuard<P: seam::Platform> {
    entry: rc::Rc<Entry<P>>,
    elements: pool::ElementSet,
}

impl<P: seam::Platform> Drop for TrialGuard<P> {
    fn drop(&mut self) {
        let mut trials = self.entry.trials.borrow_mut();
        trials.retain(|e| !self.elements.contains(e));
    }
}

/// Waits until a request may run: at once if nothing that it holds is suspected, and
/// otherwise when no other request with it runs here. Returns the guard of a suspect.
pub(crate) async fn enter<P: seam::Platform>(
    entry: &rc::Rc<Entry<P>>,
    job: &Job,
) -> Option<TrialGuard<P>> {
    let mut is_logged = false;
    loop {
        let elements = entry.quarantine.borrow().suspected(&job.elements);
        if elements.is_empty() {
            return None;
        }
        let can_start = claim(entry, &elements);
        if can_start || !is_logged {
            is_logged = true;
            job.log_line("trial")
                .with("suspected", elements.len())
                .with("waits", !can_start)
                .info();
        }
        if can_start {
            return Some(TrialGuard {
                entry: entry.clone(),
                elements,
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Claims the suspected elements of a request for its run, if it may begin now.
fn claim<P: seam::Platform>(entry: &Entry<P>, elements: &pool::ElementSet) -> bool {
    let now = time::Instant::now();
    let index = entry.position().0;
    let start = entry.quarantine.borrow().trial_start(elements, index, now);
    let mut trials = entry.trials.borrow_mut();
    let can_start = start <= now && trials.is_disjoint(elements);
    if can_start {
        trials.extend(elements.iter().cloned());
    }
    can_start
}
