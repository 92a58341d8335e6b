//! One organisation's whole site on loopback: stand-ins, and real daemons as
//! processes of their own.

use crate::collector::Collector;
use crate::engine::Engine;
use crate::engine::EngineConfig;
use crate::hosts::HostList;
use crate::ports::free_address;
use crate::running::DaemonProcess;
use crate::service::Service;
use crate::store::Store;
use std::fs;
use std::io;
use std::net;
use std::path;
use std::process;
use std::thread;
use std::time;
use world::Host;
use world::HostState;
use world::Role;

/// Shared by the processes of a lab.
pub const SHARED_SECRET: &str = "a-secret-of-this-lab-only";

/// How many of what stand where.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// The availability zones.
    pub zones: Vec<&'static str>,
    /// Entries.
    pub entries: usize,
    /// Prefill engines.
    pub prefill_engines: usize,
    /// Decode engines.
    pub decode_engines: usize,
    /// Plain services.
    pub services: usize,
    /// The model's upstream.
    pub model_upstream: &'static str,
    /// The services' upstream.
    pub service_upstream: &'static str,
    /// How placement is decided.
    pub policy: &'static str,
    /// What the engines are like.
    pub engine: EngineConfig,
    /// Whether spans are collected.
    pub traces: bool,
}

impl ClusterSpec {
    /// Four zones, nine engines and four services.
    pub fn te_awa_ridge() -> Self {
        Self {
            zones: vec!["ruahine", "tararua", "kaimanawa", "whanganui"],
            entries: 3,
            prefill_engines: 3,
            decode_engines: 6,
            services: 4,
            model_upstream: "summary",
            service_upstream: "dispatch",
            policy: "goodput",
            engine: EngineConfig::default(),
            traces: false,
        }
    }

    /// Three zones, eighteen engines and three services.
    pub fn souss() -> Self {
        Self {
            zones: vec!["agadir", "taroudant", "tiznit"],
            entries: 3,
            prefill_engines: 6,
            decode_engines: 12,
            services: 3,
            model_upstream: "redaction",
            service_upstream: "counter",
            policy: "goodput",
            engine: EngineConfig::default(),
            traces: false,
        }
    }

    /// The least that serves: for tests of one failure at a time.
    pub fn small() -> Self {
        Self {
            zones: vec!["ruahine", "tararua"],
            entries: 1,
            prefill_engines: 1,
            decode_engines: 2,
            services: 1,
            ..Self::te_awa_ridge()
        }
    }
}

/// A daemon of the lab, on a host of its own.
#[derive(derive_more::Deref, derive_more::DerefMut)]
pub struct Daemon {
    /// Its host's name.
    pub host: String,
    /// Where peers reach it.
    pub listen: net::SocketAddr,
    /// Where operators read its metrics.
    pub admin: net::SocketAddr,
    /// Where callers reach it; entries only.
    pub callers: Option<net::SocketAddr>,
    settings: path::PathBuf,
    #[deref]
    #[deref_mut]
    process: DaemonProcess,
}

/// The site.
pub struct TestCluster {
    /// The key-value service.
    pub store: Store,
    /// The list of hosts.
    pub hosts: HostList,
    /// The collector of spans.
    pub collector: Collector,
    /// Prefill engines, in the order of their agents.
    pub prefill_engines: Vec<Engine>,
    /// Decode engines, in the order of their agents.
    pub decode_engines: Vec<Engine>,
    /// Plain services, in the order of their agents.
    pub services: Vec<Service>,
    /// Entries first, then agents of prefills, decodes and services.
    pub daemons: Vec<Daemon>,
    /// Where settings and logs are written.
    pub folder: path::PathBuf,
    shape: ClusterSpec,
    program: path::PathBuf,
    words: Vec<String>,
}

impl TestCluster {
    /// Starts the stand-ins and writes the settings, but starts no daemon.
    /// `program` with `words` before the settings' path is the daemon.
    pub fn prepare(shape: ClusterSpec, program: &path::Path, words: &[&str]) -> Self {
        let unique = format!("hornbeampitch-{}-{}", process::id(), free_address().port());
        let folder = std::env::temp_dir().join(unique);
        fs::create_dir_all(&folder).expect("the temporary folder takes files");
        let engines = |n: usize| -> Vec<Engine> {
            (0..n)
                .map(|_| Engine::start(free_address(), shape.engine.clone()))
                .collect()
        };
        let mut lab = Self {
            store: Store::start(free_address()),
            hosts: HostList::start(),
            collector: Collector::start(),
            prefill_engines: engines(shape.prefill_engines),
            decode_engines: engines(shape.decode_engines),
            services: (0..shape.services)
                .map(|_| Service::start(free_address()))
                .collect(),
            daemons: Vec::new(),
            folder,
            program: program.to_owned(),
            words: words.iter().map(|w| (*w).to_owned()).collect(),
            shape,
        };
        lab.lay_out();
        lab
    }

