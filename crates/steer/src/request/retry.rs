//! Retries: whether a failed attempt may have run, and the retry budget.
//!
//! Invariants: a request that may have run is retried only if its service is
//! idempotent. Over any period, the retries charged to a [`Budget`] cost no more than
//! [`BUDGET_RATIO_PERMILLE`] of the first attempts plus [`BUDGET_BURST_MAX`].

use core::time::Duration;

use crate::process::dispatch::AttemptOutcome;
use crate::request::outcome::{Outcome, Reason};

/// Retries that a first attempt adds to the budget, in thousandths of a retry.
pub const BUDGET_RATIO_PERMILLE: u64 = 200;
/// Maximum balance of the budget, in retries.
pub const BUDGET_BURST_MAX: u64 = 20;

/// Shortest timeout of an attempt whose request could be retried elsewhere.
pub const ATTEMPT_TIMEOUT_MIN: Duration = Duration::from_millis(50);

/// Whether the request of a failed attempt ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// Certainly not run.
    NotRun,
    /// May have run.
    MayHaveRun,
}

/// Returns whether the request of a failed attempt ran; `None` if it was answered.
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

/// Returns the reason given to the caller if the request is not retried.
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

/// Returns the cost of a retry after this outcome, in thousandths of a retry. A
/// refusal costs the target next to nothing, and instances that share targets learn
/// of each other's load by it: at full cost the budget would deny retries that the
/// next target would accept. Without a cost, refused requests would go from target
/// to target under overload.
#[must_use]
pub const fn cost(outcome: &AttemptOutcome) -> u64 {
    match outcome {
        AttemptOutcome::Refused { .. } => 500,
        _ => 1000,
    }
}

/// Retry budget of an instance.
///
/// Without one, retries amplify a brownout: each request that fails is sent twice,
/// which makes more requests fail.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Retries left, in thousandths.
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
    /// Adds the share of a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + BUDGET_RATIO_PERMILLE).min(BUDGET_BURST_MAX * 1000);
    }

    /// Returns whether the balance covers a retry at full cost.
    #[must_use]
    pub const fn has_retry(&self) -> bool {
        self.balance >= 1000
    }

    /// Deducts the cost of a retry and returns true if the balance covers it.
    pub const fn withdraw(&mut self, cost: u64) -> bool {
        let is_covered = self.balance >= cost;
        if is_covered {
            self.balance -= cost;
        }
        is_covered
    }
}
