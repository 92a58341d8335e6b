//! The process's own limit of open file descriptors.

use std::fs;

/// Where the kernel shows the limits of this process.
const LIMITS_PATH: &str = "/proc/self/limits";
/// The row of the limit, whose first figure is the one in force.
const ROW: &str = "Max open files";

/// Returns the number of descriptors that this process may have open; none if the kernel doesn't
/// tell, or sets no limit.
pub(crate) fn soft_limit() -> Option<u64> {
    let limits = fs::read_to_string(LIMITS_PATH).ok()?;
    let row = limits.lines().find_map(|line| line.strip_prefix(ROW))?;
    row.split_whitespace().next()?.parse().ok()
}
