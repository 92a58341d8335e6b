//! Keeps to the evacuation of zones that the operator asks for in the store.

use crate::entry::Entry;
use crate::meters;
use crate::metric;
use crate::odd_records::OddRecord;
use seam::Store;
use std::collections;
use world::Name;

impl<P: seam::Platform> Entry<P> {
    /// Returns whether zones are evacuated on this platform.
    pub(crate) fn has_evacuations(&self) -> bool {
        self.bounds.get().evacuation_timeout.is_some()
    }

    /// Returns whether it is known which zones are evacuated, if any may be.
    pub(crate) fn knows_evacuations(&self) -> bool {
        !self.has_evacuations() || self.evacuations.borrow().is_known()
    }

    /// Reads which zones are evacuated.
    pub(crate) async fn read_evacuations(&self) -> Result<(), seam::StoreError> {
        if !self.has_evacuations() {
            return Ok(());
        }
        let page = self.store.list(P::EVACUATION_PREFIX, false).await?;
        let mut zones = collections::BTreeSet::new();
        for item in &page.items {
            zones.extend(self.decode_evacuation(item));
        }
        let revision = page.revision;
        self.apply_evacuations(pool::EvacuationReport { revision, zones }, "store");
        Ok(())
    }

    /// Applies changes that the watch has told, which are complete up to this revision.
    pub(crate) fn watch_evacuations(&self, items: &[seam::Item], revision: seam::Revision) {
        if !self.has_evacuations() {
            return;
        }
        let Some(mut report) = self.evacuations.borrow().report().cloned() else {
            return;
        };
        let known = report.revision;
        let keys = items
            .iter()
            .filter(|i| i.key.starts_with(P::EVACUATION_PREFIX) && i.revision > known);
        for item in keys {
            let Some(zone) = self.decode_evacuation(item) else {
                continue;
            };
            match item.value.is_some() {
                true => report.zones.insert(zone),
                false => report.zones.remove(&zone),
            };
        }
        report.revision = revision;
        self.apply_evacuations(report, "watch");
    }

    /// Applies what the store or a peer says of the evacuated zones, unless it is outdated.
    pub(crate) fn apply_evacuations(&self, report: pool::EvacuationReport, from: &str) {
        let revision = report.revision;
        let change = self.evacuations.borrow_mut().apply(report);
        if change.is_empty() {
            return;
        }
        let zones = self.evacuations.borrow().zones();
        meters::meters().evacuated_zones.set(zones.len() as f64);
        self.notices.borrow_mut().set_evacuated(zones);
        self.update_pools();
        for zone in &change.ended {
            let running = metric::EVACUATED_RUNNING.gauge(&[("zone", &**zone)]);
            running.set(0.0);
        }
        let begun = change.begun.iter().map(|z| (z, "begun"));
        let ended = change.ended.iter().map(|z| (z, "ended"));
        for (zone, state) in begun.chain(ended) {
            trace::LogLine::new("evacuation")
                .with("zone", zone)
                .with("state", state)
                .with("from", from)
                .with("revision", revision)
                .with("running", self.running_in(zone))
                .info();
        }
        // A peer may not reach the store.
        self.gossip_due.notify_one();
    }

    /// Returns the number of this entry's streams and calls at hosts of a zone.
    pub(crate) fn running_in(&self, zone: &str) -> u64 {
        let host_list = self.host_list.borrow();
        let is_there = |id: &Name| host_list.get(id).is_some_and(|m| &*m.zone == zone);
        let mut running = 0;
        for (_, pool) in self.pools.all() {
            let loads = pool.decode_pool.borrow().own_loads();
            let there = loads.iter().filter(|(id, _)| is_there(id));
            running += there.map(|(_, l)| u64::from(l.streams)).sum::<u64>();
        }
        for (_, service) in self.plain_services.all() {
            let calls = service.balancer.borrow().own_calls();
            let there = calls.iter().filter(|(id, _)| is_there(id));
            running += there.map(|(_, c)| u64::from(*c)).sum::<u64>();
        }
        running
    }

    /// Counts and logs what still runs in evacuated zones.
    pub(crate) fn report_evacuations(&self) {
        for zone in self.evacuations.borrow().zones() {
            let running = self.running_in(&zone);
            metric::EVACUATED_RUNNING
                .gauge(&[("zone", &*zone)])
                .set(running as f64);
            if running > 0 {
                trace::LogLine::new("evacuating")
                    .with("zone", &zone)
                    .with("running", running)
                    .info();
            }
        }
    }

    /// Returns the zone that a key of the store names; one that names none that is known is
    /// logged once.
    fn decode_evacuation(&self, item: &seam::Item) -> Option<Name> {
        let known = &self.settings.zones;
        let decoded = P::decode_evacuation(&item.key).and_then(|zone| {
            match known.is_empty() || known.contains(&zone) {
                true => Ok(zone),
                false => Err(format!("{}: the zone is unknown", item.key)),
            }
        });
        match decoded {
            Ok(zone) => Some(zone),
            Err(fault) => {
                let value = item.value.as_deref().unwrap_or_default();
                let record = OddRecord {
                    key: &item.key,
                    value,
                    fault,
                };
                self.log_odd("evacuation_unreadable", "store", &[record]);
                None
            }
        }
    }
}
