//! Guards that release resources when a request ends early.

use crate::entry::Entry;
use crate::meters;
use std::cell;
use std::rc;
use std::time;
use world::Name;

/// A reservation at an engine; dropping the guard releases it unless it was
/// used.
pub(crate) struct ReservationGuard<P: seam::Platform> {
    entry: rc::Rc<Entry<P>>,
    target: seam::Target,
    name: Option<Name>,
}

impl<P: seam::Platform> ReservationGuard<P> {
    pub(crate) fn new(entry: &rc::Rc<Entry<P>>, target: &seam::Target, name: Name) -> Self {
        Self {
            entry: entry.clone(),
            target: target.clone(),
            name: Some(name),
        }
    }

    /// Returns the reservation's name, for the request that consumes it.
    pub(crate) fn name(&self) -> Option<Name> {
        self.name.clone()
    }

    /// Keeps the reservation on drop, because the engine has consumed it.
    pub(crate) fn disarm(&mut self) {
        self.name = None;
    }
}

impl<P: seam::Platform> Drop for ReservationGuard<P> {
    fn drop(&mut self) {
        let Some(name) = self.name.take() else {
            return;
        };
        let (entry, target) = (self.entry.clone(), self.target.clone());
        tokio::task::spawn_local(async move {
            seam::Upstreams::release(&entry.upstreams, &target, &name).await;
        });
    }
}

/// A prefilled KV cache; dropping the guard frees it unless a decode engine
/// fetched it.
pub(crate) struct KvCacheGuard<P: seam::Platform> {
    entry: rc::Rc<Entry<P>>,
    source: Option<seam::KvSource>,
    /// When the prefill was complete.
    ready_at: time::Instant,
    prompt_tokens: u64,
    /// Why the prompt was read for nothing if no decode engine fetches the KV cache.
    waste_cause: cell::Cell<&'static str>,
}

impl<P: seam::Platform> KvCacheGuard<P> {
    pub(crate) fn new(
        entry: &rc::Rc<Entry<P>>,
        source: seam::KvSource,
        prompt_tokens: u64,
    ) -> Self {
        Self {
            entry: entry.clone(),
            source: Some(source),
            ready_at: time::Instant::now(),
            prompt_tokens,
            waste_cause: cell::Cell::new("unused"),
        }
    }

    /// Returns the location of the KV cache, for the engine that fetches it.
    pub(crate) fn source(&self) -> Option<seam::KvSource> {
        self.source.clone()
    }

    /// Returns whether a decode engine can fetch the KV cache, which its holder keeps for
    /// `ttl`. The fetch may have to wait for others, so half of that time is left for it.
    pub(crate) fn is_usable(&self, ttl: time::Duration) -> bool {
        let holder = self.source.as_ref().map(|s| &s.holder);
        let is_listed = holder.is_some_and(|h| self.entry.target(&h.id).as_ref() == Some(h));
        let is_fresh = self.ready_at.elapsed() < ttl / 2;
        if !is_listed {
            self.waste_cause.set("holder_lost");
        } else if !is_fresh {
            self.waste_cause.set("expired");
        }
        is_listed && is_fresh
    }

    /// Keeps the KV cache on drop, because a decode engine has fetched it.
    pub(crate) fn disarm(&mut self) {
        self.source = None;
    }
}

impl<P: seam::Platform> Drop for KvCacheGuard<P> {
    fn drop(&mut self) {
        let Some(source) = self.source.take() else {
            return;
        };
        let cause = self.waste_cause.get();
        meters::meters()
            .wasted_tokens
            .add(cause, self.prompt_tokens);
        let entry = self.entry.clone();
        tokio::task::spawn_local(async move {
            seam::Upstreams::free_cache(&entry.upstreams, &source).await;
        });
    }
}

/// Counts a request as active until it is dropped.
pub(crate) struct ActiveRequest<P: seam::Platform> {
    entry: rc::Rc<Entry<P>>,
}

impl<P: seam::Platform> ActiveRequest<P> {
    pub(crate) fn new(entry: &rc::Rc<Entry<P>>) -> Self {
        entry.active_requests.set(entry.active_requests.get() + 1);
        Self {
            entry: entry.clone(),
        }
    }
}

impl<P: seam::Platform> Drop for ActiveRequest<P> {
    fn drop(&mut self) {
        self.entry
            .active_requests
            .set(self.entry.active_requests.get() - 1);
    }
}
