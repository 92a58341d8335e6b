//! A test site for the daemon's integration tests and examples: real daemons over fake engines,
//! services and a fake store, with a configuration and callers' keys.

// Each test file and example compiles its own copy of this module and uses only a part of it.
#![allow(dead_code)]

use fake::ClusterSpec;
use fake::TestCluster;
use std::fs;
use std::io;
use std::io::BufRead;
use std::io::Read;
use std::net;
use std::path;
use std::sync::atomic;
use std::thread;
use std::time;

/// An organisation of the example documents, with a burst of 200,000 tokens.
pub const RANGERS: &str = "rangers";
/// Another organisation of the example documents, with a tenth of the rate and burst.
pub const FARMS: &str = "farms";

/// The longest that a test waits for an expected state; generous because a loaded machine is slow.
pub const WAIT_LIMIT: time::Duration = time::Duration::from_secs(60);

/// A cluster of real daemons and fake upstreams, with the files that its operators use.
pub struct TestSite {
    pub cluster: TestCluster,
    /// The path of the operators' client settings.
    pub client_settings: String,
    /// The path of the configuration documents that `start` applies.
    pub documents_path: String,
    /// The seats of each engine.
    seats: usize,
}

/// A response as its caller received it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// The HTTP status; 0 if there was no response.
    pub status: u16,
    /// The text of the streamed tokens, the body of any other response, or a transport error.
    pub text: String,
    /// Whether the response arrived completely; for a stream, whether it ended with `[DONE]`.
    pub finished: bool,
    /// The headers in their debug format.
    pub headers: String,
    /// The time from sending the request to the first event of its stream.
    pub first_event: Option<time::Duration>,
}

impl TestSite {
    /// Starts a site, applies the example documents and waits until every entry is ready.
    ///
    /// Each daemon runs `program` with `args` followed by the path of its settings.
    pub fn start(spec: ClusterSpec, program: &path::Path, args: &[&str]) -> Self {
        let site = Self::start_unconfigured(spec, program, args);
        let (code, out) = site.run_client(&["apply", &site.documents_path]);
        assert_eq!(code, 0, "{out}");
        site.wait_ready();
        site
    }

    /// Starts a site without a configuration and waits until its entries listen.
    pub fn start_unconfigured(spec: ClusterSpec, program: &path::Path, args: &[&str]) -> Self {
        let mut site = Self::start_fakes(spec, program, args);
        site.spawn_daemons();
        site
    }

    /// Starts the fake engines, services and store of a site, but none of its daemons.
    pub fn start_fakes(spec: ClusterSpec, program: &path::Path, args: &[&str]) -> Self {
        let text = example_documents(&spec);
        let seats = spec.engine.seats;
        let cluster = TestCluster::prepare(spec, program, args);
        let documents = cluster.folder.join("documents.yaml");
        fs::write(&documents, text).expect("the temporary folder is writable");
        Self {
            client_settings: cluster.write_client_settings().display().to_string(),
            documents_path: documents.display().to_string(),
            cluster,
            seats,
        }
    }

    /// Starts all daemons and waits until the entries listen. Before that, the operating system
    /// refuses a caller's connection, and a test would not see the entry's own response.
    pub fn spawn_daemons(&mut self) {
        for i in 0..self.cluster.daemons.len() {
            self.cluster.spawn(i);
        }
        self.wait_listening();
    }

    /// Runs the operators' client and returns its exit code, and its output followed by its
    /// error output.
    pub fn run_client(&self, args: &[&str]) -> (u8, String) {
        let mut client_args = vec!["-s".to_owned(), self.client_settings.clone()];
        client_args.extend(args.iter().map(|a| (*a).to_owned()));
        let mut out = Vec::new();
        let mut err = Vec::new();
        let code = client::run(&client_args, &mut out, &mut err);
        out.extend(err);
        (code, String::from_utf8_lossy(&out).into_owned())
    }

