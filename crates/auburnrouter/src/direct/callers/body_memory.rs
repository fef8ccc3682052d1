//! Memory accounting for the bodies of callers' requests.
//!
//! Invariant: the bytes reserved by all requests together never exceed
//! 1/[`MEMORY_DIVISOR`] of the process's memory limit.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::super::Shared;

/// Callers' bodies together may take this fraction (1/n) of the memory limit.
/// Each body is buffered in full here, and a second time where it is sent.
const MEMORY_DIVISOR: usize = 4;

/// Memory reserved for one body; released on drop, when its request ends.
/// Without the reservation, a few callers with long bodies would get the process
/// killed for its memory, along with the requests of all others.
pub struct Reservation {
    total: Arc<AtomicUsize>,
    bytes: usize,
}

impl Reservation {
    /// Reserves `length` bytes as announced by the request, or `max` bytes for a
    /// body of unknown length. `None` if the memory for bodies is used up.
    pub fn take(shared: &Shared, max: usize, length: Option<u64>) -> Option<Self> {
        let announced = length.and_then(|b| usize::try_from(b).ok()).unwrap_or(max);
        let memory = usize::try_from(shared.settings.memory_mb).unwrap_or(usize::MAX);
        let capacity = memory.saturating_mul(1 << 20) / MEMORY_DIVISOR;
        // The configured body limit may exceed any memory: the clamp keeps the sum
        // below from overflowing.
        let bytes = announced.min(max).min(capacity.saturating_add(1));
        let reservation = Self {
            total: Arc::clone(&shared.body_bytes),
            bytes,
        };
        let before = reservation.total.fetch_add(bytes, Ordering::Relaxed);
        // If it doesn't fit, the drop of `reservation` subtracts its bytes again.
        (before + bytes <= capacity).then_some(reservation)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
