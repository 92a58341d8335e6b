//! Tests that invalid input gets the right status and a JSON error that names the cause, and that
//! the entry still serves other requests afterwards.

mod session;

use fake::ClusterSpec;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use session::Response;
use session::TestSite;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net;
use std::path;
use std::time;
use yare::parameterized;

/// Starts a site and issues a key. Each test case has a site of its own.
fn start() -> (TestSite, String) {
    let spec = ClusterSpec {
        decode_engines: 1,
        ..ClusterSpec::small()
    };
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let site = TestSite::start(spec, program, &[]);
    let (_, key) = site.issue_key(session::RANGERS);
    (site, key)
}

fn post((site, key): &(TestSite, String), body: &str) -> Response {
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    session::send_request("POST", &site.url(0, "/v1/completions"), &headers, body)
}

fn assert_still_serves((site, key): &(TestSite, String)) {
    let response = site.stream_completion(0, key, "still there?", 20);
    assert_eq!(
        response.text,
        fake::answer_text("still there?", 20),
        "{response:?}"
    );
}

#[parameterized(
    not_json = { "{\"model\": ", 400, "malformed_json" },
    not_an_object = { "[1, 2]", 400, "invalid_request" },
    no_model = { "{\"prompt\": \"x\"}", 400, "field `model` is missing" },
    unknown_model = { "{\"model\": \"nobody\", \"prompt\": \"x\"}", 404, "unknown_model" },
    no_prompt = { "{\"model\": \"summary-1\"}", 400, "field `prompt` is missing" },
    empty_prompt = { "{\"model\": \"summary-1\", \"prompt\": \"\"}", 400, "must not be empty" },
    number_prompt = { "{\"model\": \"summary-1\", \"prompt\": 7}", 400, "must be a string" },
    text_stream = { "{\"model\": \"summary-1\", \"prompt\": \"x\", \"stream\": \"yes\"}", 400, "true or false" },
    zero_tokens = { "{\"model\": \"summary-1\", \"prompt\": \"x\", \"max_tokens\": 0}", 400, "from 1 to" },
    many_tokens = { "{\"model\": \"summary-1\", \"prompt\": \"x\", \"max_tokens\": 99999999}", 400, "from 1 to" },
    negative_tokens = { "{\"model\": \"summary-1\", \"prompt\": \"x\", \"max_tokens\": -1}", 400, "from 1 to" },
)]
fn invalid_body_is_refused(body: &str, status: u16, cause: &str) {
    let fixture = start();
    let response = post(&fixture, body);
    assert_eq!(response.status, status, "{response:?}");
    assert!(response.text.contains(cause), "{response:?}");
    assert!(response.text.contains("\"not_run\":true"), "{response:?}");
    assert_still_serves(&fixture);
}

#[test]
fn large_body_is_refused() {
    let body = session::completion_body(&"x".repeat(5 << 20), 10, true);
    let fixture = start();
    let response = post(&fixture, &body);
    assert_eq!(response.status, 413, "{response:?}");
    assert!(response.text.contains("body_too_large"), "{response:?}");
    assert_still_serves(&fixture);
}

#[test]
fn prompt_beyond_the_burst_is_refused() {
    let fixture = start();
    let response = post(
        &fixture,
        &session::completion_body(&"x".repeat(1 << 20), 10, true),
    );
    assert_eq!(response.status, 400, "{response:?}");
    assert!(response.text.contains("exceeds_burst"), "{response:?}");
}

#[parameterized(
    missing = { None, "no_key" },
    other_scheme = { Some("Basic eDp5"), "no_key" },
    malformed = { Some("Bearer nonsense"), "bad_key" },
    unknown = { Some("Bearer hbp_000000000000_00"), "bad_key" },
)]
fn invalid_key_is_refused(value: Option<&str>, cause: &str) {
    let (site, _) = start();
    let headers: Vec<(&str, &str)> = value.map(|v| ("authorization", v)).into_iter().collect();
    let body = session::completion_body("x", 10, true);
    let response = session::send_request("POST", &site.url(0, "/v1/completions"), &headers, &body);
    assert_eq!(response.status, 401, "{response:?}");
    assert!(response.text.contains(cause), "{response:?}");
}

