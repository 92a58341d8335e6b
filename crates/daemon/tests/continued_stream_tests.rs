//! Tests what a caller gets whose stream breaks off and whose next engine answers with
//! something else than the missing events. None of that may reach the caller, and the
//! stream may not end as if it were complete.

use fake::tracks::BreakingSite;
use fake::tracks::EntryResponse;
use fake::tracks::StreamScript;
use fake::tracks::chunk;
use fake::tracks::event_text;
use fake::tracks::names;
use fake::tracks::stream_head;
use std::collections;
use std::path;

/// Number of events in a stream.
const EVENT_COUNT: u64 = 5;

fn events() -> Vec<String> {
    (1..=EVENT_COUNT).map(event_text).collect()
}

/// Returns an answer that starts a stream and breaks off after so many bytes of its events.
fn broken_after(length: usize) -> String {
    stream_head() + &chunk(&events().concat()[..length])
}

/// Returns a whole stream from the event with this id.
fn stream_from(id: u64) -> String {
    let events: String = (id..=EVENT_COUNT).map(event_text).collect();
    stream_head() + &chunk(&events) + "0\r\n\r\n"
}

/// Returns an answer in three framings.
fn framed(status: &str, headers: &str, body: &str) -> [String; 3] {
    let id = format!(
        "{}: {{id}}\r\n{}: seal\r\n",
        names::REQUEST_ID,
        names::RESPONSE_SEAL
    );
    let head = format!("HTTP/1.1 {status} Any\r\n{id}{headers}");
    let length = body.len();
    [
        format!("{head}content-length: {length}\r\n\r\n{body}"),
        format!(
            "{head}transfer-encoding: chunked\r\n\r\n{}0\r\n\r\n",
            chunk(body)
        ),
        format!("{head}\r\n{body}"),
    ]
}

/// What a caller may get of its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    /// The whole stream.
    Whole,
    /// The whole stream, or its beginning in complete events and then broken off.
    Beginning,
}

fn is_expected(response: &EntryResponse, expected: Expected) -> bool {
    let whole = events().concat();
    let body = &response.body;
    let is_beginning = whole.starts_with(body) && (body.is_empty() || body.ends_with("\n\n"));
    let is_whole = body == &whole;
    let is_true = response.status == 200 && is_beginning && response.complete == is_whole;
    is_true && (is_whole || expected == Expected::Beginning)
}

fn assert_answers(scripts: Vec<StreamScript>, expected: Expected) {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let site = BreakingSite::start(program, "llm", &scripts, events());
    let answers = site.request_all("resumable");
    let faults = scripts
        .iter()
        .zip(answers)
        .filter_map(|(script, (response, _))| {
            let is_fault = !is_expected(&response, expected);
            is_fault.then(|| format!("{script:?}: {response:?}"))
        });
    let faults: Vec<String> = faults.collect();
    let (found, count) = (faults.len(), scripts.len());
    assert!(
        faults.is_empty(),
        "{found} of {count}:\n{}",
        faults.join("\n")
    );
}

/// Returns the lengths of events after which a stream breaks off: before the first event,
/// between two and inside one.
fn break_points() -> [usize; 3] {
    let first = event_text(1).len();
    [0, first, first + event_text(2).len() / 2]
}

/// Returns a script for each point at which the stream breaks off.
fn scripts(lengths: &[usize], second: &str) -> Vec<StreamScript> {
    let script = |length: &usize| StreamScript {
        first: broken_after(*length),
        second: second.to_owned(),
    };
    lengths.iter().map(script).collect()
}

#[test]
fn failure_of_the_next_engine_is_not_joined_to_a_stream() {
    let not_executed = "hornbeampitch-not-executed: 1\r\n";
    let seconds = [
        framed("500", "", "the engine failed\n\nat once\n\n"),
        framed("503", not_executed, "full\n\n"),
        framed("503", "", "full\n\n"),
        framed("400", "", "id: 2\ndata: bad request\n\n"),
        framed("421", "", "another engine\n\n"),
        framed("429", "", "too many\n\n"),
        framed("429", not_executed, "too many\n\n"),
    ];
    let seconds = seconds.concat();
    let scripts = seconds
        .iter()
        .map(|second| scripts(&break_points(), second));
    assert_answers(scripts.collect::<Vec<_>>().concat(), Expected::Beginning);
}

