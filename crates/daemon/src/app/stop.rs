//! The platform's request to stop.

use signal_hook::consts;
use signal_hook::iterator;
use std::io;
use std::thread;
use tokio::sync::watch;

/// Tells when the platform asks the process to stop.
pub(crate) struct ShutdownSignal {
    requested: watch::Receiver<bool>,
}

impl ShutdownSignal {
    /// Listens for the platform's signals.
    pub(crate) fn install() -> io::Result<Self> {
        let (sender, requested) = watch::channel(false);
        let mut signals = iterator::Signals::new([consts::SIGTERM, consts::SIGINT])?;
        thread::Builder::new()
            .name("signals".into())
            .spawn(move || {
                for _ in signals.forever() {
                    // Nobody listens any more once the process is stopping.
                    let _ = sender.send(true);
                }
            })?;
        Ok(Self { requested })
    }

    /// Waits for the first signal.
    pub(crate) async fn wait(mut self) {
        // The sender lives as long as the process.
        let _ = self.requested.wait_for(|requested| *requested).await;
    }
}
