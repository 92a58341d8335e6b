//! Test cluster on loopback: fakes of the external systems, with the real daemons as
//! separate processes.

use crate::collector::Collector;
use crate::daemon_process::DaemonProcess;
use crate::engine::Engine;
use crate::engine::EngineConfig;
use crate::host_list::HostList;
use crate::ports::free_address;
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

/// Secret by which the processes of a test cluster authenticate each other.
pub const SHARED_SECRET: &str = "a-secret-of-test-clusters-only";

/// Size and settings of a test cluster.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// Availability zones; the hosts of each role are distributed over them in turn.
    pub zones: Vec<&'static str>,
    /// Number of entries.
    pub entries: usize,
    /// Number of prefill engines.
    pub prefill_engines: usize,
    /// Number of decode engines.
    pub decode_engines: usize,
    /// Number of plain services.
    pub services: usize,
    /// Name of the upstream that the engines serve.
    pub model_upstream: &'static str,
    /// Name of the upstream that the plain services serve.
    pub service_upstream: &'static str,
    /// Placement policy of the entries, as in their settings.
    pub policy: &'static str,
    /// Configuration of every engine.
    pub engine: EngineConfig,
    /// Whether the daemons send their spans to the collector.
    pub traces: bool,
    /// Further lines of the entries' settings.
    pub entry_settings: &'static str,
}

impl ClusterSpec {
    /// Describes a cluster like that of the site Te Awa Ridge, with four zones, nine engines and
    /// four services.
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
            entry_settings: "",
        }
    }

    /// Describes a cluster like that of the site Souss, with three zones, eighteen engines and
    /// three services.
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
            entry_settings: "",
        }
    }

    /// Describes a cluster that is just large enough to serve, for tests of a single
    /// failure.
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

/// A daemon of the cluster, which is the only one on its host.
#[derive(derive_more::Deref, derive_more::DerefMut)]
pub struct Daemon {
    /// Name of its host.
    pub host: String,
    /// Address for connections of other daemons.
    pub peer_address: net::SocketAddr,
    /// Address that serves its metrics.
    pub admin_address: net::SocketAddr,
    /// Address for requests of callers; only entries have one.
    pub caller_address: Option<net::SocketAddr>,
    settings: path::PathBuf,
    #[deref]
    #[deref_mut]
    process: DaemonProcess,
}

/// A running test cluster. Dropping it kills all daemons.
pub struct TestCluster {
    /// The key-value store.
    pub store: Store,
    /// The platform's list of hosts.
    pub host_list: HostList,
    /// The trace collector.
    pub collector: Collector,
    /// Prefill engines, in the order of their agents in `daemons`.
    pub prefill_engines: Vec<Engine>,
    /// Decode engines, in the order of their agents in `daemons`.
    pub decode_engines: Vec<Engine>,
    /// Plain services, in the order of their agents in `daemons`.
    pub services: Vec<Service>,
    /// Entries, followed by the agents of prefill engines, decode engines and services.
    pub daemons: Vec<Daemon>,
    /// Temporary folder for settings and logs; removed unless the test panics.
    pub folder: path::PathBuf,
    spec: ClusterSpec,
    program: path::PathBuf,
    arguments: Vec<String>,
}

impl TestCluster {
    /// Starts the fakes and writes the daemons' settings, but starts no daemon.
    ///
    /// A daemon is started as `program` with `arguments` and then the path of its
    /// settings file.
    pub fn prepare(spec: ClusterSpec, program: &path::Path, arguments: &[&str]) -> Self {
        let folder_name = format!("hornbeampitch-{}-{}", process::id(), free_address().port());
        let folder = std::env::temp_dir().join(folder_name);
        fs::create_dir_all(&folder).expect("the temporary folder is writable");
        let engines = |n: usize| -> Vec<Engine> {
            (0..n)
                .map(|_| Engine::start(free_address(), spec.engine.clone()))
                .collect()
        };
        let mut cluster = Self {
            store: Store::start(free_address()),
            host_list: HostList::start(),
            collector: Collector::start(),
            prefill_engines: engines(spec.prefill_engines),
            decode_engines: engines(spec.decode_engines),
            services: (0..spec.services)
                .map(|_| Service::start(free_address()))
                .collect(),
            daemons: Vec::new(),
            folder,
            program: program.to_owned(),
            arguments: arguments.iter().map(|a| (*a).to_owned()).collect(),
            spec,
        };
        cluster.add_all_daemons();
        cluster
    }

