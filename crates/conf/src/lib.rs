//! Parses processes' settings files and operators' documents, and issues and
//! verifies keys.
//!
//! A parse does not stop at the first error: it reports every finding with its
//! file, line and column. See docs/OPERATIONS.md.

mod active;
mod document;
mod errors;
mod fields;
mod key;
mod resources;
mod settings;

pub use active::{ActiveConfiguration, ConfigurationRevision};
pub use document::parse_documents;
pub use errors::{Finding, Findings};
pub use key::{IssuedKey, KeyError, verify_key};
pub use resources::Resources;
pub use settings::{ClientSettings, Policy, Settings, UpstreamSettings};
