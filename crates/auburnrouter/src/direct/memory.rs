//! Memory account for bodies: those of callers' requests, and those of answers until
//! they are written to their callers.
//!
//! A caller that reads slowly, or not at all, keeps its answers here. They are charged
//! in any case, as a request that ran must be answered. So the account turns away
//! requests before they run while it is used up, and a request reserves room for a
//! usual answer before it is sent.
//!
//! Invariants: what is reserved never exceeds 1/[`RESERVABLE_DIVISOR`] of the process's
//! memory limit, and all bytes together never exceed 1/[`TOTAL_DIVISOR`] of it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Fraction (1/n) of the memory limit up to which requests may reserve memory. Each
/// body is buffered in full here, and a second time where it is sent.
const RESERVABLE_DIVISOR: usize = 4;

/// Fraction (1/n) of the memory limit beyond which answers are given up.
const TOTAL_DIVISOR: usize = 2;

/// Bytes reserved for the answer to a request before it is sent.
const ANSWER_ALLOWANCE_BYTES: usize = 16 * 1024;

/// Bytes of all bodies that this process holds.
#[derive(Debug)]
pub struct Account {
    used: AtomicUsize,
    /// Memory limit of the process in bytes.
    limit: usize,
}

/// Bytes in an account; released on drop.
#[derive(Debug)]
pub struct Charge {
    account: Arc<Account>,
    bytes: usize,
}

impl Account {
    /// An empty account of a process that may use this much memory.
    pub fn new(memory_mb: u64) -> Self {
        let memory = usize::try_from(memory_mb).unwrap_or(usize::MAX);
        Self {
            used: AtomicUsize::new(0),
            limit: memory.saturating_mul(1 << 20),
        }
    }

    /// Bytes held.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Reserves memory for a request body of `length` bytes, as it announces, or of
    /// `max` bytes if it announces nothing. `None` if the account is used up.
    pub fn reserve_body(self: &Arc<Self>, max: usize, length: Option<u64>) -> Option<Charge> {
        let announced = length.and_then(|b| usize::try_from(b).ok()).unwrap_or(max);
        self.take(announced.min(max), self.limit / RESERVABLE_DIVISOR)
    }

    /// Reserves memory for a usual answer, before its request is sent. `None` if the
    /// account is used up.
    pub fn reserve_answer(self: &Arc<Self>) -> Option<Charge> {
        self.take(ANSWER_ALLOWANCE_BYTES, self.limit / RESERVABLE_DIVISOR)
    }

    /// Begins the charge for an answer that is being read.
    pub fn begin_answer(self: &Arc<Self>) -> Charge {
        Charge {
            account: Arc::clone(self),
            bytes: 0,
        }
    }

    fn take(self: &Arc<Self>, bytes: usize, capacity: usize) -> Option<Charge> {
        let mut charge = self.begin_answer();
        charge.add_within(bytes, capacity).then_some(charge)
    }
}

impl Charge {
    /// Adds bytes of an answer. Returns whether there is room for them; if not, nothing
    /// is added.
    #[must_use]
    pub fn add(&mut self, bytes: usize) -> bool {
        self.add_within(bytes, self.account.limit / TOTAL_DIVISOR)
    }

    fn add_within(&mut self, bytes: usize, capacity: usize) -> bool {
        let grown = |used: usize| used.checked_add(bytes).filter(|used| *used <= capacity);
        let used = &self.account.used;
        let is_added = used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, grown)
            .is_ok();
        if is_added {
            self.bytes += bytes;
        }
        is_added
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.account.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
