//! Memory for the answer to one request, from before it is sent until its caller has
//! the answer.
//!
//! Invariant: it covers what is held of the answer, in a buffer of any capacity.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures_lite::future;

use super::{ANSWER_ALLOWANCE_BYTES, Charge};
use crate::direct::lock;

/// Longest time that an answer waits for memory. The target holds it meanwhile, and its
/// answer may wait there for seconds before it is cut off.
const ROOM_WAIT: Duration = Duration::from_millis(500);

/// Memory for an answer; released on drop.
#[derive(Debug)]
pub struct AnswerCharge {
    /// Name of the route.
    route: Arc<str>,
    allowance: Charge,
    /// What the answer takes beyond its allowance.
    long: Mutex<Charge>,
}

impl AnswerCharge {
    pub(super) fn new(route: Arc<str>, allowance: Charge, long: Charge) -> Self {
        let long = Mutex::new(long);
        Self {
            route,
            allowance,
            long,
        }
    }

    /// Bytes held.
    pub fn bytes(&self) -> usize {
        self.allowance.bytes + lock(&self.long).bytes
    }

    /// Takes the length of the complete answer into account for later ones of its route.
    pub fn record(&self, bytes: usize) {
        lock(&self.allowance.account.sizes).record(&self.route, bytes);
    }

    /// Changes the memory to that of an answer of this many bytes. Where there is no
    /// room, stalled callers are told to go and the answer waits a while. Returns
    /// whether it has room.
    pub async fn hold(&self, bytes: usize) -> bool {
        if self.try_hold(bytes) {
            return true;
        }
        let until = Instant::now() + ROOM_WAIT;
        loop {
            let released = self.allowance.account.released.listen();
            if self.try_hold(bytes) {
                return true;
            }
            self.allowance.account.evict(bytes);
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let late = async {
                smol::Timer::after(left).await;
            };
            future::or(released, late).await;
        }
    }

    /// As [`AnswerCharge::hold`], without waiting.
    #[must_use]
    pub fn try_hold(&self, bytes: usize) -> bool {
        let beyond = bytes.saturating_sub(ANSWER_ALLOWANCE_BYTES);
        lock(&self.long).resize(beyond)
    }
}
