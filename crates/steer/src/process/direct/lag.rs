//! How far this instance's knowledge may lag behind the platform's store, and how that
//! time is divided along the chain of instances that read from each other.
//!
//! News passes from the store to the reader of a region, on to the readers of its other
//! failure domains and down their trees. The operator bounds the time until every
//! instance acts on it: targets that leave, evacuations, configurations, revoked keys.
//! The shortest of these bounds is the budget of the whole chain. Whoever reads the store
//! confirms what it knows within a fixed part of the budget. An instance that reads from
//! another leaves it as soon as it lags by more than the instance's own part. That part
//! grows along the chain: those above have found another upstream by then, so that one
//! lost reader doesn't send everybody below it to the store.
//!
//! Invariant: the largest part leaves time to read from another upstream within the
//! budget, and a lag within the budget is never taken for an outage of the store.

use core::time::Duration;

use super::Direct;
use super::contact::ENTRY_EXPIRY_GAP;
use super::message::Bounds;
use crate::clock::Time;

/// Shortest budget. Below it the pauses between reads of the store would make every
/// upstream count as lost.
pub const BUDGET_MIN: Duration = Duration::from_millis(1600);

/// Longest budget, whatever the operator's bounds: a longer lag could not be told from an
/// outage of the store in which entries expire.
const BUDGET_MAX: Duration = ENTRY_EXPIRY_GAP;

/// Fraction of the budget by which the store must have been read again.
const READ_DUE_RATIO: f64 = 0.4;

/// Part of the budget, as a fraction, of the instances that leave a lost upstream first.
const FIRST_PART: f64 = 0.56;

/// What those of each further turn have more: the time to read from another upstream.
const TURN_PART: f64 = 0.08;

/// Largest part.
const LAST_PART: f64 = 0.8;

/// Time for which an instance that failed to read the store leaves it to the others to
/// find another upstream.
const STORE_LOSS_WINDOW: Duration = Duration::from_secs(4);

/// Shortest wait of a watch that confirms the known state.
const WATCH_WAIT_MIN: Duration = Duration::from_millis(300);

/// Bounds on the time that a call to another instance waits for changes. These calls
/// aren't billed.
const PEER_WAIT_MIN: Duration = Duration::from_millis(50);
const PEER_WAIT_MAX: Duration = Duration::from_millis(500);

/// Bounds on the time on top of that until the answer must be here; the shorter the less
/// of the budget is left.
const ANSWER_TIME_MIN: Duration = Duration::from_millis(300);
const ANSWER_TIME_MAX: Duration = Duration::from_millis(700);

/// Times of a call to another instance for what the store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamCall {
    /// Longest time for which the other instance may wait for changes.
    pub wait: Duration,
    /// Time after which an answer is given up.
    pub timeout: Duration,
}

/// The operator's bounds on the time until news is acted on, with the names that the
/// settings have for them.
fn news_bounds(bounds: &Bounds) -> [(&'static str, Option<Duration>); 4] {
    let drain = Some(bounds.drain).filter(|drain| !drain.is_zero());
    [
        ("drain_s", drain),
        ("evacuate_s", bounds.evacuation),
        ("config_s", bounds.access.config),
        ("revoke_s", bounds.access.revocation),
    ]
}

impl Direct {
    /// Upper bound of the time since everything that the store held was known; `None`
    /// before the first answer.
    #[must_use]
    pub fn lag(&self, now: Time) -> Option<Duration> {
        self.confirmed.at.map(|at| now.since(at))
    }

    /// Largest lag at which every instance still acts on news in time.
    #[must_use]
    pub fn lag_budget(&self) -> Duration {
        let bounds = news_bounds(&self.bounds);
        let shortest = bounds.iter().filter_map(|(_, bound)| *bound).min();
        shortest.map_or(BUDGET_MAX, |bound| bound.clamp(BUDGET_MIN, BUDGET_MAX))
    }

    /// Names of the operator's bounds that are too short to be kept while an instance
    /// that others read from is cut off from the store, with their values.
    pub fn short_bounds(&self) -> impl Iterator<Item = (&'static str, Duration)> {
        let bounds = news_bounds(&self.bounds).into_iter();
        let bounds = bounds.filter_map(|(name, bound)| Some((name, bound?)));
        bounds.filter(|(_, bound)| *bound < BUDGET_MIN)
    }

    /// Lag from which on this instance leaves an upstream that isn't the store.
    #[must_use]
    pub fn upstream_lag_max(&self, now: Time) -> Duration {
        let has_lost_store = self
            .failed_upstreams
            .is_store_failed_within(now, STORE_LOSS_WINDOW);
        let part = if has_lost_store {
            LAST_PART
        } else {
            let turn = u32::try_from(self.failover_turn(now)).unwrap_or(u32::MAX);
            (FIRST_PART + TURN_PART * f64::from(turn)).min(LAST_PART)
        };
        self.lag_budget().mul_f64(part)
    }

    /// Returns whether an upstream that lags by `lag` is worth reading from; one whose
    /// lag is unknown isn't.
    #[must_use]
    pub fn is_worth_reading(&self, now: Time, lag: Option<Duration>) -> bool {
        lag.is_some_and(|lag| lag < self.upstream_lag_max(now))
    }

    /// Longest wait of a watch of the store, at most `max`. An answer with changes
    /// doesn't confirm the state at any time after the watch was sent.
    #[must_use]
    pub fn watch_wait(&self, now: Time, max: Duration) -> Duration {
        let due = self.lag_budget().mul_f64(READ_DUE_RATIO);
        let left = due.saturating_sub(self.lag(now).unwrap_or(due));
        left.clamp(WATCH_WAIT_MIN.min(max), max)
    }

    /// How long the next call to an upstream that isn't the store may take. One that has
    /// lost the store, or is cut off itself, must be left as soon as it lags too far.
    #[must_use]
    pub fn upstream_call(&self, now: Time) -> UpstreamCall {
        let lag = self.lag(now).unwrap_or_default();
        let left = self.upstream_lag_max(now).saturating_sub(lag);
        let wait = left.saturating_sub(ANSWER_TIME_MIN);
        let wait = wait.clamp(PEER_WAIT_MIN, PEER_WAIT_MAX);
        UpstreamCall {
            wait,
            timeout: left.clamp(wait + ANSWER_TIME_MIN, wait + ANSWER_TIME_MAX),
        }
    }
}
