//! Calls to plain services.

use crate::admit;
use crate::admit::Job;
use crate::body::Body;
use crate::body::Piece;
use crate::entry::Entry;
use crate::guards::InHand;
use crate::measure;
use http::StatusCode;
use seam::ByteStream;
use seam::Upstreams;
use std::cell;
use std::collections;
use std::rc;
use std::time;
use world::Name;

/// Bodies up to this size are read whole before the answer's head is sent, so
/// that one that breaks off can still become another answer.
const WHOLE_BYTES: usize = 64 * 1024;
/// When to come back where no host of a service could take a call.
const FULL_PAUSE: time::Duration = time::Duration::from_millis(150);
/// How many targets an idempotent call waits for its first host's answer.
const TRY_TARGETS: u32 = 2;

/// The hosts of all plain services.
#[derive(Debug, Default)]
pub(crate) struct Plains {
    services: cell::RefCell<collections::BTreeMap<Name, rc::Rc<Plain>>>,
}

/// The hosts of one plain service.
#[derive(Debug, Default)]
pub(crate) struct Plain {
    pub(crate) hosts: cell::RefCell<pool::HostBalancer>,
}

/// A call counted at a host.
struct Counted {
    plain: rc::Rc<Plain>,
    host: Name,
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.plain.hosts.borrow_mut().end_call(&self.host);
    }
}

impl Plains {
    /// Takes the hosts of a service as they are now.
    pub(crate) fn update(&self, service: &Name, roster: &pool::HostList) {
        let mut services = self.services.borrow_mut();
        let plain = services.entry(service.clone()).or_default();
        plain.hosts.borrow_mut().set_hosts(roster.ready(service));
    }

    /// Finds a service.
    pub(crate) fn get(&self, service: &str) -> Option<rc::Rc<Plain>> {
        self.services.borrow().get(service).cloned()
    }

    /// All services, by name.
    pub(crate) fn all(&self) -> Vec<(Name, rc::Rc<Plain>)> {
        let services = self.services.borrow();
        services
            .iter()
            .map(|(n, p)| (n.clone(), p.clone()))
            .collect()
    }
}

