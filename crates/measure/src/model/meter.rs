//! What crossed between regions, and by how much it passed a cap.
//!
//! Counted where it happens, apart from what the decisions count themselves.

use core::time::Duration;
use std::collections::VecDeque;

use steer::clock::Time;

/// A second, over which caps hold wherever it begins.
const SPAN: Duration = Duration::from_secs(1);

/// What crossed one route.
#[derive(Clone, Debug)]
pub struct Meter {
    cap: u64,
    recent: VecDeque<(Time, u64)>,
    sum: u64,
    most: u64,
}

impl Meter {
    /// A meter for a route of this cap per second.
    #[must_use]
    pub const fn new(cap: u64) -> Self {
        Self {
            cap,
            recent: VecDeque::new(),
            sum: 0,
            most: 0,
        }
    }

    /// Something crossed.
    pub fn add(&mut self, now: Time, amount: u64) {
        while let Some(&(at, old)) = self.recent.front() {
            if now.since(at) < SPAN {
                break;
            }
            self.recent.pop_front();
            self.sum -= old;
        }
        self.recent.push_back((now, amount));
        self.sum += amount;
        self.most = self.most.max(self.sum);
    }

    /// Largest sum within any second.
    #[must_use]
    pub const fn most(&self) -> u64 {
        self.most
    }

    /// By how much that passed the cap.
    #[must_use]
    pub const fn over(&self) -> u64 {
        self.most.saturating_sub(self.cap)
    }
}
