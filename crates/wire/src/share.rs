//! Names of the caps whose shares entry instances lend to each other.

use serde::{Deserialize, Serialize};
use steer::process::share;

/// Twin of [`share::Route`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Route {
    /// Cap on requests a second of a service between two regions.
    Shift {
        /// Name of the service.
        service: String,
        /// Name of the region of the callers.
        from: String,
        /// Name of the region that serves them.
        to: String,
    },
    /// Cap on bytes a second between two regions.
    Link {
        /// Name of the sending region.
        from: String,
        /// Name of the receiving region.
        to: String,
    },
}

impl From<&share::Route> for Route {
    fn from(route: &share::Route) -> Self {
        match route {
            share::Route::Shift { service, from, to } => Self::Shift {
                service: service.as_ref().to_owned(),
                from: from.as_ref().to_owned(),
                to: to.as_ref().to_owned(),
            },
            share::Route::Link { from, to } => Self::Link {
                from: from.as_ref().to_owned(),
                to: to.as_ref().to_owned(),
            },
        }
    }
}

impl From<Route> for share::Route {
    fn from(route: Route) -> Self {
        match route {
            Route::Shift { service, from, to } => Self::Shift {
                service: service.into(),
                from: from.into(),
                to: to.into(),
            },
            Route::Link { from, to } => Self::Link {
                from: from.into(),
                to: to.into(),
            },
        }
    }
}
