//! Why a command fails, in words an operator can act on.

use std::io;

/// A command's failure.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub(crate) enum ClientError {
    /// The command line is wrong.
    #[from(skip)]
    #[display("{_0}")]
    Usage(#[error(not(source))] String),
    /// A file can't be read.
    #[from(skip)]
    #[display("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// Files are wrong.
    #[display("{_0}")]
    Findings(conf::Findings),
    /// The store does not answer.
    #[display("{_0}; nothing is known to have changed")]
    Store(store::StoreError),
    /// Somebody else changed the configuration first.
    #[from(skip)]
    #[display(
        "another operator was faster: revision {_0} is in the store now; \
         look at `diff` and apply again"
    )]
    Overtaken(#[error(not(source))] u64),
    /// What was asked for isn't there.
    #[from(skip)]
    #[display("{_0}")]
    Unknown(#[error(not(source))] String),
    /// The output can't be written.
    #[display("the output cannot be written: {_0}")]
    Output(io::Error),
}

impl ClientError {
    /// The exit code: 2 where the words or files are wrong, else 1.
    pub(crate) fn code(&self) -> u8 {
        match self {
            ClientError::Usage(_) | ClientError::Read { .. } | ClientError::Findings(_) => 2,
            ClientError::Store(_)
            | ClientError::Overtaken(_)
            | ClientError::Unknown(_)
            | ClientError::Output(_) => 1,
        }
    }
}
