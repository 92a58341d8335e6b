//! Enforces the allowances of organisations over the whole fleet without a shared
//! counter.
//!
//! Each organisation's rate and burst are divided among the entries. Only the entry
//! that holds a share spends it. It may lend tokens from its share for immediate use,
//! and gets a different share only with a new epoch. docs/DESIGN.md, "Allowances",
//! shows why the sum of all shares therefore never exceeds the allowance.

mod bucket;
mod division;
mod escrow;

pub use bucket::{ChargeId, TokenBucket};
pub use division::{Division, ShareTracker};
pub use escrow::{Admission, Escrow};

/// How long the borrower may use a loan, from its request on and by the borrower's
/// clock. The lender's capacity stays reduced for the same time, from the loan on and
/// by the lender's clock.
pub const LOAN_LIFETIME: std::time::Duration = std::time::Duration::from_secs(1);
