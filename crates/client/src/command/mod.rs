//! One file for each group of commands.

mod documents;
mod hosts;
mod keys;

pub(crate) use documents::{apply, check, diff, show, watch};
pub(crate) use hosts::{drain, status, undrain};
pub(crate) use keys::{issue_key, list_keys, withdraw_key};
