//! The settings file of one process.

use crate::errors::Findings;
use crate::fields;
use std::cell;
use std::net;
use std::str;
use world::Name;
use world::Role;

const ADDRESS: &str = "an IP number and port, as 127.0.0.1:7001";

/// What a process knows of itself from its host, checked whole at start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host's name in the platform's list.
    pub host: Name,
    /// The host's availability zone.
    pub zone: Name,
    /// What this process serves.
    pub role: Role,
    /// Where peers reach it.
    pub listen: net::SocketAddr,
    /// Where operators read metrics and health.
    pub admin: net::SocketAddr,
    /// Where callers reach it; entries only.
    pub callers: Option<net::SocketAddr>,
    /// The platform's key-value service.
    pub store: net::SocketAddr,
    /// The platform's list of hosts.
    pub hosts: net::SocketAddr,
    /// The fleet's secrets, the signing one first.
    pub secrets: Vec<String>,
    /// The upstream beside an agent.
    pub upstream: Option<UpstreamSettings>,
    /// Where spans are sent, if anywhere.
    pub traces: Option<net::SocketAddr>,
    /// How requests are placed.
    pub policy: Policy,
    /// The least level that is logged.
    pub log: Name,
}

/// The upstream beside an agent.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSettings {
    /// The pool it belongs to.
    pub name: Name,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Whether it refuses orders that carry an old fencing number.
    pub fencing: bool,
    /// Decode seats that it has.
    pub seats: u32,
    /// Pieces of engine memory that it has.
    pub pieces: u32,
}

/// Ways to place requests; all but `goodput` are baselines to measure against.
/// At the agents, work of a baseline waits in the order it came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Each upstream in turn.
    RoundRobin,
    /// The least reported load.
    LeastLoaded,
    /// The host that saw the prompt's prefix last.
    Prefix,
    /// The product's own policy; see docs/DECISIONS.md.
    #[default]
    Goodput,
}

impl Policy {
    /// The words of all policies in settings.
    pub const NAMES: [&str; 4] = ["goodput", "least-loaded", "prefix", "round-robin"];

    /// Tells whether agents order its work by targets, and not by arrival.
    pub fn orders_by_target(self) -> bool {
        self == Policy::Goodput
    }
}

impl str::FromStr for Policy {
    type Err = ();

    fn from_str(word: &str) -> Result<Self, ()> {
        match word {
            "round-robin" => Ok(Policy::RoundRobin),
            "least-loaded" => Ok(Policy::LeastLoaded),
            "prefix" => Ok(Policy::Prefix),
            "goodput" => Ok(Policy::Goodput),
            _ => Err(()),
        }
    }
}

/// What the operators' client needs to know of its site.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientSettings {
    /// The platform's key-value service.
    pub store: net::SocketAddr,
    /// The platform's list of hosts.
    pub hosts: net::SocketAddr,
    /// The fleet's secrets, the signing one first.
    pub secrets: Vec<String>,
}

impl ClientSettings {
    /// Reads the client's settings file; all findings are reported together.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        read_top(file, text, read_client)
    }
}

impl Settings {
    /// Reads a settings file; all findings are reported together.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        read_top(file, text, read_settings)
    }
}

