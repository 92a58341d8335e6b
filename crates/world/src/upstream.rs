//! Upstreams and the paths that lead to them.

use crate::Name;

/// A pool of like engines or services, under the one name operators use.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Upstream {
    /// The name that routes and agents' settings give.
    pub name: Name,
    /// What stands behind it.
    pub kind: UpstreamKind,
}

/// What an upstream is made of.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase", tag = "type")]
pub enum UpstreamKind {
    /// Language-model engines, in a prefill and a decode pool.
    Model {
        /// The model as callers name it.
        model: Name,
        /// The class of requests that name none.
        class: Name,
        /// The version that engines load; empty for their newest.
        #[serde(default = "newest")]
        version: Name,
        /// Adapters that engines load beside it, each callable by its name.
        #[serde(default)]
        adapters: Vec<Name>,
    },
    /// A plain HTTP service.
    Service,
}

fn newest() -> Name {
    Name::from("")
}

impl UpstreamKind {
    /// The names by which callers ask for it: the model and its adapters.
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

/// A path that leads to a plain service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Route {
    /// The prefix of the paths it covers.
    pub path: Name,
    /// The service's upstream.
    pub upstream: Name,
    /// Whether it may be called without a key.
    pub open: bool,
    /// Whether every call may be repeated; otherwise only reading methods may.
    pub idempotent: bool,
}

impl Route {
    /// Tells whether a call by this method may be sent a second time.
    pub fn is_repeatable(&self, method: &str) -> bool {
        self.idempotent || matches!(method, "GET" | "HEAD" | "OPTIONS")
    }
}
