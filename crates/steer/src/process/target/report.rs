//! Load that a target reports, and the trust put in its reports.
//!
//! Invariant: a report only adds to this instance's own in-flight count, by no
//! more than the target's slots, and for no longer than [`REPORT_TTL`].

use core::time::Duration;

use crate::clock::Time;
use crate::process::safeguard::{Safeguard, Safeguards};

/// Age above which a report is ignored.
pub const REPORT_TTL: Duration = Duration::from_millis(500);

/// Load that other instances put on a target, derived from its reports.
#[derive(Clone, Copy, Debug)]
pub struct ReportedLoad {
    /// Smoothed, in thousandths of a request.
    load: u64,
    reported_at: Option<Time>,
    /// Share of the load that is counted, in thousandths.
    trust: u64,
}

impl Default for ReportedLoad {
    fn default() -> Self {
        Self {
            load: 0,
            reported_at: None,
            trust: 1000,
        }
    }
}

impl ReportedLoad {
    /// Records a reported `load`, of which `own` requests are this instance's.
    /// The two counts are not of the same moment, so their difference is
    /// smoothed.
    pub fn record(&mut self, now: Time, load: u32, own: u32) {
        let load = u64::from(load.saturating_sub(own)) * 1000;
        let is_fresh = self
            .reported_at
            .is_some_and(|at| now.since(at) <= REPORT_TTL);
        self.load = if is_fresh {
            (self.load * 3 + load) / 4
        } else {
            load
        };
        self.reported_at = Some(now);
    }

    /// Load to add to this instance's own count, in thousandths of a request.
    #[must_use]
    pub fn extra_load(&self, now: Time, slots: u32, enabled: Safeguards) -> u64 {
        let Some(at) = self.reported_at else { return 0 };
        if !enabled.has(Safeguard::ReportBound) {
            return self.load;
        }
        if now.since(at) > REPORT_TTL {
            return 0;
        }
        self.load.min(u64::from(slots) * 1000) * self.trust / 1000
    }

    /// Compares the reports with an answer. A target that reports that others
    /// fill all its slots, but answers as fast as an idle one (`is_quick`),
    /// loses trust; any other answer restores some.
    pub fn update_trust(&mut self, slots: u32, is_quick: bool) {
        let is_full = self.reported_at.is_some() && self.load >= u64::from(slots) * 1000;
        self.trust = if is_full && is_quick {
            self.trust * 9 / 10
        } else {
            (self.trust + 50).min(1000)
        };
    }
}
