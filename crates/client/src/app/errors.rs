//! Errors of the client's commands, and their exit codes.

use std::io;

/// Why a command failed.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub(crate) enum ClientError {
    /// The command line is invalid; the text is the message.
    #[from(skip)]
    #[display("{_0}")]
    Usage(#[error(not(source))] String),
    /// A file cannot be read.
    #[from(skip)]
    #[display("{path}: {source}")]
    Read {
        /// The file's path.
        path: String,
        /// Why it cannot be read.
        source: io::Error,
    },
    /// Settings or documents are invalid.
    #[display("{_0}")]
    Findings(conf::Findings),
    /// A call of the store failed; whether it took effect may be unknown.
    #[display("{_0}; nothing is known to have changed")]
    Store(store::StoreError),
    /// Another operator changed the configuration first; the store holds this
    /// revision now.
    #[from(skip)]
    #[display(
        "the configuration was changed by another operator: the store holds revision {_0} now; \
         check the changes with `diff` and apply again"
    )]
    Conflict(#[error(not(source))] u64),
    /// The command cannot be carried out, for instance because a named host or
    /// key does not exist; the text is the message.
    #[from(skip)]
    #[display("{_0}")]
    Failed(#[error(not(source))] String),
    /// The output cannot be written.
    #[display("the output cannot be written: {_0}")]
    Output(io::Error),
}

impl ClientError {
    /// The exit code: 2 where the command line or a file is invalid, otherwise 1.
    pub(crate) fn code(&self) -> u8 {
        match self {
            ClientError::Usage(_) | ClientError::Read { .. } | ClientError::Findings(_) => 2,
            ClientError::Store(_)
            | ClientError::Conflict(_)
            | ClientError::Failed(_)
            | ClientError::Output(_) => 1,
        }
    }
}
