//! What is capped, and how each cap is divided.
//!
//! Invariant: the parts of one cap add up to it exactly: the instance at place
//! `i` of `n`, in order of names, gets what lies between `i/n` and `(i+1)/n`.

use core::fmt;
use core::time::Duration;
use std::sync::Arc;

use entity::EntityRef;

use super::eligible;
use crate::version::view::{Region, View};

/// Part of a link that is kept for control messages, in percent.
const RESERVE: u64 = 5;

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
    /// The instance's part, per second.
    pub part: u64,
    /// Time over which use grows.
    pub ramp: Duration,
}

/// All caps of a view, for the entry instance `name`.
pub fn caps(view: &View, name: &str) -> Vec<Cap> {
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
            // Either the callers' own instances pass a request on, or those of
            // the other region are asked directly.
            part: part(view, name, &[shift.from, shift.to], shift.cap),
            ramp: shift.ramp,
        });
    }
    for link in &view.links {
        let whole = link.bits / 8 * (100 - RESERVE) / 100;
        caps.push(Cap {
            route: Route::Link {
                from: region(link.from),
                to: region(link.to),
            },
            whole,
            part: part(view, name, &[link.from], whole),
            ramp: Duration::ZERO,
        });
    }
    caps
}

fn part(view: &View, name: &str, regions: &[Region], whole: u64) -> u64 {
    let Some(me) = view.entry(name) else {
        return 0;
    };
    if !eligible(view, me, regions) {
        return 0;
    }
    let all = view.entries.keys().filter(|&e| eligible(view, e, regions));
    let mut count = 0;
    let mut place = 0;
    for entry in all {
        count += 1;
        place += u64::from(entry.index() < me.index());
    }
    share(whole, place + 1, count) - share(whole, place, count)
}

/// `whole * part / parts`, rounded down.
fn share(whole: u64, part: u64, parts: u64) -> u64 {
    let share = u128::from(whole) * u128::from(part) / u128::from(parts.max(1));
    u64::try_from(share).unwrap_or(u64::MAX)
}
