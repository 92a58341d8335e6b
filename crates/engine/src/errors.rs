//! What can go wrong at an engine.

/// Why an engine's call failed.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum EngineError {
    /// No connection was made: the engine was down before it saw the call.
    #[display("the engine is down: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The connection broke during the call: the engine may have died of it.
    #[display("the engine is gone: {_0}")]
    ConnectionLost(#[error(not(source))] String),
    /// The engine is connected but nothing came for too long.
    #[display("the engine has stalled")]
    Stalled,
    /// The prefilled result had died before it was imported.
    #[display("the prefilled result has expired")]
    Expired,
    /// The request was cancelled.
    #[display("the request was cancelled")]
    Cancelled,
    /// The order carried an old fencing number.
    #[display("the engine has seen a newer fencing number")]
    Fenced,
    /// The engine refused for another reason.
    #[display("the engine refused with status {_0}")]
    Refused(#[error(not(source))] u16),
}

impl EngineError {
    pub(crate) fn of_status(status: u16) -> Self {
        match status {
            409 => EngineError::Fenced,
            410 => EngineError::Expired,
            499 => EngineError::Cancelled,
            other => EngineError::Refused(other),
        }
    }

    pub(crate) fn of_http(error: ureq::Error) -> Self {
        match error {
            ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => {
                EngineError::Unreachable(error.to_string())
            }
            ureq::Error::Timeout(_) => EngineError::Stalled,
            ureq::Error::Io(io) => Self::of_io(&io),
            other => EngineError::ConnectionLost(other.to_string()),
        }
    }

    pub(crate) fn of_io(error: &std::io::Error) -> Self {
        match error.kind() {
            std::io::ErrorKind::TimedOut | std::io::ErrorKind::WouldBlock => EngineError::Stalled,
            std::io::ErrorKind::ConnectionRefused => EngineError::Unreachable(error.to_string()),
            _ => EngineError::ConnectionLost(error.to_string()),
        }
    }
}
