//! Short-term loans of an allotment between two instances.
//!
//! Invariant: at any time at most one of the two instances uses the lent amount.
//! The borrower counts its term from the time of its request, the lender from
//! when it lends, and its term is longer. No clocks are compared. A lost or late
//! message leaves the amount unused; a duplicated request lends twice but is
//! borrowed once, since each request accepts one reply.

use core::time::Duration;

use crate::clock::Time;

/// Time for which the borrower may use a loan, from when it sent the request.
pub const BORROWER_TERM: Duration = Duration::from_secs(5);

/// Time for which the lender leaves the amount unused, from when it lent: the
/// borrower's term plus the second over which use is summed, and a fifth on top
/// for clock drift.
pub const LENDER_TERM: Duration = Duration::from_millis(7200);

/// An amount and the time at which its loan ends.
#[derive(Clone, Copy, Debug)]
struct Loan {
    amount: u64,
    until: Time,
}

/// Loans of one route, in one direction.
#[derive(Clone, Debug, Default)]
pub struct Loans(Vec<Loan>);

impl Loans {
    /// Adds a loan of `amount` that ends at `until`.
    pub fn add(&mut self, amount: u64, until: Time) {
        self.0.push(Loan { amount, until });
    }

    /// Sum of the loans that have not ended at `now`.
    pub fn sum(&mut self, now: Time) -> u64 {
        self.0.retain(|loan| loan.until > now);
        let amounts = self.0.iter().map(|loan| loan.amount);
        amounts.fold(0, u64::saturating_add)
    }

    /// Ends all loans.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}

/// Loan requests without a reply, identified by the time at which they were made.
#[derive(Clone, Debug, Default)]
pub struct OpenRequests {
    open: Vec<Time>,
    last: Option<Time>,
}

impl OpenRequests {
    /// Time of the last call of [`OpenRequests::open`].
    #[must_use]
    pub const fn last(&self) -> Option<Time> {
        self.last
    }

    /// Opens up to `count` requests at `now` and returns their times. Each gets
    /// a time of its own, one microsecond apart, which its reply returns. The
    /// times lie before `now`, which only makes a loan end earlier.
    pub fn open(&mut self, now: Time, count: usize) -> Vec<Time> {
        self.last = Some(now);
        self.open.retain(|&asked| now.since(asked) < BORROWER_TERM);
        let added: Vec<Time> = (0..count as u64)
            .map(|i| now - Duration::from_micros(i))
            .filter(|asked| !self.open.contains(asked))
            .collect();
        self.open.extend(&added);
        added
    }

    /// Closes a request. Returns `false` if it is not open, so that a second
    /// reply to it is ignored.
    pub fn close(&mut self, asked: Time) -> bool {
        let found = self.open.iter().position(|&open| open == asked);
        found.map(|at| self.open.swap_remove(at)).is_some()
    }
}
