//! Outlier ejection: faults eject an endpoint, and a trial request brings it
//! back.
//!
//! Invariant: an ejected endpoint gets one request at a time until one
//! succeeds, and each failed trial doubles the ejection time, up to a bound.

use core::time::Duration;

use crate::clock::Time;
use crate::process::target::latency;

/// Severity of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection was refused or broke; two of these eject.
    Hard,
    /// A time-out or malformed answer, which the request may have caused; four
    /// of these eject.
    Soft,
}

/// Ejection state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Not ejected.
    Healthy,
    /// Ejected, and the ejection time is not over.
    Ejected,
    /// Ejected, and a trial request may be sent.
    TrialDue,
}

/// Fault points at which an endpoint is ejected.
const EJECTION_POINTS: u32 = 4;
/// Fault points of a hard fault; a soft one has one.
const HARD_FAULT_POINTS: u32 = 2;
/// Mean time of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_millis(250);
/// Number of times that the ejection time doubles, up to 16 s.
const EJECTION_DOUBLINGS_MAX: u32 = 6;

/// Fault points and ejection of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    points: u32,
    ejected_at: Time,
    ejected_until: Option<Time>,
    streak: u32,
    is_probed: bool,
}

impl Health {
    /// Returns the ejection state at `now`.
    #[must_use]
    pub fn status(&self, now: Time) -> Status {
        match self.ejected_until {
            None => Status::Healthy,
            Some(until) if now < until => Status::Ejected,
            Some(_) => Status::TrialDue,
        }
    }

    /// Records that a probe reached the endpoint.
    pub const fn note_probe(&mut self) {
        self.is_probed = true;
    }

    /// Returns whether a probe has reached the endpoint since its ejection.
    #[must_use]
    pub const fn has_passed_probe(&self) -> bool {
        self.is_probed
    }

    /// Records a fault of an attempt sent at `sent_at`; returns whether it
    /// ejects the endpoint. `has_spare` says that enough others would remain.
    /// Without them soft faults do not eject, because an overload that delays
    /// all targets alike must not eject them all.
    pub fn record_fault(
        &mut self,
        now: Time,
        sent_at: Time,
        fault: Fault,
        has_spare: bool,
        rng: &mut fastrand::Rng,
    ) -> bool {
        if self.ejected_until.is_some() {
            // Attempts sent before the ejection are no new evidence.
            let is_trial = sent_at >= self.ejected_at;
            if is_trial {
                self.eject(now, rng);
            }
            return is_trial;
        }
        self.points += if fault == Fault::Hard {
            HARD_FAULT_POINTS
        } else {
            1
        };
        let is_ejected = self.points >= EJECTION_POINTS && (has_spare || fault == Fault::Hard);
        if is_ejected {
            self.eject(now, rng);
        }
        is_ejected
    }

    /// Records an answer to an attempt sent at `sent_at`; returns whether it
    /// ends an ejection.
    pub fn record_success(&mut self, sent_at: Time) -> bool {
        if self.ejected_until.is_some() && sent_at < self.ejected_at {
            return false;
        }
        let is_back = self.ejected_until.take().is_some();
        self.points = 0;
        if !is_back {
            // An endpoint that fails its first requests after each return keeps
            // its streak; one that goes on answering loses it.
            self.streak = self.streak.saturating_sub(1);
        }
        is_back
    }

    fn eject(&mut self, now: Time, rng: &mut fastrand::Rng) {
        let span = latency::micros(FIRST_EJECTION) << self.streak.min(EJECTION_DOUBLINGS_MAX);
        // Entry instances eject an endpoint at about the same time; without
        // jitter their trial requests would also arrive together.
        let span = Duration::from_micros(rng.u64(span / 2..=span * 3 / 2));
        self.streak = (self.streak + 1).min(EJECTION_DOUBLINGS_MAX);
        self.is_probed = false;
        self.ejected_at = now;
        self.ejected_until = Some(now + span);
    }
}
