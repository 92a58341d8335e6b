//! A request that crashed an engine has run, so its caller isn't told that it hasn't, also
//! when that very crash has the request condemned.

use fake::tracks::TracksCluster;
use fake::tracks::names;
use std::path;

/// Bodies that crash engines, one after the other.
const BODIES: [&str; 6] = ["one", "two", "three", "four", "five", "six"];
/// Crashes after which a body is known.
const MAX_CRASHES: usize = 5;
/// Statuses by which an entry promises that a request hasn't run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn crash_count(cluster: &TracksCluster) -> usize {
    cluster.engines.iter().filter(|e| e.crashed()).count()
}

#[test]
fn request_that_crashed_an_engine_is_no_refusal() {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let stages = vec!["decode"; 36];
    let mut cluster = TracksCluster::new(program, &stages, 0, 1);
    cluster.start();
    let mut verdicts = 0;
    for (round, body) in BODIES.into_iter().enumerate() {
        for engine in &cluster.engines {
            engine.set_behaviour(|b| b.crash_body = Some(body));
        }
        let prefix = format!("{:08x}:1000", 0xa000 + round);
        let headers = [
            (names::MODEL, "m"),
            (names::TOKEN_COUNTS, "1000,100"),
            (names::PROMPT_PREFIX, prefix.as_str()),
        ];
        for attempt in 0..MAX_CRASHES {
            let before = crash_count(&cluster);
            let path = format!("/once/{round}");
            let response = cluster.request(0, "POST", &path, body, &headers);
            if crash_count(&cluster) == before {
                verdicts += usize::from(response.status == 503);
                break;
            }
            assert!(
                !PROMISES.contains(&response.status),
                "round {round}, attempt {attempt}: {response:?}"
            );
        }
    }
    assert!(verdicts > 0, "no body was condemned");
}
