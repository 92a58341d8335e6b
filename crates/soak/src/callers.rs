//! Callers that send requests over persistent connections until they are stopped.

use crate::faults::FaultTargets;
use fake::tracks::names;
use rand::Rng;
use rand::SeedableRng;
use std::io::Read;
use std::net;
use std::sync::atomic;
use std::time;

/// Longest wait of a caller for a response.
pub(crate) const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(6);
/// Pause between two requests of one caller.
const REQUEST_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Kind of a request, which selects its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A call that must run at most once.
    Order,
    /// A call that may be repeated.
    Status,
    /// A stream that must run at most once.
    Once,
    /// A stream that may be resumed.
    Resumable,
}

impl RequestKind {
    /// Returns the path prefix of its route.
    pub fn path(self) -> &'static str {
        match self {
            RequestKind::Order => "/order/",
            RequestKind::Status => "/status/",
            RequestKind::Once => "/once/",
            RequestKind::Resumable => "/resumable/",
        }
    }

    /// Returns whether a request of this kind must run at most once.
    pub fn runs_once(self) -> bool {
        matches!(self, RequestKind::Order | RequestKind::Once)
    }

    /// Returns whether the response is a stream.
    pub fn streams(self) -> bool {
        matches!(self, RequestKind::Once | RequestKind::Resumable)
    }
}

/// One request and its response as the caller received it.
#[derive(Clone, Debug)]
pub struct ObservedResponse {
    /// Kind of the request.
    pub kind: RequestKind,
    /// Id of the request.
    pub id: String,
    /// HTTP status; none without a response.
    pub status: Option<u16>,
    /// Body as far as it was received.
    pub body: String,
    /// Whether the body was received to its end.
    pub complete: bool,
    /// Seal of the host that answered; empty if the response has none.
    pub seal: String,
    /// Number of the caller, which sends one request at a time.
    pub caller: u64,
    /// Index of the entry and how often it had been restarted before the request; none if
    /// it was restarted during the request.
    pub entry_run: Option<(usize, u32)>,
    /// Whether the entry was killed during the request.
    pub entry_killed: bool,
    /// Time from the request to the end of the response.
    pub duration: time::Duration,
}

/// Address of an entry and the number of its restarts.
pub(crate) struct EntryTarget<'a> {
    address: net::SocketAddr,
    restart_count: &'a atomic::AtomicU32,
    kill_count: &'a atomic::AtomicU32,
}

/// Returns an [`EntryTarget`] for each entry.
pub(crate) fn entry_targets(targets: &FaultTargets) -> Vec<EntryTarget<'_>> {
    let cluster = targets.cluster.lock().expect("the mutex is not poisoned");
    let counts = targets.restart_counts.iter().zip(&targets.kill_counts);
    let entry_targets = cluster.entries.iter().zip(counts);
    entry_targets
        .map(|(e, (restart_count, kill_count))| EntryTarget {
            address: e.caller_address,
            restart_count,
            kill_count,
        })
        .collect()
}

/// Sends random requests to random entries until `stop` is set. `seed` and the number
/// `caller` determine the order of the requests.
pub(crate) fn send_until_stopped(
    entry_targets: &[EntryTarget<'_>],
    seed: u64,
    caller: u64,
    stop: &atomic::AtomicBool,
) -> Vec<ObservedResponse> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed ^ (caller << 32));
    let agents: Vec<ureq::Agent> = entry_targets.iter().map(|_| http_agent()).collect();
    let mut responses = Vec::new();
    while !stop.load(atomic::Ordering::Relaxed) {
        let kinds = [
            RequestKind::Order,
            RequestKind::Status,
            RequestKind::Once,
            RequestKind::Resumable,
        ];
        let kind = kinds[rng.random_range(0..kinds.len())];
        let entry = rng.random_range(0..entry_targets.len());
        let id = format!("{seed:04x}{caller:04x}{:08x}", responses.len());
        let target = &entry_targets[entry];
        let restart_count = || target.restart_count.load(atomic::Ordering::SeqCst);
        let kill_count = || target.kill_count.load(atomic::Ordering::SeqCst);
        let (restarts_before, kills_before) = (restart_count(), kill_count());
        let sent_at = time::Instant::now();
        let mut response = send_request(&agents[entry], target.address, kind, id);
        response.caller = caller;
        response.duration = sent_at.elapsed();
        response.entry_killed = kill_count() != kills_before;
        // If the entry was restarted meanwhile, either process may have served the request.
        response.entry_run =
            (restart_count() == restarts_before).then_some((entry, restarts_before));
        responses.push(response);
        std::thread::sleep(REQUEST_INTERVAL);
    }
    responses
}

/// Creates a client that keeps its connections open between requests.
fn http_agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build();
    ureq::Agent::new_with_config(config)
}

fn send_request(
    http_agent: &ureq::Agent,
    address: net::SocketAddr,
    kind: RequestKind,
    id: String,
) -> ObservedResponse {
    let mut response = ObservedResponse {
        kind,
        id,
        status: None,
        body: String::new(),
        complete: false,
        seal: String::new(),
        caller: 0,
        entry_run: None,
        entry_killed: false,
        duration: time::Duration::ZERO,
    };
    let request = ureq::http::Request::builder()
        .method("POST")
        .uri(format!("http://{address}{}a", kind.path()))
        .header("host", "agency.example")
        .header(names::REQUEST_ID, &response.id)
        .header(names::DEADLINE_MS, REQUEST_TIMEOUT.as_millis().to_string())
        .header(names::MODEL, "m")
        .header(names::TOKEN_COUNTS, "800,100")
        .header("api-key", "key-a")
        .body(response.id.clone())
        .expect("the request is valid");
    let Ok(http_response) = http_agent.run(request) else {
        return response;
    };
    let (head, mut body) = http_response.into_parts();
    response.status = Some(head.status.as_u16());
    let seal = head.headers.get(names::RESPONSE_SEAL);
    response.seal = seal.map_or(String::new(), |s| format!("{s:?}").replace('"', ""));
    let mut bytes = Vec::new();
    response.complete = body.as_reader().read_to_end(&mut bytes).is_ok();
    response.body = String::from_utf8_lossy(&bytes).into_owned();
    response
}