fn read_top<T>(
    file: &str,
    text: &str,
    read: impl FnOnce(fields::Fields<'_>) -> Option<T>,
) -> Result<T, Findings> {
    let mut findings = Findings::default();
    let Some(node) = fields::parse(file, text, &mut findings) else {
        return Err(findings);
    };
    let findings = cell::RefCell::new(findings);
    let settings = fields::Fields::new(file, &node, &findings).and_then(read);
    let findings = findings.into_inner();
    match settings {
        Some(settings) => findings.into_result(settings),
        None => Err(findings.into_result(()).expect_err("a finding led here")),
    }
}

fn read_client(mut top: fields::Fields<'_>) -> Option<ClientSettings> {
    let store = top.parsed("store", ADDRESS);
    let hosts = top.parsed("hosts", ADDRESS);
    let secrets = read_secrets(&mut top);
    top.finish();
    Some(ClientSettings {
        store: store?,
        hosts: hosts?,
        secrets,
    })
}

fn read_settings(mut top: fields::Fields<'_>) -> Option<Settings> {
    let host = top.text("host");
    let zone = top.text("zone");
    let role = read_role(&mut top);
    let listen = top.parsed("listen", ADDRESS);
    let admin = top.parsed("admin", ADDRESS);
    let callers = read_callers(&mut top, role);
    let store = top.parsed("store", ADDRESS);
    let hosts = top.parsed("hosts", ADDRESS);
    let secrets = read_secrets(&mut top);
    let upstream = read_upstream(&mut top, role);
    let traces = top.parsed_maybe("traces", ADDRESS);
    let policy = top
        .parsed_maybe("policy", "round-robin, least-loaded, prefix or goodput")
        .unwrap_or_default();
    let log = read_level(&mut top);
    top.finish();
    Some(Settings {
        host: host?.into(),
        zone: zone?.into(),
        role: role?,
        listen: listen?,
        admin: admin?,
        callers,
        store: store?,
        hosts: hosts?,
        secrets,
        upstream,
        traces,
        policy,
        log,
    })
}

fn read_role(top: &mut fields::Fields<'_>) -> Option<Role> {
    match top.text("role")? {
        "entry" => Some(Role::Entry),
        "prefill" => Some(Role::Prefill),
        "decode" => Some(Role::Decode),
        "service" => Some(Role::Service),
        other => {
            let text = format!("`role` must be entry, prefill, decode or service, not `{other}`");
            top.report(top.place_of("role"), text);
            None
        }
    }
}

fn read_callers(top: &mut fields::Fields<'_>, role: Option<Role>) -> Option<net::SocketAddr> {
    match role {
        Some(Role::Entry) => top.parsed("callers", ADDRESS),
        Some(_) if top.node("callers").is_some() => {
            top.report(top.place_of("callers"), "only an entry has `callers`");
            None
        }
        _ => top.parsed_maybe("callers", ADDRESS),
    }
}

fn read_secrets(top: &mut fields::Fields<'_>) -> Vec<String> {
    let nodes = top.list("secrets");
    let secrets: Vec<String> = nodes
        .iter()
        .filter_map(|n| n.as_scalar())
        .map(|s| s.as_str().to_owned())
        .collect();
    if secrets.is_empty() || secrets.len() < nodes.len() {
        let text = "`secrets` must list at least one secret, the signing one first";
        top.report(top.place_of("secrets"), text);
    }
    if secrets.iter().any(|s| s.len() < 16) {
        let text = "each of `secrets` needs 16 characters or more";
        top.report(top.place_of("secrets"), text);
    }
    secrets
}

fn read_upstream(top: &mut fields::Fields<'_>, role: Option<Role>) -> Option<UpstreamSettings> {
    let node = top.node("upstream");
    match (role, node) {
        (Some(Role::Entry), Some(node)) => {
            top.report(fields::place(node), "an entry has no `upstream`");
            None
        }
        (Some(Role::Entry) | None, None) => None,
        (Some(_), None) => {
            top.report(top.place(), "an agent needs the field `upstream`");
            None
        }
        (_, Some(node)) => {
            let mut inner = top.inner(node)?;
            let name = inner.text("name");
            let address = inner.parsed("address", ADDRESS);
            let fencing = inner.flag("fencing");
            let seats = inner.parsed_maybe("seats", "a whole number");
            let pieces = inner.parsed_maybe("pieces", "a whole number");
            inner.finish();
            Some(UpstreamSettings {
                name: name?.into(),
                address: address?,
                fencing,
                seats: seats.unwrap_or(20),
                pieces: pieces.unwrap_or(200),
            })
        }
    }
}

fn read_level(top: &mut fields::Fields<'_>) -> Name {
    let level = top.text_or("log", "info");
    if !["error", "warn", "info", "debug"].contains(&level) {
        let text = format!("`log` must be error, warn, info or debug, not `{level}`");
        top.report(top.place_of("log"), text);
    }
    level.into()
}
