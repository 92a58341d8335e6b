//! Runs a plan against a site and measures what the callers saw.

use crate::DAEMON;
use crate::cost;
use crate::options::Fault;
use crate::options::Options;
use crate::plan::Arrival;
use crate::plan::Plan;
use crate::report::Measures;
use crate::report::Outcome;
use crate::session;
use crate::session::TestSite;
use fake::ClusterSpec;
use std::env;
use std::fs;
use std::io;
use std::io::BufRead;
use std::sync;
use std::sync::mpsc;
use std::thread;
use std::time;

/// Slices fill from nothing before a run, as on a site that has been up.
const FILL: time::Duration = time::Duration::from_millis(4_000);
/// Bursts that the tenants have, in seconds of their rate.
const BURST_SECONDS: f64 = 4.0;
/// Requests still open so long after the last arrival are given up.
const TAIL: time::Duration = time::Duration::from_secs(40);
const STACK_BYTES: usize = 256 * 1024;

/// Runs a plan; gives what was measured.
pub fn run(spec: ClusterSpec, options: &Options, plan: &Plan) -> Measures {
    let program = env::current_exe().expect("a running program has a path");
    let site = TestSite::start_unconfigured(spec.clone(), &program, &[DAEMON]);
    make_uneven(&site);
    fs::write(&site.documents_path, documents(&spec, plan)).expect("the folder takes files");
    let (code, out) = site.run_client(&["apply", &site.documents_path]);
    assert_eq!(code, 0, "{out}");
    site.wait_ready();
    let keys: Vec<String> = plan
        .tenants
        .iter()
        .map(|t| site.issue_key(t.name).1)
        .collect();
    thread::sleep(FILL);
    let before = cost::Usage::of_site(&site);
    let outcomes = drive(&site, options, plan, &keys);
    if options.cost {
        let spent = cost::Usage::of_site(&site).since(&before);
        print!("{spent}");
    }
    site.wait_idle();
    Measures::of_run(&site, plan, options.seconds, &outcomes)
}

/// Back ends bought over years: speeds from 0.7 to 1.3 of the mean.
fn make_uneven(site: &TestSite) {
    for pool in [&site.cluster.prefill_engines, &site.cluster.decode_engines] {
        for (i, engine) in pool.iter().enumerate() {
            let place = i as f64 / (pool.len() - 1).max(1) as f64;
            engine.slow_down(1.0 / (0.7 + 0.6 * place));
        }
    }
}

fn documents(spec: &ClusterSpec, plan: &Plan) -> String {
    let mut text = String::from("classes:\n");
    for class in [crate::plan::URGENT, crate::plan::REPORT] {
        text += &format!(
            "  - name: {}\n    first_ms: {}\n    token_ms: {}\n    waits: {}\n",
            class.name,
            class.first,
            class.token,
            class.name == "report"
        );
    }
    text += "organisations:\n";
    for tenant in &plan.tenants {
        // Room for chance: a tenant that sends its part stays within its rate.
        let rate = plan.rate * tenant.part * 1.5;
        text += &format!(
            "  - name: {}\n    rate: {}\n    burst: {}\n",
            tenant.name,
            rate as u64 + 1,
            (rate * BURST_SECONDS) as u64 + 12_000
        );
    }
    text += &format!(
        "upstreams:\n  - name: {m}\n    kind: model\n    model: summary-1\n    class: urgent\n",
        m = spec.model_upstream
    );
    text
}

fn drive(site: &TestSite, options: &Options, plan: &Plan, keys: &[String]) -> Vec<Outcome> {
    let (sender, outcomes) = mpsc::channel();
    let agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TAIL))
        .max_idle_connections(0)
        .build()
        .new_agent();
    let agent = sync::Arc::new(agent);
    let begin = time::Instant::now();
    thread::scope(|scope| {
        scope.spawn(|| harm(site, options));
        if plan.arrivals.is_empty() {
            thread::sleep(time::Duration::from_secs(options.seconds));
        }
        for arrival in &plan.arrivals {
            thread::sleep(arrival.at.saturating_sub(begin.elapsed()));
            let tenant = &plan.tenants[arrival.tenant];
            let url = site.url(arrival.entry, "/v1/completions");
            let (agent, sender, key) = (agent.clone(), sender.clone(), &keys[arrival.tenant]);
            let due = begin + arrival.at;
            let spawned =
                thread::Builder::new()
                    .stack_size(STACK_BYTES)
                    .spawn_scoped(scope, move || {
                        let class = tenant.class.name;
                        let outcome = ask(&agent, &url, key, class, arrival, due);
                        let _ = sender.send(outcome);
                    });
            spawned.expect("the system has threads for a run");
        }
    });
    drop(sender);
    outcomes.into_iter().collect()
}

/// Does the harm of the run after a quarter of it, and mends it at half.
fn harm(site: &TestSite, options: &Options) {
    let quarter = time::Duration::from_secs(options.seconds) / 4;
    thread::sleep(quarter);
    let cluster = &site.cluster;
    match options.fault {
        Fault::Calm => {}
        Fault::Engine => cluster.decode_engines[0].kill(),
        Fault::Transfer => cluster.prefill_engines[0].set_stalled(true),
        Fault::Slow => {
            cluster.decode_engines[1].slow_down(3.0);
            cluster.prefill_engines[1].slow_down(3.0);
        }
        Fault::Store => cluster.store.kill(),
        Fault::Entry => {
            // A daemon that has gone already needs no signal.
            cluster.signal("entry-2", "KILL");
        }
    }
    thread::sleep(quarter);
    match options.fault {
        Fault::Engine => cluster.decode_engines[0].restart(),
        Fault::Transfer => cluster.prefill_engines[0].set_stalled(false),
        Fault::Store => cluster.store.restart(),
        Fault::Calm | Fault::Slow | Fault::Entry => {}
    }
}

fn ask(
    agent: &ureq::Agent,
    url: &str,
    key: &str,
    class: &str,
    arrival: &Arrival,
    due: time::Instant,
) -> Outcome {
    let mut outcome = Outcome::new(arrival.tenant);
    let response = agent
        .post(url)
        .header("authorization", format!("Bearer {key}"))
        .header("x-hornbeampitch-class", class)
        .send(session::completion_body(&arrival.prompt, arrival.max, true));
    let Ok(response) = response else {
        return outcome;
    };
    outcome.status = response.status().as_u16();
    if outcome.status != 200 {
        return outcome;
    }
    let mut reader = io::BufReader::new(response.into_body().into_reader());
    let mut line = String::new();
    let mut text = String::new();
    while reader.read_line(&mut line).is_ok_and(|n| n > 0) {
        if let Some(data) = line.trim().strip_prefix("data: ") {
            let now = time::Instant::now().saturating_duration_since(due);
            if data == "[DONE]" {
                outcome.whole = true;
            } else if let Ok(json) = serde_json::from_str::<serde_json::Value>(data) {
                let token = json["choices"][0]["text"].as_str().unwrap_or_default();
                if !token.is_empty() {
                    text += token;
                    outcome.tokens += 1;
                    outcome.first.get_or_insert(now);
                    outcome.last = now;
                }
            }
        }
        line.clear();
    }
    outcome.wrong = outcome.whole && text != fake::answer_text(&arrival.prompt, arrival.max);
    outcome
}
