//! Smoothed latency of an endpoint, and its comparison with the fastest one.
//!
//! Invariant: excess latency decays without new measurements, so that an
//! endpoint that was slow is tried again.

use core::time::Duration;

use crate::clock::Time;

/// Half-life of excess latency while no new answers are measured.
const FADE_HALF_LIFE: Duration = Duration::from_secs(5);

/// Ratio of mean latencies, in thousandths, below which two endpoints count as
/// equally fast. The difference is noise; preferring the faster one would send
/// it all the traffic.
const NOISE_RATIO: u64 = 1500;

/// Speed of an endpoint compared with the fastest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Speed {
    /// Fast enough, or not measured yet.
    Good,
    /// Too slow when last measured, long enough ago to be tried again.
    Uncertain,
    /// So slow that waiting for another endpoint is faster.
    Slow,
}

/// Exponentially weighted mean and mean deviation, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    mean: u64,
    dev: u64,
    updated: Time,
    is_known: bool,
}

impl Latency {
    /// Records a measurement, which gets `1 / weight` of the mean.
    pub fn record(&mut self, now: Time, took: Duration, weight: u64) {
        let took = micros(took);
        if !self.is_known {
            *self = Self {
                mean: took,
                dev: took / 2,
                updated: now,
                is_known: true,
            };
            return;
        }
        // After a pause the old mean is out of date: the new value gets half.
        let weight = if now.since(self.updated) > FADE_HALF_LIFE {
            2
        } else {
            weight
        };
        let deviation = self.mean.abs_diff(took);
        self.dev = (self.dev * (weight - 1) + deviation) / weight;
        self.mean = (self.mean * (weight - 1) + took) / weight;
        self.updated = now;
    }

    /// Mean latency; `None` before the first measurement.
    #[must_use]
    pub fn mean(&self) -> Option<Duration> {
        self.is_known.then(|| Duration::from_micros(self.mean))
    }

    /// Latency that few requests exceed: the mean and four mean deviations.
    /// `None` before the first measurement.
    #[must_use]
    pub fn high(&self) -> Option<Duration> {
        self.is_known
            .then(|| Duration::from_micros(self.mean + 4 * self.dev))
    }

    /// Compares a request sent now with one that first waits for `wait`
    /// microseconds and then takes twice `best` microseconds elsewhere.
    #[must_use]
    pub fn speed(&self, now: Time, best: u64, wait: u64) -> Speed {
        let bound = best.saturating_mul(2).saturating_add(wait);
        if !self.is_known || best == 0 || self.mean <= bound {
            return Speed::Good;
        }
        if self.ratio(now, best).saturating_mul(best) / 1000 <= bound {
            Speed::Uncertain
        } else {
            Speed::Slow
        }
    }

    /// Mean latency divided by `best`, in thousandths, with decay. Returns 1000
    /// if the difference is noise or one of the two is unknown.
    #[must_use]
    pub fn ratio(&self, now: Time, best: u64) -> u64 {
        if !self.is_known || best == 0 {
            return 1000;
        }
        let ratio = self.mean * 1000 / best;
        if ratio < NOISE_RATIO {
            return 1000;
        }
        let halvings = micros(now.since(self.updated)) / micros(FADE_HALF_LIFE);
        1000 + ((ratio - 1000) >> halvings.min(63))
    }
}

/// Converts a duration to whole microseconds, saturating.
#[must_use]
pub fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
