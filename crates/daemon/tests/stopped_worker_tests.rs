//! Tests that a request is served although the process of its worker is stopped for a while.
//!
//! The kernel goes on for a stopped process: it accepts connections, acknowledges bytes and
//! answers keepalive probes as long as its buffers have room.

use fake::tracks::CallEnd;
use fake::tracks::CallRecord;
use fake::tracks::CallerRequest;
use fake::tracks::KeptCaller;
use fake::tracks::SilentSite;
use fake::tracks::SilentWorker;
use fake::tracks::body_bytes;
use fake::tracks::names;
use std::env;
use std::io;
use std::io::BufRead;
use std::path;
use std::process;
use std::sync;
use std::thread;
use std::time;
use yare::parameterized;

/// Id of the worker.
const WORKER_ID: &str = "stopped-0";
/// Environment variable with the stage of the worker; empty for a plain service.
const STAGE_VARIABLE: &str = "WORKER_STAGE";
/// How long the process is stopped, as long as a sound worker may be silent.
const STOP_TIME: time::Duration = time::Duration::from_millis(2_500);
/// Longest wait of a caller; above the time limit of its request.
const PATIENCE: time::Duration = time::Duration::from_secs(12);

/// A worker in a process of its own, which ends with it.
struct WorkerProcess {
    child: process::Child,
    /// The worker's record for the platform's list.
    record: String,
}

impl WorkerProcess {
    /// Runs [`worker_process`] in a process.
    fn start(stage: &str) -> Self {
        let program = env::current_exe().expect("the test has a program");
        let mut child = process::Command::new(program)
            .args(["--exact", "worker_process", "--ignored", "--nocapture"])
            .env(STAGE_VARIABLE, stage)
            .stdout(process::Stdio::piped())
            .spawn()
            .expect("the test's program can be started");
        let output = child.stdout.take().expect("the output is piped");
        let mut lines = io::BufReader::new(output).lines().map_while(Result::ok);
        let record = lines.find(|l| l.starts_with('{'));
        Self {
            child,
            record: record.expect("the worker prints its record"),
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = process::Command::new("kill")
            .args(["-s", name, &id])
            .status();
        assert!(sent.is_ok_and(|s| s.success()));
    }
}

impl Drop for WorkerProcess {
    fn drop(&mut self) {
        // It may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Is the worker's process; the tests start it and kill it.
#[test]
#[ignore = "the other tests run it as a process"]
fn worker_process() {
    let Ok(stage) = env::var(STAGE_VARIABLE) else {
        return;
    };
    let (service, stage) = match stage.is_empty() {
        true => ("app", None),
        false => ("llm", Some("decode")),
    };
    let worker = SilentWorker::start(WORKER_ID, service, stage, &sync::Arc::default());
    println!("\n{}", worker.member_record("ready"));
    loop {
        thread::park();
    }
}

/// Starts an entry with this worker alone.
fn start_site(worker: &WorkerProcess) -> SilentSite {
    let mut site = SilentSite::prepare(path::Path::new(env!("CARGO_BIN_EXE_hornbeampitchd")), 1);
    let key = names::member_key(WORKER_ID);
    site.cluster.store.put(&key, worker.record.as_bytes());
    site.cluster.start();
    site
}

fn call(site: &SilentSite, path: &str, body: &str) -> CallRecord {
    let address = site.cluster.entries[0].caller_address;
    let mut caller = KeptCaller::connect(address).expect("the entry listens");
    let request = CallerRequest {
        method: "POST",
        path: path.to_owned(),
        id: "0000000000000001".to_owned(),
        patience: PATIENCE,
    };
    caller.call_with_body(&request, body)
}

/// A stop in the middle of a stream delays it.
#[parameterized(
    once = { "once" },
    resumable = { "resumable" },
)]
fn stream_goes_on_after_its_worker_was_stopped(route: &str) {
    let worker = WorkerProcess::start("decode");
    let site = start_site(&worker);
    let record = thread::scope(|scope| {
        let caller = scope.spawn(|| call(&site, &format!("/{route}/events-30-50"), "a prompt"));
        thread::sleep(time::Duration::from_millis(700));
        worker.signal("STOP");
        thread::sleep(STOP_TIME);
        worker.signal("CONT");
        caller.join().expect("the caller does not panic")
    });
    let log = site.log_of_request("0000000000000001");
    assert_eq!((record.end, record.status), (CallEnd::Whole, 200), "{log}");
    assert_eq!(record.body.matches("data:").count(), 30);
}

/// A stop before a call arrives delays its answer, also if the call's body fills the
/// buffers of the worker.
#[parameterized(
    short = { 100 },
    buffered = { 32_000 },
    long = { 90_000 },
)]
fn call_is_answered_after_its_worker_was_stopped(body_length: usize) {
    let worker = WorkerProcess::start("");
    let site = start_site(&worker);
    worker.signal("STOP");
    let record = thread::scope(|scope| {
        let body = body_bytes(body_length);
        let site = &site;
        let caller = scope.spawn(move || call(site, "/order/length-100", &body));
        thread::sleep(STOP_TIME);
        worker.signal("CONT");
        caller.join().expect("the caller does not panic")
    });
    let log = site.log_of_request("0000000000000001");
    assert_eq!((record.end, record.status), (CallEnd::Whole, 200), "{log}");
}
