//! Retry budget of one service, shared by all instances.
//!
//! The bound is on a sum over all instances: of the retries that reach targets within any
//! window, at most `ratio` times the service's requests, plus `slack`. The operator counts
//! the requests that callers sent in that window, in the one before or in the one half a window
//! before, whichever are most; the first two are enough for what follows.
//! The bound is divided without a coordinator:
//!
//! - Each request earns half of `ratio` at the instance that receives it, and what it has
//!   earned is soon lost. All retries that reach targets within a window are then earned by
//!   requests of that window and the one before, and half of the sum of both is at most the
//!   larger one, however the requests are spread over time and instances.
//! - Each instance uses `slack` over the number of instances. A process that starts doesn't
//!   know what its predecessor has used, so it uses none of the slack until a window has
//!   passed, nor until it has known the other instances for as long.
//!
//! Invariant: the retries of this instance that reach targets within any [`Rule::window`]
//! don't exceed what the requests of that window and the one before have earned and its part
//! of the slack, by more than one.

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

/// Part of the ratio that a request earns, so that the requests of two windows may earn
/// retries that arrive in one.
const EARNED_PART: f64 = 0.5;

/// One retry in the unit of [`Budget::fraction`], which adds up without rounding.
const MILLION: u64 = 1_000_000;

/// Fraction of the window after which what a request has earned is lost. The rest of the
/// window covers a request that is read late, and a retry that is sent and arrives late.
const EARNED_LIFE_RATIO: f64 = 0.6;

/// Fraction of the window for which a retry may wait to be sent once it is allowed.
const GRANT_LIFE_RATIO: f64 = 0.1;

/// Part of the slack that is used. The rest covers what has been earned in part at each
/// instance.
const SLACK_USED_RATIO: f64 = 0.8;

/// Windows for which a use of the slack is counted, since a retry reaches its target later
/// than it is counted here.
const SLACK_COUNTED_WINDOWS: f64 = 1.25;

/// Times of one service's requests and retries within the last window, and what is left to
/// use.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
    /// Retries that requests have earned and that are not used yet, by the time of the
    /// request.
    earned: VecDeque<Time>,
    /// Millionths of a retry that requests have earned besides.
    fraction: u64,
    /// Uses of the slack.
    slack_uses: VecDeque<Time>,
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
    /// Whether a request earned it; otherwise it is a use of the slack.
    pub is_earned: bool,
    /// Use of the budget before it.
    pub used: Use,
    /// Number of instances that shared the bound.
    pub instances: usize,
}

impl Grant {
    /// Whether a retry that is sent now is still covered by this permission.
    #[must_use]
    pub fn is_valid(&self, now: Time, rule: &Rule) -> bool {
        now.since(self.at) < rule.window.mul_f64(GRANT_LIFE_RATIO)
    }
}

impl Rule {
    /// Millionths of a retry that a request earns.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a ratio is small and not negative"
    )]
    fn earned_by_request(&self) -> u64 {
        (self.ratio * EARNED_PART * MILLION as f64) as u64
    }

    /// Time for which a use of the slack is counted, and for which a process that starts
    /// uses none.
    #[must_use]
    pub fn slack_span(&self) -> Duration {
        self.window.mul_f64(SLACK_COUNTED_WINDOWS)
    }
}

impl Budget {
    /// Records a request from a caller.
    pub fn record_request(&mut self, now: Time, rule: &Rule) {
        remove_expired(&mut self.requests, now, rule.window);
        self.requests.push_back(now);
        self.fraction += rule.earned_by_request();
        while self.fraction >= MILLION {
            self.fraction -= MILLION;
            self.earned.push_back(now);
        }
        self.remove_lost(now, rule);
    }

    /// Takes one retry from the budget if there is one left; `instances` is the
    /// number of instances that share the bound.
    pub fn try_spend(&mut self, now: Time, rule: &Rule, instances: usize) -> Option<Grant> {
        self.remove_lost(now, rule);
        let is_earned = self.earned.pop_front().is_some();
        if !is_earned && !self.try_use_slack(now, rule, instances) {
            self.refused += 1;
            return None;
        }
        remove_expired(&mut self.requests, now, rule.window);
        remove_expired(&mut self.retries, now, rule.window);
        let grant = Grant {
            at: now,
            is_earned,
            used: Use {
                requests: self.requests.len(),
                retries: self.retries.len(),
                refused: self.refused,
            },
            instances,
        };
        self.retries.push_back(now);
        Some(grant)
    }

    /// Replaces a permission that is no longer valid by one of now, if there is one left. The
    /// retry was not sent yet.
    pub fn renew(
        &mut self,
        now: Time,
        rule: &Rule,
        instances: usize,
        grant: &Grant,
    ) -> Option<Grant> {
        remove_one(&mut self.retries, grant.at);
        if !grant.is_earned {
            remove_one(&mut self.slack_uses, grant.at);
        }
        self.try_spend(now, rule, instances)
    }

    #[allow(
        clippy::cast_precision_loss,
        reason = "counts within a window are small"
    )]
    fn try_use_slack(&mut self, now: Time, rule: &Rule, instances: usize) -> bool {
        let span = rule.slack_span();
        remove_expired(&mut self.slack_uses, now, span);
        let part = rule.slack * SLACK_USED_RATIO / instances.max(1) as f64;
        let is_allowed = now >= Time::ZERO + span && (self.slack_uses.len() as f64) < part.floor();
        if is_allowed {
            self.slack_uses.push_back(now);
        }
        is_allowed
    }

    /// Removes what was earned too long ago.
    fn remove_lost(&mut self, now: Time, rule: &Rule) {
        let life = rule.window.mul_f64(EARNED_LIFE_RATIO);
        remove_expired(&mut self.earned, now, life);
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

/// Removes one entry of this time, if there is one.
fn remove_one(times: &mut VecDeque<Time>, at: Time) {
    if let Ok(index) = times.binary_search(&at) {
        times.remove(index);
    }
}
