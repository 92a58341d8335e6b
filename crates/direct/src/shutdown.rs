//! Graceful shutdown, which lets running requests finish.

use crate::entry::Entry;
use crate::reload;
use std::io;
use std::rc;
use std::time;
use tokio::signal::unix;
use tokio::sync::watch;

/// Interval at which to check whether requests are still active.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Checks in a row without an active request after which the process exits. A request may
/// be read just as its connection is told to close. A request is active until all bytes of
/// its response have been written.
const MIN_IDLE_CHECKS: u32 = 4;

/// The signals that a process handles. A signal without a handler kills the
/// process, so the handlers are installed before the settings are read.
#[derive(Debug)]
pub struct Signals {
    term: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

impl Signals {
    /// Installs the signal handlers. It must be called within a Tokio runtime,
    /// and returns the system's error if a handler can't be installed.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            term: unix::signal(unix::SignalKind::terminate())?,
            interrupt: unix::signal(unix::SignalKind::interrupt())?,
            hangup: unix::signal(unix::SignalKind::hangup())?,
        })
    }
}

/// Reloads the settings on SIGHUP until the signal to stop arrives, and then waits
/// until all answers have been sent, at most for the grace period.
pub(crate) async fn run_until_stopped<P: seam::Platform>(
    entry: &rc::Rc<Entry<P>>,
    mut signals: Signals,
    closing: &watch::Sender<bool>,
) -> io::Result<()> {
    loop {
        tokio::select! {
            _ = signals.term.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => reload::reload(entry, reload::Trigger::Signal),
        }
    }
    let signalled_at = time::Instant::now();
    let plan = pool::StopPlan {
        signalled_at,
        grace_period: entry.bounds.get().grace_period,
    };
    entry.stopped_at.send_replace(Some(signalled_at));
    trace::LogLine::new("stopping")
        .with("requests", entry.active_requests.get())
        .info();
    tokio::time::sleep_until(plan.accept_end().into()).await;
    // The receivers are the listeners and the open connections. An error would mean
    // that none is left to be closed.
    let _ = closing.send(true);
    let is_over = || {
        let plan = entry.stop_plan();
        plan.is_none_or(|p| p.end() <= time::Instant::now())
    };
    let mut idle_checks = 0;
    while idle_checks < MIN_IDLE_CHECKS && !is_over() {
        tokio::time::sleep(CHECK_INTERVAL).await;
        idle_checks = match entry.active_requests.get() {
            0 => idle_checks + 1,
            _ => 0,
        };
    }
    trace::LogLine::new("stopped")
        .with("requests", entry.active_requests.get())
        .info();
    Ok(())
}
