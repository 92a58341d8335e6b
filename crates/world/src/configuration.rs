//! The configuration that operators maintain for the whole fleet.

use crate::Class;
use crate::Name;
use crate::Organisation;
use crate::Route;
use crate::Upstream;

/// An issued key as it is stored, with only a hash of its secret part.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Key {
    /// The public part, by which the key is found and withdrawn.
    pub id: Name,
    /// The organisation that the key authenticates.
    pub organisation: Name,
    /// SHA-256 of the secret part, in hexadecimal.
    pub hash: Name,
}

/// The complete configuration of a fleet; it is accepted or rejected as a
/// whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Configuration {
    /// Request classes.
    pub classes: Vec<Class>,
    /// Organisations and their allowances.
    pub organisations: Vec<Organisation>,
    /// Groups of engines or services, each under one name.
    pub upstreams: Vec<Upstream>,
    /// Path prefixes and the plain services that they lead to.
    pub routes: Vec<Route>,
    /// Keys in force.
    pub keys: Vec<Key>,
    /// Names of the hosts that are drained: they get no new requests.
    #[serde(default)]
    pub drained: Vec<Name>,
}

impl Configuration {
    /// Finds a class by name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|c| &*c.name == name)
    }

    /// Finds an organisation by name.
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        self.organisations.iter().find(|o| &*o.name == name)
    }

    /// Finds a key by its public part, its id.
    pub fn key(&self, id: &str) -> Option<&Key> {
        self.keys.iter().find(|k| &*k.id == id)
    }

    /// Finds the upstream that serves a model or adapter.
    pub fn upstream_for_model(&self, model: &str) -> Option<&Upstream> {
        self.upstreams
            .iter()
            .find(|u| u.kind.model_names().any(|m| **m == *model))
    }

    /// Finds the route with the longest prefix of `path`.
    pub fn route_for_path(&self, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|r| path.starts_with(&*r.path))
            .max_by_key(|r| r.path.len())
    }
}
