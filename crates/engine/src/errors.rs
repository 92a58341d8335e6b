//! Errors of calls to an engine.

/// Why a call to an engine failed.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum EngineError {
    /// No connection could be made, so the engine did not see the call.
    #[display("the engine is down: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The connection broke during the call; the call may have crashed the engine.
    #[display("the engine is gone: {_0}")]
    ConnectionLost(#[error(not(source))] String),
    /// The engine is connected but sent nothing within the timeout.
    #[display("the engine has stalled")]
    Stalled,
    /// The prefill result expired before it was imported.
    #[display("the prefilled result has expired")]
    Expired,
    /// The request was cancelled.
    #[display("the request was cancelled")]
    Cancelled,
    /// The order's fencing number is lower than one that the engine has seen.
    #[display("the engine has seen a newer fencing number")]
    Fenced,
    /// The engine responded with another error status.
    #[display("the engine refused with status {_0}")]
    Refused(#[error(not(source))] u16),
}

impl EngineError {
    /// Maps the status of an engine's response; all except 200 are errors.
    pub(crate) fn from_status(status: u16) -> Self {
        match status {
            409 => EngineError::Fenced,
            410 => EngineError::Expired,
            499 => EngineError::Cancelled,
            other => EngineError::Refused(other),
        }
    }

    /// Maps an error of the HTTP client.
    pub(crate) fn from_http(error: ureq::Error) -> Self {
        match error {
            ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => {
                EngineError::Unreachable(error.to_string())
            }
            ureq::Error::Timeout(_) => EngineError::Stalled,
            ureq::Error::Io(io) => Self::from_io(&io),
            other => EngineError::ConnectionLost(other.to_string()),
        }
    }

    /// Maps an I/O error of a connection or of reading a response.
    pub(crate) fn from_io(error: &std::io::Error) -> Self {
        match error.kind() {
            std::io::ErrorKind::TimedOut | std::io::ErrorKind::WouldBlock => EngineError::Stalled,
            std::io::ErrorKind::ConnectionRefused => EngineError::Unreachable(error.to_string()),
            _ => EngineError::ConnectionLost(error.to_string()),
        }
    }
}
