//! Gradual growth of a shift's limit, since the caches of the region that serves
//! it are cold.
//!
//! Invariant: the level rises at most at the rate that takes it from 0 to
//! [`FULL_PPM`] in the ramp time, starts at [`INITIAL_PPM`], and rises only while
//! at least half of it is in use. Low traffic does not warm a cache for high
//! traffic, so it must not raise the limit.

use core::time::Duration;

use super::route::mul_div;
use crate::clock::Time;

/// The full share, in parts per million.
const FULL_PPM: u64 = 1_000_000;

/// Level at which a shift begins, and its minimum, in parts per million.
const INITIAL_PPM: u64 = FULL_PPM / 10;

/// Current level of a shift's limit.
#[derive(Clone, Copy, Debug)]
pub struct Ramp {
    /// Fraction of the share that may be used, in parts per million.
    level_ppm: u64,
    updated_at: Time,
}

impl Ramp {
    /// Creates a ramp at the initial level.
    pub const fn new(now: Time) -> Self {
        Self {
            level_ppm: INITIAL_PPM,
            updated_at: now,
        }
    }

    /// Updates the level and returns the limit, at least 1 unless `share` is 0.
    /// `used` is the use within the last second: the level rises if that is at
    /// least half of the limit and falls otherwise. A `ramp_time` of zero means
    /// no ramp.
    pub fn limit(&mut self, now: Time, ramp_time: Duration, share: u64, used: u64) -> u64 {
        if ramp_time.is_zero() {
            return share;
        }
        let elapsed = u64::try_from(now.since(self.updated_at).as_micros()).unwrap_or(u64::MAX);
        let ramp_micros = u64::try_from(ramp_time.as_micros()).unwrap_or(u64::MAX);
        let step = mul_div(FULL_PPM, elapsed, ramp_micros);
        if step > 0 {
            let is_loaded = used.saturating_mul(2) >= mul_div(share, self.level_ppm, FULL_PPM);
            self.level_ppm = if is_loaded && used > 0 {
                self.level_ppm.saturating_add(step).min(FULL_PPM)
            } else {
                self.level_ppm.saturating_sub(step).max(INITIAL_PPM)
            };
            self.updated_at = now;
        }
        mul_div(share, self.level_ppm, FULL_PPM).max(1).min(share)
    }
}
