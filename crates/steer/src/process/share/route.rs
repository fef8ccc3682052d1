//! What is capped, and how each cap is divided.
//!
//! Invariants:
//! - the parts of one cap add up to it exactly;
//! - a part never shrinks when the cap grows, so that instances which know
//!   different caps, but divide them alike, stay within the larger one.

use core::fmt;
use core::time::Duration;
use std::sync::Arc;

use entity::EntityRef;

use crate::version::view::{Region, View};

/// Part of a link that is kept for control messages, in percent.
const CONTROL_RESERVE_PERCENT: u64 = 5;

/// Part of a shift's cap that the callers' own region has: one in this many.
const SENDER_DIVISOR: u64 = 4;

/// What a cap is on. Named, so that it outlives a version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Route {
    /// Requests a second of one service, from callers of one region to sites of
    /// another.
    Shift {
        /// Name of the service.
        service: Arc<str>,
        /// Name of the callers' region.
        from: Arc<str>,
        /// Name of the region that serves them.
        to: Arc<str>,
    },
    /// Bytes a second between two regions, in one direction.
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

/// A cap as one entry instance sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cap {
    /// What it is on.
    pub route: Route,
    /// The whole cap, per second.
    pub whole: u64,
    /// Time over which use grows.
    pub ramp: Duration,
}

/// All caps of a view, sorted by route.
pub fn caps(view: &View) -> Vec<Cap> {
    let mut caps = Vec::with_capacity(view.shifts.len() + view.links.len());
    let region = |region: Region| Arc::clone(&view.regions[region].name);
    for shift in &view.shifts {
        caps.push(Cap {
            route: Route::Shift {
                service: Arc::clone(&view.services[shift.service].name),
                from: region(shift.from),
                to: region(shift.to),
            },
            whole: shift.cap,
            ramp: shift.ramp,
        });
    }
    for link in &view.links {
        caps.push(Cap {
            route: Route::Link {
                from: region(link.from),
                to: region(link.to),
            },
            whole: ratio(link.bits_per_s / 8, 100 - CONTROL_RESERVE_PERCENT, 100),
            ramp: Duration::ZERO,
        });
    }
    caps.sort_by(|a, b| a.route.cmp(&b.route));
    caps.dedup_by(|b, a| a.route == b.route);
    caps
}

/// Entry instances of one region.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Crew {
    region: Arc<str>,
    count: u64,
}

/// This instance among those of its region.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Seat {
    region: Arc<str>,
    place: u64,
}

/// Where the entry instances are: all that the division of a cap depends on
/// besides the cap.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Layout {
    /// Sorted by region.
    crews: Vec<Crew>,
    me: Option<Seat>,
}

impl Layout {
    /// The layout of a view, for the entry instance `name`.
    pub fn new(view: &View, name: &str) -> Self {
        let mut counts = vec![0; view.regions.len()];
        let mut me = None;
        for entry in view.entries.values() {
            let region = view.domains[entry.domain].region;
            let count: &mut u64 = &mut counts[region.index()];
            if *entry.name == *name {
                me = Some(Seat {
                    region: Arc::clone(&view.regions[region].name),
                    place: *count,
                });
            }
            *count += 1;
        }
        let regions = view.regions.values().zip(counts);
        let crews = regions.map(|(data, count)| Crew {
            region: Arc::clone(&data.name),
            count,
        });
        Self {
            crews: crews.collect(),
            me,
        }
    }

    /// This instance's part of a cap. The instances of the sending region
    /// divide a link. Those of both regions divide a shift, since either the
    /// callers' own instances pass a request on, or those of the other region
    /// are asked directly. Most of it is the latter's: the former are lost with
    /// their region just when the shift is needed most, and while they live
    /// they reach the others, who lend.
    pub fn part(&self, route: &Route, whole: u64) -> u64 {
        let Some(me) = &self.me else { return 0 };
        match route {
            Route::Link { from, .. } if me.region == *from => self.split(me, whole),
            Route::Shift { from, to, .. } if me.region == *from => {
                let senders = whole / SENDER_DIVISOR;
                let alone = from == to || self.count(to) == 0;
                self.split(me, if alone { whole } else { senders })
            }
            Route::Shift { from, to, .. } if me.region == *to => {
                let senders = whole / SENDER_DIVISOR;
                let alone = self.count(from) == 0;
                self.split(me, if alone { whole } else { whole - senders })
            }
            Route::Link { .. } | Route::Shift { .. } => 0,
        }
    }

    /// What one instance gets of what its region has.
    fn split(&self, me: &Seat, whole: u64) -> u64 {
        let count = self.count(&me.region).max(1);
        whole / count + u64::from(me.place < whole % count)
    }

    fn count(&self, region: &str) -> u64 {
        let found = self.crews.binary_search_by(|c| (*c.region).cmp(region));
        found.map_or(0, |at| self.crews[at].count)
    }
}

/// `whole * part / parts`, rounded down.
pub(super) fn ratio(whole: u64, part: u64, parts: u64) -> u64 {
    let share = u128::from(whole) * u128::from(part) / u128::from(parts.max(1));
    u64::try_from(share).unwrap_or(u64::MAX)
}
