//! The cases. Each returns how the rule was broken; an empty text if it held.

use crate::client;
use crate::client::Call;
use crate::client::Outcome;
use crate::record::Record;
use crate::site::FaultRule;
use crate::site::Site;
use crate::worker::Fault;
use crate::worker::body_of;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

pub fn run(case: &str, trouble: bool, record: &Record) -> Result<String, String> {
    match case {
        "unproven" => unproven(trouble, record),
        "rewritten" => rewritten(trouble, record),
        "attempts" => attempts(trouble, record),
        "keep-alive" => keep_alive(trouble, record),
        "bodies" => bodies(trouble, record),
        _ => Err(format!("no case {case}")),
    }
}

/// Lets `per` of 100 answers of the workers in `workers` have a fault, evenly spread.
fn share_of(workers: &'static [&'static str], per: u64, fault: Fault, trouble: bool) -> FaultRule {
    let counts: Arc<Vec<AtomicU64>> = Arc::new(workers.iter().map(|_| AtomicU64::new(0)).collect());
    Arc::new(move |worker, _| {
        let Some(index) = workers
            .iter()
            .position(|w| *w == worker)
            .filter(|_| trouble)
        else {
            return Fault::None;
        };
        let count = counts[index].fetch_add(1, Ordering::Relaxed);
        match (count + 1) * per / 100 > count * per / 100 {
            true => fault,
            false => Fault::None,
        }
    })
}

/// Sends `count` requests, `clients` at a time, `pause` apart at each client.
fn send_all(
    site: &Site,
    clients: usize,
    count: usize,
    pause: Duration,
    record: &Record,
    make: impl Fn(usize) -> Call + Send + Sync,
) -> Vec<(Call, Outcome)> {
    let fronts: Vec<_> = site.entries.iter().map(|e| e.front).collect();
    let next = AtomicU64::new(0);
    let mut outcomes = Vec::new();
    thread::scope(|scope| {
        let (fronts, next, make) = (&fronts, &next, &make);
        let running: Vec<_> = (0..clients)
            .map(|client| {
                scope.spawn(move || {
                    let mut kept = None;
                    let mut ended = Vec::new();
                    loop {
                        let index = next.fetch_add(1, Ordering::Relaxed) as usize;
                        if index >= count {
                            return ended;
                        }
                        let call = make(index);
                        let outcome =
                            client::call(fronts[client % fronts.len()], &mut kept, &call, record);
                        ended.push((call, outcome));
                        thread::sleep(pause);
                    }
                })
            })
            .collect();
        for client in running {
            outcomes.extend(client.join().unwrap_or_default());
        }
    });
    outcomes
}

fn order(index: usize) -> Call {
    Call {
        id: format!("{index:016x}"),
        method: "POST",
        path: "/order/2f".to_owned(),
        deadline_ms: 3_000,
        is_stream: false,
        prompt_tokens: 0,
        body: format!("order {index}"),
    }
}

/// MIXED: a success without the worker's proof, or with a body that is not the worker's.
fn unproven(trouble: bool, record: &Record) -> Result<String, String> {
    let spoilt = share_of(&["host-0", "host-1"], 5, Fault::Spoilt, trouble);
    // These workers say in each answer that they close the channel, also without trouble.
    let rule: FaultRule = Arc::new(move |worker, request| match spoilt(worker, request) {
        Fault::None if ["host-0", "host-1"].contains(&worker) => Fault::Close,
        fault => fault,
    });
    let site = Site::start(&["prefill", "decode"], 4, 1, rule, record)?;
    check_successes(&site, record)
}

/// MIXED: a success with a body that is not the worker's whole body.
fn rewritten(trouble: bool, record: &Record) -> Result<String, String> {
    let rule = share_of(&["host-0", "host-1"], 5, Fault::Rewritten, trouble);
    let site = Site::start(&["prefill", "decode"], 4, 1, rule, record)?;
    check_successes(&site, record)
}

