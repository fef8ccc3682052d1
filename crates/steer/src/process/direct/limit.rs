//! Limits that overloaded targets report: requests a second that a target takes from
//! all instances together, for as long as its answers say so.
//!
//! Each instance sends its allotment ([`allotment`]) of what the
//! operator's [`Rule`] allows for the limit. Instances that send nothing get no
//! answers, so an instance that gets one reports the limit to the others in its
//! heartbeats. An instance that has seen no report of a limit for long sends a single
//! request to probe whether it still holds.
//!
//! Invariant: the allotments of instances that know the same members and the same limit
//! never add up to more than the rule allows.

mod share;

use core::time::Duration;

use crate::clock::Time;

/// Requests that the operator allows for a target that reports a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Window over which a target's requests are counted.
    pub window: Duration,
    /// Multiple of its limit that a target may get in the window, from all instances
    /// together.
    pub factor: f64,
    /// Requests that it may get in the window beyond `factor`.
    pub slack: f64,
}

impl Default for Rule {
    /// Allows nothing beyond the limit.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(4),
            factor: 1.0,
            slack: 0.0,
        }
    }
}

/// Fraction of the allowance that instances use. The rest covers changes of the set of
/// instances that share a limit.
const ALLOWANCE_USE_RATIO: f64 = 0.75;

/// Largest multiple of the reported limit that is sent, whatever the rule allows.
const LIMIT_EXCESS_FACTOR_MAX: f64 = 2.0;

/// Longest span in which a target with a small limit gets a single request.
const SINGLE_REQUEST_SPAN_MAX: Duration = Duration::from_mins(1);

/// Time by which requests sent in sequence may arrive closer together.
const DELIVERY_JITTER: Duration = Duration::from_millis(250);

/// Time without a report of a limit after which an instance probes it. Each instance
/// adds a delay of its own, so that one probes and reports the result to the others.
const PROBE_AFTER_SILENCE: Duration = Duration::from_secs(10);

/// Time for which heartbeats report that a target has lifted its limit.
const LIFTED_REPORT_SPAN: Duration = Duration::from_secs(5);

/// Limits reported in one heartbeat; further ones follow in turn.
const HEARTBEAT_LIMITS_MAX: usize = 10;

impl Rule {
    /// Number of requests that all instances together send for a limit of `rate`
    /// requests a second, and the span in which they send them.
    fn allowance(&self, rate: f64) -> (usize, Duration) {
        let window = self.window.as_secs_f64();
        let within_limit = rate * window;
        let allowed = (within_limit * self.factor + self.slack) * ALLOWANCE_USE_RATIO;
        let requests = allowed.clamp(within_limit, within_limit * LIMIT_EXCESS_FACTOR_MAX);
        if requests < 1.0 && rate > 0.0 {
            let span =
                Duration::try_from_secs_f64(window / requests).unwrap_or(SINGLE_REQUEST_SPAN_MAX);
            return (1, span.min(SINGLE_REQUEST_SPAN_MAX));
        }
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "saturates"
        )]
        let whole = requests as usize;
        (whole, self.window)
    }

    /// Span over which an instance counts the requests it has sent.
    fn count_span(&self, rate: f64) -> Duration {
        self.allowance(rate).1 + DELIVERY_JITTER
    }
}

/// Limit that a target last reported.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Requests a second from all instances together; `None` if unlimited.
    pub rate: Option<f64>,
    /// Time of the report.
    reported_at: Time,
    /// Whether this instance got the report itself; only such reports are passed on.
    is_own: bool,
    /// Time at which this instance last got a report that differed from the one before.
    changed_at: Option<Time>,
}

impl Limit {
    /// No limit reported.
    pub(super) const NONE: Self = Self {
        rate: None,
        reported_at: Time::ZERO,
        is_own: false,
        changed_at: None,
    };

    /// Limit after an answer to this instance that reports `rate`.
    pub(super) fn updated(&self, now: Time, rate: Option<f64>) -> Self {
        let is_same = rate == self.rate;
        Self {
            rate,
            reported_at: now,
            is_own: true,
            changed_at: self
                .changed_at
                .filter(|_| is_same)
                .or((!is_same).then_some(now)),
        }
    }

    /// Returns whether `other` was reported later.
    pub(super) fn is_older_than(&self, other: &Self) -> bool {
        self.reported_at < other.reported_at
    }

    /// Returns whether heartbeats report this limit: it didn't come from another
    /// instance, and there is a limit or one was lifted recently.
    pub(super) fn is_reported(&self, now: Time) -> bool {
        let is_recent_change = self
            .changed_at
            .is_some_and(|at| now.since(at) < LIFTED_REPORT_SPAN);
        self.is_own && (self.rate.is_some() || is_recent_change)
    }

    /// Report of this limit for heartbeats, if they report it.
    fn report(&self, now: Time, target_hash: u32) -> Option<LimitReport> {
        self.is_reported(now).then(|| LimitReport {
            target_hash,
            rate: self.rate,
            age: now.since(self.reported_at),
        })
    }
}

/// Limit of a target as reported by another instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// Hash of the target's name.
    pub target_hash: u32,
    /// Requests a second; `None` if the target reports no limit any more.
    pub rate: Option<f64>,
    /// Time since the target reported it.
    pub age: Duration,
}
