//! Tests that bytes which nothing shows to be a host's answer to the request reach no caller:
//! the page of a process before the host, an answer without its seal, or with a changed body.
//! The host may have run the request, so the caller of an order is told that its outcome is
//! unknown, and a request that may run twice is served by another host.

use fake::tracks::BreakingSite;
use fake::tracks::EntryResponse;
use fake::tracks::StreamScript;
use fake::tracks::chunk;
use fake::tracks::event_text;
use fake::tracks::names;
use fake::tracks::stream_head;
use rand::Rng;
use rand::SeedableRng;
use std::path;
use yare::parameterized;

/// Body of an answer that is not the host's.
const PAGE: &str = "a page";
/// Body of the answer of the host that serves the request.
const BODY: &str = "the body";

/// Header lines of a head, without the one that frames the body.
fn id_line() -> String {
    format!("{}: {{id}}", names::REQUEST_ID)
}

fn seal_line(seal: &str) -> String {
    format!("{}: {seal}", names::RESPONSE_SEAL)
}

/// Returns an answer that ends with its connection's announced close.
fn answer(status: u16, lines: &[String], framing: &str, body: &str) -> String {
    let lines: String = lines.iter().map(|l| l.clone() + "\r\n").collect();
    format!("HTTP/1.1 {status} Any\r\n{lines}connection: close\r\n{framing}\r\n{body}")
}

fn sized(status: u16, lines: &[String], body: &str) -> String {
    let framing = format!("content-length: {}\r\n", body.len());
    answer(status, lines, &framing, body)
}

/// Returns answers that lack something by which a host's answer can be told.
fn unproven_answers() -> Vec<(&'static str, String)> {
    let (id, seal) = (id_line(), seal_line("seal"));
    let refused = format!("{}: 1", names::NOT_EXECUTED);
    let leaving = format!("{}: 1", names::SERVER_LEAVING);
    let other_id = format!("{}: 00000000", names::REQUEST_ID);
    let proven = [id.clone(), seal.clone()];
    let with = |line: &str| [id.clone(), seal.clone(), line.to_owned()];
    vec![
        ("page", sized(200, &[], PAGE)),
        ("no_id", sized(200, std::slice::from_ref(&seal), PAGE)),
        ("no_seal", sized(200, std::slice::from_ref(&id), PAGE)),
        ("empty_seal", sized(200, &[id.clone(), seal_line("")], PAGE)),
        ("two_seals", sized(200, &with(&seal_line("other")), PAGE)),
        ("two_ids", sized(200, &with(&id_line()), PAGE)),
        ("other_id", sized(200, &[other_id, seal.clone()], PAGE)),
        ("encoded", sized(200, &with("content-encoding: gzip"), PAGE)),
        (
            "identity",
            sized(200, &with("content-encoding: identity"), PAGE),
        ),
        (
            "coded_transfer",
            answer(200, &proven, "transfer-encoding: gzip\r\n", PAGE),
        ),
        ("unframed_page", answer(200, &[], "", PAGE)),
        ("refused_success", sized(200, &with(&refused), PAGE)),
        ("refused_failure", sized(500, &with(&refused), PAGE)),
        ("created_page", sized(201, &[], PAGE)),
        ("empty_page", answer(204, &[], "", "")),
        ("moved_page", sized(302, &["location: /".to_owned()], PAGE)),
        ("not_found_page", sized(404, &[], PAGE)),
        ("failure_page", sized(500, &[], PAGE)),
        (
            "failure_without_seal",
            sized(500, std::slice::from_ref(&id), PAGE),
        ),
        (
            "overload_page",
            sized(503, &["retry-after: 5".to_owned()], PAGE),
        ),
        ("misdirected_page", sized(421, &[], PAGE)),
        ("throttled_page", sized(429, &[leaving], PAGE)),
    ]
}