    /// Issues a key to an organisation and returns its id and the key itself.
    pub fn issue_key(&self, organisation: &str) -> (String, String) {
        let (code, out) = self.run_client(&["key", "issue", organisation]);
        assert_eq!(code, 0, "{out}");
        let field = |name: &str| {
            let line = out.lines().find_map(|l| l.strip_prefix(name));
            line.expect("the client prints the key").trim().to_owned()
        };
        (field("id:"), field("key:"))
    }

    /// Waits until every entry is connected to all peers and has its full share of the allowances.
    pub fn wait_ready(&self) {
        let agents = self
            .cluster
            .daemons
            .iter()
            .filter(|d| d.caller_address.is_none())
            .count();
        let entries = self.cluster.daemons.len() - agents;
        let ready = self.cluster.wait_until(WAIT_LIMIT, |cluster| {
            cluster
                .daemons
                .iter()
                .filter(|d| d.caller_address.is_some())
                .all(|d| is_ready(d, agents + entries - 1, entries))
        });
        assert!(ready, "the site did not become ready in time");
    }

    fn wait_listening(&self) {
        let listening = self.cluster.wait_until(WAIT_LIMIT, |cluster| {
            let addresses = cluster.daemons.iter().filter_map(|d| d.caller_address);
            addresses
                .into_iter()
                .all(|a| net::TcpStream::connect(a).is_ok())
        });
        assert!(listening, "an entry did not listen in time");
    }

    /// Returns the URL of a path at the n-th entry's listener for callers.
    pub fn url(&self, entry: usize, path: &str) -> String {
        format!("http://{}{path}", self.cluster.caller_address(entry))
    }

    /// Streams a completion through the n-th entry.
    pub fn stream_completion(
        &self,
        entry: usize,
        key: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> Response {
        let body = completion_body(prompt, max_tokens, true);
        stream_request(&self.url(entry, "/v1/completions"), key, &body, |_| true)
    }

    /// Waits until no engine holds memory for a request and every running decode agent has all
    /// its seats free. Returns false if this takes longer than [`WAIT_LIMIT`].
    pub fn wait_idle(&self) -> bool {
        let all_free = format!("hornbeampitch_seats_free {}", self.seats);
        self.cluster.wait_until(WAIT_LIMIT, |cluster| {
            let agents = cluster
                .daemons
                .iter()
                .filter(|d| d.host.starts_with("decode"));
            let mut running = agents.filter(|d| d.id().is_some());
            cluster.held_requests().is_empty()
                && running.all(|d| read_metrics(d.admin_address).contains(&all_free))
        })
    }
}

/// Returns whether an entry is connected to this many peers and has its full share of the allowances.
fn is_ready(daemon: &fake::Daemon, peers: usize, entries: usize) -> bool {
    let log = daemon.log();
    let joined = log.matches("event=peer_joined").count();
    // An equal share of the allowances is the largest that the entry gets.
    let share = format!("hornbeampitch_allowance_part {}", 1.0 / entries as f64);
    joined >= peers && read_metrics(daemon.admin_address).contains(&share)
}

/// Streams a completion through the first entry and runs `action` once, after the tenth token.
pub fn stream_with_action(
    site: &mut TestSite,
    key: &str,
    prompt: &str,
    max_tokens: u32,
    action: impl FnOnce(&mut TestSite),
) -> Response {
    let url = site.url(0, "/v1/completions");
    let body = completion_body(prompt, max_tokens, true);
    let tokens = atomic::AtomicUsize::new(0);
    thread::scope(|scope| {
        let tokens = &tokens;
        let caller = scope.spawn(move || {
            stream_request(&url, key, &body, |response| {
                let count = response.text.split_whitespace().count();
                tokens.store(count, atomic::Ordering::SeqCst);
                true
            })
        });
        while tokens.load(atomic::Ordering::SeqCst) < 10 && !caller.is_finished() {
            thread::sleep(time::Duration::from_millis(2));
        }
        action(site);
        caller.join().expect("the caller thread does not panic")
    })
}

/// Reads a daemon's metrics; returns an empty text if it does not respond within 2 seconds.
pub fn read_metrics(admin: net::SocketAddr) -> String {
    let result = ureq::get(format!("http://{admin}/metrics"))
        .config()
        .timeout_global(Some(time::Duration::from_secs(2)))
        .build()
        .call();
    result
        .ok()
        .and_then(|mut response| response.body_mut().read_to_string().ok())
        .unwrap_or_default()
}

/// Returns the example configuration for the upstreams of a cluster, in YAML.
pub fn example_documents(spec: &ClusterSpec) -> String {
    format!(
        "classes:
  - name: urgent
    first_ms: 500
    token_ms: 31
  - name: report
    first_ms: 20000
    token_ms: 200
    waits: true
organisations:
  - name: {RANGERS}
    rate: 20000
    burst: 200000
  - name: {FARMS}
    rate: 2000
    burst: 20000
upstreams:
  - name: {model}
    kind: model
    model: {model}-1
    class: urgent
  - name: {service}
    kind: service
routes:
  - path: /{service}/
    upstream: {service}
  - path: /open/
    upstream: {service}
    open: true
    idempotent: true
",
        model = spec.model_upstream,
        service = spec.service_upstream
    )
}

/// Returns the JSON body of a completion request.
pub fn completion_body(prompt: &str, max_tokens: u32, stream: bool) -> String {
    serde_json::json!({
        "model": "summary-1", "prompt": prompt, "max_tokens": max_tokens, "stream": stream,
    })
    .to_string()
}

fn http_client() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(time::Duration::from_secs(60)))
        .build()
        .new_agent()
}

