//! Bounds on the memory that a host uses for the bodies of requests and answers.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;

/// Bytes that each body may hold without a share of the budget, so that short bodies and events do not
/// depend on long ones.
const FREE_BYTES: usize = 32 << 10;

/// Memory for bodies that are held before they are passed on, shared by all exchanges of a host.
#[derive(Debug)]
pub struct MemoryBudget {
    /// Bytes that all shares together may have.
    limit: usize,
    used: AtomicUsize,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self { limit, used: AtomicUsize::new(0) })
    }

    /// The share of a body of which nothing is held yet.
    pub fn share(self: &Arc<Self>) -> BudgetShare {
        BudgetShare { budget: Arc::clone(self), taken: 0 }
    }

    /// Bytes that all shares have.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

/// Part of an [`MemoryBudget`] that one body has; dropping it returns it.
#[derive(Debug)]
pub struct BudgetShare {
    budget: Arc<MemoryBudget>,
    taken: usize,
}

impl BudgetShare {
    /// Makes the share fit a body of which `held` bytes are held. Returns false, and changes nothing,
    /// if the budget does not have that much.
    pub fn resize(&mut self, held: usize) -> bool {
        let (wanted, taken) = (held.saturating_sub(FREE_BYTES), self.taken);
        let limit = self.budget.limit;
        let resized = self.budget.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            let used = (used - taken).saturating_add(wanted);
            (wanted <= taken || used <= limit).then_some(used)
        });
        if resized.is_ok() {
            self.taken = wanted;
        }
        resized.is_ok()
    }

    /// Binds the share to `bytes`, so that it is returned when they are dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if self.taken == 0 {
            return bytes;
        }
        Bytes::from_owner(SharedBytes { bytes, _share: self })
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.taken, Ordering::Relaxed);
    }
}

/// Bytes that have a share of the budget.
struct SharedBytes {
    bytes: Bytes,
    _share: BudgetShare,
}

impl AsRef<[u8]> for SharedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