/// How one try ended.
enum Tried<S> {
    /// The host's answer, with its bytes where they were read whole.
    Answered(seam::Response<S>, Option<bytes::Bytes>),
    /// The host says that it has not run the call, or was not reached.
    Unrun(&'static str),
    /// The call may have run.
    Unknown(&'static str),
}

/// Serves a call to a plain service.
pub(crate) async fn serve<P: seam::Platform>(
    entry: rc::Rc<Entry<P>>,
    job: Job,
    in_hand: InHand<P>,
) -> hyper::Response<Body> {
    let Some(plain) = entry.plains.get(&job.service) else {
        let reply = job.reply(StatusCode::SERVICE_UNAVAILABLE, None, "no_service");
        return refuse(&entry, &job, &reply);
    };
    let repeatable = job.route.retry.is_repeatable();
    let mut tried: Vec<Name> = Vec::new();
    let mut may_have_run = false;
    let mut sent = 0;
    loop {
        if job.left().is_zero() {
            return late(&entry, &job, may_have_run);
        }
        let now = time::Instant::now();
        let picked = plain.hosts.borrow().pick(&entry.settings.zone, &tried, now);
        let target = picked.and_then(|id| entry.target(&id));
        let Some(target) = target else {
            return nowhere(&entry, &job, may_have_run);
        };
        if sent > 0 {
            let entries = entry.entries();
            let granted = entry
                .retries
                .borrow_mut()
                .try_take(&job.service, entries, now);
            if !granted {
                return nowhere(&entry, &job, may_have_run);
            }
        }
        tried.push(target.id.clone());
        let last = !repeatable || sent + 1 >= job.route.max_attempts;
        let outcome = attempt(&entry, &plain, &job, &target, last).await;
        let word = match &outcome {
            Tried::Answered(answer, _) => answer.status.as_u16().to_string(),
            Tried::Unrun(why) | Tried::Unknown(why) => (*why).to_owned(),
        };
        job.line("call")
            .with("upstream", &target.id)
            .with("outcome", &word)
            .with("try", tried.len())
            .info();
        match outcome {
            Tried::Answered(answer, body) => {
                let failed = answer.status.is_server_error();
                if failed && !last && tried.len() < 3 {
                    sent += 1;
                    may_have_run = true;
                    if retry_possible(&entry, &plain, &job, &tried) {
                        continue;
                    }
                }
                metrics::histogram!("answer_seconds", "kind" => "plain")
                    .record(job.arrived.elapsed().as_secs_f64());
                return pass_on(answer, body, in_hand, job);
            }
            Tried::Unrun("unconnected") => {}
            Tried::Unrun(_) => sent += 1,
            Tried::Unknown(_) => {
                sent += 1;
                may_have_run = true;
                if last || entry.crashes.borrow().is_quarantined(job.digest) {
                    return late(&entry, &job, true);
                }
            }
        }
    }
}

fn retry_possible<P: seam::Platform>(
    entry: &Entry<P>,
    plain: &Plain,
    job: &Job,
    tried: &[Name],
) -> bool {
    let now = time::Instant::now();
    let other = plain.hosts.borrow().pick(&entry.settings.zone, tried, now);
    other.is_some() && job.left() > job.route.latency_target / 4
}

async fn attempt<P: seam::Platform>(
    entry: &rc::Rc<Entry<P>>,
    plain: &rc::Rc<Plain>,
    job: &Job,
    target: &seam::Target,
    last: bool,
) -> Tried<<P::Upstreams as Upstreams>::Body> {
    plain.hosts.borrow_mut().start_call(&target.id);
    let _counted = Counted {
        plain: plain.clone(),
        host: target.id.clone(),
    };
    let by = match last {
        true => job.deadline,
        false => {
            let patience = job.route.latency_target * TRY_TARGETS;
            job.deadline.min(time::Instant::now() + patience)
        }
    };
    let begin = seam::SendOptions {
        tenant: job.tenant.clone(),
        timeout: Some(job.left()),
        ..seam::SendOptions::default()
    };
    let answered = entry.upstreams.send(target, &job.call, &begin, by).await;
    let now = time::Instant::now();
    let mut answer = match answered {
        Ok(answer) => answer,
        Err(fault) => {
            plain.hosts.borrow_mut().record_failure(&target.id, now);
            if fault.cause == seam::FailureCause::ConnectionLost {
                entry.suspect(job.digest, target);
            }
            return match (fault.may_have_run, fault.cause) {
                (false, _) => Tried::Unrun("unconnected"),
                (true, seam::FailureCause::TimedOut) => Tried::Unknown("late"),
                (true, seam::FailureCause::WrongRequest) => Tried::Unknown("crossed"),
                (true, _) => Tried::Unknown("broken"),
            };
        }
    };
    if answer.not_executed {
        plain.hosts.borrow_mut().record_refusal(&target.id, now);
        return Tried::Unrun("refused");
    }
    let failed = answer.status.is_server_error();
    plain.hosts.borrow_mut().record_answer(&target.id, failed);
    if promises(answer.status) {
        // Without the host's word that it hasn't run, such a status would
        // promise more than is known.
        return Tried::Unknown("unsure");
    }
    let small = answer
        .body
        .content_length()
        .is_none_or(|l| l <= WHOLE_BYTES as u64);
    if !small {
        return Tried::Answered(answer, None);
    }
    match read_whole(&mut answer.body, by).await {
        Some(bytes) => {
            entry.crashes.borrow_mut().clear_suspect(job.digest);
            Tried::Answered(answer, Some(bytes))
        }
        None => {
            plain.hosts.borrow_mut().record_failure(&target.id, now);
            Tried::Unknown("torn")
        }
    }
}

/// Tells whether a status says that a request has not run.
pub(crate) fn promises(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

async fn read_whole(stream: &mut impl ByteStream, by: time::Instant) -> Option<bytes::Bytes> {
    let mut all = bytes::BytesMut::new();
    loop {
        let piece = tokio::time::timeout_at(by.into(), stream.next_chunk())
            .await
            .ok()?;
        match piece {
            None => return Some(all.freeze()),
            Some(Ok(bytes)) => all.extend_from_slice(&bytes),
            Some(Err(_)) => return None,
        }
    }
}

fn pass_on<P: seam::Platform, S: ByteStream + 'static>(
    answer: seam::Response<S>,
    body: Option<bytes::Bytes>,
    in_hand: InHand<P>,
    job: Job,
) -> hyper::Response<Body> {
    let body = match body {
        Some(bytes) => Body::from(bytes),
        None => {
            let (feed, body) = Body::fed(answer.body.content_length());
            let mut stream = answer.body;
            tokio::task::spawn_local(async move {
                let _in_hand = in_hand;
                loop {
                    let next = tokio::time::timeout_at(job.deadline.into(), stream.next_chunk());
                    let piece = match next.await {
                        Ok(Some(Ok(bytes))) => Piece::Data(bytes),
                        Ok(None) => Piece::End,
                        // The feed ends early, which breaks the answer off.
                        Ok(Some(Err(_))) | Err(_) => return,
                    };
                    let ended = matches!(piece, Piece::End);
                    if feed.send(piece).await.is_err() || ended {
                        return;
                    }
                }
            });
            body
        }
    };
    let mut response = hyper::Response::new(body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}

fn nowhere<P: seam::Platform>(
    entry: &Entry<P>,
    job: &Job,
    may_have_run: bool,
) -> hyper::Response<Body> {
    let reply = match may_have_run {
        true => job.reply(StatusCode::BAD_GATEWAY, None, "outcome_unknown"),
        false => job.reply(StatusCode::SERVICE_UNAVAILABLE, Some(FULL_PAUSE), "no_host"),
    };
    refuse(entry, job, &reply)
}

fn late<P: seam::Platform>(
    entry: &Entry<P>,
    job: &Job,
    may_have_run: bool,
) -> hyper::Response<Body> {
    let status = match may_have_run {
        true => StatusCode::GATEWAY_TIMEOUT,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    let reply = job.reply(status, None, "timeout");
    refuse(entry, job, &reply)
}

/// Logs and makes an answer of the entry's own.
pub(crate) fn refuse<P: seam::Platform>(
    entry: &Entry<P>,
    job: &Job,
    reply: &seam::Reply,
) -> hyper::Response<Body> {
    job.line("refused")
        .with("status", reply.status.as_u16())
        .with("reason", reply.reason)
        .with("again_ms", reply.retry_after.map_or(0, measure::millis))
        .with("list", entry.roster.borrow().revision())
        .info();
    metrics::counter!("refused", "reason" => reply.reason).increment(1);
    admit::own::<P>(reply)
}