/// Sends work orders, and checks that each success has the worker's proof and its body.
fn check_successes(site: &Site, record: &Record) -> Result<String, String> {
    let outcomes = send_all(site, 6, 300, Duration::from_millis(20), record, order);
    let served = outcomes.iter().filter(|(_, o)| o.status == 200).count();
    if served < 200 {
        return Err(format!(
            "only {served} of {} requests were answered 200",
            outcomes.len()
        ));
    }
    let wrong: Vec<&(Call, Outcome)> = outcomes
        .iter()
        .filter(|(c, o)| {
            (200..300).contains(&o.status)
                && (o.seal.is_empty() || o.body != body_of(&c.id).into_bytes())
        })
        .collect();
    Ok(match wrong.first() {
        None => String::new(),
        Some((call, outcome)) => format!(
            "MIXED: {} successes without the worker's proof and body, the first for {}: {:?}",
            wrong.len(),
            call.id,
            String::from_utf8_lossy(&outcome.body)
        ),
    })
}

/// BUDGET: more than three requests run on more workers than their route's attempts.
fn attempts(trouble: bool, record: &Record) -> Result<String, String> {
    let workers = &["engine-2", "engine-3", "engine-4", "engine-5", "engine-6"];
    let rule = share_of(workers, 40, Fault::Lost(4), trouble);
    let stages = [
        "prefill", "prefill", "decode", "decode", "decode", "decode", "decode", "decode", "decode",
    ];
    let site = Site::start(&stages, 1, 1, rule, record)?;
    let pause = Duration::from_millis(300);
    let make = |index| stream(index, 100);
    let outcomes = send_all(&site, 10, 1_200, pause, record, make);
    let served = outcomes.iter().filter(|(_, o)| o.status == 200).count();
    if served < 200 {
        return Err(format!(
            "only {served} of {} requests were answered 200",
            outcomes.len()
        ));
    }
    let mut runs: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for line in record.lines() {
        let Some(run) = line.split("runs request=").nth(1) else {
            continue;
        };
        let mut words = run.split(' ');
        let id = words.next().unwrap_or_default().to_owned();
        let worker = words.next().unwrap_or_default().to_owned();
        runs.entry(id).or_default().insert(worker);
    }
    let over: Vec<_> = runs
        .iter()
        .filter(|(_, workers)| workers.len() > 2)
        .collect();
    record.line(&format!(
        "{} requests ran on more than 2 workers",
        over.len()
    ));
    Ok(match over.len() > 3 {
        false => String::new(),
        true => format!(
            "BUDGET: {} requests ran on more than 2 workers, the first: {:?}",
            over.len(),
            over[0]
        ),
    })
}

/// LOST: a request of a kept channel is passed on to a sound worker, and the channel is closed
/// without an answer.
fn keep_alive(trouble: bool, record: &Record) -> Result<String, String> {
    let fault = Fault::KeepAlive(i64::MAX as u64);
    let rule = share_of(&["host-0", "host-1"], 100, fault, trouble);
    let site = Site::start(&["prefill", "decode"], 4, 1, rule, record)?;
    let outcomes = send_all(&site, 6, 120, Duration::from_millis(20), record, order);
    let lost = outcomes
        .iter()
        .filter(|(_, o)| o.status == 0 && !o.gave_up)
        .count();
    let served = outcomes.iter().filter(|(_, o)| o.status == 200).count();
    if served + lost < 100 {
        return Err(format!(
            "only {served} of {} requests were answered 200",
            outcomes.len()
        ));
    }
    Ok(match lost > 3 {
        false => String::new(),
        true => format!(
            "LOST: {lost} requests passed on to a worker got no answer, their channel was closed"
        ),
    })
}

