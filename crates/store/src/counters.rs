//! Counters of calls and failures, exported as metrics.
//!
//! Invariant: counters only grow.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::error::{Error, Kind};

/// Numbers of calls and of failures by kind, since the start.
#[derive(Debug, Default)]
pub struct Counters {
    calls: AtomicU64,
    failures: [AtomicU64; Kind::ALL.len()],
}

impl Counters {
    /// Returns the number of calls started, one for each address that was tried.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns the number of failed calls of one kind, whether or not they were sent.
    #[must_use]
    pub fn failures(&self, kind: Kind) -> u64 {
        self.failures[kind as usize].load(Ordering::Relaxed)
    }

    pub(crate) fn record_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn record_failure(&self, error: &Error) {
        self.failures[error.kind() as usize].fetch_add(1, Ordering::Relaxed);
    }
}