/// Makes a request for each answer, to hosts of which the first gives it and the second
/// serves the request, and returns the responses with the numbers of calls.
fn request_all(
    service: &str,
    route: &str,
    first: impl Iterator<Item = String>,
    second: &str,
) -> (BreakingSite, Vec<(EntryResponse, usize)>) {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let scripts: Vec<_> = first
        .map(|first| StreamScript {
            first,
            second: second.to_owned(),
        })
        .collect();
    let site = BreakingSite::start(program, service, &scripts, Vec::new());
    let responses = site.request_all(route);
    (site, responses)
}

/// Returns the answer of the host that serves a request of a service.
fn sound_answer(service: &str) -> String {
    match service {
        "app" => sized(200, &[id_line(), seal_line("seal-{id}")], BODY),
        _ => stream_head() + &chunk(&event_text(1)) + "0\r\n\r\n",
    }
}

#[parameterized(
    order = { "app", "order" },
    once = { "llm", "once" },
)]
fn unproven_answer_leaves_the_outcome_unknown(service: &str, route: &str) {
    let answers = unproven_answers();
    let first = answers.iter().map(|(_, answer)| answer.clone());
    let (site, responses) = request_all(service, route, first, &sound_answer(service));
    for (number, (response, call_count)) in responses.iter().enumerate() {
        let is_unknown = response.status == 502 && !response.headers.contains("seal");
        assert!(
            is_unknown && *call_count == 1 && !response.body.contains(PAGE),
            "{}, {call_count} calls: {response:?}\n{}",
            answers[number].0,
            site.log_of_request(number)
        );
    }
}

#[parameterized(
    status = { "app", "status" },
    resumable = { "llm", "resumable" },
)]
fn repeatable_request_with_an_unproven_answer_is_served_elsewhere(service: &str, route: &str) {
    let answers = unproven_answers();
    let first = answers.iter().map(|(_, answer)| answer.clone());
    let (site, responses) = request_all(service, route, first, &sound_answer(service));
    for (number, (response, call_count)) in responses.iter().enumerate() {
        let is_served = response.status == 200 && response.complete;
        assert!(
            is_served && *call_count == 2 && !response.body.contains(PAGE),
            "{}, {call_count} calls: {response:?}\n{}",
            answers[number].0,
            site.log_of_request(number)
        );
    }
}

/// What lacks is in the entry's log, by the request's id.
#[test]
fn log_names_what_an_unproven_answer_lacks() {
    let answers = unproven_answers();
    let first = answers.iter().map(|(_, answer)| answer.clone());
    let (site, _) = request_all("app", "order", first, &sound_answer("app"));
    for (number, (name, lacks)) in [(0, "no_id"), (2, "no_seal"), (7, "encoded")]
        .map(|(number, lacks)| (number, (answers[number].0, lacks)))
    {
        let log = site.log_of_request(number);
        let line = format!("fault={lacks}");
        assert!(
            log.contains("event=answer_unproven") && log.contains(&line),
            "{name}: {log}"
        );
    }
}

/// An engine that goes on with a stream is believed no more than the one that began it, and
/// the caller sees the first engine's seal only.
#[test]
fn stream_is_not_continued_by_an_unproven_answer() {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let events: Vec<String> = (1..=3).map(event_text).collect();
    let rest = chunk(&(events[1].clone() + &events[2]));
    let begun = stream_head() + &chunk(&events[0]);
    let lines = [
        vec![],
        vec![id_line()],
        vec![seal_line("seal-2")],
        vec![id_line(), seal_line("")],
        vec![id_line(), seal_line("seal-2"), seal_line("seal-3")],
        vec![
            id_line(),
            seal_line("seal-2"),
            "content-encoding: gzip".to_owned(),
        ],
    ];
    let framing = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
    let scripts = lines.map(|lines| StreamScript {
        first: begun.clone(),
        second: answer(200, &lines, framing, &rest) + "0\r\n\r\n",
    });
    let site = BreakingSite::start(program, "llm", &scripts, events.clone());
    for (number, (response, call_count)) in site.request_all("resumable").iter().enumerate() {
        assert!(
            response.complete && response.body == events.concat() && *call_count == 3,
            "{:?}, {call_count} calls: {response:?}\n{}",
            scripts[number].second,
            site.log_of_request(number)
        );
        assert!(!response.headers.contains("seal-2"), "{response:?}");
    }
}

