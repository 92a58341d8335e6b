//! The things the system serves and runs on, as operators and hosts know them.
//!
//! The words are those of docs/GLOSSARY.md: host, availability zone,
//! organisation and upstream. Everything here is plain data, shared without
//! locks.

mod class;
mod contract;
mod host;
mod organisation;
mod upstream;

pub use class::Class;
pub use contract::{Contract, Key};
pub use host::{Host, HostState, Role};
pub use organisation::Organisation;
pub use upstream::{Kind, Route, Upstream};

/// A name that many threads hold without copying it.
pub type Name = std::sync::Arc<str>;
