//! Sends this entry's gossip: to its own zone directly, and to other zones by relays.

use crate::entry::Entry;
use crate::gossip_message::GossipMessage;
use crate::gossip_message::GossipReply;
use crate::peers::CONFIG_PATH;
use crate::peers::GOSSIP_PATH;
use crate::peers::MAX_MESSAGE_BYTES;
use std::net;
use std::rc;
use std::time;
use world::Name;

/// Every eighth message also includes the prefill speeds, which rarely change.
const FULL_MESSAGE_PERIOD: u32 = 8;
/// Time between two messages to a peer.
const GOSSIP_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Timeout for reading a peer's configuration, which may be large and share a
/// small link with other traffic.
const CONFIG_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);
/// Timeout for the reply to a gossip message.
const GOSSIP_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Pause before the next message to a peer that did not reply.
const PEER_RETRY_DELAY: time::Duration = time::Duration::from_millis(1_000);

/// Why a message is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Occasion {
    /// The interval has passed.
    Interval,
    /// This entry has news that can't wait.
    Urgent,
    /// A message from another zone can't wait; only the own zone is sent to.
    UrgentRelay,
}

/// Sends this entry's state at intervals, and ahead of time when it is urgent.
pub(crate) async fn gossip_to_all<P: seam::Platform>(entry: rc::Rc<Entry<P>>) {
    let (mut message_count, mut sent_speed_count) = (0_u32, 0);
    let mut told_leaving = Vec::new();
    let mut next_at = tokio::time::Instant::now() + GOSSIP_INTERVAL;
    loop {
        let mut occasion = tokio::select! {
            () = tokio::time::sleep_until(next_at) => Occasion::Interval,
            () = entry.gossip_due.notified() => Occasion::Urgent,
            () = entry.relay_due.notified() => Occasion::UrgentRelay,
        };
        let now = time::Instant::now();
        let mut full = false;
        if occasion != Occasion::UrgentRelay {
            next_at = tokio::time::Instant::now() + GOSSIP_INTERVAL;
            message_count = message_count.wrapping_add(1);
            // The first role orders depend on the prefill speeds, so new speeds are
            // sent at once.
            let speed_count = entry.known_speed_count();
            full = message_count.is_multiple_of(FULL_MESSAGE_PERIOD)
                || speed_count != sent_speed_count;
            sent_speed_count = speed_count;
            let leaving = entry.notices.borrow().own_leaving(now);
            if leaving.iter().any(|host| !told_leaving.contains(host)) {
                occasion = Occasion::Urgent;
            }
            told_leaving = leaving;
        }
        let mut paths = choose_paths(&entry, message_count, occasion, now);
        if occasion == Occasion::UrgentRelay {
            paths.direct.clear();
            paths.relays.clear();
        }
        let is_empty =
            paths.own_zone.is_empty() && paths.direct.is_empty() && paths.relays.is_empty();
        if is_empty {
            entry.take_relayed(now);
            continue;
        }
        let message = entry.gossip_message(full, now);
        send_along(&entry, paths, message, occasion, now);
    }
}

/// Chooses the receivers of a message among the peers.
fn choose_paths<P: seam::Platform>(
    entry: &Entry<P>,
    turn: u32,
    occasion: Occasion,
    now: time::Instant,
) -> pool::GossipPaths {
    let peers = entry.peers.borrow();
    let known = peers.iter().map(|(name, p)| pool::KnownPeer {
        name,
        zone: p.zone.as_ref(),
        is_lost: p.retry_at.is_some_and(|at| at > now),
    });
    let settings = &entry.settings;
    let is_urgent = occasion == Occasion::Urgent;
    pool::GossipPaths::choose(&settings.host, &settings.zone, known, turn, is_urgent)
}

/// Sends a message to all that `paths` names, and to the own zone what other zones have
/// sent.
fn send_along<P: seam::Platform>(
    entry: &rc::Rc<Entry<P>>,
    paths: pool::GossipPaths,
    mut message: GossipMessage,
    occasion: Occasion,
    now: time::Instant,
) {
    send_to(entry, paths.direct, &message);
    message.forwarding = match occasion {
        Occasion::Urgent => pool::Forwarding::Now,
        Occasion::Interval | Occasion::UrgentRelay => pool::Forwarding::Next,
    };
    send_to(entry, paths.relays, &message);
    message.forwarding = pool::Forwarding::Never;
    message.relayed = entry.take_relayed(now);
    send_to(entry, paths.own_zone, &message);
}

