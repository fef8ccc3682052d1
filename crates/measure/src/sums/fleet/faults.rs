//! Faults of a run: what happens to instances and to the store, and what targets report.

use core::ops::Range;
use core::time::Duration;

use steer::clock::Time;

use super::super::instance::Instance;
use super::super::setup::{COLD, TARGETS};
use super::{Fleet, MS};

/// Time in which targets report limits, ask for backoffs or announce that they are about
/// to stop.
const REPORTING_SPAN: Range<Time> = Time::from_micros(8_000_000)..Time::from_micros(20_000_000);

/// Start of the first wave of callers, in milliseconds, when processes have run long enough
/// to use all of the retry budget.
const WAVES_START_MS: u64 = 15_000;
/// Time from one wave to the next, and length of each, in milliseconds.
const WAVE_INTERVAL_MS: u64 = 9_500;
const WAVE_MS: u64 = 1_000;
/// Traffic in a wave as a multiple of the usual one.
const WAVE_FACTOR: f64 = 10.0;

impl Fleet {
    pub(super) fn inject_faults(&mut self) {
        let plan = self.plan;
        if plan.cold && self.occurs(Duration::from_secs(4)) {
            let region = self.rng.usize(0..TARGETS.len());
            for target in self.targets.iter_mut().filter(|t| t.region == region) {
                target.entry.seq += 1;
                target.cold = self.now + COLD;
            }
        }
        if plan.replaced && self.occurs(Duration::from_secs(2)) {
            let instance = self.rng.usize(0..self.instances.len());
            self.kill(instance);
        }
        if plan.herd && (self.is_at(10) || self.is_at(22)) {
            for instance in 0..self.instances.len() {
                self.kill(instance);
            }
        }
        if plan.cut && self.occurs(Duration::from_secs(4)) {
            let instance = self.rng.usize(0..self.instances.len());
            self.instances[instance].cut_until = self.now + self.random_duration(3_000, 12_000);
        }
        if plan.store && self.occurs(Duration::from_secs(10)) {
            self.store_away_until = self.now + self.random_duration(2_000, 9_000);
        }
        if plan.added && self.is_at(12) {
            let size = self.instances.len();
            let more = (size..size + size.div_ceil(2)).map(|i| Instance::new(i, self.now));
            self.instances.extend(more);
        }
    }

    /// Traffic now as a multiple of the usual one.
    pub(super) fn burst_factor(&self) -> f64 {
        let millis = self.now.as_micros() / 1_000;
        if self.plan.bursts && millis % 10_000 >= 6_000 {
            2.5
        } else if self.plan.turned_away && millis >= WAVES_START_MS {
            let in_wave = (millis - WAVES_START_MS) % WAVE_INTERVAL_MS < WAVE_MS;
            if in_wave { WAVE_FACTOR } else { 1.0 }
        } else {
            1.0
        }
    }

    /// Whether targets turn nearly everything away now.
    pub(super) fn is_turning_away(&self) -> bool {
        let from = Time::from_micros((WAVES_START_MS + 2 * WAVE_MS) * 1_000);
        self.plan.turned_away && self.now >= from
    }

    fn kill(&mut self, instance: usize) {
        let restarts_at = self.now + self.random_duration(300, 2_000);
        let instance = &mut self.instances[instance];
        if instance.direct.take().is_some() {
            instance.pending.clear();
            instance.restarts_at = Some(restarts_at);
        }
    }

    fn is_at(&self, seconds: u64) -> bool {
        self.now == Time::ZERO + Duration::from_secs(seconds)
    }

    /// Rate limit that a target reports now.
    pub(super) fn limit(&self, target: usize) -> Option<f64> {
        let named = target.is_multiple_of(self.plan.each) && REPORTING_SPAN.contains(&self.now);
        self.plan.limit.filter(|_| named)
    }

    /// Backoff that a target asks for now.
    pub(super) fn backoff(&self, target: usize) -> Option<Duration> {
        let asks_backoff =
            target.is_multiple_of(self.plan.each) && REPORTING_SPAN.contains(&self.now);
        let millis = self.plan.backoff_ms.filter(|_| asks_backoff)?;
        Some(MS * millis)
    }

    /// Whether a target announces now that it is about to stop.
    pub(super) fn is_leaving(&self, target: usize) -> bool {
        self.plan.leaving
            && target.is_multiple_of(self.plan.each)
            && self.now >= REPORTING_SPAN.start
    }
}
