//! The client's commands, in one file for each group.

mod documents;
mod hosts;
mod keys;

pub(crate) use documents::{apply, check, diff, show, watch};
pub(crate) use hosts::{drain, status, undrain};
pub(crate) use keys::{issue_key, list_keys, withdraw_key};
