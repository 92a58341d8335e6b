//! The project's program as an entry, as the deploy file runs it.

use crate::record::Record;
use std::env;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    folder: PathBuf,
    record: Record,
    child: Option<process::Child>,
}

/// Has the kernel end a process with the thread that started it, so that none is left when
/// this process is ended.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, signal: u64) -> i32;
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("it has an address")
}

impl Entry {
    /// Writes the settings of an entry, with the bounds of a small deployment.
    pub fn prepare(
        name: &str,
        folder: &Path,
        store: SocketAddr,
        bounds: &str,
        record: &Record,
    ) -> Self {
        let (front, ready, control) = (free_address(), free_address(), free_address());
        let port = free_address().port();
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            r#"node = "{name}"
role = "entry"
class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "ruahine"
region = "nz-central"
port_range = [{port}, {port}]
seeds = ["{control}"]
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","tenants","quota","platform"]
[zones]
ruahine = "nz-central"
[listen]
front = "{front}"
ready = "{ready}"
[limits]
cpu_share = 0.19
cores = 1
memory_mb = 110
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
{bounds}
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
        );
        fs::write(&settings, text).expect("the folder is writable");
        Self {
            name: name.to_owned(),
            front,
            ready,
            settings,
            folder: folder.to_owned(),
            record: record.clone(),
            child: None,
        }
    }

    /// Starts the program and waits until it says that it is ready. Fails after 20 s.
    pub fn start(&mut self) -> Result<(), String> {
        let path = self.folder.join(format!("{}.log", self.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(path);
        let log = log.map_err(|e| e.to_string())?;
        let program = env::var("ENTRY_PROGRAM").map_err(|e| e.to_string())?;
        let mut command = process::Command::new(program);
        // SAFETY: the call changes only the new process, and allocates nothing.
        unsafe {
            command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
                0 => Ok(()),
                _ => Err(io::Error::last_os_error()),
            });
        }
        let child = command
            .arg("platform")
            .env("HORNBEAMPITCH_BOOT", &self.settings)
            .stdin(process::Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn();
        let child = child.map_err(|e| e.to_string())?;
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        self.record
            .line(&format!("entry started name={}", self.name));
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if self.is_ready() {
                self.record.line(&format!("entry ready name={}", self.name));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(format!("{} did not get ready", self.name))
    }

    fn is_ready(&self) -> bool {
        use std::io::Write;
        let Ok(stream) = std::net::TcpStream::connect(self.ready) else {
            return false;
        };
        let mut connection = crate::http::Connection::new(stream);
        let call = "GET /hornbeampitch/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        let sent = connection.stream.write_all(call.as_bytes());
        sent.is_ok()
            && connection
                .read_head()
                .is_ok_and(|h| h.is_some_and(|h| h.status() == 200))
    }

    /// Returns the process id while the process runs.
    pub fn pid(&mut self) -> Option<u32> {
        let child = self.child.as_mut()?;
        match child.try_wait() {
            Ok(None) => Some(child.id()),
            _ => None,
        }
    }

    /// Returns the memory of the process in MB.
    pub fn memory_mb(&mut self) -> f64 {
        let Some(pid) = self.pid() else {
            return 0.0;
        };
        let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kb = line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok());
        kb.unwrap_or(0.0) / 1024.0
    }

    /// Returns the processor time that the process has used, in seconds.
    pub fn cpu_seconds(&mut self) -> f64 {
        let Some(pid) = self.pid() else {
            return 0.0;
        };
        let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        let rest = text.rsplit(')').next().unwrap_or_default().to_owned();
        let fields: Vec<f64> = rest
            .split_whitespace()
            .map(|f| f.parse().unwrap_or(0.0))
            .collect();
        (fields.get(11).unwrap_or(&0.0) + fields.get(12).unwrap_or(&0.0)) / 100.0
    }

    pub fn signal(&mut self, name: &str) {
        if let Some(pid) = self.pid() {
            self.record
                .line(&format!("signal {name} entry={}", self.name));
            let _ = process::Command::new("kill")
                .args(["-s", name, &pid.to_string()])
                .status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
        }
    }
}

/// Processes that were started and not ended yet.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all entries and this process if a case takes too long.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for id in RUNNING.lock().unwrap().iter() {
            let _ = process::Command::new("kill")
                .args(["-s", "KILL", &id.to_string()])
                .status();
        }
        println!("the case could not run: it took too long");
        process::exit(2);
    });
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
