//! Retry budget of one service, shared by all instances.
//!
//! The bound is on a sum over all instances: within any window, retries stay under
//! `ratio` times the service's requests plus `slack`. It is divided without a
//! coordinator, so that the allotments can never add up to more: each instance
//! spends `ratio` of the requests that it received itself, and `slack` over the
//! number of instances. An instance that is dead or cut off spends nothing or its
//! own allotment. A process that starts doesn't know what its predecessor has spent, nor
//! at first with how many it shares the slack, so it uses none of the slack until a
//! window has passed.
//!
//! Invariant: within any [`Rule::window`], the retries of this instance don't
//! exceed its allotment.

use core::time::Duration;
use std::collections::VecDeque;

use crate::clock::Time;

/// The bound on retries, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed besides, for all instances together.
    pub slack: f64,
    /// Span over which requests and retries are counted.
    pub window: Duration,
}

/// Part of the allotment that is used. The rest covers requests that are counted
/// in one window here and in the next at the target.
const USED_RATIO: f64 = 0.8;

/// Times of one service's requests and retries within the last window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
    refused: u64,
}

/// Use of the budget in the window that ends now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Use {
    /// Requests of callers.
    pub requests: usize,
    /// Retries.
    pub retries: usize,
    /// Retries that were not allowed, since the start of the process.
    pub refused: u64,
}

/// Permission for one retry, and what it was decided from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Time of the decision.
    pub at: Time,
    /// Use of the budget before it.
    pub used: Use,
    /// Number of instances that shared the bound.
    pub instances: usize,
}

impl Budget {
    /// Records a request from a caller.
    pub fn record_request(&mut self, now: Time, rule: &Rule) {
        remove_expired(&mut self.requests, now, rule.window);
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget if there is one left; `instances` is the
    /// number of instances that share the bound.
    #[allow(
        clippy::cast_precision_loss,
        reason = "counts within a window are small"
    )]
    pub fn try_spend(&mut self, now: Time, rule: &Rule, instances: usize) -> Option<Grant> {
        remove_expired(&mut self.requests, now, rule.window);
        // A retry stays counted for a little longer than the window, since it
        // reaches its target later than it is counted here.
        let counted_span = rule.window + rule.window / 8;
        remove_expired(&mut self.retries, now, counted_span);
        let slack = if now < Time::ZERO + counted_span {
            0.0
        } else {
            rule.slack / instances.max(1) as f64
        };
        let allotment = rule.ratio * self.requests.len() as f64 + slack;
        let used = self.retries.len() as f64;
        let is_allowed = used < (allotment * USED_RATIO).floor();
        if !is_allowed {
            self.refused += 1;
            return None;
        }
        let grant = Grant {
            at: now,
            used: self.recent_use(now, rule),
            instances,
        };
        self.retries.push_back(now);
        Some(grant)
    }

    /// Returns the use of the budget in the window that ends now.
    #[must_use]
    pub fn recent_use(&self, now: Time, rule: &Rule) -> Use {
        let count = |times: &VecDeque<Time>| {
            let is_recent = |at: &&Time| now.since(**at) < rule.window;
            times.iter().filter(is_recent).count()
        };
        Use {
            requests: count(&self.requests),
            retries: count(&self.retries),
            refused: self.refused,
        }
    }
}

fn remove_expired(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) >= window) {
        times.pop_front();
    }
}
