//! Health of a target: its slowness, and the shares of requests that it fails and
//! refuses.
//!
//! In a large fleet one instance sends a given target a request only every many
//! seconds, too few to notice a fault before it is over. So instances report slow
//! and failed requests to each other in heartbeats, and each takes them as samples
//! of its own. Good answers are not reported. Instead the estimates decay, or a
//! target that nobody tries any more would be avoided for ever.
//!
//! Invariant: an estimate without new samples returns to its healthy value within
//! a few times [`DECAY_TIME`].

mod report;

use core::time::Duration;

use crate::clock::Time;

/// Weight of a new sample in the moving means.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Time constant of the exponential decay of estimates to their healthy values.
const DECAY_TIME: Duration = Duration::from_secs(6);

/// Range to which samples of slowness are clamped.
const SLOWNESS_RANGE: core::ops::RangeInclusive<f64> = 0.2..=20.0;

/// Latency over the expected one from which an answer is reported to other
/// instances.
const REPORTED_RATIO_MIN: f64 = 2.0;

/// Time in flight over the expected latency for an object that is not warm, from
/// which a request without an answer is reported. The final latency will be higher
/// still.
const OVERDUE_RATIO_MIN: f64 = 1.6;

/// Slowness over the baseline above which a target counts as degraded.
const DEGRADED_SLOWNESS_RATIO: f64 = 2.5;

/// Failure rate in excess of the baseline above which a target counts as degraded.
const DEGRADED_FAILURE_EXCESS: f64 = 0.25;

/// Deviation from the healthy value that is too small to change a decision.
const NEGLIGIBLE_DEVIATION: f64 = 0.01;

/// A moving mean that decays to its value for a healthy target.
#[derive(Clone, Copy, Debug)]
struct DecayingMean {
    healthy: f64,
    value: f64,
    at: Time,
}

impl DecayingMean {
    const fn new(healthy: f64) -> Self {
        Self {
            healthy,
            value: healthy,
            at: Time::ZERO,
        }
    }

    /// The decayed mean at `now`. It is read for every target with each request, and
    /// most targets are healthy, so that the exponential is rarely computed.
    fn get(&self, now: Time) -> f64 {
        let deviation = self.value - self.healthy;
        if deviation.abs() < NEGLIGIBLE_DEVIATION {
            return self.healthy;
        }
        let age = now.since(self.at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.healthy + deviation * (-age).exp()
    }

    fn add(&mut self, now: Time, sample: f64) {
        let value = self.get(now);
        self.value = value + (sample - value) * SAMPLE_WEIGHT;
        self.at = now;
    }
}

/// Health estimates of one target.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    slowness: DecayingMean,
    failures: DecayingMean,
    refusals: DecayingMean,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            slowness: DecayingMean::new(1.0),
            failures: DecayingMean::new(0.0),
            refusals: DecayingMean::new(0.0),
        }
    }
}

impl Health {
    /// Mean latency over the expected one; 1 if healthy.
    #[must_use]
    pub fn slowness(&self, now: Time) -> f64 {
        self.slowness.get(now)
    }

    /// Share of recent requests that failed, refusals not counted.
    #[must_use]
    pub fn failure_rate(&self, now: Time) -> f64 {
        self.failures.get(now)
    }

    /// Share of recent requests that the target refused without running them.
    #[must_use]
    pub fn refusal_rate(&self, now: Time) -> f64 {
        self.refusals.get(now)
    }

    /// Whether objects should prefer other targets for now. Refusals don't count: a
    /// target that refuses some requests still serves the rest, with its objects warm,
    /// and what it didn't run can be sent again.
    #[must_use]
    pub fn is_degraded(&self, now: Time, baseline: &Baseline) -> bool {
        self.slowness(now) > DEGRADED_SLOWNESS_RATIO * baseline.slowness
            || self.failure_rate(now) > DEGRADED_FAILURE_EXCESS + baseline.failure_rate
    }

