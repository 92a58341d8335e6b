//! Detects requests that crash upstream hosts, and shares the crashes with
//! peers.

use crate::entry::Entry;
use std::rc;
use std::time;
use world::Name;

/// Time between a lost connection and the check whether its host still
/// responds; a crashed host does not respond for seconds.
const CRASH_CHECK_DELAY: time::Duration = time::Duration::from_millis(150);
/// How long a crash is included in messages to peers.
const CRASH_GOSSIP_TIME: time::Duration = time::Duration::from_secs(5);

/// A crash as it is reported to peers.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub(crate) struct Crash {
    /// Digest of the request, as text.
    pub(crate) digest: String,
    /// Id of the process that crashed.
    pub(crate) host: Name,
}

impl<P: seam::Platform> Entry<P> {
    /// Checks after a lost connection whether the host has crashed, and if so
    /// records the crash against the request.
    pub(crate) fn check_for_crash(
        self: &rc::Rc<Self>,
        digest: route::Digest,
        target: &seam::Target,
    ) {
        let (entry, target) = (self.clone(), target.clone());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(CRASH_CHECK_DELAY).await;
            if seam::Upstreams::is_alive(&entry.upstreams, &target).await {
                return;
            }
            let crash = Crash {
                digest: digest.to_string(),
                host: target.id,
            };
            entry.record_crash(&crash, time::Instant::now());
        });
    }

    /// Records a crash that this entry detected or a peer reported.
    pub(crate) fn record_crash(&self, crash: &Crash, now: time::Instant) {
        let Some(digest) = route::Digest::parse(&crash.digest) else {
            trace::LogLine::new("crash_unreadable").info();
            return;
        };
        let id = route::CrashId {
            host: crash.host.clone(),
            count: 0,
        };
        if !self.quarantine.borrow_mut().record_crash(digest, id, now) {
            return;
        }
        trace::LogLine::new("crash")
            .with("digest", &crash.digest)
            .with("upstream", &crash.host)
            .with(
                "quarantined",
                self.quarantine.borrow().is_quarantined(digest),
            )
            .info();
        self.recent_crashes
            .borrow_mut()
            .push_back((now, crash.clone()));
    }

    /// Returns the crashes to report to peers now.
    pub(crate) fn crashes_for_peers(&self, now: time::Instant) -> Vec<Crash> {
        let mut recent = self.recent_crashes.borrow_mut();
        recent.retain(|(at, _)| now.saturating_duration_since(*at) < CRASH_GOSSIP_TIME);
        recent.iter().map(|(_, c)| c.clone()).collect()
    }
}
