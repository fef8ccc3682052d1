//! How large a team's bucket is, and how fast it is filled.
//!
//! Invariant: what the bucket holds and what is added to it within the operator's
//! window stay within what he allows in it.

use core::time::Duration;

use crate::version::teams::Quota;

/// What the operator allows beyond a quota.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rule {
    /// Span over which a team's requests are counted.
    pub window: Duration,
    /// Part of the quota in that span that may be admitted beyond it.
    pub excess: f64,
    /// Requests that may be admitted besides.
    pub slack: f64,
}

/// Part of what is allowed beyond a quota that tokens are held in stock for. The
/// rest covers changes of who shares a bucket.
const CAPACITY_RATIO: f64 = 0.7;

/// Part of a burst that is added to the rate over the window, in place of tokens
/// held for it: a team at its limit gets all that the window allows.
const BURST_RATE_RATIO: f64 = 0.8;

impl Rule {
    fn excess_allowance(&self, quota: &Quota) -> f64 {
        let window = quota.rate * self.window.as_secs_f64() + quota.burst;
        window * self.excess + self.slack
    }

    /// Tokens of a bucket.
    #[must_use]
    pub fn capacity(&self, quota: &Quota) -> f64 {
        (quota.burst * (1.0 - BURST_RATE_RATIO) + self.excess_allowance(quota) * CAPACITY_RATIO)
            .max(1.0)
    }

    /// Tokens a second that are added to it.
    #[must_use]
    pub fn rate(&self, quota: &Quota) -> f64 {
        quota.rate + quota.burst * BURST_RATE_RATIO / self.window.as_secs_f64().max(1.0)
    }
}
