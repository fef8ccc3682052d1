//! Callers that take nothing of their answers, and which of them go first while memory
//! is short.
//!
//! Invariant: a caller that has taken bytes within [`STALL_MIN`] is never told to go.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::Waker;
use std::time::{Duration, Instant};

use futures_util::task::AtomicWaker;

use crate::direct::lock;

/// Time without a byte taken after which a caller may be told to go. A lost packet is
/// sent again within it.
const STALL_MIN: Duration = Duration::from_secs(1);

/// All callers that take nothing now, the longest stalled first.
#[derive(Debug, Default)]
pub(super) struct Stalls(Mutex<Vec<Arc<Entry>>>);

/// One of these callers.
#[derive(Debug)]
struct Entry {
    since: Instant,
    /// Bytes of its answers.
    bytes: usize,
    is_evicted: AtomicBool,
    waker: AtomicWaker,
}

/// Lists a connection among those whose callers take nothing, until it is dropped.
#[derive(Debug)]
pub struct Stall {
    account: Arc<super::Account>,
    entry: Arc<Entry>,
}

impl Stall {
    /// Whether the connection is to be closed. If not, the waker is called when it is.
    pub fn is_evicted(&self, waker: &Waker) -> bool {
        self.entry.waker.register(waker);
        self.entry.is_evicted.load(Ordering::Acquire)
    }

    /// Bytes of the answers that its caller doesn't take.
    pub fn bytes(&self) -> usize {
        self.entry.bytes
    }

    /// Time for which its caller has taken nothing.
    pub fn elapsed(&self) -> Duration {
        self.entry.since.elapsed()
    }
}

impl Drop for Stall {
    fn drop(&mut self) {
        let mut entries = lock(&self.account.stalls.0);
        entries.retain(|entry| !Arc::ptr_eq(entry, &self.entry));
    }
}

impl Stalls {
    /// Lists a connection whose caller takes nothing from now on of this many bytes.
    pub(super) fn begin(account: &Arc<super::Account>, bytes: usize) -> Stall {
        let entry = Arc::new(Entry {
            since: Instant::now(),
            bytes,
            is_evicted: AtomicBool::new(false),
            waker: AtomicWaker::new(),
        });
        // The newest comes last, so the order holds.
        lock(&account.stalls.0).push(Arc::clone(&entry));
        Stall {
            account: Arc::clone(account),
            entry,
        }
    }

    /// Tells callers to go, the longest stalled first, until they hold `bytes` together.
    /// Those told before and not gone yet count.
    pub(super) fn evict(&self, bytes: usize) {
        let mut released = 0;
        for entry in lock(&self.0).iter() {
            if released >= bytes || entry.since.elapsed() < STALL_MIN {
                return;
            }
            released += entry.bytes;
            if !entry.is_evicted.swap(true, Ordering::AcqRel) {
                entry.waker.wake();
            }
        }
    }
}
