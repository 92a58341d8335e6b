//! Data types for hosts, organisations, upstreams and the configuration of a
//! fleet.
//!
//! docs/GLOSSARY.md defines the terms host, availability zone, organisation and
//! upstream. All types are immutable data that threads share without locks.

mod class;
mod configuration;
mod host;
mod organisation;
mod upstream;

pub use class::Class;
pub use configuration::{Configuration, Key};
pub use host::{Host, HostState, Role};
pub use organisation::Organisation;
pub use upstream::{Route, Upstream, UpstreamKind};

/// A shared, immutable name; cloning it copies no text.
pub type Name = std::sync::Arc<str>;
