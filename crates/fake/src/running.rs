//! A daemon's process and its log.

use std::fs;
use std::path;
use std::process;
use std::thread;
use std::time;

/// Time between two looks at whether a process has ended.
const LOOK_GAP: time::Duration = time::Duration::from_millis(10);

/// A process that can be started more than once, with one log for all its lives.
#[derive(Debug)]
pub struct DaemonProcess {
    log: path::PathBuf,
    child: Option<process::Child>,
}

impl DaemonProcess {
    /// Names the log of a process that is not started yet.
    pub(crate) fn new(log: path::PathBuf) -> Self {
        Self { log, child: None }
    }

    /// Starts the process; what it writes goes to its log.
    pub(crate) fn spawn(&mut self, mut command: process::Command) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("the folder takes files");
        let child = command
            .stdin(process::Stdio::null())
            .stdout(log.try_clone().expect("a file can be shared"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the daemon's program can be started"));
    }

    /// Sends a signal by its name, as `TERM`; gives false where there is no process.
    pub fn signal(&self, name: &str) -> bool {
        let Some(id) = self.id() else {
            return false;
        };
        let sent = process::Command::new("kill")
            .args(["-s", name, &id.to_string()])
            .status();
        sent.is_ok_and(|status| status.success())
    }

    /// The process, if it was started and its end not waited for.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(process::Child::id)
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for the process to end by itself; gives its exit code, none where it
    /// still runs or a signal has ended it.
    pub fn wait_for_exit(&mut self, limit: time::Duration) -> Option<i32> {
        let end = time::Instant::now() + limit;
        let child = self.child.as_mut()?;
        while time::Instant::now() < end {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return status.code();
            }
            thread::sleep(LOOK_GAP);
        }
        None
    }

    /// What the process has logged; a daemon writes a few times a second.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
