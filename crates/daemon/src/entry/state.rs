//! What all requests of one entry share.

use crate::app::LoadPublisher;
use crate::entry::peers::Peers;
use parking_lot::Mutex;
use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::sync::watch;
use world::Name;

/// The state behind all decisions about placement.
pub(crate) struct Placement {
    pub fleet: route::Fleet,
    pub budget: route::RetryBudget,
    pub quarantine: route::Quarantine,
    pub usage: route::RecentUsage,
}

/// The state behind all decisions about allowances.
pub(crate) struct Allowances {
    pub escrow: quota::Escrow,
    pub epochs: quota::ShareTracker,
    /// Tokens that waiting requests are about to take, by organisation.
    pub queued_tokens: collections::BTreeMap<Name, u64>,
}

/// One entry.
pub(crate) struct Entry {
    pub settings: sync::Arc<conf::Settings>,
    pub secrets: wire::Secrets,
    pub adoption: Mutex<conf::Adoption>,
    /// Told when a configuration comes into force.
    pub revision_sender: watch::Sender<u64>,
    pub placement: Mutex<Placement>,
    pub allowances: Mutex<Allowances>,
    pub trust: Mutex<member::StateValidity>,
    pub pulse: Mutex<member::PauseDetector>,
    pub peers: Peers,
    pub load: LoadPublisher,
    pub incarnation: u64,
    request_count: atomic::AtomicU64,
}

impl Entry {
    pub(crate) fn new(settings: sync::Arc<conf::Settings>) -> Self {
        let now = time::Instant::now();
        let own_name = settings.host.clone();
        let incarnation = rand::random();
        let placement = Placement {
            fleet: route::Fleet::new(settings.policy),
            budget: route::RetryBudget::new(now),
            quarantine: route::Quarantine::default(),
            usage: route::RecentUsage::default(),
        };
        let allowances = Allowances {
            escrow: quota::Escrow::new(),
            epochs: quota::ShareTracker::new(own_name.clone()),
            queued_tokens: collections::BTreeMap::new(),
        };
        Self {
            secrets: wire::Secrets::new(settings.secrets.iter().cloned()),
            adoption: Mutex::new(conf::Adoption::default()),
            revision_sender: watch::channel(0).0,
            placement: Mutex::new(placement),
            allowances: Mutex::new(allowances),
            trust: Mutex::new(member::StateValidity::new(now)),
            pulse: Mutex::new(member::PauseDetector::new(now)),
            peers: Peers::new(own_name, incarnation),
            load: LoadPublisher::new(wire::LoadState::default()),
            incarnation,
            request_count: atomic::AtomicU64::new(0),
            settings,
        }
    }

    /// Names a new request, differently from every other entry's.
    pub(crate) fn next_request_id(&self) -> String {
        let count = self.request_count.fetch_add(1, atomic::Ordering::Relaxed);
        format!(
            "{}-{:08x}-{count}",
            self.settings.host, self.incarnation as u32
        )
    }

    /// The configuration in force.
    pub(crate) fn configuration(&self) -> Option<sync::Arc<conf::Revised>> {
        self.adoption.lock().current().cloned()
    }

    /// Takes a configuration from any source; an older one changes nothing.
    pub(crate) fn adopt_configuration(&self, configuration: conf::Revised) {
        let revision = configuration.revision;
        if !self.adoption.lock().offer(configuration) {
            return;
        }
        self.recompute_slices();
        if let Some(current) = self.configuration() {
            self.peers.set_drained(&current.contract.drained);
        }
        self.load.update(|load| load.revision = revision);
        self.revision_sender.send_replace(revision);
        metrics::gauge!("hornbeampitch_revision").set(revision as f64);
        trace::Line::new("configuration_adopted")
            .with("revision", revision)
            .info();
    }

    /// Draws the slices anew after a change of configuration or epoch.
    pub(crate) fn recompute_slices(&self) {
        let Some(current) = self.configuration() else {
            return;
        };
        let now = time::Instant::now();
        let mut allowances = self.allowances.lock();
        let part = allowances.epochs.share();
        let epoch = allowances.epochs.epoch();
        allowances
            .escrow
            .set_share(&current.contract.organisations, part, now);
        drop(allowances);
        self.load.update(|load| load.epoch = epoch);
        metrics::gauge!("hornbeampitch_allowance_part").set(part);
    }

    /// Tells whether a key is still in force.
    pub(crate) fn is_key_valid(&self, key: &Name) -> bool {
        let current = self.configuration();
        current.is_some_and(|c| c.contract.key(key).is_some())
    }

    /// Tells whether keyed work may be decided now: this process has neither
    /// slept nor been cut off from what could tell of a withdrawal or an epoch.
    pub(crate) fn can_authorize(&self) -> bool {
        let now = time::Instant::now();
        self.pulse.lock().is_awake(now) && self.trust.lock().is_valid(now)
    }
}
