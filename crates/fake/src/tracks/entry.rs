//! A real daemon as an entry on the stand-ins.

use crate::ports::free_address;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::thread;
use std::time;

/// A daemon and the files of its host.
pub struct Entry {
    /// Its host's name.
    pub host: String,
    /// Where it takes callers' connections.
    pub front: net::SocketAddr,
    /// Where it says whether it is ready.
    pub ready: net::SocketAddr,
    program: path::PathBuf,
    settings: path::PathBuf,
    log: path::PathBuf,
    child: Option<process::Child>,
}

impl Entry {
    /// Writes the settings of a host; the daemon is started apart.
    pub fn prepare(
        host: &str,
        store: net::SocketAddr,
        program: &path::Path,
        folder: &path::Path,
    ) -> Self {
        let (front, ready, links) = (free_address(), free_address(), free_address());
        let settings = folder.join(format!("{host}.toml"));
        let port = links.port();
        let text = format!(
            r#"node = "{host}"
ip = "127.0.0.1"
zone = "ruahine"
heartbeat_ms = 1200
port_range = [{port}, {port}]
unknown_to_us = true
[listen]
front = "{front}"
ready = "{ready}"
[limits]
memory_mb = 110
max_fds = 4100
[bounds]
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
quota_window_s = 8
lease_ms = 3000
[platform]
address = "{store}"
"#
        );
        fs::write(&settings, text).expect("the folder takes files");
        Self {
            host: host.to_owned(),
            front,
            ready,
            program: program.to_owned(),
            log: folder.join(format!("{host}.log")),
            settings,
            child: None,
        }
    }

    /// Starts the daemon, also once more.
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let child = process::Command::new(&self.program)
            .arg("platform")
            .env("HORNBEAMPITCH_BOOT", &self.settings)
            .stdin(process::Stdio::null())
            .stdout(log.expect("the folder takes files"))
            .spawn();
        self.child = Some(child.expect("the daemon starts"));
    }

    /// Changes the settings file of the host.
    pub fn edit(&self, old: &str, new: &str) {
        let text = fs::read_to_string(&self.settings).expect("it was written");
        assert!(text.contains(old), "{old}");
        fs::write(&self.settings, text.replace(old, new)).expect("the folder takes files");
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) {
        let child = self.child.as_ref().expect("the daemon was started");
        let sent = process::Command::new("kill")
            .args([&format!("-{name}"), &child.id().to_string()])
            .status();
        assert!(sent.is_ok_and(|s| s.success()), "the signal was sent");
    }

    /// Sends a signal if the daemon still runs.
    pub fn try_signal(&mut self, name: &str) {
        let running = self
            .child
            .as_mut()
            .is_some_and(|c| matches!(c.try_wait(), Ok(None)));
        if running {
            self.signal(name);
        }
    }

    /// Starts the daemon again if it has ended, or once it has: one that was told
    /// to stop ends by itself.
    pub fn restart(&mut self) {
        const STOP_TIME: time::Duration = time::Duration::from_secs(20);
        if self.child.is_some() && self.join(STOP_TIME).is_none() {
            self.kill();
        }
        self.child = None;
        self.start();
    }

    /// Ends the daemon at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for the daemon to end by itself; gives its exit code.
    pub fn join(&mut self, limit: time::Duration) -> Option<i32> {
        let end = time::Instant::now() + limit;
        let child = self.child.as_mut()?;
        while time::Instant::now() < end {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return status.code();
            }
            thread::sleep(time::Duration::from_millis(10));
        }
        None
    }

    /// What the daemon has logged; it writes a few times a second.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}
