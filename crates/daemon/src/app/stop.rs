//! Handles the signals that request a shutdown.

use signal_hook::consts;
use signal_hook::iterator;
use std::io;
use std::thread;
use tokio::sync::watch;

/// A handle for waiting until a shutdown is requested by SIGTERM or SIGINT.
pub(crate) struct ShutdownSignal {
    requested: watch::Receiver<bool>,
}

impl ShutdownSignal {
    /// Installs the signal handlers and starts the thread that waits for
    /// signals.
    pub(crate) fn install() -> io::Result<Self> {
        let (sender, requested) = watch::channel(false);
        let mut signals = iterator::Signals::new([consts::SIGTERM, consts::SIGINT])?;
        thread::Builder::new()
            .name("signals".into())
            .spawn(move || {
                for _ in signals.forever() {
                    // Sending fails after the first signal was handled, because the
                    // receiver has then been dropped.
                    let _ = sender.send(true);
                }
            })?;
        Ok(Self { requested })
    }

    /// Waits for the first signal.
    pub(crate) async fn wait(mut self) {
        // The sender is never dropped before the process exits, so this cannot
        // fail.
        let _ = self.requested.wait_for(|requested| *requested).await;
    }
}