/// Memory limit of an edge machine on the sheet, in MB.
const MEMORY_MB: f64 = 110.0;
/// Clients with large bodies at usual times, and with `burst` of 2.2 times as many.
const USUAL_CLIENTS: usize = 10;
const BURST_CLIENTS: usize = 22;
/// Clients with small bodies.
const SMALL_CLIENTS: usize = 12;
/// Size of a large body: `max_body_bytes`.
const LARGE_BODY_BYTES: usize = 4_194_304;

/// LOST: a process that passes its memory limit is killed by the platform, and the requests
/// that it had passed on get no answer.
fn bodies(trouble: bool, record: &Record) -> Result<String, String> {
    let rule: FaultRule = Arc::new(|_, _| Fault::None);
    let mut site = Site::start(&["prefill", "decode"], 4, 1, rule, record)?;
    let mut entry = site.entries.remove(0);
    let front = entry.front;
    let next = AtomicU64::new(0);
    let large = match trouble {
        true => BURST_CLIENTS,
        false => USUAL_CLIENTS,
    };
    let end = Instant::now() + Duration::from_secs(20);
    let (mut peak, mut kills) = (0.0_f64, 0);
    let mut outcomes = Vec::new();
    thread::scope(|scope| -> Result<(), String> {
        let next = &next;
        let running: Vec<_> = (0..SMALL_CLIENTS + large)
            .map(|client| {
                scope.spawn(move || {
                    let (mut kept, mut ended) = (None, Vec::new());
                    while Instant::now() < end {
                        let index = next.fetch_add(1, Ordering::Relaxed) as usize;
                        let mut call = order(index);
                        let is_large = client >= SMALL_CLIENTS;
                        if is_large {
                            call.body = "x".repeat(LARGE_BODY_BYTES);
                        }
                        let is_kept = kept.is_some();
                        let outcome = client::call(front, &mut kept, &call, record);
                        let outcome_status = outcome.status;
                        ended.push((call.id, is_kept, outcome));
                        if !is_large || outcome_status == 0 {
                            thread::sleep(Duration::from_millis(10));
                        }
                    }
                    ended
                })
            })
            .collect();
        while !running.iter().all(|r| r.is_finished()) {
            let memory = entry.memory_mb();
            peak = peak.max(memory);
            if memory > MEMORY_MB {
                // The platform kills a process that passes its limit, and starts it again.
                record.line(&format!("the process has {memory:.1} MB and is killed"));
                kills += 1;
                entry.kill();
                thread::sleep(Duration::from_millis(300));
                entry.start()?;
            }
            thread::sleep(Duration::from_millis(5));
        }
        for client in running {
            outcomes.extend(client.join().unwrap_or_default());
        }
        Ok(())
    })?;
    let served = outcomes.iter().filter(|(_, _, o)| o.status == 200).count();
    record.line(&format!(
        "peak {peak:.1} MB, {kills} kills, {served} of {} answered 200",
        outcomes.len()
    ));
    if served < 50 {
        return Err(format!(
            "only {served} of {} requests were answered 200",
            outcomes.len()
        ));
    }
    let lines = record.lines();
    let ran: BTreeSet<&str> = lines
        .iter()
        .filter_map(|l| l.split("runs request=").nth(1)?.split(' ').next())
        .collect();
    let lost = outcomes
        .iter()
        .filter(|(id, is_kept, o)| {
            *is_kept && o.status == 0 && !o.gave_up && ran.contains(id.as_str())
        })
        .count();
    Ok(match lost > 3 {
        false => String::new(),
        true => format!(
            "LOST: {lost} requests of kept channels were passed on to sound workers and got no answer; \
             the process had up to {peak:.0} MB of {MEMORY_MB} and was killed {kills} times"
        ),
    })
}

fn stream(index: usize, prompt_tokens: u64) -> Call {
    Call {
        id: format!("{index:016x}"),
        method: "POST",
        path: "/culvert/2f".to_owned(),
        deadline_ms: 14_000,
        is_stream: true,
        prompt_tokens,
        body: "a prompt".to_owned(),
    }
}
