//! One organisation's site as the client reaches it.

mod documents;
mod force;
mod yaml;

pub(crate) use documents::{Site, read_documents};
pub(crate) use force::Process;
pub(crate) use yaml::write_documents;