    fn lay_out(&mut self) {
        for _ in 0..self.shape.entries {
            self.add_daemon(Role::Entry, None);
        }
        let prefills: Vec<_> = self.prefill_engines.iter().map(Engine::address).collect();
        let decodes: Vec<_> = self.decode_engines.iter().map(Engine::address).collect();
        let services: Vec<_> = self.services.iter().map(Service::address).collect();
        for address in prefills {
            self.add_daemon(Role::Prefill, Some(address));
        }
        for address in decodes {
            self.add_daemon(Role::Decode, Some(address));
        }
        for address in services {
            self.add_daemon(Role::Service, Some(address));
        }
    }

    /// Writes the settings of one more daemon and lists its host.
    pub fn add_daemon(&mut self, role: Role, upstream: Option<net::SocketAddr>) -> usize {
        let same = self
            .daemons
            .iter()
            .filter(|d| d.host.starts_with(role.name()))
            .count();
        let host = format!("{}-{}", role.name(), same + 1);
        let zone = self.shape.zones[same % self.shape.zones.len()];
        let daemon = Daemon {
            listen: free_address(),
            admin: free_address(),
            callers: (role == Role::Entry).then(free_address),
            settings: self.folder.join(format!("{host}.yaml")),
            process: DaemonProcess::new(self.folder.join(format!("{host}.log"))),
            host: host.clone(),
        };
        let text = self.settings_text(&daemon, zone, role, upstream);
        fs::write(&daemon.settings, text).expect("the temporary folder takes files");
        self.hosts.add(Host {
            name: host.into(),
            address: daemon.listen,
            zone: zone.into(),
            state: HostState::Live,
        });
        self.daemons.push(daemon);
        self.daemons.len() - 1
    }

    fn settings_text(
        &self,
        daemon: &Daemon,
        zone: &str,
        role: Role,
        upstream: Option<net::SocketAddr>,
    ) -> String {
        let mut text = format!(
            "host: {}\nzone: {zone}\nrole: {}\nlisten: {}\nadmin: {}\nstore: {}\nhosts: {}\nsecrets:\n  - {SHARED_SECRET}\nlog: info\n",
            daemon.host,
            role.name(),
            daemon.listen,
            daemon.admin,
            self.store.address(),
            self.hosts.address(),
        );
        if self.shape.traces {
            text += &format!("traces: {}\n", self.collector.address());
        }
        if let Some(callers) = daemon.callers {
            text += &format!("callers: {callers}\npolicy: {}\n", self.shape.policy);
        }
        if let Some(address) = upstream {
            let name = match role {
                Role::Service => self.shape.service_upstream,
                Role::Entry | Role::Prefill | Role::Decode => self.shape.model_upstream,
            };
            let engine = &self.shape.engine;
            text += &format!(
                "upstream:\n  name: {name}\n  address: {address}\n  fencing: {}\n  seats: {}\n  pieces: {}\n",
                engine.fencing, engine.seats, engine.pieces
            );
        }
        text
    }

    /// Starts a daemon's process.
    pub fn spawn(&mut self, i: usize) {
        let daemon = &mut self.daemons[i];
        let mut command = process::Command::new(&self.program);
        command.args(&self.words).arg(&daemon.settings);
        daemon.process.spawn(command);
    }

    /// Sends a signal, as `STOP`, to a host's daemon; gives false where none
    /// runs.
    pub fn signal(&self, host: &str, name: &str) -> bool {
        self.daemons[self.daemon_index(host)].signal(name)
    }

    /// Finds a daemon by its host's name.
    pub fn daemon_index(&self, host: &str) -> usize {
        let found = self.daemons.iter().position(|d| d.host == host);
        found.expect("the lab has this host")
    }

    /// Where callers reach the n-th entry.
    pub fn caller_address(&self, n: usize) -> net::SocketAddr {
        self.daemons[n].callers.expect("entries come first")
    }

    /// What the client needs to know of this site, as its settings file.
    pub fn write_client_settings(&self) -> path::PathBuf {
        let path = self.folder.join("client.yaml");
        let text = format!(
            "store: {}\nhosts: {}\nsecrets:\n  - {SHARED_SECRET}\n",
            self.store.address(),
            self.hosts.address()
        );
        fs::write(&path, text).expect("the temporary folder takes files");
        path
    }

    /// Requests that hold memory at any engine.
    pub fn held_requests(&self) -> Vec<String> {
        let engines = self.prefill_engines.iter().chain(&self.decode_engines);
        engines.flat_map(Engine::held_requests).collect()
    }

    /// Waits until a condition holds; gives false where it never does.
    pub fn wait_until(&self, limit: time::Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let end = time::Instant::now() + limit;
        while time::Instant::now() < end {
            if condition(self) {
                return true;
            }
            thread::sleep(time::Duration::from_millis(10));
        }
        condition(self)
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        if !thread::panicking() {
            // Left behind only where a test failed and its logs are wanted.
            let _: io::Result<()> = fs::remove_dir_all(&self.folder);
        }
    }
}
