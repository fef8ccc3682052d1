//! How much of a region's traffic may run in other regions.
//!
//! The operator bounds how far the share of a region's requests that run
//! elsewhere may change from one short window to the next. Random overflow
//! breaks that bound at low rates by chance alone, and a spill that follows the
//! load breaks it on purpose. A share that stays under a part of the bound in
//! each window can't change by more than the bound, whatever the load does;
//! leave is earned request by request, so it is spread evenly.
//!
//! Invariant: over any run of requests, those sent elsewhere stay under
//! `share` of them plus [`SAVED`].

/// Part of the operator's bound that is used: windows are counted by the
/// targets' clocks, and each instance sees only a part of the traffic.
const PART: f64 = 0.6;

/// Requests elsewhere that may be saved up.
const SAVED: f64 = 1.0;

/// Leave to send requests to another region.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    share: f64,
    saved: f64,
}

impl Pace {
    /// Keeps to a part of `bound`, the largest change of the share.
    #[must_use]
    pub fn new(bound: f64) -> Self {
        Self {
            share: bound * PART,
            saved: 0.0,
        }
    }

    /// Notes a request that may run in its own region.
    pub fn request(&mut self) {
        self.saved = (self.saved + self.share).min(SAVED);
    }

    /// Whether a request may be sent elsewhere now.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.saved >= 1.0
    }

    /// Notes one that was sent elsewhere.
    pub fn spend(&mut self) {
        self.saved = (self.saved - 1.0).max(0.0);
    }
}
