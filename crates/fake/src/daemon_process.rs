//! Starts, signals and stops a daemon's process and collects its log.

use crate::receive_queues;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::thread;
use std::time;

/// Time between two checks whether a process has exited.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// A process that can be started several times; all its runs append to one log file.
#[derive(Debug)]
pub struct DaemonProcess {
    log: path::PathBuf,
    child: Option<process::Child>,
}

impl DaemonProcess {
    /// Creates a process that is not started yet and will log to the file `log`.
    pub(crate) fn new(log: path::PathBuf) -> Self {
        Self { log, child: None }
    }

    /// Starts the process with its standard output and error appended to the log file.
    pub(crate) fn spawn(&mut self, mut command: process::Command) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the log file can be opened");
        let child = command
            .stdin(process::Stdio::null())
            .stdout(log.try_clone().expect("the log's descriptor can be cloned"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the daemon's program can be started"));
    }

    /// Sends a signal by its name without `SIG`, such as `TERM`. Returns false if no
    /// process was started or the signal could not be sent.
    pub fn signal(&self, name: &str) -> bool {
        let Some(id) = self.id() else {
            return false;
        };
        let sent = process::Command::new("kill")
            .args(["-s", name, &id.to_string()])
            .status();
        sent.is_ok_and(|status| status.success())
    }

    /// Returns the process id, or none if the process was not started, was killed or
    /// its exit was waited for.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(process::Child::id)
    }

    /// Returns the most memory that the process has used so far, in bytes; none if it isn't
    /// running.
    pub fn peak_memory(&self) -> Option<usize> {
        self.memory("VmHWM:")
    }

    /// Returns the memory that the process uses now and the bytes that it has received and not
    /// read, together; none if it isn't running. `listeners` are the addresses that it listens
    /// on, whose connections may wait to be accepted.
    pub fn held_bytes(&self, listeners: &[net::SocketAddr]) -> Option<usize> {
        let unread = receive_queues::unread_bytes(self.id()?, listeners)?;
        Some(self.memory("VmRSS:")? + unread)
    }

    /// Returns a figure of the process's status in bytes.
    fn memory(&self, name: &str) -> Option<usize> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()?)).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix(name))?;
        let kilobytes: usize = line.trim().strip_suffix(" kB")?.parse().ok()?;
        Some(kilobytes * 1024)
    }

    /// Returns the number of file descriptors that the process has open; none if it isn't
    /// running.
    pub fn open_descriptors(&self) -> Option<usize> {
        let folder = fs::read_dir(format!("/proc/{}/fd", self.id()?)).ok()?;
        Some(folder.count())
    }

    /// Returns whether the process was started and has not ended.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits at most `limit` for the process to exit without being killed. Returns its
    /// exit code, or none if it is still running or was ended by a signal.
    pub fn wait_for_exit(&mut self, limit: time::Duration) -> Option<i32> {
        let end = time::Instant::now() + limit;
        let child = self.child.as_mut()?;
        while time::Instant::now() < end {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return status.code();
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Returns the log of all runs so far. A daemon writes its log only a few times a
    /// second, so the last lines may be missing.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
