//! Growing, jittered pauses after failures.
//!
//! Invariant: pauses of instances that failed at the same moment differ, so
//! that a store which comes back is not met by all of them at once.

use core::time::Duration;

/// Bounds of the pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Longest first pause.
    pub initial: Duration,
    /// Longest pause.
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

/// Failures in a row.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    bounds: Bounds,
    failures: u32,
}

impl Backoff {
    /// After no failure.
    #[must_use]
    pub const fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            failures: 0,
        }
    }

    /// Counts a failure. Returns the pause before the next try: between half
    /// of a span, which doubles with each failure, and the whole span.
    pub fn record_failure(&mut self, rng: &mut fastrand::Rng) -> Duration {
        let doubled = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        let span = self.bounds.initial.saturating_mul(doubled);
        let span = span.min(self.bounds.max);
        self.failures = self.failures.saturating_add(1);
        span.mul_f64(0.5 + 0.5 * rng.f64())
    }

    /// Counts a success.
    pub const fn record_success(&mut self) {
        self.failures = 0;
    }
}
