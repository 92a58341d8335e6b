//! A real daemon as an entry on the stand-ins.

use crate::daemon_process::DaemonProcess;
use crate::ports::free_address;
use std::fs;
use std::io::Write;
use std::net;
use std::path;
use std::process;
use std::time;

/// How long a daemon that was told to stop may take to end; more than its grace.
const STOP_TIME: time::Duration = time::Duration::from_secs(20);

/// A daemon and the files of its host.
#[derive(derive_more::Deref, derive_more::DerefMut)]
pub struct EntryDaemon {
    /// Its host's name.
    pub host: String,
    /// Where it takes callers' connections.
    pub caller_address: net::SocketAddr,
    /// Where it says whether it is ready.
    pub ready_address: net::SocketAddr,
    program: path::PathBuf,
    settings: path::PathBuf,
    #[deref]
    #[deref_mut]
    process: DaemonProcess,
}

impl EntryDaemon {
    /// Writes the settings of a host; the daemon is started apart.
    pub fn prepare(
        host: &str,
        store: net::SocketAddr,
        program: &path::Path,
        folder: &path::Path,
    ) -> Self {
        let (caller_address, ready_address, links) =
            (free_address(), free_address(), free_address());
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
front = "{caller_address}"
ready = "{ready_address}"
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
            caller_address,
            ready_address,
            program: program.to_owned(),
            process: DaemonProcess::new(folder.join(format!("{host}.log"))),
            settings,
        }
    }

    /// Starts the daemon, also once more.
    pub fn start(&mut self) {
        let mut command = process::Command::new(&self.program);
        command
            .arg("platform")
            .env("HORNBEAMPITCH_BOOT", &self.settings);
        self.process.spawn(command);
    }

    /// Starts the daemon and does something while it waits for its settings, as on
    /// a slow host.
    pub fn start_with_delayed_settings(&mut self, meanwhile: impl FnOnce(&mut Self)) {
        let text = fs::read(&self.settings).expect("it was written");
        let kept = self.settings.with_extension("kept");
        fs::rename(&self.settings, &kept).expect("the folder takes files");
        let made = process::Command::new("mkfifo").arg(&self.settings).status();
        assert!(made.is_ok_and(|s| s.success()), "a pipe can be made");
        self.start();
        // Opens once the daemon has opened it for reading.
        let pipe = fs::OpenOptions::new().write(true).open(&self.settings);
        let mut pipe = pipe.expect("the pipe was made");
        fs::rename(&kept, &self.settings).expect("the folder takes files");
        meanwhile(self);
        // The daemon may have ended meanwhile.
        let _ = pipe.write_all(&text);
    }

    /// Changes the settings file of the host.
    pub fn edit_settings(&self, old: &str, new: &str) {
        let text = fs::read_to_string(&self.settings).expect("it was written");
        assert!(text.contains(old), "{old}");
        fs::write(&self.settings, text.replace(old, new)).expect("the folder takes files");
    }

    /// Starts the daemon again once it has ended: one that was told to stop ends by
    /// itself.
    pub fn restart(&mut self) {
        // By itself or by a signal; what still runs is killed.
        let _ = self.wait_for_exit(STOP_TIME);
        self.kill();
        self.start();
    }
}
