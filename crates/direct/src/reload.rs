//! Settings that change while the process runs.

use crate::entry::Entry;
use std::rc;
use std::time;

/// How often the settings are looked at, since they may change without a signal.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Why settings are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trigger {
    /// The process was told that they have changed.
    Signal,
    /// They may have changed.
    Poll,
}

/// Reads the settings anew and goes by what may change in a running process: the
/// platform's demands. Addresses hold until the next start, so that no connection
/// is lost. Settings that are wrong change nothing.
pub(crate) fn reload<P: seam::Platform>(entry: &Entry<P>, trigger: Trigger) {
    let settings = match P::load_settings() {
        Ok(settings) => settings,
        Err(error) => {
            trace::Line::new("settings_refused")
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
        trace::Line::new("reload").with("changed", changed).info();
    }
}

/// Looks at the settings again and again.
pub(crate) async fn poll_settings<P: seam::Platform>(entry: rc::Rc<Entry<P>>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        reload(&entry, Trigger::Poll);
    }
}
