//! Compares the time to the first token of requests through an entry and agents with that of
//! requests sent directly to the same engines.
//!
//! `cargo run --release --example first_token [COUNT]`

#[path = "../tests/session/mod.rs"]
mod session;

use fake::ClusterSpec;
use hdrhistogram::Histogram;
use session::TestSite;
use std::env;
use std::process;
use std::time;

/// The first argument with which this program runs as the daemon.
const DAEMON: &str = "hornbeampitchd";
/// The number of requests of each kind unless an argument says otherwise.
const DEFAULT_COUNT: u64 = 300;
/// The least length of each prompt.
const PROMPT_BYTES: usize = 2_400;
/// The length of each answer, in tokens.
const ANSWER_TOKENS: u32 = 4;

fn main() -> process::ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    if args.first().is_some_and(|a| a == DAEMON) {
        return daemon::run(&args[1..]);
    }
    let count = args.first().and_then(|a| a.parse().ok());
    measure(count.unwrap_or(DEFAULT_COUNT));
    process::ExitCode::SUCCESS
}

/// Sends both kinds of requests in turn and prints quantiles of their times to the first token.
fn measure(count: u64) {
    let program = env::current_exe().expect("a running program has a path");
    let site = TestSite::start(ClusterSpec::small(), &program, &[DAEMON]);
    let (_, key) = site.issue_key(session::RANGERS);
    let mut direct = Histogram::<u64>::new(3).expect("three significant digits are valid");
    let mut routed = direct.clone();
    for i in 0..count {
        direct += micros(request_directly(&site, &prompt(2 * i), i));
        let response = site.stream_completion(0, &key, &prompt(2 * i + 1), ANSWER_TOKENS);
        routed += micros(response.first_event.expect("the answer has a first token"));
    }
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let (direct_us, routed_us) = (
            direct.value_at_quantile(quantile),
            routed.value_at_quantile(quantile),
        );
        let ratio = routed_us as f64 / direct_us as f64;
        println!(
            "{name}: direct {direct_us} us, through entry and agents {routed_us} us, ratio {ratio:.3}"
        );
    }
}

fn micros(time: time::Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Returns a prompt whose start is different for each number, so that no cached prefix is reused.
fn prompt(i: u64) -> String {
    let mut prompt = format!("[len={ANSWER_TOKENS}] prompt {i} ");
    while prompt.len() < PROMPT_BYTES {
        prompt += &format!("{i} and so on ");
    }
    prompt
}

/// Sends the engines the calls that the agents would send and returns the time to the first token.
fn request_directly(site: &TestSite, prompt: &str, i: u64) -> time::Duration {
    let prefill = engine::EngineClient::new(site.cluster.prefill_engines[0].address());
    let decode = engine::EngineClient::new(site.cluster.decode_engines[0].address());
    let started = time::Instant::now();
    let request = format!("direct-{i}");
    let prefill_request = engine::PrefillRequest {
        request: request.clone(),
        model: "summary-1".into(),
        prompt: prompt.to_owned(),
        priority: 0,
    };
    let result = prefill
        .prefill(&prefill_request)
        .expect("the prefill engine responds");
    let import_request = engine::ImportRequest {
        request: request.clone(),
        source: site.cluster.prefill_engines[0].address().to_string(),
        kv: result.kv,
        pieces: 1,
    };
    decode
        .import(&import_request)
        .expect("the prefilled result has not expired");
    let stream_request = engine::StreamRequest {
        request,
        model: "summary-1".into(),
        prompt: prompt.to_owned(),
        max_tokens: ANSWER_TOKENS,
        offset: 0,
        stream: true,
    };
    let mut first_token = None;
    let stream_result = decode.stream(&stream_request, |token| {
        if matches!(token, engine::StreamEvent::Text { .. }) {
            first_token.get_or_insert_with(|| started.elapsed());
        }
        true
    });
    stream_result.expect("the decode engine streams");
    first_token.expect("the answer has a first token")
}