/// Sends a POST request and reads the events of its response until they end or `keep_reading`
/// returns false; it is called after each line.
pub fn stream_request(
    url: &str,
    key: &str,
    body: &str,
    mut keep_reading: impl FnMut(&Response) -> bool,
) -> Response {
    let sent_at = time::Instant::now();
    let http_response = http_client()
        .post(url)
        .header("authorization", format!("Bearer {key}"))
        .header("content-type", "application/json")
        .send(body);
    let mut response = Response::default();
    let Ok(http_response) = http_response else {
        return response;
    };
    response.status = http_response.status().as_u16();
    response.headers = format!("{:?}", http_response.headers());
    let mut reader = io::BufReader::new(http_response.into_body().into_reader());
    if response.status != 200 {
        // The text is then the error's body, as far as it can be read.
        let _ = reader.read_to_string(&mut response.text);
        return response;
    }
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
        if let Some(data) = line.trim().strip_prefix("data: ") {
            response.first_event.get_or_insert(sent_at.elapsed());
            if data == "[DONE]" {
                response.finished = true;
            } else if let Ok(json) = serde_json::from_str::<serde_json::Value>(data) {
                let text = json["choices"][0]["text"].as_str().unwrap_or_default();
                response.text += text;
            }
        }
        line.clear();
        if !keep_reading(&response) {
            return response;
        }
    }
    response
}

/// Sends a request and returns its response; a transport error becomes the text of a response
/// without a status.
pub fn send_request(method: &str, url: &str, headers: &[(&str, &str)], body: &str) -> Response {
    let mut request = ureq::http::Request::builder().method(method).uri(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(body.to_owned()).expect("the request is valid");
    match http_client().run(request) {
        Ok(mut http_response) => Response {
            status: http_response.status().as_u16(),
            headers: format!("{:?}", http_response.headers()),
            text: http_response
                .body_mut()
                .read_to_string()
                .unwrap_or_default(),
            finished: true,
            first_event: None,
        },
        Err(error) => Response {
            text: error.to_string(),
            ..Response::default()
        },
    }
}

/// Sleeps while another process reaches a state that a test cannot observe.
pub fn sleep_ms(millis: u64) {
    thread::sleep(time::Duration::from_millis(millis));
}
