//! Test cluster on the fakes of the Tracks Unit's platform, with real daemons as entries.

use crate::ports::free_address;
use crate::tracks::EntryDaemon;
use crate::tracks::TracksStore;
use crate::tracks::Worker;
use crate::tracks::names;
use serde_json::Value;
use serde_json::json;
use std::env;
use std::fs;
use std::io;
use std::io::Read;
use std::path;
use std::process;
use std::sync::atomic;
use std::thread;
use std::time;

/// Longest wait for a condition or a response; long enough for a machine under load.
const WAIT_LIMIT: time::Duration = time::Duration::from_secs(60);
/// Time between two checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(15);

/// A metadata store, workers and entries. Dropping it kills the entries.
pub struct TracksCluster {
    /// The platform's metadata store.
    pub store: TracksStore,
    /// Engines of the service `llm`.
    pub engines: Vec<Worker>,
    /// Hosts of the plain service `app`.
    pub hosts: Vec<Worker>,
    /// The entries.
    pub entries: Vec<EntryDaemon>,
    /// Configuration as it was written last.
    pub configuration: Value,
    folder: path::PathBuf,
}

/// Response of an entry to a caller.
#[derive(Clone, Debug, Default)]
pub struct EntryResponse {
    /// HTTP status; 0 without a response.
    pub status: u16,
    /// Body as far as it was received.
    pub body: String,
    /// Whether the body was received to its end.
    pub complete: bool,
    /// All headers as one text.
    pub headers: String,
}

