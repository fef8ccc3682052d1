//! What the control thread publishes and traffic threads read without a lock.
//!
//! Invariant: a snapshot never changes; a new one replaces it whole.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use steer::clock::Time;
use steer::process::control;
use steer::version::{lookup, view};

/// One consistent picture for traffic threads.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The view in force.
    pub view: Arc<view::View>,
    /// Its look-up table.
    pub lookup: Arc<lookup::Table>,
    /// Whether look-ups are answered: a configuration is in force, and this
    /// process may act on what it knows.
    pub ready: bool,
}

impl Snapshot {
    /// The picture of a view.
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

/// When the control loop last ran. After a freeze of the whole process traffic
/// threads may wake first: until the loop has run, which notices the freeze,
/// they would answer look-ups from a picture as old as the freeze is long.
#[derive(Debug, Default)]
pub struct LastRun(AtomicU64);

impl LastRun {
    /// The control loop runs.
    pub fn record(&self, now: Time) {
        self.0.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Whether the loop ran lately enough to have noticed any freeze.
    #[must_use]
    pub fn is_fresh(&self, now: Time) -> bool {
        let last = Time::from_micros(self.0.load(Ordering::Relaxed));
        now.since(last) < control::FREEZE_GAP_MIN
    }
}
