//! Finds the other entries through the store and receives their gossip.

use crate::body::Body;
use crate::entry::Entry;
use crate::entry::Peer;
use crate::gossip_message::GossipMessage;
use crate::gossip_sender;
use crate::gossip_sender::ConfigSource;
use crate::listeners;
use crate::odd_records::OddRecord;
use crate::usage_store;
use crate::verdict_store;
use callers::CallerSlot;
use callers::HeldBody;
use hyper::body::Incoming;
use seam::Store;
use std::collections;
use std::io;
use std::net;
use std::rc;
use std::time;
use tokio::net as aio;
use world::Name;

/// Prefix of all keys of this system in the store.
const SYSTEM_PREFIX: &str = "hornbeampitch/";
/// Prefix of the entries' keys in the store.
const ENTRY_PREFIX: &str = "hornbeampitch/entry/";
/// Time to live of an entry's key; the key of a stopped entry disappears after this
/// time.
const ENTRY_TTL: time::Duration = time::Duration::from_secs(10);
/// Interval at which the lease of the key is renewed, about three times per
/// lifetime.
const RENEW_INTERVAL: time::Duration = time::Duration::from_secs(3);
/// A peer that sent a message within this time is kept even if the store does
/// not list it.
const MESSAGE_TTL: time::Duration = time::Duration::from_secs(3);
/// Path under which an entry receives gossip.
pub(crate) const GOSSIP_PATH: &str = "/news";
/// Path under which an entry returns its configuration.
pub(crate) const CONFIG_PATH: &str = "/agreement";
/// Maximum number of peers' connections that wait to be accepted.
const BACKLOG: u32 = 128;
/// Longest wait for the body of a peer's message.
const MESSAGE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Maximum size of a message in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;
/// Pause after a failed call to the store or a failed accept.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Starts the tasks that accept peers' connections, keep this entry's key in
/// the store, discover peers and send gossip.
pub(crate) fn start<P: seam::Platform>(entry: rc::Rc<Entry<P>>) -> io::Result<()> {
    let address = entry.settings.peer_listen;
    let listener = listeners::listen(address, BACKLOG)?;
    tokio::task::spawn_local(accept(entry.clone(), listener));
    tokio::task::spawn_local(announce(entry.clone()));
    tokio::task::spawn_local(discover(entry.clone()));
    tokio::task::spawn_local(usage_store::keep_usage(entry.clone()));
    tokio::task::spawn_local(verdict_store::keep_verdicts(entry.clone()));
    tokio::task::spawn_local(gossip_sender::gossip_to_all(entry));
    Ok(())
}

async fn accept<P: seam::Platform>(entry: rc::Rc<Entry<P>>, listener: aio::TcpListener) {
    loop {
        let accepted = entry.listeners.peers.accept(&listener).await;
        let Ok((stream, permit)) = accepted else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        // Disables Nagle's algorithm, which would delay small messages.
        let _ = stream.set_nodelay(true);
        let entry = entry.clone();
        tokio::task::spawn_local(async move {
            let handle_entry = entry.clone();
            let handle = move |request, slot| handle_request(handle_entry.clone(), request, slot);
            listeners::serve_peer(stream, &entry.listeners.peers, handle).await;
            drop(permit);
        });
    }
}

/// Reads a peer's message; none if it is too long, late or broken, or there is no room for it.
async fn read_message(mut incoming: Incoming, slot: &CallerSlot) -> Option<HeldBody> {
    let mut held = slot.callers().memory().hold();
    let next_chunk = async || {
        slot.record_bytes();
        web::next_data(&mut incoming).await
    };
    let try_hold = async |bytes| {
        let capacity = web::collected_capacity(bytes);
        slot.callers().hold(&mut held, capacity).await
    };
    let deadline = time::Instant::now() + MESSAGE_TIMEOUT;
    let collected =
        web::collect_held_chunks(next_chunk, MAX_MESSAGE_BYTES, Some(deadline), try_hold);
    tokio::select! {
        collected = collected => Some(HeldBody { bytes: collected.ok()?, held }),
        () = slot.refused() => None,
    }
}

async fn handle_request<P: seam::Platform>(
    entry: rc::Rc<Entry<P>>,
    request: hyper::Request<Incoming>,
    slot: rc::Rc<CallerSlot>,
) -> hyper::Response<Body> {
    if request.uri().path() == CONFIG_PATH {
        let raw = entry
            .active_config()
            .map(|c| c.raw.clone())
            .unwrap_or_default();
        return hyper::Response::new(Body::from(raw));
    }
    let body = read_message(request.into_body(), &slot).await;
    let message = body.and_then(|b| serde_json::from_slice::<GossipMessage>(&b.bytes).ok());
    let Some(message) = message else {
        trace::LogLine::new("news_unreadable").info();
        let mut response = hyper::Response::new(Body::Full(None));
        *response.status_mut() = http::StatusCode::BAD_REQUEST;
        return response;
    };
    let outdated = newest_relayed(&message).filter(|n| n.version > entry.config_version());
    let now = time::Instant::now();
    let reply = entry.receive_gossip(message, now);
    if let Some(source) = outdated {
        gossip_sender::learn_version(&entry, source, now);
    }
    let text = serde_json::to_vec(&reply).unwrap_or_default();
    hyper::Response::new(Body::from(bytes::Bytes::from(text)))
}

