//! Allowances that hold over the whole fleet without a shared counter.
//!
//! Each organisation's rate and burst are divided among entries in slices. A
//! slice is spent by its holder alone, lent for immediate use, and redrawn only
//! by an epoch; why the sum then never passes the allowance is shown in
//! docs/DESIGN.md, "Allowances".

mod bucket;
mod division;
mod escrow;

pub use bucket::{ChargeId, TokenBucket};
pub use division::{Division, ShareTracker};
pub use escrow::{Admission, Escrow};

/// How long a loan may be used after it was asked for, by the borrower's clock,
/// and how long the lender's capacity stays lowered for it, by the lender's.
pub const LOAN_LIFETIME: std::time::Duration = std::time::Duration::from_secs(1);
