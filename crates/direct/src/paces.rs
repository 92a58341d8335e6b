//! Sets which hosts are paced, and logs and counts them.

use crate::entry::Entry;
use crate::meters;

impl<P: seam::Platform> Entry<P> {
    /// Takes from a configuration what cold hosts tolerate, and whether paces are learnt.
    pub(crate) fn set_paces(&self, config: &seam::Config) {
        let bounds = self.bounds.get();
        let rates = config.services.iter().filter_map(|service| {
            let per_s = service.cold_per_s? * bounds.cold_overage + bounds.cold_slack;
            Some((service.name.clone(), pool::ColdRate { per_s }))
        });
        let mut notices = self.notices.borrow_mut();
        notices.set_cold_rates(rates.collect());
    }

    /// Tells the paces who the other entries are, and logs what has changed.
    pub(crate) fn update_paces(&self) {
        let is_sharing = self.is_sharing();
        let mut notices = self.notices.borrow_mut();
        notices.paces.set_learning(is_sharing);
        notices.paces.set_peers(self.peers.borrow().keys());
        meters::meters()
            .paced_hosts
            .set(notices.paces.count() as f64);
        for event in notices.paces.take_events() {
            match event {
                pool::PaceEvent::Began(host, cause) => trace::LogLine::new("host_paced")
                    .with("upstream", &host.id)
                    .with("started", host.started_ms)
                    .with("cause", cause)
                    .info(),
                pool::PaceEvent::Ended(host, took) => trace::LogLine::new("host_pace_ended")
                    .with("upstream", &host.id)
                    .with("started", host.started_ms)
                    .with("after_ms", took.as_millis())
                    .info(),
            }
        }
    }
}
