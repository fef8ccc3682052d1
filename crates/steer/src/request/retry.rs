//! When a request may be sent again.
//!
//! Invariant: a request that may have run is sent again only if its service is
//! idempotent; and over any time an instance sends no more repeats than
//! [`BUDGET_RATIO_PERMILLE`] of its first tries, plus [`BUDGET_BURST_MAX`].

use core::time::Duration;

use crate::process::dispatch::AttemptOutcome;
use crate::request::outcome::{Outcome, Reason};

/// Repeats earned by a first try, in thousandths.
pub const BUDGET_RATIO_PERMILLE: u64 = 200;
/// Repeats that may be saved up.
pub const BUDGET_BURST_MAX: u64 = 20;

/// Shortest time an attempt gets where the request could be tried elsewhere.
pub const ATTEMPT_MIN: Duration = Duration::from_millis(50);

/// What an attempt that failed leaves open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// Certainly not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// What an outcome says about whether the request ran. `None` for an answer.
#[must_use]
pub fn execution(outcome: &AttemptOutcome) -> Option<Execution> {
    match outcome {
        AttemptOutcome::Answered(_) => None,
        AttemptOutcome::Refused { .. } | AttemptOutcome::Unreachable => Some(Execution::NotRun),
        AttemptOutcome::PeerRefused(refusal) if refusal.outcome == Outcome::NotRun => {
            Some(Execution::NotRun)
        }
        AttemptOutcome::PeerRefused(_)
        | AttemptOutcome::Broken
        | AttemptOutcome::BadAnswer
        | AttemptOutcome::TimedOut => Some(Execution::MayHaveRun),
    }
}

/// Why a request that is not tried again failed.
#[must_use]
pub fn failure_reason(outcome: &AttemptOutcome) -> Reason {
    match outcome {
        AttemptOutcome::PeerRefused(refusal) => refusal.reason,
        AttemptOutcome::Refused { .. } => Reason::Overloaded,
        AttemptOutcome::Unreachable | AttemptOutcome::Answered(_) => Reason::NoTarget,
        AttemptOutcome::Broken => Reason::Lost,
        AttemptOutcome::BadAnswer => Reason::BadAnswer,
        AttemptOutcome::TimedOut => Reason::Deadline,
    }
}

/// What the repeat after this outcome costs, in thousandths. A refusal cost the
/// target next to nothing and is how instances that share targets learn of each
/// other; at full cost the budget refuses what the next target would take. For
/// nothing, overload lets refused requests wander from target to target.
#[must_use]
pub const fn cost(outcome: &AttemptOutcome) -> u64 {
    match outcome {
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
    balance: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            balance: BUDGET_BURST_MAX * 1000,
        }
    }
}

impl Budget {
    /// Notes a first try.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + BUDGET_RATIO_PERMILLE).min(BUDGET_BURST_MAX * 1000);
    }

    /// Whether a repeat may be sent.
    #[must_use]
    pub const fn has_retry(&self) -> bool {
        self.balance >= 1000
    }

    /// Takes a repeat's cost, if there is so much.
    pub const fn withdraw(&mut self, cost: u64) -> bool {
        let enough = self.balance >= cost;
        if enough {
            self.balance -= cost;
        }
        enough
    }
}
