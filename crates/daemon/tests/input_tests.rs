//! Bad input gets the right status, a JSON error that names the cause, and
//! leaves the entry as it was.

mod session;

use fake::Shape;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use session::Got;
use session::Session;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net;
use std::path;
use std::time;
use yare::parameterized;

/// A site of its own for each case, with a key.
fn start() -> (Session, String) {
    let shape = Shape {
        decodes: 1,
        ..Shape::small()
    };
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let session = Session::start(shape, program, &[]);
    let (_, key) = session.key(session::RANGERS);
    (session, key)
}

fn post((session, key): &(Session, String), body: &str) -> Got {
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    session::call("POST", &session.url(0, "/v1/completions"), &headers, body)
}

fn assert_still_serves((session, key): &(Session, String)) {
    let got = session.complete(0, key, "still there?", 20);
    assert_eq!(got.text, fake::answer_text("still there?", 20), "{got:?}");
}

#[parameterized(
    not_json = { "{\"model\": ", 400, "malformed_json" },
    no_object = { "[1, 2]", 400, "invalid_request" },
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
fn body_that_is_wrong_is_refused(body: &str, status: u16, cause: &str) {
    let site = start();
    let got = post(&site, body);
    assert_eq!(got.status, status, "{got:?}");
    assert!(got.text.contains(cause), "{got:?}");
    assert!(got.text.contains("\"not_run\":true"), "{got:?}");
    assert_still_serves(&site);
}

#[test]
fn body_too_large_is_refused() {
    let body = session::completion(&"x".repeat(5 << 20), 10, true);
    let site = start();
    let got = post(&site, &body);
    assert_eq!(got.status, 413, "{got:?}");
    assert!(got.text.contains("body_too_large"), "{got:?}");
    assert_still_serves(&site);
}

#[test]
fn prompt_beyond_the_burst_is_refused() {
    let site = start();
    let got = post(&site, &session::completion(&"x".repeat(1 << 20), 10, true));
    assert_eq!(got.status, 400, "{got:?}");
    assert!(got.text.contains("exceeds_burst"), "{got:?}");
}

#[parameterized(
    none = { None, "no_key" },
    other_scheme = { Some("Basic eDp5"), "no_key" },
    malformed = { Some("Bearer nonsense"), "bad_key" },
    unknown = { Some("Bearer hbp_000000000000_00"), "bad_key" },
)]
fn key_that_is_wrong_is_refused(value: Option<&str>, cause: &str) {
    let (session, _) = start();
    let headers: Vec<(&str, &str)> = value.map(|v| ("authorization", v)).into_iter().collect();
    let body = session::completion("x", 10, true);
    let got = session::call("POST", &session.url(0, "/v1/completions"), &headers, &body);
    assert_eq!(got.status, 401, "{got:?}");
    assert!(got.text.contains(cause), "{got:?}");
}

#[test]
fn secret_of_another_key_is_refused() {
    let (session, key) = start();
    let (_, other) = session.key(session::FARMS);
    let id = key.split('_').nth(1).expect("a key has an id");
    let secret = other.split('_').nth(2).expect("a key has a secret");
    let body = session::completion("x", 10, true);
    let forged = format!("Bearer hbp_{id}_{secret}");
    let headers = [("authorization", forged.as_str())];
    let got = session::call("POST", &session.url(0, "/v1/completions"), &headers, &body);
    assert_eq!(got.status, 401, "{got:?}");
}

#[test]
fn class_that_is_unknown_is_refused() {
    let (session, key) = start();
    let bearer = format!("Bearer {key}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("x-hornbeampitch-class", "nobody"),
    ];
    let body = session::completion("x", 10, true);
    let got = session::call("POST", &session.url(0, "/v1/completions"), &headers, &body);
    assert_eq!(got.status, 400, "{got:?}");
    assert!(got.text.contains("unknown_class"), "{got:?}");
}

#[parameterized(
    wrong_method = { "GET", "/v1/completions", 405 },
    unknown_version_path = { "POST", "/v1/embeddings", 404 },
    unknown_path = { "GET", "/nowhere", 404 },
)]
fn path_that_is_wrong_is_refused(method: &str, path: &str, status: u16) {
    let (session, key) = start();
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let got = session::call(method, &session.url(0, path), &headers, "");
    assert_eq!(got.status, status, "{got:?}");
}

/// Writes raw bytes and reads what comes back until the connection closes.
fn raw(session: &Session, bytes: &[u8]) -> String {
    let heard = send(session.lab.callers(0), bytes, session::READY);
    assert!(heard.closed, "the connection stays open: {}", heard.text);
    heard.text
}

/// What a process sent back, and whether it then closed the connection.
struct Heard {
    text: String,
    closed: bool,
}

