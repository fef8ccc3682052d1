//! Capacity and refill rate of a team's bucket.
//!
//! Invariant: the capacity plus what is added within the operator's window stays within
//! what the operator allows in that window.

use core::time::Duration;

use crate::version::teams::Quota;

/// Requests that the operator allows beyond a quota.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rule {
    /// Window over which a team's requests are counted.
    pub window: Duration,
    /// Fraction of the quota in the window that may be admitted beyond it.
    pub excess: f64,
    /// Further requests that may be admitted in the window.
    pub slack: f64,
}

/// Fraction of the allowed excess that becomes capacity. The rest covers changes of the
/// set of instances that share a bucket.
const CAPACITY_RATIO: f64 = 0.7;

/// Fraction of a burst that is added to the rate over the window instead of to the
/// capacity, so that a team at its limit gets all that the window allows.
const BURST_RATE_RATIO: f64 = 0.8;

impl Rule {
    fn excess_allowance(&self, quota: &Quota) -> f64 {
        let window = quota.rate * self.window.as_secs_f64() + quota.burst;
        window * self.excess + self.slack
    }

    /// Capacity of a team's bucket, in tokens.
    #[must_use]
    pub fn capacity(&self, quota: &Quota) -> f64 {
        (quota.burst * (1.0 - BURST_RATE_RATIO) + self.excess_allowance(quota) * CAPACITY_RATIO)
            .max(1.0)
    }

    /// Refill rate of a team's bucket, in tokens a second.
    #[must_use]
    pub fn rate(&self, quota: &Quota) -> f64 {
        quota.rate + quota.burst * BURST_RATE_RATIO / self.window.as_secs_f64().max(1.0)
    }
}
