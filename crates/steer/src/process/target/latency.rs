//! Smoothed time per request, and how it compares.
//!
//! Invariant: a measurement fades, so that a place once slow is tried again.

use core::time::Duration;

use crate::clock::Time;

/// Time in which the memory of slowness halves while there is nothing new.
const FADE_HALF_LIFE: Duration = Duration::from_secs(5);

/// Below this ratio, in thousandths, two places count as equally fast: their
/// difference is noise, and preferring one would send it all the traffic.
const NOISE_RATIO: u64 = 1500;

/// Whether a place is fast enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Speed {
    /// As far as known.
    Good,
    /// It was too slow, long enough ago to be tried again.
    Uncertain,
    /// Waiting for another one is faster.
    Slow,
}

/// Mean and mean deviation, weighted to the newest.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    mean: u64,
    dev: u64,
    updated: Time,
    is_known: bool,
}

impl Latency {
    /// Takes a measurement, the newest weighing `1 / weight` of the mean.
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
        // After a silence the old mean says little.
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

    /// Mean time, once measured.
    #[must_use]
    pub fn mean(&self) -> Option<Duration> {
        self.is_known.then(|| Duration::from_micros(self.mean))
    }

    /// A time that few requests exceed, once measured.
    #[must_use]
    pub fn high(&self) -> Option<Duration> {
        self.is_known
            .then(|| Duration::from_micros(self.mean + 4 * self.dev))
    }

    /// How a request sent now would fare, against one that first waits for
    /// `wait` microseconds and then takes twice `best`.
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

    /// Mean over `best` in thousandths; 1000 if within noise or unknown.
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

/// Whole microseconds of a span.
#[must_use]
pub fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
