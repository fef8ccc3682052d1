//! Growth of a shift: the caches at the other end are cold.
//!
//! Invariant: the level rises from [`INITIAL_PPM`] to all over no less than the
//! ramp's time in use, and only while use presses on it. A trickle doesn't warm
//! a cache for a flood, so it must not open the way for one.

use core::time::Duration;

use super::route::ratio;
use crate::clock::Time;

/// All of a share, in parts of a million.
const FULL_PPM: u64 = 1_000_000;

/// Part of its share that a route may use when a shift begins.
const INITIAL_PPM: u64 = FULL_PPM / 10;

/// How far a shift has grown.
#[derive(Clone, Copy, Debug)]
pub struct Ramp {
    /// In parts of a million.
    level: u64,
    touched: Time,
}

impl Ramp {
    /// A shift that hasn't begun.
    pub const fn new(now: Time) -> Self {
        Self {
            level: INITIAL_PPM,
            touched: now,
        }
    }

    /// What may be used of `all` at `now`, if `used` was within the last
    /// second. Half the level in use makes it rise, less makes it fall.
    pub fn limit(&mut self, now: Time, span: Duration, all: u64, used: u64) -> u64 {
        if span.is_zero() {
            return all;
        }
        let passed = u64::try_from(now.since(self.touched).as_micros()).unwrap_or(u64::MAX);
        let whole = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        let step = ratio(FULL_PPM, passed, whole);
        if step > 0 {
            let presses = used.saturating_mul(2) >= ratio(all, self.level, FULL_PPM);
            self.level = if presses && used > 0 {
                self.level.saturating_add(step).min(FULL_PPM)
            } else {
                self.level.saturating_sub(step).max(INITIAL_PPM)
            };
            self.touched = now;
        }
        ratio(all, self.level, FULL_PPM).max(1).min(all)
    }
}
