//! Golden files of whole sessions: what callers and operators see, what the
//! daemons log, and what the engines hold afterwards.

mod session;

use fake::ClusterSpec;
use fake::StoreMode;
use session::Response;
use session::TestSite;
use std::fmt::Write;
use std::path;
use std::time;

const PROMPT: &str = "Condition of the eastern track [len=40]";
const MAX: u32 = 60;

/// What happened, in the order that matters.
struct Transcript {
    text: String,
}

impl Transcript {
    fn new() -> Self {
        Self {
            text: String::new(),
        }
    }

    fn note(&mut self, line: impl AsRef<str>) {
        self.text += line.as_ref().trim_end();
        self.text += "\n";
    }

    /// What a caller got, against what the engine had to say.
    fn caller(&mut self, response: &Response, expected: &str) {
        let share = match (
            response.text == expected,
            expected.starts_with(&response.text),
        ) {
            (true, _) => "the whole answer".to_owned(),
            (false, true) if response.status == 200 => "a true beginning of the answer".to_owned(),
            _ => response.text.clone(),
        };
        self.note(format!(
            "caller: {} done={} {share}",
            response.status, response.finished
        ));
    }

    fn client(&mut self, site: &TestSite, words: &[&str]) {
        let (code, out) = site.run_client(words);
        self.note(format!("operator: {} -> {code}", words.join(" ")));
        for line in out.lines() {
            self.note(format!("  {line}"));
        }
    }

    /// The events that one daemon logged, without its meetings with peers.
    fn log(&mut self, site: &TestSite, host: &str) {
        self.note(format!("log of {host}:"));
        let log = site.cluster.daemons[site.cluster.daemon_index(host)].log();
        for line in log.lines() {
            let Some((_, event)) = line.split_once("event=") else {
                continue;
            };
            let quiet = ["peer_", "started", "division_", "pause_", "store_"];
            if !quiet.iter().any(|q| event.starts_with(q)) {
                self.note(format!("  event={event}"));
            }
        }
    }

    fn engines(&mut self, site: &TestSite) {
        let empty = site.wait_idle();
        let held = site.cluster.held_requests().len();
        self.note(format!("engines: hold {held} requests, seats free {empty}"));
    }

    /// The text without what differs from run to run.
    fn settle(self) -> String {
        let mut out = String::new();
        for line in self.text.lines() {
            let words: Vec<String> = line.split(' ').map(settle_word).collect();
            // Writing to a string cannot fail.
            let _ = writeln!(out, "{}", words.join(" "));
        }
        out
    }
}

fn settle_word(word: &str) -> String {
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
    transcript.client(&site, &["check", &site.documents_path]);
    transcript.client(&site, &["show"]);
    transcript.client(&site, &["key", "issue", session::RANGERS]);
    transcript.client(&site, &["status"]);
    let (_, key) = site.issue_key(session::RANGERS);
    let response = site.stream_completion(0, &key, PROMPT, MAX);
    transcript.caller(&response, &fake::answer_text(PROMPT, MAX));
    transcript.engines(&site);
    transcript.log(&site, "entry-1");
    let documents = site.documents_path.clone();
    let text = transcript.settle().replace(&documents, "documents.yaml");
    insta::assert_snapshot!(text);
}

#[test]
fn refused_session() {
    let site = TestSite::start(spec(), program(), &[]);
    let (_, key) = site.issue_key(session::FARMS);
    let mut transcript = Transcript::new();
    let expected = fake::answer_text(PROMPT, MAX);
    transcript.caller(
        &site.stream_completion(0, "nonsense", PROMPT, MAX),
        &expected,
    );
    // The whole burst is 20,000 tokens; the bucket has had no time to fill.
    let long = "x".repeat(4 * 18_000);
    transcript.caller(&site.stream_completion(0, &key, &long, MAX), &expected);
    let longer = "x".repeat(4 * 30_000);
    transcript.caller(&site.stream_completion(0, &key, &longer, MAX), &expected);
    transcript.engines(&site);
    transcript.log(&site, "entry-1");
    insta::assert_snapshot!(transcript.settle());
}

#[test]
fn cancelled_session() {
    let site = TestSite::start(spec(), program(), &[]);
    let (_, key) = site.issue_key(session::RANGERS);
    let url = site.url(0, "/v1/completions");
    let body = session::completion_body(PROMPT, MAX, true);
    let response = session::stream_request(&url, &key, &body, |response| {
        response.text.split_whitespace().count() < 5
    });
    let mut transcript = Transcript::new();
    transcript.caller(&response, &fake::answer_text(PROMPT, MAX));
    transcript.engines(&site);
    // How far the entry was when it noticed differs by a token or two.
    let log = site.cluster.daemons[0].log();
    let noticed = log.contains("event=unanswered") && log.contains("the caller has gone");
    transcript.note(format!(
        "the entry logged that the caller has gone: {noticed}"
    ));
    insta::assert_snapshot!(transcript.settle());
}

#[test]
fn resumed_session() {
    let mut site = TestSite::start(spec(), program(), &[]);
    let (_, key) = site.issue_key(session::RANGERS);
    let response = session::stream_with_action(&mut site, &key, PROMPT, MAX, |s| {
        let busy = s
            .cluster
            .decode_engines
            .iter()
            .find(|e| !e.held_requests().is_empty());
        busy.expect("an engine streams").kill();
    });
    let mut transcript = Transcript::new();
    transcript.caller(&response, &fake::answer_text(PROMPT, MAX));
    transcript.engines(&site);
    transcript.log(&site, "entry-1");
    insta::assert_snapshot!(transcript.settle());
}

#[test]
fn withdrawn_key_session() {
    let mut spec = spec();
    spec.engine.step_time = time::Duration::from_millis(200);
    let mut site = TestSite::start(spec, program(), &[]);
    let (id, key) = site.issue_key(session::RANGERS);
    let mut transcript = Transcript::new();
    let response = session::stream_with_action(&mut site, &key, PROMPT, MAX, |s| {
        transcript.client(s, &["key", "withdraw", &id]);
    });
    let expected = fake::answer_text(PROMPT, MAX);
    transcript.caller(&response, &expected);
    transcript.caller(&site.stream_completion(0, &key, PROMPT, MAX), &expected);
    transcript.client(&site, &["key", "withdraw", &id]);
    transcript.engines(&site);
    insta::assert_snapshot!(transcript.settle().replace(&id, "ID"));
}

#[test]
fn store_out_at_start_session() {
    let site = TestSite::start_unconfigured(spec(), program(), &[]);
    site.cluster.store.set_mode(StoreMode::Unavailable);
    let mut transcript = Transcript::new();
    let expected = fake::answer_text(PROMPT, MAX);
    transcript.caller(
        &site.stream_completion(0, "hbp_0_0", PROMPT, MAX),
        &expected,
    );
    transcript.client(&site, &["drain", "decode-1"]);
    site.cluster.store.set_mode(StoreMode::Normal);
    let (code, _) = site.run_client(&["apply", &site.documents_path]);
    transcript.note(format!("operator: apply -> {code}"));
    site.wait_ready();
    let (_, key) = site.issue_key(session::RANGERS);
    transcript.caller(&site.stream_completion(0, &key, PROMPT, MAX), &expected);
    transcript.engines(&site);
    insta::assert_snapshot!(transcript.settle());
}

#[test]
fn spans_of_one_request_are_joined() {
    let mut spec = spec();
    spec.traces = true;
    // Each agent that is bid at leaves a queue span, in no certain order.
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
    let body = session::completion_body(PROMPT, MAX, true);
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
