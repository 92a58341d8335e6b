//! Tests that entries keep to the retry budget, whichever kind of engine refuses.

use fake::tracks::TracksCluster;
use fake::tracks::names;
use std::collections;
use std::path;

/// Streams requested one after another.
const STREAMS: usize = 40;
/// Retries that the budget allows in all, in the settings of the entry.
const RETRIES: usize = 4;

/// No prefill is ever accepted, so all arrivals at engines count. A request whose prompt
/// was refused arrives once more if its decode engine is to read the prompt.
#[test]
fn refused_prefills_count_against_the_retry_budget() {
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let mut stages = vec!["prefill"; 12];
    stages.push("decode");
    let mut cluster = TracksCluster::new(program, &stages, 0, 1);
    cluster.entries[0].set_setting("retry_budget_ratio", "0.0");
    cluster.entries[0].set_setting("budget_slack", &RETRIES.to_string());
    cluster.start();
    for engine in &cluster.engines {
        engine.set_behaviour(|b| b.shed_prefills = true);
    }
    for _ in 0..STREAMS {
        let response = cluster.request_stream(0, "/resumable/a", &[]);
        assert!(matches!(response.status, 200 | 503), "{response:?}");
    }
    let mut arrivals: collections::BTreeMap<String, usize> = collections::BTreeMap::new();
    let engines = cluster.engines.iter();
    for call in engines.flat_map(|e| e.received_under("/resumable/")) {
        let id = call.header(names::REQUEST_ID).to_owned();
        *arrivals.entry(id).or_default() += 1;
    }
    assert_eq!(arrivals.len(), STREAMS, "each request arrives somewhere");
    let extra: usize = arrivals.values().map(|count| count - 1).sum();
    assert!(extra <= RETRIES, "{extra} of {RETRIES} at most");
}
