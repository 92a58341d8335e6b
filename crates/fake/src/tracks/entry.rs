//! Runs the real daemon as an entry on the fakes of the Tracks Unit's platform.

use crate::daemon_process::DaemonProcess;
use crate::ports::free_address;
use std::fs;
use std::io::Write;
use std::net;
use std::path;
use std::process;

/// A daemon process with the settings file and the log of its host.
#[derive(derive_more::Deref, derive_more::DerefMut)]
pub struct EntryDaemon {
    /// Name of its host.
    pub host: String,
    /// Address for requests of callers.
    pub caller_address: net::SocketAddr,
    /// Address of its readiness check.
    pub ready_address: net::SocketAddr,
    /// Address for messages of other entries.
    pub peer_address: net::SocketAddr,
    program: path::PathBuf,
    settings: path::PathBuf,
    #[deref]
    #[deref_mut]
    process: DaemonProcess,
}

impl EntryDaemon {
    /// Writes the settings of a host without starting its daemon. They contain the key
    /// `unknown_to_us`, which the daemon must ignore.
    pub fn prepare(
        host: &str,
        store: net::SocketAddr,
        program: &path::Path,
        folder: &path::Path,
    ) -> Self {
        let (caller_address, ready_address, peer_address) =
            (free_address(), free_address(), free_address());
        let settings = folder.join(format!("{host}.toml"));
        let port = peer_address.port();
        let contents = format!(
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
quota_overage = 0.1
quota_slack = 190000
lease_ms = 3000
[platform]
address = "{store}"
"#
        );
        fs::write(&settings, contents).expect("the folder is writable");
        Self {
            host: host.to_owned(),
            caller_address,
            ready_address,
            peer_address,
            program: program.to_owned(),
            process: DaemonProcess::new(folder.join(format!("{host}.log"))),
            settings,
        }
    }

    /// Starts the daemon. Can be called again once the daemon has exited.
    pub fn start(&mut self) {
        let mut command = process::Command::new(&self.program);
        command
            .arg("platform")
            .env("HORNBEAMPITCH_BOOT", &self.settings);
        self.process.spawn(command);
    }

    /// Starts the daemon and calls `meanwhile` while it waits for the contents of its
    /// settings file, as on a slow host. The file is a named pipe until then.
    pub fn start_with_delayed_settings(&mut self, meanwhile: impl FnOnce(&mut Self)) {
        let contents = fs::read(&self.settings).expect("the settings were written");
        let moved = self.settings.with_extension("kept");
        fs::rename(&self.settings, &moved).expect("the folder is writable");
        let created = process::Command::new("mkfifo").arg(&self.settings).status();
        assert!(
            created.is_ok_and(|s| s.success()),
            "a named pipe can be created"
        );
        self.start();
        // Opening blocks until the daemon opens the pipe for reading.
        let pipe = fs::OpenOptions::new().write(true).open(&self.settings);
        let mut pipe = pipe.expect("the pipe can be opened");
        fs::rename(&moved, &self.settings).expect("the folder is writable");
        meanwhile(self);
        // The daemon may have exited in the meantime.
        let _ = pipe.write_all(&contents);
    }

    /// Replaces a text in the settings file. Panics if the file does not contain it.
    pub fn edit_settings(&self, old: &str, new: &str) {
        let contents = fs::read_to_string(&self.settings).expect("the settings were written");
        assert!(contents.contains(old), "{old}");
        fs::write(&self.settings, contents.replace(old, new)).expect("the folder is writable");
    }

    /// Sets the value of a number in the settings file, which must contain it.
    pub fn set_setting(&self, name: &str, value: &str) {
        let contents = fs::read_to_string(&self.settings).expect("the settings were written");
        let prefix = format!("{name} = ");
        assert!(contents.contains(&prefix), "{name}");
        let lines = contents
            .lines()
            .map(|line| match line.starts_with(&prefix) {
                true => format!("{prefix}{value}\n"),
                false => format!("{line}\n"),
            });
        fs::write(&self.settings, lines.collect::<String>()).expect("the folder is writable");
    }
}
