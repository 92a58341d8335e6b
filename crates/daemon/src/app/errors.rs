//! Why a daemon does not start.

use std::io;
use std::net;

/// What keeps a daemon from starting.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub(crate) enum StartError {
    /// The command line is wrong.
    #[display("{_0}")]
    Usage(#[error(not(source))] String),
    /// The settings file can't be read.
    #[display("{path}: {source}")]
    ReadFile {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// The settings are wrong.
    #[display("{_0}")]
    Settings(conf::Findings),
    /// The platform's settings are missing or wrong.
    #[display("{_0}")]
    Platform(platform::BootError),
    /// An address can't be listened on.
    #[display("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The system refuses a thread or a signal handler.
    #[display("the system refuses what a daemon needs: {_0}")]
    System(io::Error),
}

impl StartError {
    /// The exit code: 2 where the user can mend it, else 1.
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