/// Sends a message to these peers.
fn send_to<P: seam::Platform>(entry: &rc::Rc<Entry<P>>, names: Vec<Name>, message: &GossipMessage) {
    if names.is_empty() {
        return;
    }
    let text = bytes::Bytes::from(serde_json::to_vec(message).unwrap_or_default());
    let peers = entry.peers.borrow();
    for name in names {
        if let Some(peer) = peers.get(&name) {
            let sent = gossip_to(entry.clone(), name, peer.address, text.clone());
            tokio::task::spawn_local(sent);
        }
    }
}

/// Sends a gossip message to one peer and applies its reply.
async fn gossip_to<P: seam::Platform>(
    entry: rc::Rc<Entry<P>>,
    name: Name,
    address: net::SocketAddr,
    text: bytes::Bytes,
) {
    let sent = time::Instant::now();
    let revision = entry.host_list.borrow().revision();
    let reply = exchange_gossip(&entry, address, text).await;
    let now = time::Instant::now();
    if let Some(peer) = entry.peers.borrow_mut().get_mut(&name) {
        let lost = reply.is_none();
        if lost != peer.retry_at.is_some() {
            let event = if lost { "peer_lost" } else { "peer_regained" };
            trace::LogLine::new(event).with("peer", &name).info();
        }
        peer.retry_at = lost.then(|| now + PEER_RETRY_DELAY);
    }
    let Some(reply) = reply else {
        return;
    };
    let source = ConfigSource {
        peer: name.clone(),
        address,
        version: reply.version,
    };
    learn_version(&entry, source, now);
    if let Some(members) = reply.member_list {
        entry.apply_members(members, &name);
    }
    if let Some(age) = reply.age_ms {
        // The time since sending is added to the age, so that the list is never
        // considered newer than it is.
        let age = time::Duration::from_millis(age) + now.saturating_duration_since(sent);
        entry.host_list.borrow_mut().confirm(revision, age, now);
    }
}

/// A peer that has a version of the configuration.
pub(crate) struct ConfigSource {
    pub(crate) peer: Name,
    pub(crate) address: net::SocketAddr,
    pub(crate) version: pool::ConfigVersion,
}

/// Reads a configuration that a peer has, if it is newer and due.
pub(crate) fn learn_version<P: seam::Platform>(
    entry: &rc::Rc<Entry<P>>,
    source: ConfigSource,
    now: time::Instant,
) {
    let version = entry.config_version();
    let mut fetch = entry.config_fetch.borrow_mut();
    if source.version > version && fetch.record_newer(version.number == 0, now) {
        tokio::task::spawn_local(fetch_config(entry.clone(), source));
    }
}

/// Reads a newer configuration from a peer.
async fn fetch_config<P: seam::Platform>(entry: rc::Rc<Entry<P>>, source: ConfigSource) {
    let deadline = time::Instant::now() + CONFIG_TIMEOUT;
    let body = bytes::Bytes::new();
    let raw = post(&entry, source.address, CONFIG_PATH, body, deadline).await;
    entry.config_fetch.borrow_mut().finish_request();
    match raw {
        Some(raw) => entry.apply_config(raw, source.version.era, &source.peer),
        None => trace::LogLine::new("configuration_untold")
            .with("peer", &source.peer)
            .info(),
    }
}

/// Sends a gossip message; returns `None` if no readable reply arrives in time.
async fn exchange_gossip<P: seam::Platform>(
    entry: &Entry<P>,
    address: net::SocketAddr,
    text: bytes::Bytes,
) -> Option<GossipReply> {
    let deadline = time::Instant::now() + GOSSIP_TIMEOUT;
    let body = post(entry, address, GOSSIP_PATH, text, deadline).await?;
    serde_json::from_slice(&body).ok()
}

/// Sends a request to a peer; returns `None` if no complete response arrives in
/// time.
async fn post<P: seam::Platform>(
    entry: &Entry<P>,
    address: net::SocketAddr,
    path: &str,
    text: bytes::Bytes,
    deadline: time::Instant,
) -> Option<bytes::Bytes> {
    let request = hyper::Request::builder()
        .method(http::Method::POST)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .body(web::FullBody::from(text))
        .ok()?;
    let response = entry
        .peer_client
        .call(address, request, deadline)
        .await
        .ok()?;
    response.read_all(MAX_MESSAGE_BYTES, deadline).await
}
