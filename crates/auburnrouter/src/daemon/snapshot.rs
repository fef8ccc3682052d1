//! What the control thread publishes and traffic threads read without a lock.
//!
//! Invariant: a snapshot never changes; a new one replaces it whole.

use std::sync::Arc;

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
