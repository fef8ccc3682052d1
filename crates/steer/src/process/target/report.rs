//! What a target says of its load, and how far that is believed.
//!
//! Invariant: a report only ever adds to the own count, by no more than the
//! target's slots, and for no longer than [`FRESH`].

use core::time::Duration;

use crate::clock::Time;
use crate::process::dispatch::tuning::{Safeguard, Safeguards};

/// Age at which a report no longer counts.
pub const FRESH: Duration = Duration::from_millis(500);

/// The load that is not this instance's, as last reported.
#[derive(Clone, Copy, Debug)]
pub struct Foreign {
    load: u32,
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
    pub const fn note(&mut self, now: Time, load: u32, own: u32) {
        self.load = load.saturating_sub(own);
        self.at = Some(now);
    }

    /// Load to add to the own count, in thousandths of a request.
    #[must_use]
    pub fn extra(&self, now: Time, slots: u32, on: Safeguards) -> u64 {
        let Some(at) = self.at else { return 0 };
        if !on.has(Safeguard::ReportBound) {
            return u64::from(self.load) * 1000;
        }
        if now.since(at) > FRESH {
            return 0;
        }
        u64::from(self.load.min(slots)) * self.trust
    }

    /// Compares the claim with an answer. A target that says it is full and
    /// answers as `quick` as the others loses trust; otherwise it regains it.
    pub fn check(&mut self, slots: u32, quick: bool) {
        let full = self.at.is_some() && self.load >= slots;
        self.trust = if full && quick {
            self.trust * 3 / 4
        } else {
            (self.trust + 20).min(1000)
        };
    }
}
