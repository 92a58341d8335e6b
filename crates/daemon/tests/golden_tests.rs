//! Snapshot tests of whole sessions: what callers and operators see, what the daemons log, and what
//! the engines hold afterwards.

mod session;

use fake::ClusterSpec;
use fake::StoreMode;
use session::Response;
use session::TestSite;
use std::fmt::Write;
use std::path;
use std::time;

const PROMPT: &str = "Condition of the eastern track [len=40]";
const MAX_TOKENS: u32 = 60;

/// A record of a session for a snapshot, one result per line.
struct Transcript {
    text: String,
}

impl Transcript {
    fn new() -> Self {
        Self {
            text: String::new(),
        }
    }

    fn add_line(&mut self, line: impl AsRef<str>) {
        self.text += line.as_ref().trim_end();
        self.text += "\n";
    }

    /// Adds a response: whether it has all of the expected answer or a beginning of it, or else its
    /// text.
    fn add_response(&mut self, response: &Response, expected: &str) {
        let content = match (
            response.text == expected,
            expected.starts_with(&response.text),
        ) {
            (true, _) => "the full answer".to_owned(),
            (false, true) if response.status == 200 => "a beginning of the answer".to_owned(),
            _ => response.text.clone(),
        };
        self.add_line(format!(
            "caller: {} done={} {content}",
            response.status, response.finished
        ));
    }

    /// Runs the operators' client and adds its command line, exit code and output.
    fn add_client_run(&mut self, site: &TestSite, args: &[&str]) {
        let (code, out) = site.run_client(args);
        self.add_line(format!("operator: {} -> {code}", args.join(" ")));
        for line in out.lines() {
            self.add_line(format!("  {line}"));
        }
    }

    /// Adds the events that one daemon logged, without those of its start, its peers, the division of
    /// allowances, pauses and the store.
    fn add_log(&mut self, site: &TestSite, host: &str) {
        self.add_line(format!("log of {host}:"));
        let log = site.cluster.daemons[site.cluster.daemon_index(host)].log();
        for line in log.lines() {
            let Some((_, event)) = line.split_once("event=") else {
                continue;
            };
            let omitted = ["peer_", "started", "division_", "pause_", "store_"];
            if !omitted.iter().any(|prefix| event.starts_with(prefix)) {
                self.add_line(format!("  event={event}"));
            }
        }
    }

    /// Waits until the engines are idle and adds what they still hold.
    fn add_engine_state(&mut self, site: &TestSite) {
        let idle = site.wait_idle();
        let held = site.cluster.held_requests().len();
        self.add_line(format!("engines: hold {held} requests, seats free {idle}"));
    }

    /// Returns the text with placeholders for the values that differ between runs.
    fn into_text(self) -> String {
        let mut out = String::new();
        for line in self.text.lines() {
            let words: Vec<String> = line.split(' ').map(replace_varying_value).collect();
            // Writing to a string cannot fail.
            let _ = writeln!(out, "{}", words.join(" "));
        }
        out
    }
}

/// Replaces a request id, a decode host, a key or a key's id by a placeholder.
fn replace_varying_value(word: &str) -> String {
    let (name, value) = word.split_once('=').unwrap_or(("", word));
    match name {
        "request" => "request=R".to_owned(),
        "host" if value.starts_with("decode") => "host=D".to_owned(),
        _ if value.starts_with("hbp_") => "KEY".to_owned(),
        _ if value.len() == 12 && value.chars().all(|c| c.is_ascii_hexdigit()) => "ID".to_owned(),
        _ => word.to_owned(),
    }
}

fn program() -> &'static path::Path {
    path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"))
}

fn spec() -> ClusterSpec {
    let mut spec = ClusterSpec::small();
    spec.engine.step_time = time::Duration::from_millis(30);
    spec
}

#[test]
fn answered_session() {
    let site = TestSite::start(spec(), program(), &[]);
    let mut transcript = Transcript::new();
    transcript.add_client_run(&site, &["check", &site.documents_path]);
    transcript.add_client_run(&site, &["show"]);
    transcript.add_client_run(&site, &["key", "issue", session::RANGERS]);
    transcript.add_client_run(&site, &["status"]);
    let (_, key) = site.issue_key(session::RANGERS);
    let response = site.stream_completion(0, &key, PROMPT, MAX_TOKENS);
    transcript.add_response(&response, &fake::answer_text(PROMPT, MAX_TOKENS));
    transcript.add_engine_state(&site);
    transcript.add_log(&site, "entry-1");
    let documents = site.documents_path.clone();
    let text = transcript.into_text().replace(&documents, "documents.yaml");
    insta::assert_snapshot!(text);
}

#[test]
fn refused_session() {
    let site = TestSite::start(spec(), program(), &[]);
    let (_, key) = site.issue_key(session::FARMS);
    let mut transcript = Transcript::new();
    let expected = fake::answer_text(PROMPT, MAX_TOKENS);
    transcript.add_response(
        &site.stream_completion(0, "nonsense", PROMPT, MAX_TOKENS),
        &expected,
    );
    // The burst is 20,000 tokens, and the token bucket has had no time to fill up to it.
    let long = "x".repeat(4 * 18_000);
    transcript.add_response(
        &site.stream_completion(0, &key, &long, MAX_TOKENS),
        &expected,
    );
    let longer = "x".repeat(4 * 30_000);
    transcript.add_response(
        &site.stream_completion(0, &key, &longer, MAX_TOKENS),
        &expected,
    );
    transcript.add_engine_state(&site);
    transcript.add_log(&site, "entry-1");
    insta::assert_snapshot!(transcript.into_text());
}

