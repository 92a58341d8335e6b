//! Settings that change while the process runs.

use crate::entry::Entry;
use std::rc;
use std::time;

/// How often the settings are looked at, since they may change without a signal.
const LOOK_GAP: time::Duration = time::Duration::from_secs(2);

/// Why settings are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Why {
    /// The process was told that they have changed.
    Signal,
    /// They may have changed.
    Look,
}

/// Reads the settings anew and goes by what may change in a running process: the
/// platform's demands. Addresses hold until the next start, so that no connection
/// is lost. Settings that are wrong change nothing.
pub(crate) fn read<P: seam::Platform>(entry: &Entry<P>, why: Why) {
    let settings = match P::load_settings() {
        Ok(settings) => settings,
        Err(fault) => {
            trace::Line::new("settings_refused")
                .with("fault", fault)
                .warn();
            return;
        }
    };
    let changed = settings.bounds != entry.duties.get();
    if changed {
        let duties = settings.bounds;
        entry.duties.set(duties);
        let mut retries = entry.retries.borrow_mut();
        retries.set_limits(duties.retry_ratio, duties.retry_slack);
    }
    if changed || why == Why::Signal {
        trace::Line::new("reload").with("changed", changed).info();
    }
}

/// Looks at the settings again and again.
pub(crate) async fn follow<P: seam::Platform>(entry: rc::Rc<Entry<P>>) {
    loop {
        tokio::time::sleep(LOOK_GAP).await;
        read(&entry, Why::Look);
    }
}
