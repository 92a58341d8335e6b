//! The messages by which entries tell each other their state.

use crate::crashes::CrashUpdate;
use crate::members::MemberList;
use std::collections;
use std::net;
use std::time;
use world::Name;

/// State that an entry sends to each peer several times a second.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct GossipMessage {
    /// Name of the sending entry.
    pub(crate) entry: Name,
    /// Address on which the sender receives messages.
    #[serde(default)]
    pub(crate) address: Option<net::SocketAddr>,
    /// Availability zone of the sender.
    #[serde(default)]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) zone: Option<Name>,
    /// Milliseconds since the start of the sending process.
    #[serde(default)]
    pub(crate) uptime_ms: u64,
    /// Whether the receiver passes the message on to its zone.
    #[serde(default)]
    #[serde(skip_serializing_if = "pool::Forwarding::is_never")]
    pub(crate) forwarding: pool::Forwarding,
    /// Messages from other zones that the sender passes on.
    #[serde(default)]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) relayed: Vec<RelayedMessage>,
    /// Version of the sender's configuration.
    pub(crate) version: pool::ConfigVersion,
    /// Store revision of the sender's membership list.
    #[serde(rename = "listed")]
    pub(crate) list_revision: seam::Revision,
    /// Age of that list in milliseconds.
    pub(crate) age_ms: u64,
    /// Load of the sender's streams, by decode engine.
    #[serde(rename = "seats")]
    pub(crate) decode_loads: collections::BTreeMap<Name, pool::EngineLoad>,
    /// Prompt tokens that the sender has assigned and the engines have not finished,
    /// by prefill engine.
    #[serde(rename = "lanes")]
    pub(crate) prefill_tokens: collections::BTreeMap<Name, u64>,
    /// Number of the sender's open calls, by host of plain services.
    pub(crate) calls: collections::BTreeMap<Name, u32>,
    /// Units that the sender has admitted, by organisation.
    pub(crate) usage: pool::UsageReport,
    /// Demand of the sender's callers, by service.
    #[serde(rename = "asked")]
    pub(crate) demand: collections::BTreeMap<Name, pool::DemandRate>,
    /// Prefill speeds that the sender has measured, in prompt tokens per second
    /// by engine. Most messages leave this empty; the last speeds then remain
    /// valid.
    pub(crate) speeds: collections::BTreeMap<Name, f64>,
    /// Upstream hosts that failed for the sender, with the remaining backoff
    /// in milliseconds.
    #[serde(default)]
    #[serde(rename = "faults")]
    pub(crate) failures: collections::BTreeMap<Name, u64>,
    /// Whether the sender holds the lease for role orders.
    #[serde(rename = "holds")]
    pub(crate) is_holder: bool,
    /// Crashes of upstream hosts, and what is held to have caused them.
    #[serde(default)]
    #[serde(skip_serializing_if = "CrashUpdate::is_empty")]
    pub(crate) crash_update: CrashUpdate,
    /// Upstream hosts that have told the sender itself that they are leaving.
    #[serde(default)]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) leaving: Vec<pool::Incarnation>,
    /// The evacuated zones, where there may be any.
    #[serde(default)]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) evacuations: Option<pool::EvacuationReport>,
    /// Hosts that get less than their full share of work.
    #[serde(default)]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) paces: Vec<pool::PaceReport>,
    /// Hosts on slow machines, with the time that work takes against the usual one and the age
    /// of that in milliseconds.
    #[serde(default)]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) slow_machines: Vec<(Name, f64, u64)>,
    /// Requests for streams that the sender has refused a moment ago, with the milliseconds
    /// since their callers asked first, where entries keep streams in one order.
    #[serde(default)]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) refused: Vec<(u64, u64)>,
    /// The sender's streams by priority, for each service whose streams all entries keep in one
    /// order.
    #[serde(default)]
    #[serde(skip_serializing_if = "collections::BTreeMap::is_empty")]
    pub(crate) bands: collections::BTreeMap<Name, Vec<pool::BandReport>>,
    /// Engines that are changing their role, with the new role and the milliseconds
    /// after which it is no longer expected.
    #[serde(rename = "shifts")]
    pub(crate) role_changes: collections::BTreeMap<Name, (seam::Role, u64)>,
}

/// A message that a relay passes on to its zone.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub(crate) struct RelayedMessage {
    /// Milliseconds for which the relay has held the message.
    pub(crate) held_ms: u64,
    pub(crate) message: GossipMessage,
}

/// Reply to a gossip message, with what the receiver has newer than the sender.
#[derive(Debug, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct GossipReply {
    /// Version of the receiver's configuration.
    #[serde(default)]
    pub(crate) version: pool::ConfigVersion,
    /// The receiver's membership list, if it is newer than the sender's.
    #[serde(rename = "listing")]
    pub(crate) member_list: Option<MemberList>,
    /// Age of the receiver's list in milliseconds, if it has the sender's
    /// revision but was read later.
    #[serde(default)]
    #[serde(rename = "confirmed")]
    pub(crate) age_ms: Option<u64>,
}

impl GossipMessage {
    /// Returns what identifies the message among those of its sender.
    pub(crate) fn id(&self, heard: pool::Heard) -> pool::UpdateId {
        let uptime = time::Duration::from_millis(self.uptime_ms);
        pool::UpdateId {
            run: self.usage.run,
            started_at: heard.sent_at.checked_sub(uptime).unwrap_or(heard.sent_at),
            number: self.usage.number,
        }
    }
}
