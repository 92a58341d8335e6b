//! Requests that crash upstream hosts.

use crate::entry::Entry;
use std::rc;
use std::time;
use world::Name;

/// How long after a broken answer it is looked whether its host still answers:
/// one that has crashed is away for seconds.
const CRASH_CHECK_DELAY: time::Duration = time::Duration::from_millis(150);
/// How long peers are told of a crash.
const CRASH_GOSSIP_TIME: time::Duration = time::Duration::from_secs(5);

/// A crash as peers are told of it.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub(crate) struct Crash {
    /// The request's digest as text.
    pub(crate) digest: String,
    /// The life of the host that crashed.
    pub(crate) host: Name,
}

impl<P: seam::Platform> Entry<P> {
    /// Finds out whether a host has crashed over a request whose answer broke.
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

    /// Notes a crash, also one that a peer tells of.
    pub(crate) fn record_crash(&self, crash: &Crash, now: time::Instant) {
        let Some(digest) = route::Digest::parse(&crash.digest) else {
            trace::Line::new("crash_unreadable").info();
            return;
        };
        let id = route::CrashId {
            host: crash.host.clone(),
            count: 0,
        };
        if !self.quarantine.borrow_mut().record_crash(digest, id, now) {
            return;
        }
        trace::Line::new("crash")
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

    /// The crashes that peers are told of now.
    pub(crate) fn crashes_for_peers(&self, now: time::Instant) -> Vec<Crash> {
        let mut recent = self.recent_crashes.borrow_mut();
        recent.retain(|(at, _)| now.saturating_duration_since(*at) < CRASH_GOSSIP_TIME);
        recent.iter().map(|(_, c)| c.clone()).collect()
    }
}
