//! Snapshots that the control thread publishes and traffic threads read lock-free.
//!
//! Invariant: a snapshot is immutable and is replaced as a unit.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use steer::clock::Time;
use steer::process::control;
use steer::version::{lookup, view};

/// Consistent view of the system for the traffic threads.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The view in force.
    pub view: Arc<view::View>,
    /// Look-up table of the view.
    pub lookup: Arc<lookup::Table>,
    /// True if look-ups are answered: a configuration is in force, and this process
    /// is allowed to serve.
    pub ready: bool,
}

impl Snapshot {
    /// Builds the snapshot of a view.
    #[must_use]
    pub fn new(view: Arc<view::View>, serving: bool) -> Self {
        let lookup = Arc::new(lookup::Table::new(&view));
        let ready = serving && view.version.0 > 0;
        Self {
            view,
            lookup,
            ready,
        }
    }
}

/// Time at which the control loop last ran. After a freeze of the process the traffic
/// threads may resume first. Without this check they would answer look-ups from a
/// stale snapshot until the control loop runs and detects the freeze.
#[derive(Debug, Default)]
pub struct LastRun(AtomicU64);

impl LastRun {
    /// Records a run of the control loop.
    pub fn record(&self, now: Time) {
        self.0.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Returns true if the loop ran less than the minimum freeze gap ago, so that no
    /// freeze can have gone undetected.
    #[must_use]
    pub fn is_fresh(&self, now: Time) -> bool {
        let last = Time::from_micros(self.0.load(Ordering::Relaxed));
        now.since(last) < control::FREEZE_GAP_MIN
    }
}
