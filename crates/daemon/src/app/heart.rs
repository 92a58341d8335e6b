//! Heartbeats and load, pushed to every peer that subscribes.

use jsonrpsee::core;
use jsonrpsee::server;
use std::time;
use tokio::sync::watch;
use wire::LoadState;
use wire::Reporter;

/// A heartbeat comes at least this often.
const BEAT: time::Duration = time::Duration::from_millis(300);
/// Changes closer than this are told together.
const COALESCE: time::Duration = time::Duration::from_millis(10);

/// The load of this process, told to all subscribers.
#[derive(Clone)]
pub(crate) struct Heart {
    state: watch::Sender<LoadState>,
}

impl Heart {
    pub(crate) fn new(state: LoadState) -> Self {
        let (state, _) = watch::channel(state);
        Self { state }
    }

    /// Changes what is told; subscribers hear of it only if it differs.
    pub(crate) fn set(&self, change: impl FnOnce(&mut LoadState)) {
        self.state.send_if_modified(|state| {
            let old = *state;
            change(state);
            *state != old
        });
    }

    pub(crate) fn get(&self) -> LoadState {
        *self.state.borrow()
    }

    /// Serves one subscription until its peer goes.
    pub(crate) async fn report(
        &self,
        pending: server::PendingSubscriptionSink,
    ) -> core::SubscriptionResult {
        let sink = pending.accept().await?;
        let mut reporter = Reporter::default();
        let mut state = self.state.subscribe();
        loop {
            let now = *state.borrow_and_update();
            let report = reporter.next(now);
            let message = serde_json::value::to_raw_value(&report)?;
            sink.send(message).await?;
            tokio::select! {
                () = sink.closed() => return Ok(()),
                changed = tokio::time::timeout(BEAT, state.changed()) => {
                    if matches!(changed, Ok(Err(_))) {
                        return Ok(());
                    }
                }
            }
            tokio::time::sleep(COALESCE).await;
        }
    }
}