    /// Records an answer, with its latency over the expected one if that is known.
    pub fn record_answer(&mut self, now: Time, ratio: Option<f64>) {
        self.failures.add(now, 0.0);
        self.refusals.add(now, 0.0);
        if let Some(ratio) = ratio {
            self.record_slowness(now, ratio);
        }
    }

    /// Forgets failed requests.
    pub(super) fn forget_failures(&mut self) {
        self.failures = Self::default().failures;
    }

    /// Records a failed request.
    pub fn record_failure(&mut self, now: Time) {
        self.failures.add(now, 1.0);
    }

    /// Records a request that the target refused.
    pub fn record_refusal(&mut self, now: Time) {
        self.refusals.add(now, 1.0);
    }

    /// Records a latency, as a multiple of the expected one.
    fn record_slowness(&mut self, now: Time, ratio: f64) {
        self.slowness.add(
            now,
            ratio.clamp(*SLOWNESS_RANGE.start(), *SLOWNESS_RANGE.end()),
        );
    }
}

/// Health of the better targets of a service in a region, against which the others
/// are judged. In an overloaded region all targets are slow and miss deadlines;
/// moving objects among them would only make the objects cold as well.
#[derive(Clone, Copy, Debug)]
pub struct Baseline {
    slowness: f64,
    failure_rate: f64,
}

impl Baseline {
    /// The baseline of healthy targets.
    const HEALTHY: Self = Self {
        slowness: 1.0,
        failure_rate: 0.0,
    };

    /// Computes the baseline as the lower quartiles of these targets' estimates.
    pub(super) fn of<'a>(now: Time, all: impl Iterator<Item = &'a Health> + Clone) -> Self {
        // Fast path: computed with each request, and mostly no target is degraded.
        if !all.clone().any(|h| h.is_degraded(now, &Self::HEALTHY)) {
            return Self::HEALTHY;
        }
        let (mut slowness, mut failure_rate): (Vec<f64>, Vec<f64>) =
            all.map(|h| (h.slowness(now), h.failure_rate(now))).unzip();
        Self {
            slowness: lower_quartile(&mut slowness).max(1.0),
            failure_rate: lower_quartile(&mut failure_rate),
        }
    }
}

/// The lower quartile of some values; 0 if there are none.
fn lower_quartile(values: &mut [f64]) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let at = values.len() / 4;
    *values.select_nth_unstable_by(at, f64::total_cmp).1
}

/// Failed and slow requests that an instance saw at a target since its last
/// heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Observation {
    /// Short hash of the target's name.
    pub target_hash: u32,
    /// Requests that failed.
    pub failures: u8,
    /// Largest latency over the expected one, in eighths; 0 if no request was slow.
    pub ratio_eighths: u8,
}

/// Encoded steps per unit of a latency ratio.
const RATIO_STEPS: f64 = 8.0;

impl Observation {
    /// Observation of a failed request.
    #[must_use]
    pub const fn failed(target_hash: u32) -> Self {
        Self {
            target_hash,
            failures: 1,
            ratio_eighths: 0,
        }
    }

    /// Observation of a slow request; `ratio` is its latency over the expected one.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to what fits"
    )]
    pub fn slow(target_hash: u32, ratio: f64) -> Self {
        let eighths = (ratio * RATIO_STEPS).clamp(1.0, f64::from(u8::MAX));
        Self {
            target_hash,
            failures: 0,
            ratio_eighths: eighths as u8,
        }
    }

    fn ratio(self) -> Option<f64> {
        (self.ratio_eighths > 0).then(|| f64::from(self.ratio_eighths) / RATIO_STEPS)
    }
}

/// Merges the observations of each target into one; sorted by target hash.
pub(super) fn merge_observations(mut observations: Vec<Observation>) -> Vec<Observation> {
    observations.sort_unstable();
    let mut merged: Vec<Observation> = Vec::new();
    for next in observations {
        match merged.last_mut() {
            Some(last) if last.target_hash == next.target_hash => {
                last.failures = last.failures.saturating_add(next.failures);
                last.ratio_eighths = last.ratio_eighths.max(next.ratio_eighths);
            }
            _ => merged.push(next),
        }
    }
    merged
}
