//! Parts of a share that one instance passes to another for a short time.
//!
//! Invariant: of what is lent, at any time at most one of the two uses it. The
//! borrower counts the term from before it asked, the lender from after it was
//! asked and a good deal longer. No clocks are compared; a message that is lost
//! or late loses share, and one that comes twice lends twice but is borrowed
//! once.

use core::time::Duration;

use crate::clock::Time;

/// Time for which the borrower uses a loan, from before it asked.
pub const TERM: Duration = Duration::from_secs(5);

/// Time for which the lender does without, from when it lent: the term, the
/// second over which use is summed, and a fifth for clocks that run apart.
pub const AWAY: Duration = Duration::from_millis(7200);

/// An amount until a time.
#[derive(Clone, Copy, Debug)]
struct Loan {
    amount: u64,
    until: Time,
}

/// Loans of one route, in one direction.
#[derive(Clone, Debug, Default)]
pub struct Loans(Vec<Loan>);

impl Loans {
    /// Adds a loan.
    pub fn add(&mut self, amount: u64, until: Time) {
        self.0.push(Loan { amount, until });
    }

    /// Sum of the loans that run at `now`.
    pub fn sum(&mut self, now: Time) -> u64 {
        self.0.retain(|loan| loan.until > now);
        self.0.iter().map(|loan| loan.amount).sum()
    }
}
