//! The other entries: found through the store, spoken to directly.

use crate::body::Body;
use crate::entry::Entry;
use crate::entry::Peer;
use crate::news::Better;
use crate::news::News;
use crate::serve;
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

/// What the keys of entries begin with.
const ENTRY_PREFIX: &str = "hornbeampitch/entry/";
/// The life of an entry's key; one that has gone is forgotten after it.
const ENTRY_LIFE: time::Duration = time::Duration::from_secs(10);
/// Renewals for each life.
const RENEW_GAP: time::Duration = time::Duration::from_secs(3);
/// A peer whose news are younger than this is there, whatever the store says.
const NEWS_MEMORY: time::Duration = time::Duration::from_secs(3);
/// One message in so many tells also what hardly changes.
const WHOLE_EVERY: u32 = 8;
/// Time between two messages to a peer.
const NEWS_GAP: time::Duration = time::Duration::from_millis(250);
/// Where peers take news, and where they give their configuration.
const NEWS_PATH: &str = "/news";
const AGREEMENT_PATH: &str = "/agreement";
/// How long a peer may take to give its configuration: a large one over a small
/// link that has other work.
const AGREEMENT_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);
/// How long a peer may take to answer.
const NEWS_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// The pause after a peer didn't answer.
const QUIET_PAUSE: time::Duration = time::Duration::from_millis(1_000);
/// Bytes of one message.
const NEWS_BYTES: usize = 8 * 1024 * 1024;
/// The pause after a failure of the store.
const FAULT_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Starts to listen to peers, to make this entry known, and to speak.
pub(crate) fn start<P: seam::Platform>(entry: rc::Rc<Entry<P>>) -> io::Result<()> {
    let listener = serve::listen(entry.settings.peer_listen)?;
    tokio::task::spawn_local(accept(entry.clone(), listener));
    tokio::task::spawn_local(announce(entry.clone()));
    tokio::task::spawn_local(look(entry.clone()));
    tokio::task::spawn_local(speak(entry));
    Ok(())
}

async fn accept<P: seam::Platform>(entry: rc::Rc<Entry<P>>, listener: aio::TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(FAULT_PAUSE).await;
            continue;
        };
        // Without it, small messages would wait.
        let _ = stream.set_nodelay(true);
        let entry = entry.clone();
        let service = service::service_fn(move |request: hyper::Request<Incoming>| {
            let entry = entry.clone();
            async move { Ok::<_, convert::Infallible>(receive(&entry, request).await) }
        });
        tokio::task::spawn_local(async move {
            let served = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service);
            // A peer that has gone connects anew.
            let _ = served.await;
        });
    }
}

async fn receive<P: seam::Platform>(
    entry: &Entry<P>,
    request: hyper::Request<Incoming>,
) -> hyper::Response<Body> {
    if request.uri().path() == AGREEMENT_PATH {
        let raw = entry.force().map(|f| f.raw.clone()).unwrap_or_default();
        return hyper::Response::new(Body::from(raw));
    }
    let limited = http_body_util::Limited::new(request.into_body(), NEWS_BYTES);
    let body = limited.collect().await.map(|b| b.to_bytes());
    let news = body
        .ok()
        .and_then(|b| serde_json::from_slice::<News>(&b).ok());
    let Some(news) = news else {
        trace::Line::new("news_unreadable").info();
        let mut response = hyper::Response::new(Body::Whole(None));
        *response.status_mut() = http::StatusCode::BAD_REQUEST;
        return response;
    };
    let better = entry.hear(news, time::Instant::now());
    let text = serde_json::to_vec(&better).unwrap_or_default();
    hyper::Response::new(Body::from(bytes::Bytes::from(text)))
}

/// Keeps this entry's key in the store.
async fn announce<P: seam::Platform>(entry: rc::Rc<Entry<P>>) {
    let mut lease = None;
    loop {
        let kept = match lease {
            Some(held) => entry.store.renew_lease(held).await,
            None => Ok(false),
        };
        match kept {
            Ok(true) => tokio::time::sleep(RENEW_GAP).await,
            Ok(false) => {
                lease = register(&entry).await;
                if lease.is_none() {
                    tokio::time::sleep(FAULT_PAUSE).await;
                }
            }
            Err(_) => tokio::time::sleep(FAULT_PAUSE).await,
        }
        if entry.stopping.get() {
            return;
        }
    }
}

async fn register<P: seam::Platform>(entry: &Entry<P>) -> Option<seam::LeaseId> {
    let key = format!("{ENTRY_PREFIX}{}", entry.settings.host);
    let known = entry.store.get(&key).await.ok()?;
    let lease = entry.store.grant_lease(ENTRY_LIFE).await.ok()?;
    let value = entry.settings.peer_listen.to_string();
    let revision = known.item.map_or(0, |i| i.revision);
    let swapped = entry
        .store
        .compare_and_swap(&key, revision, value.as_bytes(), Some(lease))
        .await;
    matches!(swapped, Ok(seam::SwapResult::Done(_))).then_some(lease)
}

