//! Reloads the settings while the process runs.

use crate::entry::Entry;
use std::rc;
use std::time;

/// Interval between reloads, since the settings may change without a signal.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// What caused the settings to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trigger {
    /// A signal announced that they changed.
    Signal,
    /// The poll interval has passed.
    Poll,
}

/// Reads the settings again and applies the platform's bounds, which may change
/// at run time: the retry ratio, the retry slack and the grace period. The windows
/// and the lease's time to live stay as they were at the start. Changed addresses
/// also take effect only at the next start, so that no connection is lost. Invalid
/// settings change nothing.
pub(crate) fn reload<P: seam::Platform>(entry: &Entry<P>, trigger: Trigger) {
    let settings = match P::load_settings() {
        Ok(settings) => settings,
        Err(error) => {
            trace::LogLine::new("settings_refused")
                .with("fault", error)
                .warn();
            return;
        }
    };
    let changed = settings.bounds != entry.bounds.get();
    if changed {
        let bounds = settings.bounds;
        entry.bounds.set(bounds);
        let mut retry_budget = entry.retry_budget.borrow_mut();
        retry_budget.set_limits(bounds.retry_ratio, bounds.retry_slack);
    }
    if changed || trigger == Trigger::Signal {
        trace::LogLine::new("reload")
            .with("changed", changed)
            .info();
    }
}

/// Reloads the settings at intervals.
pub(crate) async fn poll_settings<P: seam::Platform>(entry: rc::Rc<Entry<P>>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        reload(&entry, Trigger::Poll);
    }
}
