//! Parses the settings files of processes and of the operators' client.

use crate::errors::Findings;
use crate::fields;
use crate::resources::Resources;
use std::cell;
use std::net;
use std::str;
use world::Name;
use world::Role;

const ADDRESS_FORM: &str = "an IP address and port, such as 127.0.0.1:7001";

/// The settings of one process, read from a file on its host and checked at
/// start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host's name in the platform's host list.
    pub host: Name,
    /// The host's availability zone.
    pub zone: Name,
    /// The role of this process.
    pub role: Role,
    /// The address that it listens on for peers.
    pub listen: net::SocketAddr,
    /// The address that it serves metrics and health on.
    pub admin: net::SocketAddr,
    /// The address that it listens on for callers; set for an entry only.
    pub callers: Option<net::SocketAddr>,
    /// The address of the platform's key-value store.
    pub store: net::SocketAddr,
    /// The address of the platform's host list.
    pub hosts: net::SocketAddr,
    /// The secrets by which peers authenticate each other. The first signs; all
    /// are accepted. Each has at least 16 characters.
    pub secrets: Vec<String>,
    /// The upstream instance of an agent; none for an entry.
    pub upstream: Option<UpstreamSettings>,
    /// The address that trace spans are sent to; without one, none are sent.
    pub traces: Option<net::SocketAddr>,
    /// How requests are assigned to upstream instances.
    pub policy: Policy,
    /// What an entry may take of its host.
    pub resources: Resources,
    /// The lowest level that is logged: `error`, `warn`, `info` or `debug`.
    pub log: Name,
}

/// The settings of the upstream instance that an agent serves.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSettings {
    /// The name of the upstream that the instance belongs to.
    pub name: Name,
    /// The address that the instance listens on.
    pub address: net::SocketAddr,
    /// Whether the instance refuses orders with an outdated fencing number.
    pub fencing: bool,
    /// The number of decode seats, which is the number of requests that the engine
    /// decodes at a time; 20 by default.
    pub seats: u32,
    /// The size of the engine's KV memory, in pieces of `route::PIECE_TOKENS` tokens
    /// each; 200 by default.
    pub pieces: u32,
}

/// How requests are assigned to upstream instances. All but `goodput` are
/// baselines for measurements; under a baseline, agents queue requests in order
/// of arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Each instance in turn.
    RoundRobin,
    /// The instance that reported the least load.
    LeastLoaded,
    /// The host that most recently got a prompt with the same prefix.
    Prefix,
    /// The default: the instances with which the most requests are expected to meet
    /// their latency targets; see docs/DECISIONS.md.
    #[default]
    Goodput,
}

impl Policy {
    /// The names of all policies in settings, sorted.
    pub const NAMES: [&str; 4] = ["goodput", "least-loaded", "prefix", "round-robin"];

    /// Returns whether agents order requests by latency target instead of by
    /// arrival.
    pub fn orders_by_target(self) -> bool {
        self == Policy::Goodput
    }
}

impl str::FromStr for Policy {
    type Err = ();

    fn from_str(name: &str) -> Result<Self, ()> {
        match name {
            "round-robin" => Ok(Policy::RoundRobin),
            "least-loaded" => Ok(Policy::LeastLoaded),
            "prefix" => Ok(Policy::Prefix),
            "goodput" => Ok(Policy::Goodput),
            _ => Err(()),
        }
    }
}

/// The settings of the operators' client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientSettings {
    /// The address of the platform's key-value store.
    pub store: net::SocketAddr,
    /// The address of the platform's host list.
    pub hosts: net::SocketAddr,
    /// The secrets by which peers authenticate each other. The first signs; all
    /// are accepted. Each has at least 16 characters.
    pub secrets: Vec<String>,
}

impl ClientSettings {
    /// Parses the client's settings file; fails with every finding.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        parse_settings(file, text, read_client)
    }
}

impl Settings {
    /// Parses a process's settings file; fails with every finding.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        parse_settings(file, text, read_process)
    }
}

fn parse_settings<T>(
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
        None => Err(findings
            .into_result(())
            .expect_err("a missing setting is always reported")),
    }
}

fn read_client(mut top: fields::Fields<'_>) -> Option<ClientSettings> {
    let store = top.required_value("store", ADDRESS_FORM);
    let hosts = top.required_value("hosts", ADDRESS_FORM);
    let secrets = read_secrets(&mut top);
    top.report_unknown();
    Some(ClientSettings {
        store: store?,
        hosts: hosts?,
        secrets,
    })
}

fn read_process(mut top: fields::Fields<'_>) -> Option<Settings> {
    let host = top.required_text("host");
    let zone = top.required_text("zone");
    let role = read_role(&mut top);
    let listen = top.required_value("listen", ADDRESS_FORM);
    let admin = top.required_value("admin", ADDRESS_FORM);
    let callers = read_callers(&mut top, role);
    let store = top.required_value("store", ADDRESS_FORM);
    let hosts = top.required_value("hosts", ADDRESS_FORM);
    let secrets = read_secrets(&mut top);
    let upstream = read_upstream(&mut top, role);
    let traces = top.optional_value("traces", ADDRESS_FORM);
    let policy = top
        .optional_value("policy", "round-robin, least-loaded, prefix or goodput")
        .unwrap_or_default();
    let resources = Resources::read(&mut top, role);
    let log = read_log_level(&mut top);
    top.report_unknown();
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
        resources,
        log,
    })
}

fn read_role(top: &mut fields::Fields<'_>) -> Option<Role> {
    match top.required_text("role")? {
        "entry" => Some(Role::Entry),
        "prefill" => Some(Role::Prefill),
        "decode" => Some(Role::Decode),
        "service" => Some(Role::Service),
        other => {
            let text = format!("`role` must be entry, prefill, decode or service, not `{other}`");
            top.report(top.field_position("role"), text);
            None
        }
    }
}

fn read_callers(top: &mut fields::Fields<'_>, role: Option<Role>) -> Option<net::SocketAddr> {
    match role {
        Some(Role::Entry) => top.required_value("callers", ADDRESS_FORM),
        Some(_) if top.node("callers").is_some() => {
            top.report(top.field_position("callers"), "only an entry has `callers`");
            None
        }
        _ => top.optional_value("callers", ADDRESS_FORM),
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
        top.report(top.field_position("secrets"), text);
    }
    if secrets.iter().any(|s| s.len() < 16) {
        let text = "each of `secrets` needs 16 characters or more";
        top.report(top.field_position("secrets"), text);
    }
    secrets
}

fn read_upstream(top: &mut fields::Fields<'_>, role: Option<Role>) -> Option<UpstreamSettings> {
    let node = top.node("upstream");
    match (role, node) {
        (Some(Role::Entry), Some(node)) => {
            top.report(fields::position(node), "an entry has no `upstream`");
            None
        }
        (Some(Role::Entry) | None, None) => None,
        (Some(_), None) => {
            top.report(top.position(), "an agent needs the field `upstream`");
            None
        }
        (_, Some(node)) => {
            let mut nested = top.nested(node)?;
            let name = nested.required_text("name");
            let address = nested.required_value("address", ADDRESS_FORM);
            let fencing = nested.flag("fencing");
            let seats = nested.optional_value("seats", "a whole number");
            let pieces = nested.optional_value("pieces", "a whole number");
            nested.report_unknown();
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

fn read_log_level(top: &mut fields::Fields<'_>) -> Name {
    let level = top.text_or("log", "info");
    if !["error", "warn", "info", "debug"].contains(&level) {
        let text = format!("`log` must be error, warn, info or debug, not `{level}`");
        top.report(top.field_position("log"), text);
    }
    level.into()
}
