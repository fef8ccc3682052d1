//! Limits, policy and safeguards of one dispatcher.
//!
//! Invariant: with [`Tuning::default`] every safeguard is on.

use core::time::Duration;

use crate::process::safeguard::Safeguards;
use crate::process::target::choose::Policy;

/// Limits of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum of requests in flight.
    pub in_flight: usize,
    /// Maximum of requests that wait, over all services.
    pub queue: usize,
    /// Share of `in_flight` and `queue` together that one caller may use, in
    /// percent.
    pub caller_percent: usize,
    /// Share of `in_flight` and `queue` together that one service may use, in
    /// percent.
    pub service_percent: usize,
    /// Maximum of the expected time in the queue. A longer wait adds latency
    /// and no throughput. Low values favour latency, high ones fewer refusals.
    pub wait_max: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            in_flight: 1024,
            queue: 256,
            caller_percent: 25,
            service_percent: 60,
            wait_max: Duration::from_millis(250),
        }
    }
}

impl Limits {
    /// Requests that one caller may have in flight or waiting.
    #[must_use]
    pub const fn per_caller(&self) -> usize {
        (self.in_flight + self.queue) * self.caller_percent / 100
    }

    /// Requests that one service may have in flight or waiting.
    #[must_use]
    pub const fn per_service(&self) -> usize {
        (self.in_flight + self.queue) * self.service_percent / 100
    }
}

/// Settings of a dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tuning {
    /// Limits of the instance.
    pub limits: Limits,
    /// Load balancing policy among targets.
    pub policy: Policy,
    /// Safeguards that are enabled.
    pub safeguards: Safeguards,
}
