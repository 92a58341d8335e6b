//! Parses the command line, runs the command, and sets the exit code.

mod arguments;
mod errors;
mod program;

pub(crate) use arguments::Command;
pub(crate) use errors::ClientError;
pub use program::run;
