//! Limits of one instance, and everything else that can be set about it.
//!
//! Invariant: with [`Tuning::default`] every safeguard is on.

use core::time::Duration;

use crate::process::safeguard::Safeguards;
use crate::process::target::choose::Policy;

/// Bounds of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests in flight.
    pub in_flight: usize,
    /// Requests waiting.
    pub queue: usize,
    /// Share of both that one caller may have, in percent.
    pub caller_percent: usize,
    /// Share of both that one service may have, in percent.
    pub service_percent: usize,
    /// Longest expected time in the queue. Past it waiting adds latency and no
    /// throughput; short where latency counts, longer where refusals do.
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
    /// Requests that one caller may have here.
    #[must_use]
    pub const fn per_caller(&self) -> usize {
        (self.in_flight + self.queue) * self.caller_percent / 100
    }

    /// Requests that one service may have here.
    #[must_use]
    pub const fn per_service(&self) -> usize {
        (self.in_flight + self.queue) * self.service_percent / 100
    }
}

/// Everything that can be set about a dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tuning {
    /// Bounds.
    pub limits: Limits,
    /// How targets are chosen.
    pub policy: Policy,
    /// Safeguards that are on.
    pub safeguards: Safeguards,
}
