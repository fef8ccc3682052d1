//! State of one cap: this process's allotment, its use and its loans.
//!
//! Invariant: an amount that is lent is not used. A cap that is removed and
//! added back within [`SETTLING_TIME`] keeps its use of the last second and its
//! loans to others.

use core::time::Duration;

use super::loan::{Loans, OpenRequests};
use super::ramp::Ramp;
use super::route::{CapConfig, Route};
use super::window::Window;
use super::{Guards, SETTLING_TIME};
use crate::clock::Time;

/// A cap and this process's allotment, use and loans of it.
#[derive(Clone, Debug)]
pub struct CapState {
    pub route: Route,
    /// Cap over all instances, per second; 0 if it was removed.
    pub total: u64,
    /// Smallest allotment by the layouts that count, per second.
    pub allotment: u64,
    pub ramp_time: Duration,
    /// Time at which the cap was removed from the configuration.
    pub removed_at: Option<Time>,
    pub ramp: Ramp,
    pub window: Window,
    pub lent: Loans,
    pub borrowed: Loans,
    pub requests: OpenRequests,
}

impl CapState {
    pub fn new(now: Time, config: &CapConfig) -> Self {
        Self {
            route: config.route.clone(),
            total: config.total,
            allotment: 0,
            ramp_time: config.ramp,
            removed_at: None,
            ramp: Ramp::new(now),
            window: Window::default(),
            lent: Loans::default(),
            borrowed: Loans::default(),
            requests: OpenRequests::default(),
        }
    }

    pub fn reconfigure(mut self, config: &CapConfig) -> Self {
        self.total = config.total;
        self.ramp_time = config.ramp;
        self.removed_at = None;
        self
    }

    /// Marks the cap as removed. `None` once it has been for [`SETTLING_TIME`],
    /// when neither its use nor its loans count any more.
    pub fn retire(mut self, now: Time) -> Option<Self> {
        let removed_at = *self.removed_at.get_or_insert(now);
        self.total = 0;
        self.borrowed.clear();
        (now.since(removed_at) < SETTLING_TIME).then_some(self)
    }

    pub fn limit(&mut self, now: Time, settled: bool, guards: Guards) -> u64 {
        let allotment = if settled { self.allotment } else { 0 };
        let lent = if guards.lender_term {
            self.lent.sum(now)
        } else {
            0
        };
        let own = allotment.saturating_sub(lent);
        let share = own.saturating_add(self.borrowed.sum(now));
        if guards.ramp {
            let used = self.window.used(now);
            self.ramp.limit(now, self.ramp_time, share, used)
        } else {
            share
        }
    }
}
