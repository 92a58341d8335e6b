//! Errors that prevent the daemon from starting.

use std::io;
use std::net;

/// The reason why the daemon could not start.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub(crate) enum StartError {
    /// The command line is invalid, or a setting that the role needs is missing.
    #[display("{_0}")]
    Usage(#[error(not(source))] String),
    /// The settings file cannot be read.
    #[display("{path}: {source}")]
    ReadFile {
        /// Path of the settings file.
        path: String,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The settings file is invalid.
    #[display("{_0}")]
    Settings(conf::Findings),
    /// The settings provided by the platform are missing or invalid.
    #[display("{_0}")]
    Platform(platform::SettingsError),
    /// An address cannot be bound.
    #[display("cannot listen on {address}: {source}")]
    Listen {
        /// The address that could not be bound.
        address: net::SocketAddr,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The operating system refused a thread, a runtime or a signal handler.
    #[display("operating system error: {_0}")]
    System(io::Error),
}

impl StartError {
    /// Process exit code: 2 for errors that the user can correct, 1 for all
    /// others.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            StartError::Usage(_)
            | StartError::ReadFile { .. }
            | StartError::Settings(_)
            | StartError::Platform(_) => 2,
            StartError::Listen { .. } | StartError::System(_) => 1,
        }
    }
}
