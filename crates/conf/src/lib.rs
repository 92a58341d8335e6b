//! Settings of a process, documents of operators, and keys.
//!
//! Both kinds of file are read whole, and every finding is reported with its
//! file, line and column; see docs/OPERATIONS.md.

mod active;
mod document;
mod errors;
mod fields;
mod key;
mod settings;

pub use active::{ActiveConfiguration, ConfigurationRevision};
pub use document::parse_documents;
pub use errors::{Finding, Findings};
pub use key::{IssuedKey, KeyError, verify_key};
pub use settings::{ClientSettings, Policy, Settings, UpstreamSettings};
