//! How a target does: whether it is slow, and what share of requests it fails.
//!
//! In a large fleet an instance sends a given target a request every many
//! seconds, and would learn nothing from its own alone before the trouble is
//! over. So instances tell each other what they saw, as samples, and each
//! takes them as its own. Only bad news is told; it fades, or a target that
//! nobody tries any more would stay avoided for ever.
//!
//! Invariant: an estimate that isn't renewed is back at "well" after a few
//! times [`HEAL`].

use core::time::Duration;

use super::Direct;
use super::job::State;
use super::mechanisms::Mechanism;
use super::members::name_hash;
use crate::clock::Time;

/// Weight of a new sample.
const SAMPLE: f64 = 0.2;

/// Time in which what is known fades to a third.
const HEAL: Duration = Duration::from_secs(6);

/// Largest and smallest time over the time expected that a sample may have.
const RATIO: core::ops::RangeInclusive<f64> = 0.2..=20.0;

/// Time over the time expected from which on others are told.
const TOLD_RATIO: f64 = 2.0;

/// The same for a request that is still there, over the time for an object that
/// the target doesn't hold: it may only be longer than usual.
const OVERDUE: f64 = 1.6;

/// Slowness over the usual one, and part of requests failed beyond the usual one,
/// from which on an object's first target is another one for the time being.
const SLOW: f64 = 2.5;
const ILL: f64 = 0.25;

/// Difference from "well" that changes no decision.
const NOTHING: f64 = 0.01;

/// A moving mean that fades to what it is for a target that does well.
#[derive(Clone, Copy, Debug)]
struct Faded {
    well: f64,
    value: f64,
    at: Time,
}

impl Faded {
    const fn new(well: f64) -> Self {
        Self {
            well,
            value: well,
            at: Time::ZERO,
        }
    }

    /// The mean now. Most targets do well, and this is asked for all of them
    /// with each request.
    fn get(&self, now: Time) -> f64 {
        let off = self.value - self.well;
        if off.abs() < NOTHING {
            return self.well;
        }
        let age = now.since(self.at).as_secs_f64() / HEAL.as_secs_f64();
        self.well + off * (-age).exp()
    }

    fn add(&mut self, now: Time, sample: f64) {
        let value = self.get(now);
        self.value = value + (sample - value) * SAMPLE;
        self.at = now;
    }
}

/// How one target does.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    slowness: Faded,
    failures: Faded,
    refusals: Faded,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            slowness: Faded::new(1.0),
            failures: Faded::new(0.0),
            refusals: Faded::new(0.0),
        }
    }
}

impl Health {
    /// Time that it needs, over that of others of its service.
    #[must_use]
    pub fn slowness(&self, now: Time) -> f64 {
        self.slowness.get(now)
    }

    /// Share of the last requests that it failed, and that may have run.
    #[must_use]
    pub fn failure_rate(&self, now: Time) -> f64 {
        self.failures.get(now)
    }

    /// Share of the last requests that it turned away unrun.
    #[must_use]
    pub fn refusal_rate(&self, now: Time) -> f64 {
        self.refusals.get(now)
    }

    /// Whether objects are better handled elsewhere for the time being. One that
    /// turns requests away still serves the rest, and its objects are warm there;
    /// what it didn't run can be sent again.
    #[must_use]
    pub fn is_degraded(&self, now: Time, usual: &Baseline) -> bool {
        self.slowness(now) > SLOW * usual.slowness
            || self.failure_rate(now) > ILL + usual.failure_rate
    }

    /// An answer, with the time it took over the time expected, if that says
    /// something.
    pub fn record_answer(&mut self, now: Time, ratio: Option<f64>) {
        self.failures.add(now, 0.0);
        self.refusals.add(now, 0.0);
        if let Some(ratio) = ratio {
            self.record_slowness(now, ratio);
        }
    }

    /// A request that it failed.
    pub fn record_failure(&mut self, now: Time) {
        self.failures.add(now, 1.0);
    }

    /// A request that it turned away.
    pub fn record_refusal(&mut self, now: Time) {
        self.refusals.add(now, 1.0);
    }

    /// A request that took so many times the time expected.
    fn record_slowness(&mut self, now: Time, ratio: f64) {
        self.slowness
            .add(now, ratio.clamp(*RATIO.start(), *RATIO.end()));
    }
}

/// How targets of a service do that do well. Where a region is overloaded all of
/// its targets are slow and miss deadlines; moving objects among them would only
/// make them cold besides.
#[derive(Clone, Copy, Debug)]
pub struct Baseline {
    slowness: f64,
    failure_rate: f64,
}

impl Baseline {
    /// How targets do that do well.
    const HEALTHY: Self = Self {
        slowness: 1.0,
        failure_rate: 0.0,
    };

