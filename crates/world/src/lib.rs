//! The things the system serves and runs on, as operators and hosts know them.
//!
//! The words are those of docs/GLOSSARY.md: host, availability zone,
//! organisation and upstream. Everything here is plain data, shared without
//! locks.

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

/// A name that many threads hold without copying it.
pub type Name = std::sync::Arc<str>;
