//! Time to the first token through entry and agents, against the same engines
//! asked directly.
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

/// The word that makes this program the daemon.
const DAEMON: &str = "hornbeampitchd";
const DEFAULT_COUNT: u64 = 300;
const PROMPT_BYTES: usize = 2_400;
const ANSWER: u32 = 4;

fn main() -> process::ExitCode {
    let words: Vec<String> = env::args().skip(1).collect();
    if words.first().is_some_and(|w| w == DAEMON) {
        return daemon::run(&words[1..]);
    }
    let count = words.first().and_then(|w| w.parse().ok());
    measure(count.unwrap_or(DEFAULT_COUNT));
    process::ExitCode::SUCCESS
}

fn measure(count: u64) {
    let program = env::current_exe().expect("a running program has a path");
    let site = TestSite::start(ClusterSpec::small(), &program, &[DAEMON]);
    let (_, key) = site.issue_key(session::RANGERS);
    let mut direct = Histogram::<u64>::new(3).expect("three digits are allowed");
    let mut through = direct.clone();
    for i in 0..count {
        direct += micros(ask_directly(&site, &prompt(2 * i), i));
        let response = site.stream_completion(0, &key, &prompt(2 * i + 1), ANSWER);
        through += micros(response.first_event.expect("the answer has a first token"));
    }
    for (name, part) in [("p50", 0.5), ("p99", 0.99)] {
        let (d, t) = (
            direct.value_at_quantile(part),
            through.value_at_quantile(part),
        );
        let ratio = t as f64 / d as f64;
        println!("{name}: direct {d} us, through entry and agents {t} us, ratio {ratio:.3}");
    }
}

fn micros(time: time::Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn prompt(i: u64) -> String {
    let mut prompt = format!("[len={ANSWER}] prompt {i} ");
    while prompt.len() < PROMPT_BYTES {
        prompt += &format!("{i} and so on ");
    }
    prompt
}

/// Does what the agents do, without them.
fn ask_directly(site: &TestSite, prompt: &str, i: u64) -> time::Duration {
    let prefill = engine::EngineClient::new(site.cluster.prefill_engines[0].address());
    let decode = engine::EngineClient::new(site.cluster.decode_engines[0].address());
    let began = time::Instant::now();
    let request = format!("direct-{i}");
    let ask = engine::PrefillRequest {
        request: request.clone(),
        model: "summary-1".into(),
        prompt: prompt.to_owned(),
        priority: 0,
    };
    let ready = prefill.prefill(&ask).expect("the engine works");
    let import = engine::ImportRequest {
        request: request.clone(),
        source: site.cluster.prefill_engines[0].address().to_string(),
        kv: ready.kv,
        pieces: 1,
    };
    decode.import(&import).expect("the result lives");
    let resume = engine::StreamRequest {
        request,
        model: "summary-1".into(),
        prompt: prompt.to_owned(),
        max_tokens: ANSWER,
        offset: 0,
        stream: true,
    };
    let mut first = None;
    let streamed = decode.stream(&resume, |token| {
        if matches!(token, engine::StreamEvent::Text { .. }) {
            first.get_or_insert_with(|| began.elapsed());
        }
        true
    });
    streamed.expect("the engine streams");
    first.expect("the answer has a first token")
}
