//! What entries tell each other of the units that they have admitted.

use crate::peers::heard::Heard;
use std::collections;
use std::time;
use world::Name;

/// Units of one organisation at one process. They are written as a list to keep
/// messages short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(from = "[u64; 3]", into = "[u64; 3]")]
pub struct UsedUnits {
    /// Units admitted since the process's start, less those given back.
    pub admitted: u64,
    /// Units admitted within the current window.
    pub in_window: u64,
    /// Units that were asked for since the process's start.
    pub asked: u64,
}

impl From<[u64; 3]> for UsedUnits {
    fn from([admitted, in_window, asked]: [u64; 3]) -> Self {
        Self {
            admitted,
            in_window,
            asked,
        }
    }
}

impl From<UsedUnits> for [u64; 3] {
    fn from(used: UsedUnits) -> Self {
        [used.admitted, used.in_window, used.asked]
    }
}

/// By how much a peer's units for an organisation have grown since its last report.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UsageGrowth {
    pub(crate) tenant: Name,
    /// Units admitted; negative where units were given back.
    pub(crate) admitted: f64,
    /// Units asked for.
    pub(crate) asked: f64,
}

/// An entry's report of the units that it has admitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct UsageReport {
    /// Identifies the sending process; a restarted entry has another.
    pub run: u64,
    /// Number of this report; later reports of a process have higher ones.
    pub number: u64,
    /// Whether the sender knows what all entries admitted within the window.
    #[serde(rename = "informed")]
    pub has_history: bool,
    /// Milliseconds since the sender's restart, if that lies within the window.
    #[serde(
        default,
        rename = "restart_ms",
        skip_serializing_if = "Option::is_none"
    )]
    pub since_restart: Option<u64>,
    /// What the sender has admitted, by organisation.
    pub used: collections::BTreeMap<Name, UsedUnits>,
    /// What all entries have admitted within the window, by organisation and by age
    /// in steps of a quarter of a second, while a peer that has restarted needs to know.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub history: Option<collections::BTreeMap<Name, Vec<u64>>>,
}

/// What a peer has reported so far.
#[derive(Clone, Debug)]
pub(crate) struct PeerUsage {
    /// Process that sent the last report; `None` if there was none.
    run: Option<u64>,
    /// Number of the last report.
    number: u64,
    /// What it last reported, by organisation.
    used: collections::BTreeMap<Name, UsedUnits>,
    pub(crate) has_history: bool,
    /// Whether the store lists the peer.
    pub(crate) is_listed: bool,
    heard: Heard,
}

impl PeerUsage {
    /// Creates the state of a peer without a report, silent since the given time.
    pub(crate) fn unheard(since: time::Instant) -> Self {
        Self {
            run: None,
            number: 0,
            used: collections::BTreeMap::new(),
            has_history: true,
            is_listed: false,
            heard: since.into(),
        }
    }

    /// Returns the time since the peer's last report.
    pub(crate) fn silence(&self, now: time::Instant) -> time::Duration {
        now.saturating_duration_since(self.heard.sent_at)
    }

    /// Returns by how much later the peer's reports may come than direct ones.
    pub(crate) fn delay(&self) -> time::Duration {
        self.heard.delay()
    }

    /// Returns whether a report is the first one of its process.
    pub(crate) fn is_first(&self, report: &UsageReport) -> bool {
        self.run != Some(report.run)
    }

    /// Applies a report, and returns by how much the peer's use has grown since the
    /// last one. A report that arrives after a newer one of the same process is
    /// ignored.
    pub(crate) fn apply(&mut self, report: &UsageReport, heard: Heard) -> Vec<UsageGrowth> {
        if self.is_first(report) {
            self.used.clear();
        } else if report.number <= self.number {
            return Vec::new();
        }
        let mut growths = Vec::new();
        for (tenant, used) in &report.used {
            let known = self.used.insert(tenant.clone(), *used);
            let (admitted, asked) = match known {
                Some(known) => (
                    used.admitted as f64 - known.admitted as f64,
                    used.asked.saturating_sub(known.asked) as f64,
                ),
                None => (used.in_window as f64, 0.0),
            };
            if admitted != 0.0 || asked != 0.0 {
                growths.push(UsageGrowth {
                    tenant: tenant.clone(),
                    admitted: admitted.min(used.in_window as f64),
                    asked,
                });
            }
        }
        self.run = Some(report.run);
        self.number = report.number;
        self.has_history = report.has_history;
        self.heard = heard;
        growths
    }
}