#[test]
fn cancelled_session() {
    let site = TestSite::start(spec(), program(), &[]);
    let (_, key) = site.issue_key(session::RANGERS);
    let url = site.url(0, "/v1/completions");
    let body = session::completion_body(PROMPT, MAX_TOKENS, true);
    let response = session::stream_request(&url, &key, &body, |response| {
        response.text.split_whitespace().count() < 5
    });
    let mut transcript = Transcript::new();
    transcript.add_response(&response, &fake::answer_text(PROMPT, MAX_TOKENS));
    transcript.add_engine_state(&site);
    // The log line itself is left out, as its token count differs by one or two between runs.
    let log = site.cluster.daemons[0].log();
    let logged = log.contains("event=unanswered") && log.contains("the caller has gone");
    transcript.add_line(format!(
        "the entry logged the caller's disconnect: {logged}"
    ));
    insta::assert_snapshot!(transcript.into_text());
}

#[test]
fn resumed_session() {
    let mut site = TestSite::start(spec(), program(), &[]);
    let (_, key) = site.issue_key(session::RANGERS);
    let response = session::stream_with_action(&mut site, &key, PROMPT, MAX_TOKENS, |s| {
        let streaming = s
            .cluster
            .decode_engines
            .iter()
            .find(|e| !e.held_requests().is_empty());
        streaming.expect("an engine streams").kill();
    });
    let mut transcript = Transcript::new();
    transcript.add_response(&response, &fake::answer_text(PROMPT, MAX_TOKENS));
    transcript.add_engine_state(&site);
    transcript.add_log(&site, "entry-1");
    insta::assert_snapshot!(transcript.into_text());
}

#[test]
fn withdrawn_key_session() {
    let mut spec = spec();
    spec.engine.step_time = time::Duration::from_millis(200);
    let mut site = TestSite::start(spec, program(), &[]);
    let (id, key) = site.issue_key(session::RANGERS);
    let mut transcript = Transcript::new();
    let response = session::stream_with_action(&mut site, &key, PROMPT, MAX_TOKENS, |s| {
        transcript.add_client_run(s, &["key", "withdraw", &id]);
    });
    let expected = fake::answer_text(PROMPT, MAX_TOKENS);
    transcript.add_response(&response, &expected);
    transcript.add_response(
        &site.stream_completion(0, &key, PROMPT, MAX_TOKENS),
        &expected,
    );
    transcript.add_client_run(&site, &["key", "withdraw", &id]);
    transcript.add_engine_state(&site);
    insta::assert_snapshot!(transcript.into_text().replace(&id, "ID"));
}

#[test]
fn store_out_at_start_session() {
    let site = TestSite::start_unconfigured(spec(), program(), &[]);
    site.cluster.store.set_mode(StoreMode::Unavailable);
    let mut transcript = Transcript::new();
    let expected = fake::answer_text(PROMPT, MAX_TOKENS);
    transcript.add_response(
        &site.stream_completion(0, "hbp_0_0", PROMPT, MAX_TOKENS),
        &expected,
    );
    transcript.add_client_run(&site, &["drain", "decode-1"]);
    site.cluster.store.set_mode(StoreMode::Normal);
    let (code, _) = site.run_client(&["apply", &site.documents_path]);
    transcript.add_line(format!("operator: apply -> {code}"));
    site.wait_ready();
    let (_, key) = site.issue_key(session::RANGERS);
    transcript.add_response(
        &site.stream_completion(0, &key, PROMPT, MAX_TOKENS),
        &expected,
    );
    transcript.add_engine_state(&site);
    insta::assert_snapshot!(transcript.into_text());
}

#[test]
fn spans_of_one_request_are_joined() {
    let mut spec = spec();
    spec.traces = true;
    // With several decode agents, each that receives a bid records a queue span, in no fixed order.
    spec.decode_engines = 1;
    let site = TestSite::start(spec, program(), &[]);
    let (_, key) = site.issue_key(session::RANGERS);
    let trace = "0af7651916cd43dd8448eb211c80319c";
    let root = "b7ad6b7169203331";
    let bearer = format!("Bearer {key}");
    let parent = format!("00-{trace}-{root}-01");
    let headers = [
        ("authorization", bearer.as_str()),
        ("traceparent", parent.as_str()),
    ];
    let body = session::completion_body(PROMPT, MAX_TOKENS, true);
    let url = site.url(0, "/v1/completions");
    assert_eq!(
        session::send_request("POST", &url, &headers, &body).status,
        200
    );
    let url = site.url(0, "/dispatch/orders");
    assert_eq!(
        session::send_request("POST", &url, &headers, "{}").status,
        201
    );
    site.cluster.wait_until(session::WAIT_LIMIT, |cluster| {
        cluster.collector.span_count(trace) >= 8
    });
    insta::assert_snapshot!(site.cluster.collector.tree(trace, root));
}