impl TracksCluster {
    /// Starts a store and workers and lists the workers as ready. It prepares the entries
    /// without starting them.
    ///
    /// `program` is the daemon; `stages` has the initial stage of each engine. `hosts` and
    /// `entries` are the numbers of plain hosts and of entries.
    pub fn new(
        program: &path::Path,
        stages: &[&'static str],
        hosts: usize,
        entries: usize,
    ) -> Self {
        static COUNT: atomic::AtomicU32 = atomic::AtomicU32::new(0);
        let count = COUNT.fetch_add(1, atomic::Ordering::Relaxed);
        let folder = env::temp_dir().join(format!("tracks-cluster-{}-{count}", process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder is writable");
        let store = TracksStore::start(free_address());
        let engines = stages
            .iter()
            .enumerate()
            .map(|(i, stage)| Worker::start(free_address(), &format!("engine-{i}"), Some(stage)));
        let hosts = (0..hosts).map(|i| Worker::start(free_address(), &format!("host-{i}"), None));
        let entries = (0..entries).map(|i| {
            EntryDaemon::prepare(&format!("entry-{i}"), store.address(), program, &folder)
        });
        let cluster = Self {
            engines: engines.collect(),
            hosts: hosts.collect(),
            entries: entries.collect(),
            configuration: initial_configuration(),
            folder,
            store,
        };
        cluster.list_workers("ready");
        cluster
    }

    /// Writes the configuration, starts all entries and waits until they are ready.
    pub fn start(&mut self) {
        self.configure(|_| {});
        for entry in &mut self.entries {
            entry.start();
        }
        for index in 0..self.entries.len() {
            self.wait_until(|cluster| cluster.is_ready(index));
        }
    }

    /// Changes the configuration and writes it as a new version. Versions increase, but
    /// are not consecutive.
    pub fn configure(&mut self, change: impl FnOnce(&mut Value)) {
        change(&mut self.configuration);
        let version = self.configuration["version"].as_u64().unwrap_or(0) + 3;
        self.configuration["version"] = json!(version);
        let text = self.configuration.to_string();
        self.store.put(names::CONFIGURATION_KEY, text.as_bytes());
    }

    /// Writes the records of all workers with the same state.
    pub fn list_workers(&self, state: &str) {
        for (worker, service) in self.workers() {
            self.list_worker(worker, service, state);
        }
    }

    /// Writes the record of one worker with the name of its service and its state.
    pub fn list_worker(&self, worker: &Worker, service: &str, state: &str) {
        let key = names::member_key(&worker.id);
        self.store
            .put(&key, worker.member_record(service, state).as_bytes());
    }

    /// Waits until a condition is met. Panics if it is not met in time.
    pub fn wait_until(&self, is_met: impl Fn(&Self) -> bool) {
        let end = time::Instant::now() + WAIT_LIMIT;
        while !is_met(self) {
            assert!(
                time::Instant::now() < end,
                "the condition is not met in time"
            );
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns whether an entry's readiness check succeeds.
    pub fn is_ready(&self, entry: usize) -> bool {
        let url = format!(
            "http://{}/hornbeampitch/ready",
            self.entries[entry].ready_address
        );
        ureq::get(&url).call().is_ok()
    }

    /// Sends a request for a stream to an entry, for the model `m` with 1,000 prompt tokens
    /// and at most 100 answer tokens. `headers` are added to those of the request.
    pub fn request_stream(
        &self,
        entry: usize,
        path: &str,
        headers: &[(&str, &str)],
    ) -> EntryResponse {
        let mut all = vec![(names::MODEL, "m"), (names::TOKEN_COUNTS, "1000,100")];
        all.extend_from_slice(headers);
        self.request(entry, "POST", path, "a prompt", &all)
    }

    /// Sends a request to an entry. It has an API key, an id and a deadline unless
    /// `headers` contains others; a header with an empty value is left out.
    pub fn request(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> EntryResponse {
        static COUNT: atomic::AtomicU64 = atomic::AtomicU64::new(0);
        let id = format!("{:016x}", COUNT.fetch_add(1, atomic::Ordering::Relaxed));
        let url = format!("http://{}{path}", self.entries[entry].caller_address);
        let mut request = ureq::http::Request::builder()
            .method(method)
            .uri(&url)
            .header("host", "agency.example");
        let is_given = |name: &str| headers.iter().any(|(n, _)| *n == name);
        for (name, value) in [
            (names::REQUEST_ID, id.as_str()),
            (names::DEADLINE_MS, "8000"),
            ("api-key", "key-a"),
        ] {
            if !is_given(name) {
                request = request.header(name, value);
            }
        }
        for (name, value) in headers.iter().filter(|(_, v)| !v.is_empty()) {
            request = request.header(*name, *value);
        }
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(WAIT_LIMIT))
            .build();
        let agent = ureq::Agent::new_with_config(config);
        let request = request.body(body.to_owned()).expect("the request is valid");
        let Ok(response) = agent.run(request) else {
            return EntryResponse::default();
        };
        let (head, mut body) = response.into_parts();
        let mut bytes = Vec::new();
        let complete = body.as_reader().read_to_end(&mut bytes).is_ok();
        EntryResponse {
            status: head.status.as_u16(),
            body: String::from_utf8_lossy(&bytes).into_owned(),
            complete,
            headers: format!("{:?}", head.headers),
        }
    }

    /// Returns all workers with the names of their services.
    fn workers(&self) -> impl Iterator<Item = (&Worker, &'static str)> {
        let engines = self.engines.iter().map(|w| (w, "llm"));
        engines.chain(self.hosts.iter().map(|w| (w, "app")))
    }
}

impl Drop for TracksCluster {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            entry.kill();
        }
        if !thread::panicking() {
            // The folder is kept if the test failed, for its logs.
            let _: io::Result<()> = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a configuration with two routes of streams, two of plain calls, one without
/// API keys, and two organisations.
fn initial_configuration() -> Value {
    let route = |name: &str, kind: &str, service: &str, resumable: bool, attempts: u32| {
        json!({
            "name": name, "host": "agency.example", "prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": 8000, "target_latency_ms": 900, "priority": 1,
            "service": service, "attempts": attempts, "anonymous": name == "open",
            "sticky": true, "resumable": resumable, "gap_aim_ms": 300,
        })
    };
    json!({
        "version": 1,
        "routes": [
            route("resumable", "streaming", "llm", true, 2),
            route("once", "streaming", "llm", false, 1),
            route("order", "non_idempotent", "app", false, 1),
            route("status", "idempotent", "app", false, 2),
            route("open", "idempotent", "app", false, 2),
        ],
        "services": [
            {"name": "llm", "health_path": "/health", "max_connections": 370, "engine": {
                "slots": 64, "kv_capacity_tokens": 40000, "handle_ttl_s": 0.5,
                "role_switch_s": 6.0, "hold_ms": 2000.0}},
            {"name": "app", "health_path": "/health", "max_connections": 110},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 100000,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [
            {"name": "tenant-a", "api_keys": ["key-a"], "unit": "token_stream",
                "plain_tokens": 200, "rate_per_s": 100000, "burst": 100000},
            {"name": "tenant-b", "api_keys": ["key-b"], "unit": "token_stream",
                "plain_tokens": 200, "rate_per_s": 500, "burst": 500},
        ],
    })
}
