//! From the words of the command line to a command and its exit code.

mod errors;
mod launch;
mod program;

pub(crate) use errors::ClientError;
pub(crate) use launch::Command;
pub use program::run;
