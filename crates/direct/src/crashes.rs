//! Detects crashes of upstream hosts, and keeps the requests that cause them away from
//! the other hosts.

use crate::admit::Job;
use crate::entry::Entry;
use crate::meters;
use crate::telemetry;
use crate::verdict_store;
use seam::Upstreams;
use std::rc;
use std::time;
use tokio::task;
use world::Name;

/// Time between a lost connection and the check whether its host still responds.
const CHECK_DELAY: time::Duration = time::Duration::from_millis(20);
/// Time between two checks of a silent host.
const RECHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Number of checks of a silent host, after which nothing is known of it.
const MAX_CHECKS: u32 = 8;
/// How long a request that may have crashed a host waits for the check before it is
/// started again.
pub(crate) const MAX_CHECK_WAIT: time::Duration = time::Duration::from_millis(100);

impl<P: seam::Platform> Entry<P> {
    /// Checks after a lost connection whether the host has crashed, and if so records
    /// that against the request. The task ends when that is known.
    pub(crate) fn check_for_crash(
        self: &rc::Rc<Self>,
        job: &Job,
        target: &seam::Target,
        progress: pool::Progress,
        is_trial: bool,
    ) -> task::JoinHandle<()> {
        let (entry, target) = (self.clone(), target.clone());
        let (elements, request) = (job.elements.clone(), job.request.id.clone());
        let started_ms = self.started_ms(&target.id);
        task::spawn_local(async move {
            let lost_at = time::Instant::now();
            if !entry.has_crashed(&target).await {
                return;
            }
            let id = pool::CrashId {
                host: target.id,
                started_ms,
            };
            trace::LogLine::new("crash_run")
                .with("request", &request)
                .with("upstream", &id.host)
                .with("progress", format!("{progress:?}"))
                .with("trial", is_trial)
                .with("holds", label(&elements))
                .info();
            let run = pool::CrashedRun {
                elements: (*elements).clone(),
                progress,
                is_trial,
            };
            let host = id.host.clone();
            let is_new = entry.change_quarantine(|q| q.record_own(id, run, lost_at));
            if is_new {
                log_crash(&host, &entry.settings.host, lost_at.elapsed());
            }
            // Peers may be about to run the same.
            entry.gossip_due.notify_one();
        })
    }

    /// Records the crashes, verdicts and answers that a peer reports.
    pub(crate) fn apply_crash_update(&self, update: &CrashUpdate, peer: &str, now: time::Instant) {
        if update.is_empty() {
            return;
        }
        let crashed = self.change_quarantine(|quarantine| {
            for (element, age_ms) in &update.answered {
                let age = time::Duration::from_millis(*age_ms);
                if let Some(at) = now.checked_sub(age) {
                    let element = pool::ElementSet::from([element.clone()]);
                    quarantine.record_answer(&element, at);
                }
            }
            for verdict in &update.verdicts {
                quarantine.record_verdict(verdict, now);
            }
            let mut crashes = update.crashes.clone();
            crashes.retain(|c| quarantine.record_report(c.clone(), now));
            crashes
        });
        for crash in crashed {
            let age = time::Duration::from_millis(crash.age_ms);
            log_crash(&crash.id.host, peer, age);
        }
    }

    /// Returns what to tell the peers of crashes; with `full` it includes all verdicts,
    /// and otherwise only new ones.
    pub(crate) fn crash_update(&self, full: bool, now: time::Instant) -> CrashUpdate {
        let quarantine = self.quarantine.borrow();
        let verdicts = quarantine.verdicts(now).map(|v| v.report(now));
        CrashUpdate {
            crashes: quarantine.own_reports(now),
            verdicts: verdicts
                .filter(|v| full || v.age_ms < NEW_VERDICT_MS)
                .collect(),
            answered: quarantine.answered(now),
        }
    }

    /// Records that a request was answered.
    pub(crate) fn record_answer(&self, elements: &pool::ElementSet) {
        let now = time::Instant::now();
        self.change_quarantine(|q| q.record_answer(elements, now));
    }

    /// Returns whether a job holds what crashes engines and must run no more.
    pub(crate) fn is_condemned(&self, job: &Job) -> bool {
        let now = time::Instant::now();
        let standing = self.quarantine.borrow().standing(&job.elements, now);
        standing == pool::Standing::Condemned && !job.is_test
    }

    /// Returns once a job is condemned.
    pub(crate) async fn wait_for_verdict(&self, job: &Job) {
        loop {
            let changed = self.verdicts_changed.notified();
            if self.is_condemned(job) {
                return;
            }
            changed.await;
        }
    }

