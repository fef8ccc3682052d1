//! Which share of a service's requests runs in other regions.
//!
//! The operator bounds how far the share of a region's requests that run
//! elsewhere may change from one short window to the next. Random overflow
//! breaks that bound at low rates by chance alone, and a spill that follows the
//! load breaks it on purpose, both when it begins and when it ends. So the
//! share is a state of its own: it rises while more than a few requests would be
//! better off elsewhere, falls while none would and the own region has room for
//! all of its requests, and requests follow it one by one, wanted or not.
//!
//! Invariant: the share moves by at most [`Spillover::rate`] a second, and the
//! requests sent elsewhere stay within [`BAND`] and one of it.

use core::time::Duration;

use crate::clock::Time;

/// Part of the operator's bound by which the share may move within a window.
/// The rest is for what counting by whole requests adds, at each instance and
/// for each service.
const PART: f64 = 0.55;

/// Window of the operator's bound.
const WINDOW: Duration = Duration::from_secs(2);

/// Time over which the pressure is averaged.
const SMOOTH: Duration = Duration::from_millis(1500);

/// How far requests may run ahead of the share or lag behind it, so that the
/// same objects go elsewhere time and again: they are warm there.
const BAND: f64 = 0.35;

/// Part of the requests that may be better off elsewhere while the share stays
/// as it is.
///
/// The share is an integral of what goes beyond it. A share that follows the
/// part of such requests itself settles where as many are late at home as run
/// elsewhere, far below what a region with few targets lacks.
const WANTED: f64 = 0.05;

/// How much more of the warm answers may be late at home than elsewhere. Beyond it
/// home is fuller than it looks: other regions' instances send requests there too
/// whose team has no other home.
const LATER: f64 = 0.4;

/// Answers over which the parts that are late are averaged.
const ANSWERS: f64 = 16.0;

/// How far beyond [`WANTED`] the share rises as fast as it may: single requests
/// move it little.
const STEEP: f64 = 0.10;

/// How full the own region may be with all its requests for the share to fall as
/// fast as it may. A region that fits them only just would send them away again
/// a moment later, and objects begin cold each time they move. A slow fixed rate
/// would keep requests away long after home has room, where the way there alone
/// uses up short objectives.
const FITS: f64 = 0.4;

/// How full it is from where on the share doesn't fall at all, though nobody is
/// late: they are in time because others run elsewhere.
const FULL: f64 = 0.7;

/// Largest share: some requests must show whether there is room at home again.
const MOST: f64 = 0.9;

/// The same while answers at home are late: few are enough to show that.
const MOST_LATE: f64 = 0.98;

/// The share of one service's requests that runs in other regions.
#[derive(Clone, Copy, Debug)]
pub struct Spillover {
    rate: f64,
    share: f64,
    pressure: f64,
    used: f64,
    credit: f64,
    at: Option<Time>,
    /// Parts of the answers that are late, at home and elsewhere.
    late: [f64; 2],
}

impl Spillover {
    /// Starts at `share`; `bound` is the largest change of it in a window.
    #[must_use]
    pub fn new(bound: f64, share: f64) -> Self {
        Self {
            rate: bound * PART / WINDOW.as_secs_f64(),
            share,
            pressure: WANTED,
            used: 0.0,
            credit: 0.5,
            at: None,
            late: [0.0; 2],
        }
    }

    /// How full the own region would be if all its requests ran there.
    fn demand(&self) -> f64 {
        self.used / (1.0 - self.share).max(1.0 - MOST)
    }

    /// The share now.
    #[must_use]
    pub const fn share(&self) -> f64 {
        self.share
    }

    /// A request that might have run at home or elsewhere was answered.
    pub fn answered(&mut self, elsewhere: bool, late: bool) {
        let part = &mut self.late[usize::from(elsewhere)];
        *part += (f64::from(u8::from(late)) - *part) / ANSWERS;
    }

    /// Whether the next request runs elsewhere. `pressure`: it would be better off so.
    /// `used`: part of the own region's slots in use. `position`, from 0 to 1, is the
    /// same for all requests of an object: low ones go first.
    pub fn next(&mut self, now: Time, pressure: bool, used: f64, position: f64) -> bool {
        self.follow(now, pressure, used);
        self.credit += self.share;
        let ahead = self.credit >= 1.0 + BAND;
        let open = self.credit >= 1.0 - BAND && self.share > 0.0;
        let elsewhere = ahead || (open && position <= self.share);
        if elsewhere {
            self.credit -= 1.0;
        }
        elsewhere
    }

    fn follow(&mut self, now: Time, pressure: bool, used: f64) {
        let passed = self.at.map_or(0.0, |at| now.since(at).as_secs_f64());
        self.at = Some(now);
        let [home, elsewhere] = self.late;
        let later = home - elsewhere > LATER;
        let pressure = pressure || later;
        let most = if later {
            MOST_LATE
        } else {
            MOST.max(self.share)
        };
        let weight = (passed / SMOOTH.as_secs_f64()).min(0.2);
        self.pressure += (f64::from(u8::from(pressure)) - self.pressure) * weight;
        self.used += (used - self.used) * weight;
        let fits = ((FULL - self.demand()) / (FULL - FITS)).clamp(0.0, 1.0);
        let pull = if self.pressure > WANTED {
            ((self.pressure - WANTED) / STEEP).min(1.0)
        } else {
            fits * (self.pressure - WANTED) / WANTED
        };
        self.share = (self.share + pull * self.rate * passed).clamp(0.0, most);
    }
}
