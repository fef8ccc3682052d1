//! How much traffic a change would move between regions, before it moves.
//!
//! The files know no rates, so a move is a share of a region's callers; rates
//! measured by the running system turn it into requests a second. What is told
//! is what *may* move: never less than what does.

mod blocks;
pub mod judge;
mod sites;

use core::fmt;
use std::sync::Arc;

use steer::version::view::{Region, Service};

use crate::bundle::Checked;
use crate::plan::Plan;

/// A share in thousandths; rounded up, so that no move looks like none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Permille(pub u16);

impl Permille {
    /// Everything.
    pub const ALL: Self = Self(1000);

    /// `part` of `whole`, rounded up; all of it if the whole is zero.
    #[must_use]
    pub fn of(part: u64, whole: u64) -> Self {
        if part >= whole {
            return Self::ALL;
        }
        let share = (u128::from(part) * 1000).div_ceil(u128::from(whole));
        Self(u16::try_from(share).unwrap_or(1000))
    }

    /// This share of a rate, rounded up.
    #[must_use]
    pub fn rate(self, per_s: u64) -> u64 {
        let share = (u128::from(per_s) * u128::from(self.0)).div_ceil(1000);
        u64::try_from(share).unwrap_or(u64::MAX)
    }
}

impl fmt::Display for Permille {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}%", self.0 / 10, self.0 % 10)
    }
}

/// Why traffic moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Callers' blocks get another region.
    Blocks,
    /// The region loses its last live site for the service.
    Left,
    /// The region gets a live site again; its own callers come home.
    Home,
    /// Some of the region's sites for the service come or go; the others bear it.
    Within,
    /// A cap was raised: the old and the new one.
    Cap {
        /// Requests a second before; 0 if there was no shift.
        old: u64,
        /// Requests a second now.
        new: u64,
    },
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Blocks => f.write_str("blocks re-assigned"),
            Self::Left => f.write_str("no live site left"),
            Self::Home => f.write_str("coming home"),
            Self::Within => f.write_str("within the region"),
            Self::Cap { old, new } => write!(f, "cap {old}/s -> {new}/s"),
        }
    }
}

/// Traffic of one service that a change may move.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Move {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the region that serves the traffic now.
    pub from: Arc<str>,
    /// Name of the region that would serve it; `None` if no region would.
    pub to: Option<Arc<str>>,
    /// Why.
    pub cause: Cause,
    /// Share of the traffic of [`Move::home`]'s callers.
    pub share: Permille,
    /// Cap that the new version states for this service and pair of regions.
    pub cap: Option<u64>,
}

impl Move {
    /// Name of the region whose callers they are.
    #[must_use]
    pub fn home(&self) -> &Arc<str> {
        match (self.cause, &self.to) {
            (Cause::Home, Some(to)) => to,
            _ => &self.from,
        }
    }
}

impl fmt::Display for Move {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let to = self.to.as_deref().unwrap_or(judge::NOWHERE);
        write!(f, "{} {} -> {to}: ", self.service, self.from)?;
        if !matches!(self.cause, Cause::Cap { .. }) {
            write!(f, "up to {} of {}'s callers, ", self.share, self.home())?;
        }
        write!(f, "{}", self.cause)?;
        match (self.cause, self.cap) {
            (Cause::Cap { .. } | Cause::Within, _) | (_, None) => Ok(()),
            (_, Some(cap)) => write!(f, "; cap {cap}/s"),
        }
    }
}

/// All moves of a change, sorted. Overlays count: where a site's overlay moves
/// more than the base does, its region's move is the larger one.
#[must_use]
pub fn moves(old: &Checked, new: &Checked) -> Vec<Move> {
    let mut moves = blocks::moves(&old.base, &new.base);
    moves.extend(sites::moves(&old.base, &new.base, None));
    for site in overlaid(old, new) {
        let (before, after) = (old.plan_at(&site), new.plan_at(&site));
        let region = after.site(&site).map(|s| after.site_region(s));
        let region = region.map(|r| Arc::clone(&after.regions[r].name));
        moves.extend(sites::moves(&before, &after, region.as_deref()));
    }
    moves.sort();
    moves.dedup_by(|later, first| {
        let same = |m: &Move| {
            (
                Arc::clone(&m.service),
                Arc::clone(&m.from),
                m.to.clone(),
                m.cause,
            )
        };
        let equal = same(later) == same(first);
        first.share = if equal {
            first.share.max(later.share)
        } else {
            first.share
        };
        equal
    });
    moves
}

/// Sites with an overlay on either side that traffic moves by.
fn overlaid(old: &Checked, new: &Checked) -> Vec<Arc<str>> {
    let both = old.overlays.iter().chain(&new.overlays);
    let both = both.filter(|overlay| overlay.steers());
    let mut names: Vec<Arc<str>> = both.map(|s| Arc::clone(&s.site)).collect();
    names.sort();
    names.dedup();
    names
}

/// The cap of a plan for a service and a pair of regions, by name.
fn cap(plan: &Plan, service: &str, from: &str, to: &str) -> Option<u64> {
    let key = (plan.service(service)?, plan.region(from)?, plan.region(to)?);
    let found = plan
        .shifts
        .binary_search_by_key(&key, |s| (s.service, s.from, s.to));
    found.ok().map(|i| plan.shifts[i].cap)
}

/// Regions of both versions, old reference first.
fn regions(old: &Plan, new: &Plan) -> Vec<(Region, Region)> {
    let all = old.regions.iter();
    all.filter_map(|(r, data)| new.region(&data.name).map(|other| (r, other)))
        .collect()
}

/// Services of both versions, old reference first.
fn services(old: &Plan, new: &Plan) -> Vec<(Service, Service)> {
    let all = old.services.iter();
    all.filter_map(|(s, data)| new.service(&data.name).map(|other| (s, other)))
        .collect()
}