#[test]
fn secret_of_another_key_is_refused() {
    let (site, key) = start();
    let (_, other) = site.issue_key(session::FARMS);
    let id = key.split('_').nth(1).expect("a key has an id");
    let secret = other.split('_').nth(2).expect("a key has a secret");
    let body = session::completion_body("x", 10, true);
    let forged = format!("Bearer hbp_{id}_{secret}");
    let headers = [("authorization", forged.as_str())];
    let response = session::send_request("POST", &site.url(0, "/v1/completions"), &headers, &body);
    assert_eq!(response.status, 401, "{response:?}");
}

#[test]
fn unknown_class_is_refused() {
    let (site, key) = start();
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("x-hornbeampitch-class", "nobody"),
    ];
    let body = session::completion_body("x", 10, true);
    let response = session::send_request("POST", &site.url(0, "/v1/completions"), &headers, &body);
    assert_eq!(response.status, 400, "{response:?}");
    assert!(response.text.contains("unknown_class"), "{response:?}");
}

#[parameterized(
    wrong_method = { "GET", "/v1/completions", 405 },
    unknown_version_path = { "POST", "/v1/embeddings", 404 },
    unknown_path = { "GET", "/nowhere", 404 },
)]
fn invalid_path_or_method_is_refused(method: &str, path: &str, status: u16) {
    let (site, key) = start();
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let response = session::send_request(method, &site.url(0, path), &headers, "");
    assert_eq!(response.status, status, "{response:?}");
}

/// Sends bytes to the entry's port for callers and returns what it sends until it closes the
/// connection.
fn send_to_entry(site: &TestSite, bytes: &[u8]) -> String {
    let response = send_raw(site.cluster.caller_address(0), bytes, session::WAIT_LIMIT);
    assert!(
        response.closed,
        "the connection stays open: {}",
        response.text
    );
    response.text
}

/// What a process sent in return, and whether it closed the connection afterwards.
struct RawResponse {
    text: String,
    closed: bool,
}

/// Sends bytes to a port and reads until the connection closes or nothing comes for `timeout`.
fn send_raw(address: net::SocketAddr, bytes: &[u8], timeout: time::Duration) -> RawResponse {
    let mut stream = net::TcpStream::connect(address).expect("the process listens");
    stream
        .set_read_timeout(Some(timeout))
        .expect("a socket takes a timeout");
    // A write error is no failure: the process may close the connection before it has read all.
    let _ = stream.write_all(bytes);
    let mut text = Vec::new();
    let result = stream.read_to_end(&mut text);
    let timed_out = result.is_err_and(|e| {
        matches!(
            e.kind(),
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
        )
    });
    RawResponse {
        text: String::from_utf8_lossy(&text).into_owned(),
        closed: !timed_out,
    }
}

#[test]
fn large_head_is_refused() {
    let head = format!(
        "GET /open/x HTTP/1.1\r\nhost: x\r\nx-long: {}\r\n\r\n",
        "y".repeat(100_000)
    );
    let fixture = start();
    let response = send_to_entry(&fixture.0, head.as_bytes());
    assert!(response.starts_with("HTTP/1.1 431"), "{response}");
    assert_still_serves(&fixture);
}

#[test]
fn bytes_other_than_http_are_refused() {
    let fixture = start();
    let response = send_to_entry(&fixture.0, b"\x00\x01\x02 nonsense\r\n\r\n");
    assert!(
        response.is_empty() || response.starts_with("HTTP/1.1 400"),
        "{response}"
    );
    assert_still_serves(&fixture);
}

