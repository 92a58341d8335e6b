//! Finds the other entries through the store and exchanges gossip with them.

use crate::body::Body;
use crate::entry::Entry;
use crate::entry::Peer;
use crate::gossip::GossipMessage;
use crate::gossip::GossipReply;
use crate::serve;
use crate::usage_store;
use crate::verdict_store;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use seam::Store;
use std::collections;
use std::convert;
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
/// Every eighth message also includes the prefill speeds, which rarely change.
const FULL_MESSAGE_PERIOD: u32 = 8;
/// Time between two messages to a peer.
const GOSSIP_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Path under which an entry receives gossip.
const GOSSIP_PATH: &str = "/news";
/// Path under which an entry returns its configuration.
const CONFIG_PATH: &str = "/agreement";
/// Timeout for reading a peer's configuration, which may be large and share a
/// small link with other traffic.
const CONFIG_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);
/// Timeout for the reply to a gossip message.
const GOSSIP_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Longest wait for the head and for the body of a peer's message, and for the next one on
/// its connection. Peers close idle connections sooner.
const MESSAGE_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Pause before the next message to a peer that did not reply.
const PEER_RETRY_DELAY: time::Duration = time::Duration::from_millis(1_000);
/// Maximum size of a message in bytes.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;
/// Pause after a failed call to the store or a failed accept.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Starts the tasks that accept peers' connections, keep this entry's key in
/// the store, discover peers and send gossip.
pub(crate) fn start<P: seam::Platform>(entry: rc::Rc<Entry<P>>) -> io::Result<()> {
    let listener = serve::listen(entry.settings.peer_listen)?;
    tokio::task::spawn_local(accept(entry.clone(), listener));
    tokio::task::spawn_local(announce(entry.clone()));
    tokio::task::spawn_local(discover(entry.clone()));
    tokio::task::spawn_local(usage_store::keep_usage(entry.clone()));
    tokio::task::spawn_local(verdict_store::keep_verdicts(entry.clone()));
    tokio::task::spawn_local(gossip_to_all(entry));
    Ok(())
}

async fn accept<P: seam::Platform>(entry: rc::Rc<Entry<P>>, listener: aio::TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        // Disables Nagle's algorithm, which would delay small messages.
        let _ = stream.set_nodelay(true);
        let entry = entry.clone();
        let service = service::service_fn(move |request: hyper::Request<Incoming>| {
            let entry = entry.clone();
            async move { Ok::<_, convert::Infallible>(handle_request(&entry, request).await) }
        });
        tokio::task::spawn_local(async move {
            let served = http1::Builder::new()
                .timer(rt::TokioTimer::new())
                .header_read_timeout(MESSAGE_TIMEOUT)
                .serve_connection(rt::TokioIo::new(stream), service);
            // A peer whose connection was lost connects again.
            let _ = served.await;
        });
    }
}

async fn handle_request<P: seam::Platform>(
    entry: &Entry<P>,
    request: hyper::Request<Incoming>,
) -> hyper::Response<Body> {
    if request.uri().path() == CONFIG_PATH {
        let raw = entry
            .active_config()
            .map(|c| c.raw.clone())
            .unwrap_or_default();
        return hyper::Response::new(Body::from(raw));
    }
    let limited = http_body_util::Limited::new(request.into_body(), MAX_MESSAGE_BYTES);
    let body = tokio::time::timeout(MESSAGE_TIMEOUT, limited.collect()).await;
    let body = body.ok().and_then(Result::ok).map(|b| b.to_bytes());
    let message = body.and_then(|b| serde_json::from_slice::<GossipMessage>(&b).ok());
    let Some(message) = message else {
        trace::LogLine::new("news_unreadable").info();
        let mut response = hyper::Response::new(Body::Full(None));
        *response.status_mut() = http::StatusCode::BAD_REQUEST;
        return response;
    };
    let reply = entry.apply_gossip(message, time::Instant::now());
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
        if entry.stopping.get() {
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
    let revision = current.item.map_or(0, |i| i.revision);
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
            let found = page.items.iter().filter_map(parse_entry);
            let mut found: collections::BTreeMap<Name, net::SocketAddr> = found.collect();
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
                    Peer {
                        address,
                        last_message: None,
                        retry_at: None,
                    }
                });
                peer.address = address;
            }
            let mut rate_limiter = entry.rate_limiter.borrow_mut();
            rate_limiter.set_peers(peers.keys(), now);
            drop((rate_limiter, peers));
            verdict_store::apply_stored(&entry, &page);
        }
        tokio::time::sleep(pool::discovery_interval(entry.position())).await;
    }
}

impl Peer {
    /// Returns whether the peer has sent a message within [`MESSAGE_TTL`].
    fn has_recent_message(&self, now: time::Instant) -> bool {
        let message = self.last_message.as_ref();
        message.is_some_and(|(received_at, _)| {
            now.saturating_duration_since(*received_at) < MESSAGE_TTL
        })
    }
}

fn parse_entry(item: &seam::Item) -> Option<(Name, net::SocketAddr)> {
    let name = item.key.strip_prefix(ENTRY_PREFIX)?;
    let value = item.value.as_ref()?;
    let address = std::str::from_utf8(value).ok()?.parse().ok()?;
    Some((Name::from(name), address))
}

/// Sends this entry's state to all peers at intervals.
async fn gossip_to_all<P: seam::Platform>(entry: rc::Rc<Entry<P>>) {
    let (mut message_count, mut sent_speed_count) = (0_u32, 0);
    loop {
        tokio::select! {
            () = tokio::time::sleep(GOSSIP_INTERVAL) => {}
            () = entry.gossip_due.notified() => {}
        }
        message_count = message_count.wrapping_add(1);
        // The first role orders depend on the prefill speeds, so new speeds are
        // sent at once.
        let speed_count = entry.known_speed_count();
        let full =
            message_count.is_multiple_of(FULL_MESSAGE_PERIOD) || speed_count != sent_speed_count;
        sent_speed_count = speed_count;
        let now = time::Instant::now();
        let due: Vec<(Name, net::SocketAddr)> = entry
            .peers
            .borrow()
            .iter()
            .filter(|(_, p)| p.retry_at.is_none_or(|at| at <= now))
            .map(|(n, p)| (n.clone(), p.address))
            .collect();
        if due.is_empty() {
            continue;
        }
        let text = serde_json::to_vec(&entry.gossip_message(full, now)).unwrap_or_default();
        let text = bytes::Bytes::from(text);
        for (name, address) in due {
            tokio::task::spawn_local(gossip_to(entry.clone(), name, address, text.clone()));
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
    let version = entry.config_version();
    if reply.version > version
        && entry
            .config_fetch
            .borrow_mut()
            .record_newer(version == 0, now)
    {
        tokio::task::spawn_local(fetch_config(entry.clone(), name.clone(), address));
    }
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

/// Reads a newer configuration from a peer.
async fn fetch_config<P: seam::Platform>(
    entry: rc::Rc<Entry<P>>,
    name: Name,
    address: net::SocketAddr,
) {
    let deadline = time::Instant::now() + CONFIG_TIMEOUT;
    let raw = post(&entry, address, CONFIG_PATH, bytes::Bytes::new(), deadline).await;
    entry.config_fetch.borrow_mut().finish_request();
    match raw {
        Some(raw) => entry.apply_config(raw, &name),
        None => trace::LogLine::new("configuration_untold")
            .with("peer", &name)
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
