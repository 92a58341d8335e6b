//! What one entry's prompts left in an engine's cache serves another's, though
//! the engines' events come late and with gaps.

mod session;

use fake::ClusterSpec;
use session::TestSite;
use std::path;

const HEADS: usize = 6;

/// Prompts of a head begin alike; 16 blocks of it.
fn prompt(head: usize, tail: usize) -> String {
    let shared = format!("Standing text {head} of the unit. ").repeat(160);
    format!("{shared} and defect {tail} [len=3]")
}

fn prefilled(site: &TestSite) -> u64 {
    let engines = site.cluster.prefill_engines.iter();
    engines.map(|e| e.stats().prefilled_tokens).sum()
}

fn told(site: &TestSite, entry: usize) -> u64 {
    let text = session::read_metrics(site.cluster.daemons[entry].admin);
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("hornbeampitch_cache_blocks_told_total "));
    line.and_then(|n| n.parse().ok()).unwrap_or(0)
}

#[test]
fn prompt_goes_where_another_entry_warmed_it() {
    let mut spec = ClusterSpec {
        entries: 2,
        prefill_engines: 3,
        ..ClusterSpec::small()
    };
    spec.engine.drop_every = 3;
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let site = TestSite::start(spec, program, &[]);
    let (_, key) = site.issue_key(session::RANGERS);
    for head in 0..HEADS {
        for tail in 0..2 {
            let response = site.stream_completion(0, &key, &prompt(head, tail), 9);
            assert!(response.finished, "{response:?}");
        }
    }
    let blocks = (prompt(0, 0).len() / 256 * HEADS) as u64;
    let knows = |_: &fake::TestCluster| told(&site, 1) >= blocks;
    let all = site.cluster.wait_until(session::WAIT_LIMIT, knows);
    assert!(all, "told of {} of {blocks} blocks", told(&site, 1));
    let before = prefilled(&site);
    for head in 0..HEADS {
        let response = site.stream_completion(1, &key, &prompt(head, 2), 9);
        assert!(response.finished, "{response:?}");
    }
    let fresh = prefilled(&site) - before;
    let tokens = fake::prompt_tokens(&prompt(0, 0)) * HEADS as u64;
    assert!(fresh < tokens / 4, "{fresh} of {tokens} tokens anew");
}
