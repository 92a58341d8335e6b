//! The client's access to one deployment: its store, host list and processes.

mod documents;
mod rollout;
mod yaml;

pub(crate) use documents::{Deployment, read_documents};
pub(crate) use rollout::Process;
pub(crate) use yaml::write_documents;
