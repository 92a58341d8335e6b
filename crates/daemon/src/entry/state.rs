//! The state that all requests of an entry share.

use crate::app::LoadPublisher;
use crate::entry::peers::Peers;
use parking_lot::Mutex;
use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::sync::watch;
use world::Name;

/// The state used for choosing agents for requests.
pub(crate) struct Placement {
    /// This entry's view of all agents.
    pub fleet: route::Fleet,
    /// Limits the retries of all requests.
    pub budget: route::RetryBudget,
    /// Requests that crashed engines.
    pub quarantine: route::Quarantine,
    /// Recent token usage of each organisation.
    pub usage: route::RecentUsage,
}

/// The state used for charging requests against allowances.
pub(crate) struct Allowances {
    pub escrow: quota::Escrow,
    /// The division of the allowances among the entries.
    pub shares: quota::ShareTracker,
    /// Tokens needed by requests that wait for admission, by organisation.
    pub queued_tokens: collections::BTreeMap<Name, u64>,
}

/// An entry with its state.
pub(crate) struct Entry {
    pub settings: sync::Arc<conf::Settings>,
    pub secrets: wire::Secrets,
    /// The configuration in force, if one has been received yet.
    pub active_configuration: Mutex<conf::ActiveConfiguration>,
    /// Notifies running requests of a new configuration by sending its revision.
    pub revision_sender: watch::Sender<u64>,
    pub placement: Mutex<Placement>,
    pub allowances: Mutex<Allowances>,
    /// Whether this entry is connected well enough to act on its state.
    pub validity: Mutex<member::StateValidity>,
    /// Detects pauses of this process.
    pub pause_detector: Mutex<member::PauseDetector>,
    pub peers: Peers,
    /// The load published to peers.
    pub load: LoadPublisher,
    /// A random number that identifies this start of the process.
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
            shares: quota::ShareTracker::new(own_name.clone()),
            queued_tokens: collections::BTreeMap::new(),
        };
        Self {
            secrets: wire::Secrets::new(settings.secrets.iter().cloned()),
            active_configuration: Mutex::new(conf::ActiveConfiguration::default()),
            revision_sender: watch::channel(0).0,
            placement: Mutex::new(placement),
            allowances: Mutex::new(allowances),
            validity: Mutex::new(member::StateValidity::new(now)),
            pause_detector: Mutex::new(member::PauseDetector::new(now)),
            peers: Peers::new(own_name, incarnation),
            load: LoadPublisher::new(wire::LoadState::default()),
            incarnation,
            request_count: atomic::AtomicU64::new(0),
            settings,
        }
    }

    /// Creates a request id that is unique among all entries and their restarts.
    pub(crate) fn next_request_id(&self) -> String {
        let count = self.request_count.fetch_add(1, atomic::Ordering::Relaxed);
        format!(
            "{}-{:08x}-{count}",
            self.settings.host, self.incarnation as u32
        )
    }

    /// Returns the configuration in force, or `None` if none has been received yet.
    pub(crate) fn configuration(&self) -> Option<sync::Arc<conf::ConfigurationRevision>> {
        self.active_configuration.lock().current().cloned()
    }

    /// Adopts a configuration from any source, unless the one in force is at
    /// least as new.
    pub(crate) fn adopt_configuration(&self, configuration: conf::ConfigurationRevision) {
        let revision = configuration.revision;
        if !self
            .active_configuration
            .lock()
            .adopt_if_newer(configuration)
        {
            return;
        }
        self.recompute_shares();
        if let Some(current) = self.configuration() {
            self.peers.set_drained(&current.content.drained);
        }
        self.load.update(|load| load.revision = revision);
        self.revision_sender.send_replace(revision);
        metrics::gauge!("hornbeampitch_revision").set(revision as f64);
        trace::LogLine::new("configuration_adopted")
            .with("revision", revision)
            .info();
    }

    /// Recomputes this entry's shares of all allowances after a change of the
    /// configuration or the division.
    pub(crate) fn recompute_shares(&self) {
        let Some(current) = self.configuration() else {
            return;
        };
        let now = time::Instant::now();
        let mut allowances = self.allowances.lock();
        let share = allowances.shares.share();
        let epoch = allowances.shares.epoch();
        allowances
            .escrow
            .set_share(&current.content.organisations, share, now);
        drop(allowances);
        self.load.update(|load| load.epoch = epoch);
        metrics::gauge!("hornbeampitch_allowance_part").set(share);
    }

    /// Returns whether the configuration in force has a key with this id.
    pub(crate) fn is_key_valid(&self, key_id: &Name) -> bool {
        let current = self.configuration();
        current.is_some_and(|c| c.content.key(key_id).is_some())
    }

    /// Returns whether this entry may accept keys and charge allowances now. It
    /// may not after a pause of the process until it has checked its state, nor
    /// while it is disconnected from every source that would report a withdrawn
    /// key or a new division.
    pub(crate) fn can_authorize(&self) -> bool {
        let now = time::Instant::now();
        self.pause_detector.lock().may_decide(now) && self.validity.lock().is_valid(now)
    }
}
