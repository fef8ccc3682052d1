//! Backoff that targets ask for: a target that turns a request away may ask the instance
//! that sent it to send nothing for a time.
//!
//! Requests for its objects go to other targets meanwhile. When the time is over, an
//! instance sends one request at a time until one is served, each instance after a
//! delay of its own, so that a target that is still in need isn't flooded again.
//!
//! Invariant: while a backoff lasts that a target asked of this instance, no request
//! leaves for it; nothing but a new incarnation ends it early.

mod waiting;

use core::time::Duration;

use crate::clock::Time;

/// Longest delay of an instance's own after the first backoff, as a part of it. It doubles
/// with each further one that follows without a served request in between.
const REOPEN_SPREAD_RATIO: f64 = 0.1;

/// Backoffs in a row after which the spread doesn't grow any more.
const STREAK_MAX: u32 = 4;

/// Time over which callers that are rejected because all targets back off are told to
/// return, from the moment at which the first target is back.
const RETURN_SPREAD: Duration = Duration::from_millis(500);

/// Backoff that a target asked of this instance.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backoff {
    /// Latest end of all that it asked for.
    until: Time,
    /// Time that it asked for when it set that end.
    span: Duration,
    /// Time at which it last asked.
    asked_at: Time,
    /// Backoffs in a row without a served request in between; 0 if there is none.
    streak: u32,
}

impl Backoff {
    /// Records that the target asks for a backoff of `span`. A shorter one doesn't end
    /// a longer one that lasts.
    pub(super) fn extend(&mut self, now: Time, span: Duration) {
        if span.is_zero() {
            return;
        }
        if now >= self.until {
            self.streak = (self.streak + 1).min(STREAK_MAX);
        }
        self.asked_at = now;
        if now + span > self.until {
            self.until = now + span;
            self.span = span;
        }
    }

    /// Records that the target has served a request that was sent at `sent_at`.
    pub(super) fn record_answer(&mut self, sent_at: Time) {
        if sent_at >= self.until {
            self.streak = 0;
        }
    }

    /// Remaining time, if it lasts.
    pub(super) fn left(&self, now: Time) -> Option<Duration> {
        (now < self.until).then(|| self.until.since(now))
    }

    /// Whether the target asked for one since `sent_at`.
    pub(super) fn was_asked_since(&self, sent_at: Time) -> bool {
        self.streak > 0 && self.asked_at >= sent_at
    }

    /// Time from which this instance sends to the target again; `fraction` from 0 to 1
    /// is its own place in the spread over all instances.
    fn reopens_at(&self, fraction: f64) -> Time {
        match self.streak.checked_sub(1) {
            None => self.until,
            Some(doublings) => {
                let spread = self.span.mul_f64(REOPEN_SPREAD_RATIO) * (1 << doublings);
                self.until + spread.mul_f64(fraction)
            }
        }
    }

    /// Whether it is over, and no request was served since.
    fn is_on_trial(&self, now: Time) -> bool {
        self.streak > 0 && now >= self.until
    }
}
