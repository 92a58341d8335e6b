//! Errors of calls to the store.

/// Why a call to the store gave no result.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum StoreError {
    /// No connection could be made, so the call had no effect.
    #[display("the store cannot be reached: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// No response arrived; a write may have taken effect.
    #[display("the store's answer was lost: {_0}")]
    ResponseLost(#[error(not(source))] String),
    /// The process has reached its rate limit, so the call was not made.
    #[display("this process has reached its rate limit of store calls")]
    RateLimited,
    /// The store rejected the call or its response is invalid.
    #[display("the store refused: {_0}")]
    Refused(#[error(not(source))] String),
}