#[test]
fn body_that_is_no_stream_of_events_is_not_joined_to_a_stream() {
    let seconds = [
        framed("200", "", ""),
        framed(
            "200",
            "content-type: application/json\r\n",
            r#"{"error":"full"}"#,
        ),
        framed(
            "200",
            "content-type: text/plain\r\n",
            "the engine failed\n\nat once\n\n",
        ),
        framed("200", "", "data: no id\n\n"),
        framed("200", "", "id: none\ndata: no number\n\n"),
    ];
    let seconds = seconds.concat();
    let lengths = &break_points()[1..];
    let scripts = seconds.iter().map(|second| scripts(lengths, second));
    assert_answers(scripts.collect::<Vec<_>>().concat(), Expected::Beginning);
}

#[test]
fn events_that_do_not_follow_the_last_are_not_joined_to_a_stream() {
    let first = event_text(1).len();
    let third = event_text(1).len() * 3;
    let scripts = [
        scripts(&[first], &stream_from(1)),
        scripts(&[first], &stream_from(3)),
        scripts(&[first], &stream_from(EVENT_COUNT)),
        scripts(&[third, third + 2], &stream_from(1)),
        scripts(&[third, third + 2], &stream_from(3)),
        scripts(&[third, third + 2], &stream_from(5)),
    ];
    assert_answers(scripts.concat(), Expected::Beginning);
}

#[test]
fn stream_goes_on_after_a_break_at_any_byte_of_an_event() {
    let first = event_text(1).len();
    let lengths: Vec<usize> = (first..first + event_text(2).len()).collect();
    assert_answers(scripts(&lengths, &stream_from(2)), Expected::Whole);
    let failure = &framed("500", "", "the engine failed\n\n")[0];
    assert_answers(scripts(&lengths, failure), Expected::Beginning);
}

#[test]
fn head_of_the_next_engine_cut_at_any_byte_is_not_joined_to_a_stream() {
    let first = event_text(1).len();
    let head = stream_head();
    let cut = (0..head.len()).map(|length| scripts(&[first], &head[..length]));
    assert_answers(cut.collect::<Vec<_>>().concat(), Expected::Beginning);
}

/// An answer that comes a second time, in the place of the rest of an unframed stream.
#[test]
fn second_answer_behind_an_unframed_stream_is_not_part_of_it() {
    let head = stream_head().replace("transfer-encoding: chunked\r\n", "");
    let first = event_text(1) + &event_text(2);
    let script = StreamScript {
        first: format!("{head}{first}{head}{first}"),
        second: stream_from(3),
    };
    assert_answers(vec![script], Expected::Whole);
}

/// An earlier refusal, given once more behind an unframed stream.
#[test]
fn refusal_behind_an_unframed_stream_is_not_part_of_it() {
    let head = stream_head().replace("transfer-encoding: chunked\r\n", "");
    let scripts = (1..EVENT_COUNT).flat_map(|count| {
        let events: String = (1..=count).map(event_text).collect();
        let bodies = ["full", "full\n\n", "full\n\nagain\n\n"];
        let refusals = bodies.map(|body| framed("503", "hornbeampitch-not-executed: 1\r\n", body));
        let head = head.clone();
        refusals
            .into_iter()
            .flatten()
            .map(move |refusal| StreamScript {
                first: format!("{head}{events}{refusal}"),
                second: stream_from(count + 1),
            })
    });
    assert_answers(scripts.collect(), Expected::Whole);
}

/// An engine whose answer was lost still works on it, so that each one counts against the
/// route's attempts, also where the stream breaks off again and again.
#[test]
fn stream_that_breaks_off_again_runs_on_as_many_engines_as_its_route_allows() {
    let scripts: Vec<StreamScript> = break_points()
        .iter()
        .map(|length| StreamScript {
            first: broken_after(*length),
            second: broken_after(*length),
        })
        .collect();
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let site = BreakingSite::start(program, "llm", &scripts, events());
    site.request_all("resumable");
    for number in 0..scripts.len() {
        let log = site.log_of_request(number);
        let runs = log.lines().filter(|l| l.contains("event=stream "));
        let engines = runs.filter_map(|l| l.split(" upstream=").nth(1)?.split(' ').next());
        let engines: collections::BTreeSet<&str> = engines.collect();
        assert!(engines.len() <= 2, "{engines:?}: {log}");
    }
}
