//! What a target says of its load, and how far that is believed.
//!
//! Invariant: a report only ever adds to the own count, by no more than the
//! target's slots, and for no longer than [`FRESH`].

use core::time::Duration;

use crate::clock::Time;
use crate::process::safeguard::{Safeguard, Safeguards};

/// Age at which a report no longer counts.
pub const FRESH: Duration = Duration::from_millis(500);

/// The load that is not this instance's, as last reported.
#[derive(Clone, Copy, Debug)]
pub struct Foreign {
    /// Thousandths of a request, smoothed.
    load: u64,
    at: Option<Time>,
    trust: u64,
}

impl Default for Foreign {
    fn default() -> Self {
        Self {
            load: 0,
            at: None,
            trust: 1000,
        }
    }
}

impl Foreign {
    /// Takes a reported `load`, of which `own` requests are this instance's.
    /// The report is of another moment than `own`, so their difference is
    /// smoothed.
    pub fn note(&mut self, now: Time, load: u32, own: u32) {
        let load = u64::from(load.saturating_sub(own)) * 1000;
        let fresh = self.at.is_some_and(|at| now.since(at) <= FRESH);
        self.load = if fresh {
            (self.load * 3 + load) / 4
        } else {
            load
        };
        self.at = Some(now);
    }

    /// Load to add to the own count, in thousandths of a request.
    #[must_use]
    pub fn extra(&self, now: Time, slots: u32, on: Safeguards) -> u64 {
        let Some(at) = self.at else { return 0 };
        if !on.has(Safeguard::ReportBound) {
            return self.load;
        }
        if now.since(at) > FRESH {
            return 0;
        }
        self.load.min(u64::from(slots) * 1000) * self.trust / 1000
    }

    /// Compares the claim with an answer. A target that says others fill it,
    /// and answers as `quick` as an idle one, loses trust; else it regains it.
    pub fn check(&mut self, slots: u32, quick: bool) {
        let full = self.at.is_some() && self.load >= u64::from(slots) * 1000;
        self.trust = if full && quick {
            self.trust * 9 / 10
        } else {
            (self.trust + 50).min(1000)
        };
    }
}
