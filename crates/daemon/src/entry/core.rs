//! What all requests of one entry share.

use crate::app::Heart;
use crate::entry::peers::Peers;
use parking_lot::Mutex;
use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::sync::watch;
use world::Name;

/// The state behind all decisions about placement.
pub(crate) struct Decisions {
    pub fleet: route::Fleet,
    pub budget: route::RetryBudget,
    pub quarantine: route::Quarantine,
    pub shares: route::RecentUsage,
}

/// The state behind all decisions about allowances.
pub(crate) struct Allowances {
    pub escrow: quota::Escrow,
    pub epochs: quota::Epochs,
    /// Tokens that waiting requests are about to take, by organisation.
    pub queued: collections::BTreeMap<Name, u64>,
}

/// One entry.
pub(crate) struct Entry {
    pub settings: sync::Arc<conf::Settings>,
    pub secrets: wire::Secrets,
    pub adoption: Mutex<conf::Adoption>,
    /// Told when a configuration comes into force.
    pub revision: watch::Sender<u64>,
    pub decisions: Mutex<Decisions>,
    pub allowances: Mutex<Allowances>,
    pub trust: Mutex<member::Trust>,
    pub pulse: Mutex<member::Pulse>,
    pub peers: Peers,
    pub heart: Heart,
    pub incarnation: u64,
    requests: atomic::AtomicU64,
}

impl Entry {
    pub(crate) fn new(settings: sync::Arc<conf::Settings>) -> Self {
        let now = time::Instant::now();
        let me = settings.host.clone();
        let incarnation = rand::random();
        let decisions = Decisions {
            fleet: route::Fleet::new(settings.policy),
            budget: route::RetryBudget::new(now),
            quarantine: route::Quarantine::default(),
            shares: route::RecentUsage::default(),
        };
        let allowances = Allowances {
            escrow: quota::Escrow::new(),
            epochs: quota::Epochs::new(me.clone()),
            queued: collections::BTreeMap::new(),
        };
        Self {
            secrets: wire::Secrets::new(settings.secrets.iter().cloned()),
            adoption: Mutex::new(conf::Adoption::default()),
            revision: watch::channel(0).0,
            decisions: Mutex::new(decisions),
            allowances: Mutex::new(allowances),
            trust: Mutex::new(member::Trust::new(now)),
            pulse: Mutex::new(member::Pulse::new(now)),
            peers: Peers::new(me, incarnation),
            heart: Heart::new(wire::LoadState::default()),
            incarnation,
            requests: atomic::AtomicU64::new(0),
            settings,
        }
    }

    /// Names a new request, differently from every other entry's.
    pub(crate) fn name_request(&self) -> String {
        let count = self.requests.fetch_add(1, atomic::Ordering::Relaxed);
        format!(
            "{}-{:08x}-{count}",
            self.settings.host, self.incarnation as u32
        )
    }

    /// The configuration in force.
    pub(crate) fn contract(&self) -> Option<sync::Arc<conf::Revised>> {
        self.adoption.lock().current().cloned()
    }

    /// Takes a configuration from any source; an older one changes nothing.
    pub(crate) fn offer(&self, revised: conf::Revised) {
        let revision = revised.revision;
        if !self.adoption.lock().offer(revised) {
            return;
        }
        self.redivide();
        if let Some(current) = self.contract() {
            self.peers.drain(&current.contract.drained);
        }
        self.heart.set(|load| load.revision = revision);
        self.revision.send_replace(revision);
        metrics::gauge!("hornbeampitch_revision").set(revision as f64);
        trace::Line::new("configuration_adopted")
            .with("revision", revision)
            .info();
    }

    /// Draws the slices anew after a change of configuration or epoch.
    pub(crate) fn redivide(&self) {
        let Some(current) = self.contract() else {
            return;
        };
        let now = time::Instant::now();
        let mut allowances = self.allowances.lock();
        let part = allowances.epochs.part();
        let epoch = allowances.epochs.epoch();
        allowances
            .escrow
            .divide(&current.contract.organisations, part, now);
        drop(allowances);
        self.heart.set(|load| load.epoch = epoch);
        metrics::gauge!("hornbeampitch_allowance_part").set(part);
    }

    /// Tells whether a key is still in force.
    pub(crate) fn in_force(&self, key: &Name) -> bool {
        let current = self.contract();
        current.is_some_and(|c| c.contract.key(key).is_some())
    }

    /// Tells whether keyed work may be decided now: this process has neither
    /// slept nor been cut off from what could tell of a withdrawal or an epoch.
    pub(crate) fn trusted(&self) -> bool {
        let now = time::Instant::now();
        self.pulse.lock().awake(now) && self.trust.lock().holds(now)
    }
}
