//! What can go wrong between a process and the store.

/// Why a call to the store gave no result.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum StoreError {
    /// The store can't be reached; the call had no effect.
    #[display("the store cannot be reached: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The answer was lost; a write may have taken effect.
    #[display("the store's answer was lost: {_0}")]
    ResponseLost(#[error(not(source))] String),
    /// This process has spent its calls for now; the call wasn't made.
    #[display("this process has spent its store calls for now")]
    RateLimited,
    /// The store refused or answered with something else than its protocol.
    #[display("the store refused: {_0}")]
    Refused(#[error(not(source))] String),
}