    /// By the best quarter of these targets.
    pub(super) fn of<'a>(now: Time, all: impl Iterator<Item = &'a Health> + Clone) -> Self {
        // Asked with each request, and mostly there is nothing to compare.
        if !all.clone().any(|h| h.is_degraded(now, &Self::HEALTHY)) {
            return Self::HEALTHY;
        }
        let (mut slowness, mut failure_rate): (Vec<f64>, Vec<f64>) =
            all.map(|h| (h.slowness(now), h.failure_rate(now))).unzip();
        Self {
            slowness: quarter(&mut slowness).max(1.0),
            failure_rate: quarter(&mut failure_rate),
        }
    }
}

/// The value below which a quarter lies; 0 of none.
fn quarter(values: &mut [f64]) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let at = values.len() / 4;
    *values.select_nth_unstable_by(at, f64::total_cmp).1
}

/// What an instance saw of a target since its last heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Observation {
    /// The target's mark.
    pub target_hash: u32,
    /// Requests that it failed.
    pub failures: u8,
    /// Time that a request took over the time expected, in eighths; 0 if none
    /// was slow.
    pub ratio_eighths: u8,
}

/// Eighths in one.
const EIGHTHS: f64 = 8.0;

impl Observation {
    /// A failed request.
    #[must_use]
    pub const fn failed(target_hash: u32) -> Self {
        Self {
            target_hash,
            failures: 1,
            ratio_eighths: 0,
        }
    }

    /// A slow one.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to what fits"
    )]
    pub fn slow(target_hash: u32, ratio: f64) -> Self {
        let eighths = (ratio * EIGHTHS).clamp(1.0, f64::from(u8::MAX));
        Self {
            target_hash,
            failures: 0,
            ratio_eighths: eighths as u8,
        }
    }

    fn ratio(self) -> Option<f64> {
        (self.ratio_eighths > 0).then(|| f64::from(self.ratio_eighths) / EIGHTHS)
    }
}

/// Puts what was seen of each target together, sorted by mark.
pub(super) fn merge_observations(mut seen: Vec<Observation>) -> Vec<Observation> {
    seen.sort_unstable();
    let mut all: Vec<Observation> = Vec::new();
    for next in seen {
        match all.last_mut() {
            Some(last) if last.target_hash == next.target_hash => {
                last.failures = last.failures.saturating_add(next.failures);
                last.ratio_eighths = last.ratio_eighths.max(next.ratio_eighths);
            }
            _ => all.push(next),
        }
    }
    all
}

impl Direct {
    /// Notes a slow answer for the next heartbeat.
    pub(super) fn note_slow(&mut self, id: &str, ratio: Option<f64>) {
        if let Some(ratio) = ratio.filter(|r| *r >= TOLD_RATIO) {
            self.observations
                .push(Observation::slow(name_hash(id), ratio));
        }
    }

    /// Notes a failed request for the next heartbeat.
    pub(super) fn note_failed(&mut self, id: &str) {
        self.observations.push(Observation::failed(name_hash(id)));
    }

    /// What the next heartbeat tells: what was noted, and requests that are at
    /// targets for far longer than they should be. Their answers come too late
    /// to keep others from the same target.
    pub(super) fn take_observations(&mut self, now: Time) -> Vec<Observation> {
        let mut seen = core::mem::take(&mut self.observations);
        let mut overdue = Vec::new();
        for job in &self.jobs {
            if let State::InFlight {
                target,
                sent_at,
                queued: false,
                ..
            } = &job.state
            {
                let work = self.estimate(job);
                let ratio = now.since(*sent_at).as_secs_f64() / work.not_warm;
                if work.is_reliable && ratio >= OVERDUE {
                    overdue.push((target.clone(), ratio));
                }
            }
        }
        for (id, ratio) in overdue {
            seen.push(Observation::slow(name_hash(&id), ratio));
            if let Some(target) = self.roster.get_mut(&id) {
                target.health.record_slowness(now, ratio);
            }
        }
        merge_observations(seen)
    }

    /// Takes what another instance saw.
    pub(super) fn receive_observations(&mut self, now: Time, told: &[Observation]) {
        if told.is_empty() || !self.mechanisms.has(Mechanism::SharedHealth) {
            return;
        }
        for target in self.roster.all_mut() {
            let Ok(at) = told.binary_search_by_key(&target.short_hash(), |t| t.target_hash) else {
                continue;
            };
            for _ in 0..told[at].failures {
                target.health.record_failure(now);
            }
            if let Some(ratio) = told[at].ratio() {
                target.health.record_slowness(now, ratio);
            }
        }
    }
}
