//! Counts of calls and failures, read by metrics.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::error::{Error, Kind};

/// Calls made and how they failed, since the start.
#[derive(Debug, Default)]
pub struct Counters {
    calls: AtomicU64,
    failures: [AtomicU64; Kind::ALL.len()],
}

impl Counters {
    /// Calls sent to the store.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Failures of one kind, whether or not the call was sent.
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
