//! Requests whose targets have asked for time without requests.
//!
//! Invariant: a request waits only for targets that take requests again before its time
//! is over.

use super::super::job::Job;
use super::super::target::Target;
use super::super::{Direct, queue};
use super::RETURN_SPREAD;
use crate::clock::Time;
use core::time::Duration;

impl Direct {
    /// Returns whether the backoff that a target asked for is over, and the target may
    /// get a request now.
    pub(in crate::process::direct) fn accepts_after_backoff(
        &self,
        now: Time,
        target: &Target,
    ) -> bool {
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
    pub(in crate::process::direct) fn reopens_in_time(&self, target: &Target, job: &Job) -> bool {
        self.reopens_at(target) <= queue::hold_limit(job)
    }

    /// The time after which the caller of a request may come back, if all targets that
    /// could serve it have asked for a backoff that lasts for longer than the request
    /// may be held.
    pub(in crate::process::direct) fn all_back_off(
        &self,
        now: Time,
        job: &Job,
    ) -> Option<Duration> {
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
