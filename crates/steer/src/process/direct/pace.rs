//! Which share of a service's requests runs in other regions.
//!
//! The operator bounds how far the share of a region's requests that run
//! elsewhere may change from one short window to the next. Random overflow
//! breaks that bound at low rates by chance alone, and a spill that follows the
//! load breaks it on purpose, both when it begins and when it ends. So the
//! share is a state of its own: it rises while more than a few requests would be
//! better off elsewhere, falls slowly while none would, and requests follow it
//! one by one, wanted or not.
//!
//! Invariant: the share moves by at most [`Pace::rate`] a second, and the
//! requests sent elsewhere stay within [`BAND`] and one of it.

use core::time::Duration;

use crate::clock::Time;

/// Part of the operator's bound by which the share may move within a window.
/// The rest is for what counting by whole requests adds, at each instance and
/// for each service.
const PART: f64 = 0.55;

/// Window of the operator's bound.
const WINDOW: Duration = Duration::from_secs(2);

/// Time over which wishes are averaged.
const WISH: Duration = Duration::from_millis(1500);

/// How far requests may run ahead of the share or lag behind it, so that the
/// same objects go elsewhere time and again: they are warm there.
const BAND: f64 = 0.35;

/// Part of the requests that may be better off elsewhere while the share stays
/// as it is.
///
/// The share is an integral of what goes beyond it. A share that follows the
/// part of such requests itself settles where as many are late at home as run
/// elsewhere: with a sixth of the targets and a third of the callers, a region
/// sent 0.3 away and left 0.3 late. Worth of a fleet of 26 instances with such a
/// region 0.65 to 0.76 on a calm day, 0.58 to 0.62 on the most loaded one.
const WANTED: f64 = 0.05;

/// How far beyond [`WANTED`] the share rises as fast as it may: single requests
/// move it little.
const STEEP: f64 = 0.10;

/// Part of the largest rate at which the share falls. Objects that come home
/// begin cold there, and whoever sent them away too early sends them again.
const RETURN: f64 = 0.3;

/// Largest share: some requests must show whether there is room at home again.
const MOST: f64 = 0.9;

/// The share of one service's requests that runs in other regions.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    rate: f64,
    share: f64,
    wish: f64,
    credit: f64,
    at: Option<Time>,
}

impl Pace {
    /// Starts at `share`; `bound` is the largest change of it in a window.
    #[must_use]
    pub fn new(bound: f64, share: f64) -> Self {
        Self {
            rate: bound * PART / WINDOW.as_secs_f64(),
            share,
            wish: share,
            credit: 0.5,
            at: None,
        }
    }

    /// The share now.
    #[must_use]
    pub const fn share(&self) -> f64 {
        self.share
    }

    /// Whether the next request runs elsewhere. `wish`: it would be better off.
    /// `lean`, from 0 to 1, is the same for all requests of an object: low ones
    /// go first.
    pub fn next(&mut self, now: Time, wish: bool, lean: f64) -> bool {
        self.follow(now, wish);
        self.credit += self.share;
        let ahead = self.credit >= 1.0 + BAND;
        let open = self.credit >= 1.0 - BAND && self.share > 0.0;
        let elsewhere = ahead || (open && lean <= self.share);
        if elsewhere {
            self.credit -= 1.0;
        }
        elsewhere
    }

    fn follow(&mut self, now: Time, wish: bool) {
        let passed = self.at.map_or(0.0, |at| now.since(at).as_secs_f64());
        self.at = Some(now);
        let weight = (passed / WISH.as_secs_f64()).min(0.2);
        self.wish += (f64::from(u8::from(wish)) - self.wish) * weight;
        let pull = ((self.wish - WANTED) / STEEP).clamp(-RETURN, 1.0);
        self.share = (self.share + pull * self.rate * passed).clamp(0.0, MOST);
    }
}
