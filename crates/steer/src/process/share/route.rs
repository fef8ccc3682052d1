//! Routes that have a cap, and the division of a cap among instances.
//!
//! Invariants:
//! - the allotments of one cap add up to it exactly, if any instance is entitled
//!   to a part of it;
//! - an allotment never shrinks when the cap grows, so that instances that know
//!   different caps but the same layout stay within the larger cap.

use core::fmt;
use core::time::Duration;
use std::sync::Arc;

use entity::EntityRef;

use crate::version::view::{Region, View};

/// Percentage of a link's capacity reserved for control messages.
const CONTROL_RESERVE_PERCENT: u64 = 5;

/// The callers' own region gets the cap of a shift divided by this.
const SENDER_DIVISOR: u64 = 4;

/// Subject of a cap. Identified by names, which stay valid across versions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Route {
    /// Requests per second for one service, from callers in one region to sites
    /// in another.
    Shift {
        /// Name of the service.
        service: Arc<str>,
        /// Name of the callers' region.
        from: Arc<str>,
        /// Name of the region that serves them.
        to: Arc<str>,
    },
    /// Bytes per second between two regions, in one direction.
    Link {
        /// Name of the sending region.
        from: Arc<str>,
        /// Name of the receiving region.
        to: Arc<str>,
    },
}

impl fmt::Display for Route {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Shift { service, from, to } => write!(f, "{service} {from} -> {to}"),
            Self::Link { from, to } => write!(f, "link {from} -> {to}"),
        }
    }
}

/// A cap as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapConfig {
    /// Route that the cap applies to.
    pub route: Route,
    /// Cap over all instances, per second.
    pub total: u64,
    /// Time over which the limit grows; zero for none.
    pub ramp: Duration,
}

/// Returns all caps of a view, sorted by route.
pub fn caps(view: &View) -> Vec<CapConfig> {
    let mut caps = Vec::with_capacity(view.shifts.len() + view.links.len());
    let region = |region: Region| Arc::clone(&view.regions[region].name);
    for shift in &view.shifts {
        caps.push(CapConfig {
            route: Route::Shift {
                service: Arc::clone(&view.services[shift.service].name),
                from: region(shift.from),
                to: region(shift.to),
            },
            total: shift.cap,
            ramp: shift.ramp,
        });
    }
    for link in &view.links {
        caps.push(CapConfig {
            route: Route::Link {
                from: region(link.from),
                to: region(link.to),
            },
            total: mul_div(link.bits_per_s / 8, 100 - CONTROL_RESERVE_PERCENT, 100),
            ramp: Duration::ZERO,
        });
    }
    caps.sort_by(|a, b| a.route.cmp(&b.route));
    caps.dedup_by(|b, a| a.route == b.route);
    caps
}

/// Number of entry instances of one region.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RegionEntries {
    region: Arc<str>,
    count: u64,
}

/// Position of this instance among those of its region.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Position {
    region: Arc<str>,
    index: u64,
}

/// Distribution of the entry instances over regions. With the cap it determines
/// every allotment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Layout {
    /// Sorted by region.
    entries_by_region: Vec<RegionEntries>,
    own: Option<Position>,
}

impl Layout {
    /// Builds the layout of a view, for the entry instance `name`.
    pub fn new(view: &View, name: &str) -> Self {
        let mut counts = vec![0; view.regions.len()];
        let mut own = None;
        for entry in view.entries.values() {
            let region = view.domains[entry.domain].region;
            let count: &mut u64 = &mut counts[region.index()];
            if *entry.name == *name {
                own = Some(Position {
                    region: Arc::clone(&view.regions[region].name),
                    index: *count,
                });
            }
            *count += 1;
        }
        let regions = view.regions.values().zip(counts);
        let entries_by_region = regions.map(|(data, count)| RegionEntries {
            region: Arc::clone(&data.name),
            count,
        });
        Self {
            entries_by_region: entries_by_region.collect(),
            own,
        }
    }

    /// This instance's allotment of a cap. The instances of the sending region
    /// divide a link. Those of both regions divide a shift, since either the
    /// instances of the callers' region forward a request, or the callers address
    /// the other region directly. The serving region gets most of it: the
    /// callers' own instances fail with their region, when the shift is needed
    /// most, and while they run they can borrow from the others.
    pub fn allotment(&self, route: &Route, total: u64) -> u64 {
        let Some(own) = &self.own else { return 0 };
        match route {
            Route::Link { from, .. } if own.region == *from => self.divide_in_region(own, total),
            Route::Shift { from, to, .. } if own.region == *from => {
                let sender_total = total / SENDER_DIVISOR;
                let is_sole = from == to || self.count(to) == 0;
                self.divide_in_region(own, if is_sole { total } else { sender_total })
            }
            Route::Shift { from, to, .. } if own.region == *to => {
                let sender_total = total / SENDER_DIVISOR;
                let is_sole = self.count(from) == 0;
                self.divide_in_region(own, if is_sole { total } else { total - sender_total })
            }
            Route::Link { .. } | Route::Shift { .. } => 0,
        }
    }

    /// Divides the total of a region among its instances; the remainder goes to
    /// the first ones, one unit each.
    fn divide_in_region(&self, own: &Position, total: u64) -> u64 {
        let count = self.count(&own.region).max(1);
        total / count + u64::from(own.index < total % count)
    }

    fn count(&self, region: &str) -> u64 {
        let found = self
            .entries_by_region
            .binary_search_by(|c| (*c.region).cmp(region));
        found.map_or(0, |at| self.entries_by_region[at].count)
    }
}

/// `value * numerator / denominator`, rounded down, without overflow of the product.
pub(super) fn mul_div(value: u64, numerator: u64, denominator: u64) -> u64 {
    let quotient = u128::from(value) * u128::from(numerator) / u128::from(denominator.max(1));
    u64::try_from(quotient).unwrap_or(u64::MAX)
}