#[test]
fn slow_body_is_refused() {
    let fixture = start();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {}\r\ncontent-length: 100\r\n\r\n{{\"model\":",
        fixture.1
    );
    let response = send_to_entry(&fixture.0, head.as_bytes());
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains("body_too_slow"), "{response}");
    assert!(response.contains("\"not_run\":true"), "{response}");
    assert_still_serves(&fixture);
}

#[test]
fn connection_with_a_slow_head_is_closed() {
    let fixture = start();
    let partial_head = b"POST /v1/completions HTTP/1.1\r\nhost: x\r\nx-slow";
    let response = send_to_entry(&fixture.0, partial_head);
    assert!(
        response.is_empty() || response.starts_with("HTTP/1.1 408"),
        "{response}"
    );
    assert_still_serves(&fixture);
}

/// The seed of the random input.
const SEED: u64 = 0x5eed;

/// Corrupts a valid body in one of five ways, drawn at random.
fn corrupt(body: &str, random: &mut ChaCha8Rng) -> Vec<u8> {
    let mut bytes = body.as_bytes().to_vec();
    let position = random.random_range(0..bytes.len());
    match random.random_range(0..5) {
        0 => bytes.truncate(position),
        1 => bytes[position] = random.random(),
        2 => drop(bytes.splice(position..position, [b'[', b'{', b'"'])),
        3 => drop(bytes.splice(position..position, "\u{0}\u{7f}\u{fffd}".bytes())),
        _ => bytes.rotate_left(position),
    }
    bytes
}

#[test]
fn corrupted_bodies_are_answered_or_refused_with_an_error_code() {
    let fixture = start();
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let valid_body = session::completion_body("How is the track? [len=3]", 4, false);
    for _ in 0..300 {
        let body = corrupt(&valid_body, &mut random);
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             authorization: Bearer {}\r\ncontent-length: {}\r\n\r\n",
            fixture.1,
            body.len()
        );
        let response = send_to_entry(&fixture.0, &[head.as_bytes(), &body].concat());
        let status = response.get(9..12).unwrap_or_default();
        assert!(
            ["200", "400", "404"].contains(&status),
            "{response} to {body:?}"
        );
        assert!(
            status == "200" || response.contains("\"code\":"),
            "{response}"
        );
    }
    assert_still_serves(&fixture);
}

#[test]
fn random_bytes_crash_no_daemon() {
    let fixture = start();
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let timeout = time::Duration::from_millis(20);
    for daemon in &fixture.0.cluster.daemons {
        for address in [
            Some(daemon.peer_address),
            Some(daemon.admin_address),
            daemon.caller_address,
        ] {
            let Some(address) = address else { continue };
            for _ in 0..10 {
                let mut bytes = vec![0; random.random_range(1..2_000)];
                random.fill(bytes.as_mut_slice());
                send_raw(address, &bytes, timeout);
            }
        }
    }
    assert_still_serves(&fixture);
    for daemon in &fixture.0.cluster.daemons {
        assert!(!daemon.log().contains("panicked"), "{}", daemon.log());
    }
}

#[test]
fn chat_answer_and_model_list_have_the_usual_format() {
    let (site, key) = start();
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let body = serde_json::json!({
        "model": "summary-1", "max_tokens": 12,
        "messages": [{ "role": "user", "content": "How is the track?" }],
    });
    let url = site.url(0, "/v1/chat/completions");
    let response = session::send_request("POST", &url, &headers, &body.to_string());
    let json: serde_json::Value = serde_json::from_str(&response.text).expect("the answer is JSON");
    let prompt = "user: How is the track?\nassistant: ";
    let text = &json["choices"][0]["message"]["content"];
    assert_eq!(text, &fake::answer_text(prompt, 12), "{response:?}");
    assert_eq!(json["object"], "chat.completion");
    assert_eq!(
        json["usage"]["completion_tokens"],
        fake::answer_tokens(prompt, 12)
    );
    let models = session::send_request("GET", &site.url(0, "/v1/models"), &headers, "");
    assert!(models.text.contains("summary-1"), "{models:?}");
}
