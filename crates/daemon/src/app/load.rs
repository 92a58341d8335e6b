//! Publishes heartbeats and the load of this process to subscribed peers.

use jsonrpsee::core;
use jsonrpsee::server;
use std::time;
use tokio::sync::watch;
use wire::LoadReporter;
use wire::LoadState;

/// Time without a change after which a report is sent as a heartbeat.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Minimum time between two reports; changes within it are combined into one report.
const COALESCE_DELAY: time::Duration = time::Duration::from_millis(10);

/// The current load of this process, published to all subscribers. Clones share
/// the same state.
#[derive(Clone)]
pub(crate) struct LoadPublisher {
    state: watch::Sender<LoadState>,
}

impl LoadPublisher {
    /// Creates a publisher with an initial load.
    pub(crate) fn new(state: LoadState) -> Self {
        let (state, _) = watch::channel(state);
        Self { state }
    }

    /// Applies `change` to the load. Subscribers are notified only if the value differs
    /// from the previous one.
    pub(crate) fn update(&self, change: impl FnOnce(&mut LoadState)) {
        self.state.send_if_modified(|state| {
            let previous = *state;
            change(state);
            *state != previous
        });
    }

    /// Returns the load as last updated.
    pub(crate) fn current(&self) -> LoadState {
        *self.state.borrow()
    }

    /// Sends load reports to one subscriber until it disconnects.
    pub(crate) async fn serve(
        &self,
        pending: server::PendingSubscriptionSink,
    ) -> core::SubscriptionResult {
        let sink = pending.accept().await?;
        let mut reporter = LoadReporter::default();
        let mut state = self.state.subscribe();
        loop {
            let current = *state.borrow_and_update();
            let report = reporter.next_report(current);
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
