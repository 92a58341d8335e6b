//! Tests that an entry uses the prefixes that another entry's prompts left in an engine's cache,
//! although the engines' cache events arrive late and some are missing.

mod session;

use fake::ClusterSpec;
use session::TestSite;
use std::path;

/// How many different prefixes the prompts have.
const PREFIX_COUNT: usize = 6;

/// Returns a prompt. Those with the same prefix number share their first 16 cache blocks or more.
fn prompt(prefix: usize, suffix: usize) -> String {
    let shared = format!("Standing text {prefix} of the unit. ").repeat(160);
    format!("{shared} and defect {suffix} [len=3]")
}

/// Counts the prompt tokens that the prefill engines have processed, without cached ones.
fn prefilled_tokens(site: &TestSite) -> u64 {
    let engines = site.cluster.prefill_engines.iter();
    engines.map(|e| e.stats().prefilled_tokens).sum()
}

/// Reads from an entry's metrics how many cached blocks the engines have reported to it.
fn known_blocks(site: &TestSite, entry: usize) -> u64 {
    let text = session::read_metrics(site.cluster.daemons[entry].admin_address);
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("hornbeampitch_cache_blocks_told_total "));
    line.and_then(|n| n.parse().ok()).unwrap_or(0)
}

#[test]
fn prompt_reuses_cache_filled_through_another_entry() {
    let mut spec = ClusterSpec {
        entries: 2,
        prefill_engines: 3,
        ..ClusterSpec::small()
    };
    spec.engine.drop_every = 3;
    let program = path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd"));
    let site = TestSite::start(spec, program, &[]);
    let (_, key) = site.issue_key(session::RANGERS);
    for prefix in 0..PREFIX_COUNT {
        for suffix in 0..2 {
            let response = site.stream_completion(0, &key, &prompt(prefix, suffix), 9);
            assert!(response.finished, "{response:?}");
        }
    }
    let blocks = (prompt(0, 0).len() / 256 * PREFIX_COUNT) as u64;
    let knows_all = |_: &fake::TestCluster| known_blocks(&site, 1) >= blocks;
    let reached = site.cluster.wait_until(session::WAIT_LIMIT, knows_all);
    assert!(
        reached,
        "the entry knows of {} of {blocks} cached blocks",
        known_blocks(&site, 1)
    );
    let before = prefilled_tokens(&site);
    for prefix in 0..PREFIX_COUNT {
        let response = site.stream_completion(1, &key, &prompt(prefix, 2), 9);
        assert!(response.finished, "{response:?}");
    }
    let new_tokens = prefilled_tokens(&site) - before;
    let tokens = fake::prompt_tokens(&prompt(0, 0)) * PREFIX_COUNT as u64;
    assert!(
        new_tokens < tokens / 4,
        "{new_tokens} of {tokens} prompt tokens were not reused"
    );
}
