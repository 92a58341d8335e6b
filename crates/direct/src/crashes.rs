//! Requests that crash upstream hosts.

use crate::entry::Entry;
use std::rc;
use std::time;
use world::Name;

/// How long after a broken answer it is looked whether its host still answers:
/// one that has crashed is away for seconds.
const LOOK_AFTER: time::Duration = time::Duration::from_millis(150);
/// How long peers are told of a crash.
const TELL_TIME: time::Duration = time::Duration::from_secs(5);

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
    pub(crate) fn suspect(self: &rc::Rc<Self>, digest: route::Digest, target: &seam::Target) {
        let (entry, target) = (self.clone(), target.clone());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(LOOK_AFTER).await;
            if seam::Upstreams::is_alive(&entry.upstreams, &target).await {
                return;
            }
            let crash = Crash {
                digest: digest.to_string(),
                host: target.id,
            };
            entry.note_crash(&crash, time::Instant::now());
        });
    }

    /// Notes a crash, also one that a peer tells of.
    pub(crate) fn note_crash(&self, crash: &Crash, now: time::Instant) {
        let Some(digest) = route::Digest::parse(&crash.digest) else {
            trace::Line::new("crash_unreadable").info();
            return;
        };
        let id = route::CrashId {
            host: crash.host.clone(),
            count: 0,
        };
        if !self.crashes.borrow_mut().record_crash(digest, id, now) {
            return;
        }
        trace::Line::new("crash")
            .with("digest", &crash.digest)
            .with("upstream", &crash.host)
            .with("quarantined", self.crashes.borrow().is_quarantined(digest))
            .info();
        self.told.borrow_mut().push_back((now, crash.clone()));
    }

    /// The crashes that peers are told of now.
    pub(crate) fn crash_news(&self, now: time::Instant) -> Vec<Crash> {
        let mut told = self.told.borrow_mut();
        told.retain(|(at, _)| now.saturating_duration_since(*at) < TELL_TIME);
        told.iter().map(|(_, c)| c.clone()).collect()
    }
}
