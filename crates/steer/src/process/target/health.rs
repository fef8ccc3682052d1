//! Failure evidence: when a place is taken out, and how it comes back.
//!
//! Invariant: an ejected place gets one request at a time until one succeeds,
//! and each failed trial makes the next wait longer, up to a bound.

use core::time::Duration;

use crate::clock::Time;
use crate::process::target::latency;

/// What an attempt showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nobody listens, or the process died: two of these suffice.
    Hard,
    /// Too late, or a malformed answer: may be the request's fault.
    Soft,
}

/// Whether the place may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Nothing speaks against it.
    Healthy,
    /// Ejected, and not to be tried yet.
    Ejected,
    /// Ejected, and due for a trial.
    TrialDue,
}

/// Points at which a place is ejected.
const EJECTION_POINTS: u32 = 4;
/// Points of a hard fault.
const HARD_FAULT_POINTS: u32 = 2;
/// First ejection.
const FIRST_EJECTION: Duration = Duration::from_millis(250);
/// Ejections double up to this many times: 16 s.
const EJECTION_DOUBLINGS_MAX: u32 = 6;

/// Failure evidence of one place.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    points: u32,
    ejected_at: Time,
    ejected_until: Option<Time>,
    streak: u32,
    is_probed: bool,
}

impl Health {
    /// Whether the place may be used.
    #[must_use]
    pub fn status(&self, now: Time) -> Status {
        match self.ejected_until {
            None => Status::Healthy,
            Some(until) if now < until => Status::Ejected,
            Some(_) => Status::TrialDue,
        }
    }

    /// Notes that a probe reached the place.
    pub const fn note_probe(&mut self) {
        self.is_probed = true;
    }

    /// Whether a probe has reached the place since its ejection.
    #[must_use]
    pub const fn has_passed_probe(&self) -> bool {
        self.is_probed
    }

    /// Takes a fault of an attempt sent at `sent_at`. `has_spare` says that another
    /// place would remain; without one soft evidence doesn't eject, because an
    /// overload that delays all targets alike must not take them all out.
    /// Returns whether the place was ejected by it.
    pub fn record_fault(
        &mut self,
        now: Time,
        sent_at: Time,
        fault: Fault,
        has_spare: bool,
        rng: &mut fastrand::Rng,
    ) -> bool {
        if self.ejected_until.is_some() {
            // The others that were in flight when it failed say nothing new.
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

    /// Takes an answer to an attempt sent at `sent_at`. Returns whether it ends
    /// an ejection.
    pub fn record_success(&mut self, sent_at: Time) -> bool {
        if self.ejected_until.is_some() && sent_at < self.ejected_at {
            return false;
        }
        let is_back = self.ejected_until.take().is_some();
        self.points = 0;
        if !is_back {
            // A place that fails its first requests after each return keeps
            // its streak; one that goes on working loses it.
            self.streak = self.streak.saturating_sub(1);
        }
        is_back
    }

    fn eject(&mut self, now: Time, rng: &mut fastrand::Rng) {
        let span = latency::micros(FIRST_EJECTION) << self.streak.min(EJECTION_DOUBLINGS_MAX);
        // Entry instances eject at the same moment; without jitter they would
        // all try the place at the same moment too.
        let span = Duration::from_micros(rng.u64(span / 2..=span * 3 / 2));
        self.streak = (self.streak + 1).min(EJECTION_DOUBLINGS_MAX);
        self.is_probed = false;
        self.ejected_at = now;
        self.ejected_until = Some(now + span);
    }
}
