//! Heartbeats and load, pushed to every peer that subscribes.

use jsonrpsee::core;
use jsonrpsee::server;
use std::time;
use tokio::sync::watch;
use wire::LoadState;
use wire::Reporter;

/// A heartbeat comes at least this often.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Changes closer than this are told together.
const COALESCE_DELAY: time::Duration = time::Duration::from_millis(10);

/// The load of this process, told to all subscribers.
#[derive(Clone)]
pub(crate) struct LoadPublisher {
    state: watch::Sender<LoadState>,
}

impl LoadPublisher {
    pub(crate) fn new(state: LoadState) -> Self {
        let (state, _) = watch::channel(state);
        Self { state }
    }

    /// Changes what is told; subscribers hear of it only if it differs.
    pub(crate) fn update(&self, change: impl FnOnce(&mut LoadState)) {
        self.state.send_if_modified(|state| {
            let previous = *state;
            change(state);
            *state != previous
        });
    }

    pub(crate) fn current(&self) -> LoadState {
        *self.state.borrow()
    }

    /// Serves one subscription until its peer goes.
    pub(crate) async fn serve(
        &self,
        pending: server::PendingSubscriptionSink,
    ) -> core::SubscriptionResult {
        let sink = pending.accept().await?;
        let mut reporter = Reporter::default();
        let mut state = self.state.subscribe();
        loop {
            let current = *state.borrow_and_update();
            let report = reporter.next(current);
            let message = serde_json::value::to_raw_value(&report)?;
            sink.send(message).await?;
            tokio::select! {
                () = sink.closed() => return Ok(()),
                changed = tokio::time::timeout(HEARTBEAT_INTERVAL, state.changed()) => {
                    if matches!(changed, Ok(Err(_))) {
                        return Ok(());
                    }
                }
            }
            tokio::time::sleep(COALESCE_DELAY).await;
        }
    }
}