/// Writes raw bytes and reads for as long as something comes within `wait`.
fn send(address: net::SocketAddr, bytes: &[u8], wait: time::Duration) -> Heard {
    let mut stream = net::TcpStream::connect(address).expect("the process listens");
    stream
        .set_read_timeout(Some(wait))
        .expect("a socket takes a timeout");
    // The entry may close before all is written.
    let _ = stream.write_all(bytes);
    let mut text = Vec::new();
    let ended = stream.read_to_end(&mut text);
    let waiting = ended.is_err_and(|e| {
        matches!(
            e.kind(),
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
        )
    });
    Heard {
        text: String::from_utf8_lossy(&text).into_owned(),
        closed: !waiting,
    }
}

#[test]
fn head_too_large_is_refused() {
    let head = format!(
        "GET /open/x HTTP/1.1\r\nhost: x\r\nx-long: {}\r\n\r\n",
        "y".repeat(100_000)
    );
    let site = start();
    let got = raw(&site.0, head.as_bytes());
    assert!(got.starts_with("HTTP/1.1 431"), "{got}");
    assert_still_serves(&site);
}

#[test]
fn bytes_that_are_no_http_are_refused() {
    let site = start();
    let got = raw(&site.0, b"\x00\x01\x02 nonsense\r\n\r\n");
    assert!(got.is_empty() || got.starts_with("HTTP/1.1 400"), "{got}");
    assert_still_serves(&site);
}

#[test]
fn body_that_comes_too_slowly_is_refused() {
    let site = start();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {}\r\ncontent-length: 100\r\n\r\n{{\"model\":",
        site.1
    );
    let got = raw(&site.0, head.as_bytes());
    assert!(got.starts_with("HTTP/1.1 408"), "{got}");
    assert!(got.contains("body_too_slow"), "{got}");
    assert!(got.contains("\"not_run\":true"), "{got}");
    assert_still_serves(&site);
}

#[test]
fn head_that_comes_too_slowly_is_hung_up_on() {
    let site = start();
    let began = b"POST /v1/completions HTTP/1.1\r\nhost: x\r\nx-slow";
    let got = raw(&site.0, began);
    assert!(got.is_empty() || got.starts_with("HTTP/1.1 408"), "{got}");
    assert_still_serves(&site);
}

const SEED: u64 = 0x5eed;

/// Damages a valid body in one of several ways.
fn damage(body: &str, random: &mut ChaCha8Rng) -> Vec<u8> {
    let mut bytes = body.as_bytes().to_vec();
    let at = random.random_range(0..bytes.len());
    match random.random_range(0..5) {
        0 => bytes.truncate(at),
        1 => bytes[at] = random.random(),
        2 => drop(bytes.splice(at..at, [b'[', b'{', b'"'])),
        3 => drop(bytes.splice(at..at, "\u{0}\u{7f}\u{fffd}".bytes())),
        _ => bytes.rotate_left(at),
    }
    bytes
}

#[test]
fn damaged_bodies_are_answered_or_refused_with_a_cause() {
    let site = start();
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let whole = session::completion("How is the track? [len=3]", 4, false);
    for _ in 0..300 {
        let body = damage(&whole, &mut random);
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             authorization: Bearer {}\r\ncontent-length: {}\r\n\r\n",
            site.1,
            body.len()
        );
        let got = raw(&site.0, &[head.as_bytes(), &body].concat());
        let status = got.get(9..12).unwrap_or_default();
        assert!(["200", "400", "404"].contains(&status), "{got} to {body:?}");
        assert!(status == "200" || got.contains("\"code\":"), "{got}");
    }
    assert_still_serves(&site);
}

#[test]
fn random_bytes_harm_no_port() {
    let site = start();
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let short = time::Duration::from_millis(20);
    for daemon in &site.0.lab.daemons {
        for address in [Some(daemon.listen), Some(daemon.admin), daemon.callers] {
            let Some(address) = address else { continue };
            for _ in 0..10 {
                let mut bytes = vec![0; random.random_range(1..2_000)];
                random.fill(bytes.as_mut_slice());
                send(address, &bytes, short);
            }
        }
    }
    assert_still_serves(&site);
    for daemon in &site.0.lab.daemons {
        assert!(!daemon.log().contains("panicked"), "{}", daemon.log());
    }
}

#[test]
fn chat_and_plain_answers_have_their_usual_form() {
    let (session, key) = start();
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let body = serde_json::json!({
        "model": "summary-1", "max_tokens": 12,
        "messages": [{ "role": "user", "content": "How is the track?" }],
    });
    let url = session.url(0, "/v1/chat/completions");
    let got = session::call("POST", &url, &headers, &body.to_string());
    let json: serde_json::Value = serde_json::from_str(&got.text).expect("an answer is JSON");
    let prompt = "user: How is the track?\nassistant: ";
    let text = &json["choices"][0]["message"]["content"];
    assert_eq!(text, &fake::answer_text(prompt, 12), "{got:?}");
    assert_eq!(json["object"], "chat.completion");
    assert_eq!(
        json["usage"]["completion_tokens"],
        fake::answer_tokens(prompt, 12)
    );
    let models = session::call("GET", &session.url(0, "/v1/models"), &headers, "");
    assert!(models.text.contains("summary-1"), "{models:?}");
}
