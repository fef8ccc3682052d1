//! When a request may be sent again.
//!
//! Invariant: a request that may have run is sent again only if its service is
//! idempotent; and over any time an instance sends no more repeats than
//! [`SHARE`] of its first tries, plus [`BURST`].

use core::time::Duration;

use crate::process::dispatch::AttemptOutcome;
use crate::request::outcome::{Outcome, Reason};

/// Repeats earned by a first try, in thousandths.
pub const SHARE: u64 = 200;
/// Repeats that may be saved up.
pub const BURST: u64 = 20;

/// Shortest time an attempt gets where the request could be tried elsewhere.
pub const ATTEMPT_MIN: Duration = Duration::from_millis(50);

/// What an attempt that failed leaves open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// Certainly not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// What an ending says about whether the request ran. `None` for an answer.
#[must_use]
pub fn doubt(ending: &AttemptOutcome) -> Option<Doubt> {
    match ending {
        AttemptOutcome::Answered(_) => None,
        AttemptOutcome::Refused { .. } | AttemptOutcome::Unreachable => Some(Doubt::NotRun),
        AttemptOutcome::PeerRefused(refusal) if refusal.outcome == Outcome::NotRun => {
            Some(Doubt::NotRun)
        }
        AttemptOutcome::PeerRefused(_)
        | AttemptOutcome::Broken
        | AttemptOutcome::BadAnswer
        | AttemptOutcome::TimedOut => Some(Doubt::MayHaveRun),
    }
}

/// Why a request that is not tried again failed.
#[must_use]
pub fn reason(ending: &AttemptOutcome) -> Reason {
    match ending {
        AttemptOutcome::PeerRefused(refusal) => refusal.reason,
        AttemptOutcome::Refused { .. } => Reason::Overloaded,
        AttemptOutcome::Unreachable | AttemptOutcome::Answered(_) => Reason::NoTarget,
        AttemptOutcome::Broken => Reason::Lost,
        AttemptOutcome::BadAnswer => Reason::BadAnswer,
        AttemptOutcome::TimedOut => Reason::Deadline,
    }
}

/// What the repeat after this ending costs, in thousandths. A refusal cost the
/// target next to nothing and is how instances that share targets learn of each
/// other; at full cost the budget refuses what the next target would take. For
/// nothing, overload lets refused requests wander from target to target.
#[must_use]
pub const fn cost(ending: &AttemptOutcome) -> u64 {
    match ending {
        AttemptOutcome::Refused { .. } => 500,
        _ => 1000,
    }
}

/// Repeats that the instance may still send.
///
/// Without a budget a brownout multiplies itself: each request that fails
/// becomes two, which makes more fail.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    left: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { left: BURST * 1000 }
    }
}

impl Budget {
    /// Notes a first try.
    pub fn earn(&mut self) {
        self.left = (self.left + SHARE).min(BURST * 1000);
    }

    /// Whether a repeat may be sent.
    #[must_use]
    pub const fn any(&self) -> bool {
        self.left >= 1000
    }

    /// Takes a repeat's cost, if there is so much.
    pub const fn spend(&mut self, cost: u64) -> bool {
        let enough = self.left >= cost;
        if enough {
            self.left -= cost;
        }
        enough
    }
}
