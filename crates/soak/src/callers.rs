//! Callers that ask until they are told to stop, on connections that they keep.

use crate::faults::Site;
use fake::tracks::names;
use rand::Rng;
use rand::SeedableRng;
use std::io::Read;
use std::net;
use std::sync::atomic;
use std::time;

/// The longest that a caller waits.
const PATIENCE: time::Duration = time::Duration::from_secs(6);
/// The pause between two requests of one caller.
const PAUSE: time::Duration = time::Duration::from_millis(10);

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A call that may run once.
    Order,
    /// A call that may be repeated.
    Status,
    /// A stream that may run once.
    Once,
    /// A stream that may be resumed.
    Resumable,
}

impl RequestKind {
    /// The path that leads there.
    pub fn path(self) -> &'static str {
        match self {
            RequestKind::Order => "/order/",
            RequestKind::Status => "/status/",
            RequestKind::Once => "/once/",
            RequestKind::Resumable => "/resumable/",
        }
    }

    /// Tells whether it may run once at most.
    pub fn runs_once(self) -> bool {
        matches!(self, RequestKind::Order | RequestKind::Once)
    }

    /// Tells whether its answer is a stream.
    pub fn streams(self) -> bool {
        matches!(self, RequestKind::Once | RequestKind::Resumable)
    }
}

/// What a caller has seen of one request.
#[derive(Clone, Debug)]
pub struct ObservedResponse {
    /// What it asked for.
    pub kind: RequestKind,
    /// The request's id.
    pub id: String,
    /// The status; none without an answer.
    pub status: Option<u16>,
    /// The body, as far as it came.
    pub body: String,
    /// Whether it came whole.
    pub whole: bool,
    /// The proof of the host that answered.
    pub seal: String,
    /// Who asked; each asks one thing after the other.
    pub caller: u64,
    /// The entry that was asked and which of its lives; none where it changed.
    pub life: Option<(usize, u32)>,
}

/// An entry as callers know it.
pub(crate) struct Front<'a> {
    address: net::SocketAddr,
    lives: &'a atomic::AtomicU32,
}

/// The entries.
pub(crate) fn fronts(site: &Site) -> Vec<Front<'_>> {
    let yard = site.yard.lock().expect("no panic holds it");
    let fronts = yard.entries.iter().zip(&site.lives);
    fronts
        .map(|(e, lives)| Front {
            address: e.caller_address,
            lives,
        })
        .collect()
}

/// Asks until told to stop.
pub(crate) fn ask_on(
    fronts: &[Front<'_>],
    seed: u64,
    caller: u64,
    stop: &atomic::AtomicBool,
) -> Vec<ObservedResponse> {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed ^ (caller << 32));
    let agents: Vec<ureq::Agent> = fronts.iter().map(|_| agent()).collect();
    let mut all = Vec::new();
    while !stop.load(atomic::Ordering::Relaxed) {
        let kinds = [
            RequestKind::Order,
            RequestKind::Status,
            RequestKind::Once,
            RequestKind::Resumable,
        ];
        let kind = kinds[random.random_range(0..kinds.len())];
        let entry = random.random_range(0..fronts.len());
        let id = format!("{seed:04x}{caller:04x}{:08x}", all.len());
        let lives = || fronts[entry].lives.load(atomic::Ordering::SeqCst);
        let before = lives();
        let mut seen = ask(&agents[entry], fronts[entry].address, kind, id);
        seen.caller = caller;
        // One that was asked over a restart may have been served by either life.
        seen.life = (lives() == before).then_some((entry, before));
        all.push(seen);
        std::thread::sleep(PAUSE);
    }
    all
}

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE))
        .build();
    ureq::Agent::new_with_config(config)
}

fn ask(
    agent: &ureq::Agent,
    front: net::SocketAddr,
    kind: RequestKind,
    id: String,
) -> ObservedResponse {
    let mut seen = ObservedResponse {
        kind,
        id,
        status: None,
        body: String::new(),
        whole: false,
        seal: String::new(),
        caller: 0,
        life: None,
    };
    let request = ureq::http::Request::builder()
        .method("POST")
        .uri(format!("http://{front}{}a", kind.path()))
        .header("host", "agency.example")
        .header(names::REQUEST_ID, &seen.id)
        .header(names::DEADLINE_MS, PATIENCE.as_millis().to_string())
        .header(names::MODEL, "m")
        .header(names::TOKEN_COUNTS, "800,100")
        .header("api-key", "key-a")
        .body(seen.id.clone())
        .expect("a request can be made");
    let Ok(response) = agent.run(request) else {
        return seen;
    };
    let (head, mut body) = response.into_parts();
    seen.status = Some(head.status.as_u16());
    let seal = head.headers.get(names::RESPONSE_SEAL);
    seen.seal = seal.map_or(String::new(), |s| format!("{s:?}").replace('"', ""));
    let mut bytes = Vec::new();
    seen.whole = body.as_reader().read_to_end(&mut bytes).is_ok();
    seen.body = String::from_utf8_lossy(&bytes).into_owned();
    seen
}
