//! Sends the requests of a plan to a site and records what their callers receive.

use crate::DAEMON;
use crate::cost;
use crate::options::Fault;
use crate::options::Options;
use crate::plan::Arrival;
use crate::plan::Plan;
use crate::report::RequestOutcome;
use crate::report::RunResults;
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

/// The wait before a run, in which the allowances fill. They are empty when a site starts and full on
/// one that has been up for a while.
const ALLOWANCE_FILL_TIME: time::Duration = time::Duration::from_millis(4_000);
/// Each organisation's burst, in seconds of its rate.
const BURST_SECONDS: f64 = 4.0;
/// The timeout of each request, and so the longest that a run continues after its last arrival.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(40);
/// The stack size of a request's thread. It is small, as each open request has a thread.
const STACK_BYTES: usize = 256 * 1024;

/// Starts a site, runs the plan on it and returns the measured results.
pub fn run(spec: ClusterSpec, options: &Options, plan: &Plan) -> RunResults {
    let program = env::current_exe().expect("a running program has a path");
    let site = TestSite::start_unconfigured(spec.clone(), &program, &[DAEMON]);
    vary_engine_speeds(&site);
    fs::write(&site.documents_path, configuration(&spec, plan)).expect("the folder is writable");
    let (code, out) = site.run_client(&["apply", &site.documents_path]);
    assert_eq!(code, 0, "{out}");
    site.wait_ready();
    let keys: Vec<String> = plan
        .organisations
        .iter()
        .map(|t| site.issue_key(t.name).1)
        .collect();
    thread::sleep(ALLOWANCE_FILL_TIME);
    let before = cost::Usage::of_site(&site);
    let outcomes = send_requests(&site, options, plan, &keys);
    if options.cost {
        let usage = cost::Usage::of_site(&site).since(&before);
        print!("{usage}");
    }
    site.wait_idle();
    RunResults::from_outcomes(&site, plan, options.seconds, &outcomes)
}

/// Spreads the speeds of each pool's engines from 0.7 to 1.3 of the mean, as the engines of the users
/// were bought over years and differ.
fn vary_engine_speeds(site: &TestSite) {
    for pool in [&site.cluster.prefill_engines, &site.cluster.decode_engines] {
        for (i, engine) in pool.iter().enumerate() {
            let position = i as f64 / (pool.len() - 1).max(1) as f64;
            engine.slow_down(1.0 / (0.7 + 0.6 * position));
        }
    }
}

/// Returns the configuration of a run in YAML: both classes, the organisations of the plan and the
/// model.
fn configuration(spec: &ClusterSpec, plan: &Plan) -> String {
    let mut text = String::from("classes:\n");
    for class in [crate::plan::URGENT, crate::plan::REPORT] {
        text += &format!(
            "  - name: {}\n    first_ms: {}\n    token_ms: {}\n    waits: {}\n",
            class.name,
            class.first_token_ms,
            class.token_gap_ms,
            class.name == "report"
        );
    }
    text += "organisations:\n";
    for organisation in &plan.organisations {
        // The rate is 1.5 times the organisation's planned load, so that random peaks stay within it.
        let rate = plan.token_rate * organisation.load_fraction * 1.5;
        text += &format!(
            "  - name: {}\n    rate: {}\n    burst: {}\n",
            organisation.name,
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

/// Sends each request at its time from a thread of its own and returns all outcomes.
fn send_requests(
    site: &TestSite,
    options: &Options,
    plan: &Plan,
    keys: &[String],
) -> Vec<RequestOutcome> {
    let (sender, outcomes) = mpsc::channel();
    let client = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(REQUEST_TIMEOUT))
        .max_idle_connections(0)
        .build()
        .new_agent();
    let client = sync::Arc::new(client);
    let started = time::Instant::now();
    thread::scope(|scope| {
        scope.spawn(|| inject_fault(site, options));
        if plan.arrivals.is_empty() {
            thread::sleep(time::Duration::from_secs(options.seconds));
        }
        for arrival in &plan.arrivals {
            thread::sleep(arrival.offset.saturating_sub(started.elapsed()));
            let organisation = &plan.organisations[arrival.organisation];
            let url = site.url(arrival.entry, "/v1/completions");
            let (client, sender, key) =
                (client.clone(), sender.clone(), &keys[arrival.organisation]);
            let due = started + arrival.offset;
            let spawned =
                thread::Builder::new()
                    .stack_size(STACK_BYTES)
                    .spawn_scoped(scope, move || {
                        let class = organisation.class.name;
                        let outcome = send_request(&client, &url, key, class, arrival, due);
                        let _ = sender.send(outcome);
                    });
            spawned.expect("the system has enough threads for the run");
        }
    });
    drop(sender);
    outcomes.into_iter().collect()
}

/// Injects the run's fault after a quarter of the run. Halfway through the run, it restarts a killed
/// engine or store and lets stalled transfers continue; slow engines and a killed entry stay so.
fn inject_fault(site: &TestSite, options: &Options) {
    let quarter = time::Duration::from_secs(options.seconds) / 4;
    thread::sleep(quarter);
    let cluster = &site.cluster;
    match options.fault {
        Fault::None => {}
        Fault::Engine => cluster.decode_engines[0].kill(),
        Fault::Transfer => cluster.prefill_engines[0].set_exports_stalled(true),
        Fault::Slow => {
            cluster.decode_engines[1].slow_down(3.0);
            cluster.prefill_engines[1].slow_down(3.0);
        }
        Fault::Store => cluster.store.kill(),
        Fault::Entry => {
            // The result does not matter: a daemon that has already exited needs no signal.
            cluster.signal("entry-2", "KILL");
        }
    }
    thread::sleep(quarter);
    match options.fault {
        Fault::Engine => cluster.decode_engines[0].restart(),
        Fault::Transfer => cluster.prefill_engines[0].set_exports_stalled(false),
        Fault::Store => cluster.store.restart(),
        Fault::None | Fault::Slow | Fault::Entry => {}
    }
}

/// Sends one request and reads its stream. The times of the outcome count from `due`, when the request
/// was to be sent.
fn send_request(
    client: &ureq::Agent,
    url: &str,
    key: &str,
    class: &str,
    arrival: &Arrival,
    due: time::Instant,
) -> RequestOutcome {
    let mut outcome = RequestOutcome::new(arrival.organisation);
    let response = client
        .post(url)
        .header("authorization", format!("Bearer {key}"))
        .header("x-hornbeampitch-class", class)
        .send(session::completion_body(
            &arrival.prompt,
            arrival.max_tokens,
            true,
        ));
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
                outcome.finished = true;
            } else if let Ok(json) = serde_json::from_str::<serde_json::Value>(data) {
                let token = json["choices"][0]["text"].as_str().unwrap_or_default();
                if !token.is_empty() {
                    text += token;
                    outcome.tokens += 1;
                    outcome.first_token.get_or_insert(now);
                    outcome.last_token = now;
                }
            }
        }
        line.clear();
    }
    outcome.wrong_text =
        outcome.finished && text != fake::answer_text(&arrival.prompt, arrival.max_tokens);
    outcome
}
