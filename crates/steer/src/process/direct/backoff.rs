//! Backoff that targets ask for: a target that turns a request away may ask the instance
//! that sent it to send nothing for a time.
//!
//! Requests for its objects go to other targets meanwhile. When the time is over, an
//! instance sends one request at a time until one is served, each instance after a
//! delay of its own, so that a target that is still in need isn't flooded again.
//!
//! Invariant: while a backoff lasts that a target asked of this instance, no request
//! leaves for it; nothing but a new incarnation ends it early.

use core::time::Duration;

use super::job::Job;
use super::target::Target;
use super::{Direct, queue};
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

impl Direct {
    /// Returns whether the backoff that a target asked for is over, and the target may
    /// get a request now.
    pub(super) fn accepts_after_backoff(&self, now: Time, target: &Target) -> bool {
        let backoff = target.backoff();
        if now < self.reopens_at(target) {
            return false;
        }
        let is_tried = target.in_flight > 0
            && target
                .last_sent()
                .is_some_and(|at| at >= self.reopens_at(target));
        !(backoff.is_on_trial(now) && is_tried)
    }

    /// Time from which this instance sends to a target again after a backoff.
    fn reopens_at(&self, target: &Target) -> Time {
        target.backoff().reopens_at(self.own_fraction(target))
    }

    /// Returns whether a target's backoff is over within the time for which a request
    /// may be held.
    pub(super) fn reopens_in_time(&self, target: &Target, job: &Job) -> bool {
        self.reopens_at(target) <= queue::hold_limit(job)
    }

    /// The time after which the caller of a request may come back, if all targets that
    /// could serve it have asked for a backoff that lasts for longer than the request
    /// may be held.
    pub(super) fn all_back_off(&self, now: Time, job: &Job) -> Option<Duration> {
        let targets = self.roster.of_service(&job.service);
        let is_candidate = |t: &&Target| {
            (t.is_available() || t.is_last_resort(now, self.bounds.drain))
                && job.request.allows(&t.region)
                && !self.roster.is_evacuated(&t.entry.domain)
        };
        let mut first: Option<Time> = None;
        for target in targets.map(|(_, t)| t).filter(is_candidate) {
            let reopens_at = self.reopens_at(target);
            if now >= reopens_at {
                return None;
            }
            first = Some(first.map_or(reopens_at, |at| at.min(reopens_at)));
        }
        let first = first.filter(|at| *at > queue::hold_limit(job))?;
        Some(first.since(now) + RETURN_SPREAD.mul_f64(Self::jitter(job)))
    }
}