    fn add_all_daemons(&mut self) {
        for _ in 0..self.spec.entries {
            self.add_daemon(Role::Entry, None);
        }
        let prefill_addresses: Vec<_> = self.prefill_engines.iter().map(Engine::address).collect();
        let decode_addresses: Vec<_> = self.decode_engines.iter().map(Engine::address).collect();
        let service_addresses: Vec<_> = self.services.iter().map(Service::address).collect();
        for address in prefill_addresses {
            self.add_daemon(Role::Prefill, Some(address));
        }
        for address in decode_addresses {
            self.add_daemon(Role::Decode, Some(address));
        }
        for address in service_addresses {
            self.add_daemon(Role::Service, Some(address));
        }
    }

    /// Writes the settings of one more daemon and adds its host to the list. `upstream`
    /// is the address of its engine or service. Returns its index in `daemons`.
    pub fn add_daemon(&mut self, role: Role, upstream: Option<net::SocketAddr>) -> usize {
        let role_count = self
            .daemons
            .iter()
            .filter(|d| d.host.starts_with(role.name()))
            .count();
        let host = format!("{}-{}", role.name(), role_count + 1);
        let zone = self.spec.zones[role_count % self.spec.zones.len()];
        let daemon = Daemon {
            peer_address: free_address(),
            admin_address: free_address(),
            caller_address: (role == Role::Entry).then(free_address),
            settings: self.folder.join(format!("{host}.yaml")),
            process: DaemonProcess::new(self.folder.join(format!("{host}.log"))),
            host: host.clone(),
        };
        let text = self.settings_text(&daemon, zone, role, upstream);
        fs::write(&daemon.settings, text).expect("the temporary folder is writable");
        self.host_list.add(Host {
            name: host.into(),
            address: daemon.peer_address,
            zone: zone.into(),
            state: HostState::Live,
        });
        self.daemons.push(daemon);
        self.daemons.len() - 1
    }

    /// Returns the settings of a daemon in YAML.
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
            daemon.peer_address,
            daemon.admin_address,
            self.store.address(),
            self.host_list.address(),
        );
        if self.spec.traces {
            text += &format!("traces: {}\n", self.collector.address());
        }
        if let Some(address) = daemon.caller_address {
            text += &format!("callers: {address}\npolicy: {}\n", self.spec.policy);
            text += self.spec.entry_settings;
        }
        if let Some(address) = upstream {
            let name = match role {
                Role::Service => self.spec.service_upstream,
                Role::Entry | Role::Prefill | Role::Decode => self.spec.model_upstream,
            };
            let engine = &self.spec.engine;
            text += &format!(
                "upstream:\n  name: {name}\n  address: {address}\n  fencing: {}\n  seats: {}\n  pieces: {}\n",
                engine.fencing, engine.seats, engine.pieces
            );
        }
        text
    }

    /// Starts the process of the daemon at an index.
    pub fn spawn(&mut self, i: usize) {
        let daemon = &mut self.daemons[i];
        let mut command = process::Command::new(&self.program);
        command.args(&self.arguments).arg(&daemon.settings);
        daemon.process.spawn(command);
    }

    /// Sends a signal, such as `STOP`, to the daemon of a host. Returns false if it is
    /// not running.
    pub fn signal(&self, host: &str, name: &str) -> bool {
        self.daemons[self.daemon_index(host)].signal(name)
    }

    /// Returns the index of a host's daemon. Panics if the cluster has no such host.
    pub fn daemon_index(&self, host: &str) -> usize {
        let index = self.daemons.iter().position(|d| d.host == host);
        index.expect("the cluster has this host")
    }

    /// Returns the address for callers of the n-th entry.
    pub fn caller_address(&self, n: usize) -> net::SocketAddr {
        self.daemons[n].caller_address.expect("entries come first")
    }

    /// Writes the settings file of the operators' client and returns its path.
    pub fn write_client_settings(&self) -> path::PathBuf {
        let path = self.folder.join("client.yaml");
        let text = format!(
            "store: {}\nhosts: {}\nsecrets:\n  - {SHARED_SECRET}\n",
            self.store.address(),
            self.host_list.address()
        );
        fs::write(&path, text).expect("the temporary folder is writable");
        path
    }

    /// Returns the ids of the requests that hold memory of any engine.
    pub fn held_requests(&self) -> Vec<String> {
        let engines = self.prefill_engines.iter().chain(&self.decode_engines);
        engines.flat_map(Engine::held_requests).collect()
    }

    /// Waits until a condition is met. Returns false if it is not met within `limit`.
    pub fn wait_until(&self, limit: time::Duration, is_met: impl Fn(&Self) -> bool) -> bool {
        let end = time::Instant::now() + limit;
        while time::Instant::now() < end {
            if is_met(self) {
                return true;
            }
            thread::sleep(time::Duration::from_millis(10));
        }
        is_met(self)
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        if !thread::panicking() {
            // The folder is kept if the test failed, for its logs.
            let _: io::Result<()> = fs::remove_dir_all(&self.folder);
        }
    }
}
