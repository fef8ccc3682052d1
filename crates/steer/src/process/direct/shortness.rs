//! Shortness: whether a mixed service has too few free slots in this region.
//!
//! Answers the load in which the slots of a service are taken faster than they become
//! free. Messages and rules that only pay then are used only then, so that they cost
//! nothing while there is room.
//!
//! Invariant: only a mixed service is ever short, and it stays short for
//! [`SHORT_SPAN`] after its utilization was last at [`UTILIZATION_SHORT`].

use core::time::Duration;
use std::sync::Arc;

use super::Direct;
use crate::clock::Time;

/// Utilization of a region's slots from which a service is short there. Requests arrive
/// unevenly, so that some targets are full long before all are.
pub(super) const UTILIZATION_SHORT: f64 = 0.6;

/// Time for which a service stays short after that.
const SHORT_SPAN: Duration = Duration::from_secs(2);

/// A service that is or was short.
#[derive(Clone, Debug)]
struct Shortage {
    service: Arc<str>,
    until: Time,
    utilization: f64,
}

/// A service that has become short, or is short no more.
#[derive(Clone, Debug, PartialEq)]
pub struct ShortnessChange {
    /// Name of the service.
    pub service: Arc<str>,
    /// Whether it is short now.
    pub is_short: bool,
    /// Its last known utilization in this region.
    pub utilization: f64,
}

/// Services that are short, sorted by name.
#[derive(Clone, Debug, Default)]
pub(super) struct Shortness {
    shortages: Vec<Shortage>,
    changes: Vec<ShortnessChange>,
}

impl Shortness {
    /// Records the utilization of a mixed service in this region.
    fn record(&mut self, now: Time, service: &Arc<str>, utilization: f64) {
        let found = self.find(service);
        if utilization < UTILIZATION_SHORT {
            if let Ok(at) = found {
                self.shortages[at].utilization = utilization;
            }
            return;
        }
        let until = now + SHORT_SPAN;
        if let Ok(at) = found {
            self.shortages[at].until = until;
            self.shortages[at].utilization = utilization;
            return;
        }
        let at = found.unwrap_or_else(|at| at);
        let shortage = Shortage {
            service: Arc::clone(service),
            until,
            utilization,
        };
        self.changes.push(shortage.change(true));
        self.shortages.insert(at, shortage);
    }

    fn is_short(&self, now: Time, service: &str) -> bool {
        self.find(service)
            .is_ok_and(|at| now < self.shortages[at].until)
    }

    /// Drops what has ended.
    fn sweep(&mut self, now: Time) {
        let ended = self.shortages.extract_if(.., |s| now >= s.until);
        self.changes.extend(ended.map(|s| s.change(false)));
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.shortages
            .binary_search_by(|s| (*s.service).cmp(service))
    }
}

impl Shortage {
    fn change(&self, is_short: bool) -> ShortnessChange {
        ShortnessChange {
            service: Arc::clone(&self.service),
            is_short,
            utilization: self.utilization,
        }
    }
}

impl Direct {
    /// Whether a service is mixed and has too few free slots in this region.
    #[must_use]
    pub fn is_short(&self, now: Time, service: &str) -> bool {
        self.shortness.is_short(now, service)
    }

    /// Services that are short, sorted by name.
    pub fn short_services(&self, now: Time) -> impl Iterator<Item = &Arc<str>> {
        let shortages = self.shortness.shortages.iter();
        shortages.filter(move |s| now < s.until).map(|s| &s.service)
    }

    /// Services that have become short since the last call, or are short no more.
    pub fn take_shortness_changes(&mut self, now: Time) -> Vec<ShortnessChange> {
        self.shortness.sweep(now);
        core::mem::take(&mut self.shortness.changes)
    }

    /// Records the utilization of a service in this region if the service is mixed.
    pub(super) fn record_utilization(&mut self, now: Time, service: &Arc<str>, utilization: f64) {
        if self.mix.is_mixed(service) {
            self.shortness.record(now, service, utilization);
        }
    }
}