/// Changes an answer of a host: some header lines are left out, doubled or emptied, the
/// status is another, or the answer ends early.
fn spoil(rng: &mut impl Rng, answer: &str) -> String {
    let (head, body) = answer
        .split_once("\r\n\r\n")
        .expect("the answer has a head");
    let mut lines: Vec<String> = head.lines().map(str::to_owned).collect();
    for _ in 0..rng.random_range(1..=3) {
        let line = rng.random_range(0..lines.len());
        match rng.random_range(0..6) {
            0 if lines.len() > 1 => {
                lines.remove(line);
            }
            1 => lines.insert(line, lines[line].clone()),
            2 => {
                let length = rng.random_range(0..=lines[line].len());
                lines[line].truncate(length);
            }
            3 => {
                let name = lines[line].split(':').next().unwrap_or_default().to_owned();
                lines[line] = name + ": ";
            }
            4 => {
                let swapped = rng.random_range(0..lines.len());
                lines.swap(line, swapped);
            }
            _ => {
                let statuses = [200, 201, 204, 206, 302, 404, 408, 421, 429, 500, 503];
                let status = statuses[rng.random_range(0..statuses.len())];
                lines[0] = format!("HTTP/1.1 {status} Any");
            }
        }
    }
    let mut spoilt = lines.join("\r\n") + "\r\n\r\n" + body;
    if rng.random_bool(0.3) {
        spoilt.truncate(rng.random_range(0..spoilt.len()));
    }
    spoilt
}

/// Returns whether a caller that gets this answer from its host gets the host's own success.
fn is_success_of_host(spoilt: &str, id: &str) -> bool {
    let Some((head, body)) = spoilt.split_once("\r\n\r\n") else {
        return false;
    };
    let values = |name: &str| -> Vec<String> {
        let lines = head.lines().skip(1).filter_map(|l| l.split_once(':'));
        let named = lines.filter(|(n, _)| *n == name);
        named.map(|(_, v)| v.trim().to_owned()).collect()
    };
    // The same length twice is one length.
    let length = PAGE.len().to_string();
    let is_length_right = values("content-length").iter().all(|l| *l == length);
    head.starts_with("HTTP/1.1 2")
        && values(names::REQUEST_ID) == [id]
        && values(names::RESPONSE_SEAL)
            .iter()
            .filter(|s| !s.is_empty())
            .count()
            == 1
        && values(names::RESPONSE_SEAL).len() == 1
        && is_length_right
        && body == PAGE
}

/// A caller gets a success only if one host wrote it whole, with its id and its seal.
#[parameterized(
    order = { "order", 1 },
    status = { "status", 2 },
)]
fn success_is_whole_as_its_host_wrote_it(route: &str, seed: u64) {
    const COUNT: usize = 120;
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let proven = sized(200, &[id_line(), seal_line("seal")], PAGE);
    let spoilt: Vec<String> = (0..COUNT).map(|_| spoil(&mut rng, &proven)).collect();
    let first = spoilt.iter().cloned();
    let (site, responses) = request_all("app", route, first, &sound_answer("app"));
    for (number, (response, _)) in responses.iter().enumerate() {
        if !(200..300).contains(&response.status) || response.body == BODY {
            continue;
        }
        let written = spoilt[number].replace("{id}", "an id");
        assert!(
            is_success_of_host(&written, "an id"),
            "{written:?}: {response:?}\n{}",
            site.log_of_request(number)
        );
    }
}
