//! Exponential backoff with jitter.
//!
//! Invariant: the delays of instances that failed at the same moment are spread
//! by jitter, so that they don't all reach a recovering store at once.

use core::time::Duration;

/// Bounds on the delays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Upper bound on the delay after the first failure.
    pub initial: Duration,
    /// Upper bound on every delay.
    pub max: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            initial: Duration::from_millis(50),
            max: Duration::from_secs(2),
        }
    }
}

/// Backoff state: the number of consecutive failures.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    bounds: Bounds,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff without failures.
    #[must_use]
    pub const fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            failures: 0,
        }
    }

    /// Records a failure and returns the delay before the next attempt. It is drawn
    /// between half of a span and the full span, which doubles with each failure up
    /// to the maximum.
    pub fn record_failure(&mut self, rng: &mut fastrand::Rng) -> Duration {
        let doubled = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        let span = self.bounds.initial.saturating_mul(doubled);
        let span = span.min(self.bounds.max);
        self.failures = self.failures.saturating_add(1);
        span.mul_f64(0.5 + 0.5 * rng.f64())
    }

    /// Records a success, which resets the delays.
    pub const fn record_success(&mut self) {
        self.failures = 0;
    }
}
