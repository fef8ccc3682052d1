//! Repeats that this instance may send for a service, out of a budget that all
//! instances share.
//!
//! The bound is on a sum over instances: in any window, repeats stay under
//! `ratio` times the service's requests plus `slack`. Without a coordinator it
//! is divided so that the parts can never add up to more: each instance spends
//! `ratio` of the requests that it took itself, and its part of `slack` by the
//! number of instances. An instance that is dead or cut off spends nothing or
//! its own part.
//!
//! Invariant: within any [`Rule::window`], repeats of this instance stay at or
//! under its part.

use core::time::Duration;
use std::collections::VecDeque;

use crate::clock::Time;

/// The bound on repeats, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides, of all instances together.
    pub slack: f64,
    /// Span over which both are counted.
    pub window: Duration,
}

/// Part of the bound that is used. The rest covers requests that are counted in
/// one window here and in the next at the target.
const MARGIN: f64 = 0.8;

/// Repeats and requests of one service in the last window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

impl Budget {
    /// Notes a request that a caller sent.
    pub fn request(&mut self, now: Time, rule: &Rule) {
        forget(&mut self.requests, now, rule.window);
        self.requests.push_back(now);
    }

    /// Takes leave for a repeat, if `instances` share the bound.
    pub fn spend(&mut self, now: Time, rule: &Rule, instances: usize) -> bool {
        forget(&mut self.requests, now, rule.window);
        // A repeat stays counted a little longer than the window, since it
        // reaches its target a little later than it was counted.
        forget(&mut self.repeats, now, rule.window + rule.window / 8);
        #[allow(clippy::cast_precision_loss, reason = "counts of seconds are small")]
        let part = rule.ratio * self.requests.len() as f64 + rule.slack / instances.max(1) as f64;
        #[allow(clippy::cast_precision_loss, reason = "counts of seconds are small")]
        let used = self.repeats.len() as f64;
        let leave = used < (part * MARGIN).floor();
        if leave {
            self.repeats.push_back(now);
        }
        leave
    }
}

fn forget(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) >= window) {
        times.pop_front();
    }
}
