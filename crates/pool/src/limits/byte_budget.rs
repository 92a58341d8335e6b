//! Bounds the bytes of requests and answers that a process holds at once.
//!
//! Many large bodies may come together, from callers or from hosts in trouble. What doesn't
//! fit is refused or ends one answer, instead of ending the process with all it serves.

/// Part of the memory that bodies may take together. The rest is for connections, the state of
/// the process, and the space that an allocator can't reuse.
const BODY_SHARE: f64 = 0.4;
/// Part of the memory that large bodies may take. What is between the two is kept for small
/// ones, so that a few large bodies don't shut all others out.
const LARGE_SHARE: f64 = 0.3;
/// A body up to this length is small.
const SMALL_BYTES: usize = 64 * 1024;
const BYTES_PER_MB: f64 = 1_000_000.0;
/// Memory in megabytes that a process takes on a small host beside its bodies and connections.
const PROCESS_MB: u64 = 36;
/// Part of a host's memory that bodies may take at least, however small it is.
const MIN_BODY_SHARE: f64 = 0.1;

/// Account of the bytes that are held.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    held: usize,
    limit: usize,
    large_limit: usize,
}

impl ByteBudget {
    /// Creates the budget of a process with this memory, with nothing held.
    pub fn new(memory_mb: u64) -> Self {
        let memory = memory_mb as f64;
        let free = memory_mb.saturating_sub(PROCESS_MB) as f64;
        let limit = (memory * BODY_SHARE).min(free.max(memory * MIN_BODY_SHARE)) * BYTES_PER_MB;
        Self {
            held: 0,
            limit: limit as usize,
            large_limit: (limit * LARGE_SHARE / BODY_SHARE) as usize,
        }
    }

    /// Creates the budget of a listener that may hold this number of bytes, with nothing held.
    pub fn with_limit(limit: usize) -> Self {
        Self {
            held: 0,
            limit,
            large_limit: limit,
        }
    }

    /// Takes the bytes by which a body grows to `total`; returns false if they don't fit.
    pub fn try_grow(&mut self, from: usize, total: usize) -> bool {
        let limit = match total > SMALL_BYTES {
            true => self.large_limit,
            false => self.limit,
        };
        let added = total.saturating_sub(from);
        let is_fitting = self.held.saturating_add(added) <= limit;
        if is_fitting {
            self.held += added;
        }
        is_fitting
    }

    /// Takes bytes that can't be refused any more, whether they fit or not.
    pub fn take(&mut self, bytes: usize) {
        self.held = self.held.saturating_add(bytes);
    }

    /// Gives bytes back.
    pub fn release(&mut self, bytes: usize) {
        debug_assert!(bytes <= self.held, "{bytes} of {}", self.held);
        self.held = self.held.saturating_sub(bytes);
    }

    /// Returns whether so many bytes more fit.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.held.saturating_add(bytes) <= self.limit
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the number of bytes that may be held.
    pub fn limit(&self) -> usize {
        self.limit
    }
}
