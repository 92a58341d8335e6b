//! The configuration in force, with what each request needs of it.

use std::cell;
use std::collections;
use world::Name;

/// The configuration in force, decoded and in its original bytes.
#[derive(Debug)]
pub(crate) struct ActiveConfig {
    pub(crate) config: seam::Config,
    pub(crate) raw: bytes::Bytes,
    /// The latest era in which the store was seen to have it.
    pub(crate) era: cell::Cell<seam::Era>,
    /// Whether callers compete for hosts by the operator's will.
    pub(crate) is_sharing: bool,
    /// The priority of the most urgent streams, by service whose streams differ in it.
    first_priorities: collections::BTreeMap<Name, u8>,
}

impl ActiveConfig {
    pub(crate) fn new(config: seam::Config, raw: bytes::Bytes, era: seam::Era) -> Self {
        let weights = config.routes.iter().flat_map(|r| &r.weights);
        let services: collections::BTreeSet<&Name> = weights.map(|(name, _)| name).collect();
        let first = services
            .into_iter()
            .filter_map(|s| Some((s.clone(), config.first_priority(s)?)));
        Self {
            first_priorities: first.collect(),
            is_sharing: config.asks_for_sharing(),
            config,
            raw,
            era: cell::Cell::new(era),
        }
    }

    /// Returns the priority of the most urgent streams of a service, if they differ in it.
    pub(crate) fn first_priority(&self, service: &str) -> Option<u8> {
        self.first_priorities.get(service).copied()
    }

    /// Returns whether the streams of a service differ in their priority.
    pub(crate) fn has_ranks(&self, service: &str) -> bool {
        self.first_priorities.contains_key(service)
    }
}