/// Keeps this entry's key in the store until the process is told to stop.
async fn announce<P: seam::Platform>(entry: rc::Rc<Entry<P>>) {
    let mut lease = None;
    loop {
        let renewed = match lease {
            Some(held) => entry.store.renew_lease(held).await,
            None => Ok(false),
        };
        match renewed {
            Ok(true) => tokio::time::sleep(RENEW_INTERVAL).await,
            Ok(false) => {
                lease = register(&entry).await;
                entry.lease.set(lease);
                if lease.is_none() {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
        if entry.is_stopping() {
            return;
        }
    }
}

/// Writes this entry's key with a new lease, and returns the lease if that
/// succeeded.
async fn register<P: seam::Platform>(entry: &Entry<P>) -> Option<seam::LeaseId> {
    let key = format!("{ENTRY_PREFIX}{}", entry.settings.host);
    let current = entry.store.get(&key).await.ok()?;
    let lease = entry.store.grant_lease(ENTRY_TTL).await.ok()?;
    let value = entry.settings.peer_listen.to_string();
    let revision = current.item.map(|i| i.revision);
    let swapped = entry
        .store
        .compare_and_swap(&key, revision, value.as_bytes(), Some(lease))
        .await;
    matches!(swapped, Ok(seam::SwapResult::Done(_))).then_some(lease)
}

/// Updates the set of peers and the verdicts from the store at intervals.
async fn discover<P: seam::Platform>(entry: rc::Rc<Entry<P>>) {
    loop {
        // While the store is unavailable, the known peers are kept.
        if let Ok(page) = entry.store.list(SYSTEM_PREFIX, true).await {
            let mut found = find_entries(&entry, &page.items);
            found.remove(&entry.settings.host);
            let mut peers = entry.peers.borrow_mut();
            let now = time::Instant::now();
            peers.retain(|name, peer| found.contains_key(name) || peer.has_recent_message(now));
            for (name, address) in found {
                let peer = peers.entry(name.clone()).or_insert_with(|| {
                    trace::LogLine::new("peer")
                        .with("peer", &name)
                        .with("address", address)
                        .info();
                    Peer::new(address)
                });
                peer.address = address;
            }
            let mut rate_limiter = entry.rate_limiter.borrow_mut();
            rate_limiter.set_peers(peers.keys(), now);
            drop((rate_limiter, peers));
            entry.update_paces();
            verdict_store::apply_stored(&entry, &page);
        }
        tokio::time::sleep(pool::discovery_interval(entry.reader_position())).await;
    }
}

impl Peer {
    /// Creates a peer that has sent no message yet.
    pub(crate) fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            zone: None,
            last_message: None,
            order: pool::UpdateOrder::default(),
            retry_at: None,
        }
    }

    /// Returns whether the peer has sent a message within [`MESSAGE_TTL`].
    fn has_recent_message(&self, now: time::Instant) -> bool {
        let message = self.last_message.as_ref();
        message.is_some_and(|(heard, _)| heard.is_valid(MESSAGE_TTL, now))
    }
}

/// Returns the entries among these keys; those that can't be decoded are logged.
fn find_entries<P: seam::Platform>(
    entry: &Entry<P>,
    items: &[seam::Item],
) -> collections::BTreeMap<Name, net::SocketAddr> {
    let mut found = collections::BTreeMap::new();
    let mut odd = Vec::new();
    for item in items {
        let name = item.key.strip_prefix(ENTRY_PREFIX);
        let Some((name, value)) = name.zip(item.value.as_deref()) else {
            continue;
        };
        match parse_address(value) {
            Ok(address) => drop(found.insert(Name::from(name), address)),
            Err(fault) => odd.push(OddRecord {
                key: &item.key,
                value,
                fault,
            }),
        }
    }
    entry.log_odd("entry_unreadable", "store", &odd);
    found
}

/// Parses the address of an entry, to which a connection can be opened.
fn parse_address(value: &[u8]) -> Result<net::SocketAddr, String> {
    let text = std::str::from_utf8(value).map_err(|e| e.to_string())?;
    let address: net::SocketAddr = text.parse().map_err(|e| format!("{e}: {text}"))?;
    match address.port() == 0 || address.ip().is_unspecified() {
        true => Err(format!("{address} is the address of no host")),
        false => Ok(address),
    }
}

/// Returns the newest configuration among the senders of relayed messages, and where to
/// read it: at the relay, if it has that version, or else at its origin.
fn newest_relayed(message: &GossipMessage) -> Option<ConfigSource> {
    let origins = message.relayed.iter().map(|r| &r.message);
    let newest = origins.max_by_key(|m| m.version)?;
    let holder = match message.version >= newest.version {
        true => message,
        false => newest,
    };
    Some(ConfigSource {
        peer: holder.entry.clone(),
        address: holder.address?,
        version: newest.version,
    })
}
