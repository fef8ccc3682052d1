//! Memory for callers' bodies.
//!
//! Invariant: what is held for bodies together stays within a part of the
//! process's memory.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::super::Shared;

/// Part of the process's memory that callers' bodies may take together. Each
/// is held whole, and once more where it is sent.
const BODIES: usize = 4;

/// Memory for one body, for as long as its request is here. A few callers with
/// long bodies would otherwise have the process killed, with all others'
/// requests.
pub struct Room {
    held: Arc<AtomicUsize>,
    bytes: usize,
}

impl Room {
    /// Room for a body of the length that the request says, or of `most` bytes.
    pub fn take(shared: &Shared, most: usize, length: Option<u64>) -> Option<Self> {
        let said = length.and_then(|b| usize::try_from(b).ok()).unwrap_or(most);
        let memory = usize::try_from(shared.settings.memory).unwrap_or(usize::MAX);
        let all = memory.saturating_mul(1 << 20) / BODIES;
        // An operator's limit may be larger than any memory.
        let bytes = said.min(most).min(all.saturating_add(1));
        let room = Self {
            held: Arc::clone(&shared.body_bytes),
            bytes,
        };
        let before = room.held.fetch_add(bytes, Ordering::Relaxed);
        // Dropped here, it gives back what it has just taken.
        (before + bytes <= all).then_some(room)
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
