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
pub enum Standing {
    /// Nothing speaks against it.
    Sound,
    /// Ejected, and not to be tried yet.
    Ejected,
    /// Ejected, and due for a trial.
    Due,
}

/// Points at which a place is ejected.
const LIMIT: u32 = 4;
/// Points of a hard fault.
const HARD: u32 = 2;
/// First ejection.
const FIRST: Duration = Duration::from_millis(250);
/// Ejections double up to this many times: 16 s.
const DOUBLINGS: u32 = 6;

/// Failure evidence of one place.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    points: u32,
    since: Time,
    until: Option<Time>,
    streak: u32,
    vouched: bool,
}

impl Health {
    /// Whether the place may be used.
    #[must_use]
    pub fn standing(&self, now: Time) -> Standing {
        match self.until {
            None => Standing::Sound,
            Some(until) if now < until => Standing::Ejected,
            Some(_) => Standing::Due,
        }
    }

    /// Notes that a probe reached the place.
    pub const fn vouch(&mut self) {
        self.vouched = true;
    }

    /// Whether a probe has reached the place since its ejection.
    #[must_use]
    pub const fn vouched(&self) -> bool {
        self.vouched
    }

    /// Takes a fault of an attempt begun at `begun`. `spare` says that another
    /// place would remain; without one soft evidence doesn't eject, because an
    /// overload that delays all targets alike must not take them all out.
    /// Returns whether the place was ejected by it.
    pub fn fault(
        &mut self,
        now: Time,
        begun: Time,
        fault: Fault,
        spare: bool,
        rng: &mut fastrand::Rng,
    ) -> bool {
        if self.until.is_some() {
            // The others that were in flight when it failed say nothing new.
            let trial = begun >= self.since;
            if trial {
                self.eject(now, rng);
            }
            return trial;
        }
        self.points += if fault == Fault::Hard { HARD } else { 1 };
        let out = self.points >= LIMIT && (spare || fault == Fault::Hard);
        if out {
            self.eject(now, rng);
        }
        out
    }

    /// Takes an answer to an attempt begun at `begun`. Returns whether it ends
    /// an ejection.
    pub fn success(&mut self, begun: Time) -> bool {
        if self.until.is_some() && begun < self.since {
            return false;
        }
        let back = self.until.take().is_some();
        self.points = 0;
        if !back {
            // A place that fails its first requests after each return keeps
            // its streak; one that goes on working loses it.
            self.streak = self.streak.saturating_sub(1);
        }
        back
    }

    fn eject(&mut self, now: Time, rng: &mut fastrand::Rng) {
        let span = latency::micros(FIRST) << self.streak.min(DOUBLINGS);
        // Entry instances eject at the same moment; without jitter they would
        // all try the place at the same moment too.
        let span = Duration::from_micros(rng.u64(span / 2..=span * 3 / 2));
        self.streak = (self.streak + 1).min(DOUBLINGS);
        self.vouched = false;
        self.since = now;
        self.until = Some(now + span);
    }
}
