//! Settings of a process, documents of operators, and keys.
//!
//! Both kinds of file are read whole, and every finding is reported with its
//! file, line and column; see docs/OPERATIONS.md.

mod adoption;
mod document;
mod errors;
mod fields;
mod key;
mod settings;

pub use adoption::{Adoption, Revised};
pub use document::read_document;
pub use errors::{Finding, Findings};
pub use key::{IssuedKey, KeyError, verify_key};
pub use settings::{ClientSettings, Policy, Settings, UpstreamSettings};
