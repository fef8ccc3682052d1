//! Parts of a share that one instance passes to another for a short time.
//!
//! Invariant: of what is lent, at any time at most one of the two uses it. The
//! borrower counts the term from before it asked, the lender from after it was
//! asked and a good deal longer. No clocks are compared; a message that is lost
//! or late loses share, and one that comes twice lends twice but is borrowed
//! once, since each question takes one answer.

use core::time::Duration;

use crate::clock::Time;

/// Time for which the borrower uses a loan, from before it asked.
pub const BORROWER_TERM: Duration = Duration::from_secs(5);

/// Time for which the lender does without, from when it lent: the term, the
/// second over which use is summed, and a fifth for clocks that run apart.
pub const LENDER_TERM: Duration = Duration::from_millis(7200);

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
        let amounts = self.0.iter().map(|loan| loan.amount);
        amounts.fold(0, u64::saturating_add)
    }

    /// Ends all of them.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

/// Questions for a loan that have no answer yet, by when they were asked.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    open: Vec<Time>,
    last: Option<Time>,
}

impl Asked {
    /// When a question was asked last.
    #[must_use]
    pub const fn last(&self) -> Option<Time> {
        self.last
    }

    /// Opens a number of questions at `now`. Each has a time of its own, which
    /// its answer brings back; times a little too early end a loan too early.
    pub fn open(&mut self, now: Time, count: usize) -> Vec<Time> {
        self.last = Some(now);
        self.open.retain(|&asked| now.since(asked) < BORROWER_TERM);
        let fresh: Vec<Time> = (0..count as u64)
            .map(|nth| now - Duration::from_micros(nth))
            .filter(|asked| !self.open.contains(asked))
            .collect();
        self.open.extend(&fresh);
        fresh
    }

    /// Whether an answer is the first to its question.
    pub fn close(&mut self, asked: Time) -> bool {
        let found = self.open.iter().position(|&open| open == asked);
        found.map(|at| self.open.swap_remove(at)).is_some()
    }
}