    /// Changes the quarantine, and logs and counts the verdicts that this adds or lifts.
    pub(crate) fn change_quarantine<R>(
        &self,
        change: impl FnOnce(&mut pool::CrashQuarantine) -> R,
    ) -> R {
        let now = time::Instant::now();
        let mut quarantine = self.quarantine.borrow_mut();
        let result = change(&mut quarantine);
        let changes = quarantine.take_changes();
        let in_force = quarantine.verdicts(now).count();
        drop(quarantine);
        if changes.added.is_empty() && changes.lifted.is_empty() {
            return result;
        }
        for verdict in &changes.added {
            log_verdict("condemned", verdict, now);
        }
        for verdict in &changes.lifted {
            log_verdict("condemned_lifted", verdict, now);
        }
        let meters = meters::meters();
        let (added, lifted) = (changes.added.len() as u64, changes.lifted.len() as u64);
        meters.verdicts.add("condemned", added);
        meters.verdicts.add("lifted", lifted);
        meters.active_verdicts.set(in_force as f64);
        let stored = changes.lifted.iter().filter_map(|v| Some((v, v.revision?)));
        let keys = stored.map(|(v, revision)| (verdict_store::key_of(v), revision));
        self.outdated_keys.borrow_mut().extend(keys);
        self.verdicts_changed.notify_waiters();
        result
    }

    /// Returns whether a host has ended. While it is silent, its place in the membership
    /// list decides.
    async fn has_crashed(&self, target: &seam::Target) -> bool {
        tokio::time::sleep(CHECK_DELAY).await;
        for _ in 0..MAX_CHECKS {
            match self.upstreams.check_host(target).await {
                seam::HostState::Responding => return false,
                seam::HostState::Ended => return true,
                seam::HostState::Silent if self.target(&target.id).is_none() => return true,
                seam::HostState::Silent => tokio::time::sleep(RECHECK_INTERVAL).await,
            }
        }
        trace::LogLine::new("crash_unknown")
            .with("upstream", &target.id)
            .with("checks", MAX_CHECKS)
            .info();
        false
    }

    fn started_ms(&self, id: &str) -> u64 {
        self.host_list.borrow().get(id).map_or(0, |m| m.started_ms)
    }
}

/// Age up to which a verdict is told in every message.
const NEW_VERDICT_MS: u64 = 10_000;

/// What an entry tells its peers of crashes.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub(crate) struct CrashUpdate {
    /// Recent crashes that the entry saw.
    crashes: Vec<pool::CrashReport>,
    /// Verdicts in force.
    verdicts: Vec<pool::VerdictReport>,
    /// Elements at crashes that the entry has seen answered, with the milliseconds since.
    answered: Vec<(pool::Element, u64)>,
}

impl CrashUpdate {
    /// Returns whether there is nothing to tell.
    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.verdicts.is_empty() && self.answered.is_empty()
    }
}

/// Returns what a request holds that may crash engines: the shared parts of its prompt,
/// and itself as a whole.
pub(crate) fn crashable_elements(
    request: &seam::Request,
    digest: route::Digest,
) -> pool::ElementSet {
    let parts = request.prompt_parts.iter().cloned();
    let whole = pool::Element::Request(Name::from(digest.to_string()));
    parts.map(pool::Element::Part).chain([whole]).collect()
}

/// Fails if a request is condemned, and logs why. Returns whether it may run only to test
/// the verdict; of all entries, the first one tests.
pub(crate) fn check_quarantine<P: seam::Platform>(
    entry: &Entry<P>,
    elements: &pool::ElementSet,
    id: &str,
    now: time::Instant,
) -> Result<bool, ()> {
    let mut quarantine = entry.quarantine.borrow_mut();
    let Some(verdict) = quarantine.verdict_on(elements, now) else {
        return Ok(false);
    };
    let age = now.saturating_duration_since(verdict.last_crash);
    let line = trace::LogLine::new("quarantine")
        .with("request", id)
        .with("holds", verdict.label())
        .with("crashes", verdict.crashes.len())
        .with("hosts", verdict.hosts())
        .with("last_crash_ms", telemetry::millis(age));
    let is_test = entry.position().0 == 0 && quarantine.start_test(elements, now);
    line.with("test", is_test).info();
    is_test.then_some(true).ok_or(())
}

/// Returns what a request holds as it is written in logs.
fn label(elements: &pool::ElementSet) -> String {
    let labels: Vec<String> = elements.iter().map(ToString::to_string).collect();
    labels.join("+")
}

fn log_crash(host: &str, from: &str, age: time::Duration) {
    meters::meters().crashes.increment(1);
    trace::LogLine::new("crash")
        .with("upstream", host)
        .with("from", from)
        .with("crash_age_ms", telemetry::millis(age))
        .info();
}

/// Logs a verdict with the crashes that led to it.
fn log_verdict(event: &str, verdict: &pool::Verdict, now: time::Instant) {
    let age = now.saturating_duration_since(verdict.last_crash);
    trace::LogLine::new(event)
        .with("holds", verdict.label())
        .with("crashes", verdict.crashes.len())
        .with("hosts", verdict.hosts())
        .with("last_crash_ms", telemetry::millis(age))
        .with("stored", verdict.revision.unwrap_or_default())
        .warn();
}