/// Looks for entries in the store.
async fn look<P: seam::Platform>(entry: rc::Rc<Entry<P>>) {
    loop {
        // While the store is away, the peers known so far are spoken to.
        if let Ok(page) = entry.store.list(ENTRY_PREFIX, true).await {
            let found = page.items.iter().filter_map(parse_entry);
            let mut found: collections::BTreeMap<Name, net::SocketAddr> = found.collect();
            found.remove(&entry.settings.host);
            let mut peers = entry.peers.borrow_mut();
            let now = time::Instant::now();
            peers.retain(|name, peer| found.contains_key(name) || peer.spoke(now));
            for (name, address) in found {
                let peer = peers.entry(name.clone()).or_insert_with(|| {
                    trace::Line::new("peer")
                        .with("peer", &name)
                        .with("address", address)
                        .info();
                    Peer {
                        address,
                        news: None,
                        quiet: None,
                    }
                });
                peer.address = address;
            }
        }
        tokio::time::sleep(pool::discovery_interval(entry.rank())).await;
    }
}

impl Peer {
    fn spoke(&self, now: time::Instant) -> bool {
        let news = self.news.as_ref();
        news.is_some_and(|(heard, _)| now.saturating_duration_since(*heard) < NEWS_MEMORY)
    }
}

fn parse_entry(item: &seam::Item) -> Option<(Name, net::SocketAddr)> {
    let name = item.key.strip_prefix(ENTRY_PREFIX)?;
    let value = item.value.as_ref()?;
    let address = std::str::from_utf8(value).ok()?.parse().ok()?;
    Some((Name::from(name), address))
}

/// Tells every peer what there is.
async fn speak<P: seam::Platform>(entry: rc::Rc<Entry<P>>) {
    let (mut count, mut told) = (0_u32, 0);
    loop {
        tokio::time::sleep(NEWS_GAP).await;
        count = count.wrapping_add(1);
        // The first orders go by speeds, so new ones are told at once.
        let known = entry.known_speeds();
        let whole = count.is_multiple_of(WHOLE_EVERY) || known != told;
        told = known;
        let now = time::Instant::now();
        let due: Vec<(Name, net::SocketAddr)> = entry
            .peers
            .borrow()
            .iter()
            .filter(|(_, p)| p.quiet.is_none_or(|q| q <= now))
            .map(|(n, p)| (n.clone(), p.address))
            .collect();
        if due.is_empty() {
            continue;
        }
        let text = serde_json::to_vec(&entry.news(whole, now)).unwrap_or_default();
        let text = bytes::Bytes::from(text);
        for (name, address) in due {
            tokio::task::spawn_local(tell(entry.clone(), name, address, text.clone()));
        }
    }
}

async fn tell<P: seam::Platform>(
    entry: rc::Rc<Entry<P>>,
    name: Name,
    address: net::SocketAddr,
    text: bytes::Bytes,
) {
    let sent = time::Instant::now();
    let listed = entry.roster.borrow().revision();
    let better = exchange(&entry, address, text).await;
    let now = time::Instant::now();
    if let Some(peer) = entry.peers.borrow_mut().get_mut(&name) {
        let lost = better.is_none();
        if lost != peer.quiet.is_some() {
            let event = if lost { "peer_lost" } else { "peer_regained" };
            trace::Line::new(event).with("peer", &name).info();
        }
        peer.quiet = lost.then(|| now + QUIET_PAUSE);
    }
    let Some(better) = better else {
        return;
    };
    let version = entry.version();
    if better.version > version && entry.catching.borrow_mut().note_newer(version == 0, now) {
        tokio::task::spawn_local(catch_up(entry.clone(), name.clone(), address));
    }
    if let Some(listing) = better.listing {
        entry.list(listing, &name);
    }
    if let Some(age) = better.confirmed {
        // Counted from the question, so that the list never passes for younger.
        let age = time::Duration::from_millis(age) + now.saturating_duration_since(sent);
        entry.roster.borrow_mut().confirm(listed, age, now);
    }
}

/// Has a newer configuration from a peer.
async fn catch_up<P: seam::Platform>(
    entry: rc::Rc<Entry<P>>,
    name: Name,
    address: net::SocketAddr,
) {
    let by = time::Instant::now() + AGREEMENT_TIMEOUT;
    let raw = ask(&entry, address, AGREEMENT_PATH, bytes::Bytes::new(), by).await;
    entry.catching.borrow_mut().finish_request();
    match raw {
        Some(raw) => entry.adopt(raw, &name),
        None => trace::Line::new("configuration_untold")
            .with("peer", &name)
            .info(),
    }
}

async fn exchange<P: seam::Platform>(
    entry: &Entry<P>,
    address: net::SocketAddr,
    text: bytes::Bytes,
) -> Option<Better> {
    let by = time::Instant::now() + NEWS_TIMEOUT;
    let body = ask(entry, address, NEWS_PATH, text, by).await?;
    serde_json::from_slice(&body).ok()
}

/// Asks a peer; none where it gave no whole answer in time.
async fn ask<P: seam::Platform>(
    entry: &Entry<P>,
    address: net::SocketAddr,
    path: &str,
    text: bytes::Bytes,
    by: time::Instant,
) -> Option<bytes::Bytes> {
    let request = hyper::Request::builder()
        .method(http::Method::POST)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .body(web::Whole::from(text))
        .ok()?;
    let answer = entry.links.call(address, request, by).await.ok()?;
    answer.whole(NEWS_BYTES, by).await
}
