//! What is given back when a request ends early.

use crate::entry::Entry;
use std::rc;
use world::Name;

/// A reservation at an engine, released unless it was used.
pub(crate) struct ReservationGuard<P: seam::Platform> {
    entry: rc::Rc<Entry<P>>,
    target: seam::Target,
    name: Option<Name>,
}

impl<P: seam::Platform> ReservationGuard<P> {
    /// Guards a reservation.
    pub(crate) fn new(entry: &rc::Rc<Entry<P>>, target: &seam::Target, name: Name) -> Self {
        Self {
            entry: entry.clone(),
            target: target.clone(),
            name: Some(name),
        }
    }

    /// Its name, for the request that uses it up.
    pub(crate) fn name(&self) -> Option<Name> {
        self.name.clone()
    }

    /// Notes that the engine has used it up.
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

/// A prefilled KV cache, freed unless it was taken.
pub(crate) struct KvCacheGuard<P: seam::Platform> {
    entry: rc::Rc<Entry<P>>,
    source: Option<seam::KvSource>,
}

impl<P: seam::Platform> KvCacheGuard<P> {
    /// Guards a KV cache.
    pub(crate) fn new(entry: &rc::Rc<Entry<P>>, source: seam::KvSource) -> Self {
        Self {
            entry: entry.clone(),
            source: Some(source),
        }
    }

    /// Where it lies, for the engine that takes it.
    pub(crate) fn source(&self) -> Option<seam::KvSource> {
        self.source.clone()
    }

    /// Notes that an engine has taken it.
    pub(crate) fn disarm(&mut self) {
        self.source = None;
    }
}

impl<P: seam::Platform> Drop for KvCacheGuard<P> {
    fn drop(&mut self) {
        let Some(source) = self.source.take() else {
            return;
        };
        let entry = self.entry.clone();
        tokio::task::spawn_local(async move {
            seam::Upstreams::free_cache(&entry.upstreams, &source).await;
        });
    }
}

/// Counts a request in hand.
pub(crate) struct ActiveRequest<P: seam::Platform> {
    entry: rc::Rc<Entry<P>>,
}

impl<P: seam::Platform> ActiveRequest<P> {
    /// Begins to count it.
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
