//! Upstreams, and the routes from request paths to plain services.

use crate::Name;

/// A group of interchangeable engines or services under one name.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Upstream {
    /// The name by which routes and agents' settings refer to it.
    pub name: Name,
    /// Whether the upstream serves a model or is a plain service.
    pub kind: UpstreamKind,
}

/// What an upstream serves.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase", tag = "type")]
pub enum UpstreamKind {
    /// A language model, on engines in a prefill and a decode pool.
    Model {
        /// The model's name in requests.
        model: Name,
        /// The class of requests that don't name one.
        class: Name,
        /// The model version that engines load; empty for the newest that
        /// they have.
        #[serde(default = "newest_version")]
        version: Name,
        /// Adapters that engines load beside the model; a request may name one
        /// in place of the model.
        #[serde(default)]
        adapters: Vec<Name>,
    },
    /// A plain HTTP service.
    Service,
}

fn newest_version() -> Name {
    Name::from("")
}

impl UpstreamKind {
    /// The names that requests may give as their model: the model's and its
    /// adapters'. A plain service has none.
    pub fn model_names(&self) -> impl Iterator<Item = &Name> {
        let (model, adapters) = match self {
            UpstreamKind::Model {
                model, adapters, ..
            } => (Some(model), adapters.as_slice()),
            UpstreamKind::Service => (None, [].as_slice()),
        };
        model.into_iter().chain(adapters)
    }
}

/// A path prefix whose requests go to a plain service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// The path prefix, which begins with `/`.
    pub path: Name,
    /// The name of the service's upstream.
    pub upstream: Name,
    /// Whether requests need no key.
    pub open: bool,
    /// Whether requests of every method may be sent again; otherwise only
    /// those of read-only methods may.
    pub idempotent: bool,
}

impl Route {
    /// Returns whether a request with this HTTP method may be sent again.
    pub fn is_repeatable(&self, method: &str) -> bool {
        self.idempotent || matches!(method, "GET" | "HEAD" | "OPTIONS")
    }
}
