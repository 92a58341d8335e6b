//! Stops that cut off no request.

use crate::entry::Entry;
use crate::reload;
use std::io;
use std::rc;
use std::time;
use tokio::signal::unix;
use tokio::sync::watch;

/// How long connections are still taken after the word to stop: the platform
/// needs two misses, a second apart, before it sends callers elsewhere.
const ACCEPT_TIME: time::Duration = time::Duration::from_millis(2_700);
/// How often it is looked whether requests are still in hand.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// What is left of the grace for the process to end in.
const EXIT_MARGIN: time::Duration = time::Duration::from_millis(250);

/// The signals that a process answers. A signal that comes earlier ends the
/// process, so they are taken before the settings are read.
#[derive(Debug)]
pub struct Signals {
    term: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

impl Signals {
    /// Takes the signals from now on; must be called within a runtime. Gives the
    /// system's error where it has no handler left.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            term: unix::signal(unix::SignalKind::terminate())?,
            interrupt: unix::signal(unix::SignalKind::interrupt())?,
            hangup: unix::signal(unix::SignalKind::hangup())?,
        })
    }
}

/// Waits for the word to stop, then until all requests are answered.
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
    let signalled = time::Instant::now();
    entry.stopping.set(true);
    trace::Line::new("stopping")
        .with("requests", entry.active_requests.get())
        .info();
    tokio::time::sleep(ACCEPT_TIME).await;
    // The receivers are the connections; there may be none.
    let _ = closing.send(true);
    let end = signalled + entry.bounds.get().grace_period.saturating_sub(EXIT_MARGIN);
    while entry.active_requests.get() > 0 && time::Instant::now() < end {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    // The last bytes of answers are still on their way out.
    tokio::time::sleep(CHECK_INTERVAL * 2).await;
    trace::Line::new("stopped")
        .with("requests", entry.active_requests.get())
        .info();
    Ok(())
}
