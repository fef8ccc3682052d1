//! What requests of a route take at the targets of a service, learnt from
//! answers, apart for objects that a target handled lately and others.
//!
//! Invariant: an estimate is never zero, and before the first answer it is the
//! route's latency objective.

use std::sync::Arc;

/// Weight of a new sample in a moving mean, once there are some.
const SAMPLE: f64 = 0.06;

/// Time for a warm object over that for another, before any is known.
const GAIN: f64 = 0.6;

/// Answers of each sort from which on times are sure enough to move objects by.
const SURE: u32 = 8;

/// A moving mean of seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    seconds: f64,
    samples: u32,
}

impl Mean {
    fn add(&mut self, seconds: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE.max(1.0 / f64::from(self.samples));
        self.seconds += (seconds - self.seconds) * weight;
    }

    fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.seconds)
    }
}

/// Times of one route at one service.
#[derive(Clone, Debug)]
struct Times {
    service: Arc<str>,
    route: Arc<str>,
    warm: Mean,
    not_warm: Mean,
}

/// Times by service and route, sorted.
#[derive(Clone, Debug, Default)]
pub struct LatencyEstimates {
    times: Vec<Times>,
}

/// What a request is expected to take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Seconds where its object is warm.
    pub warm: f64,
    /// Seconds where it isn't.
    pub not_warm: f64,
    /// Whether both rest on several answers.
    pub is_reliable: bool,
}

impl LatencyEstimates {
    /// What a request of `route` takes at `service`; `goal` if nothing is known.
    #[must_use]
    pub fn estimate(&self, service: &str, route: &str, goal: f64) -> Estimate {
        let times = self.find(service, route).ok().map(|at| &self.times[at]);
        let known = times.map(|t| (t.warm.get(), t.not_warm.get()));
        let (warm, other) = match known.unwrap_or_default() {
            (Some(warm), Some(other)) => (warm, other.max(warm)),
            (None, Some(other)) => (other * GAIN, other),
            (Some(warm), None) => (warm, warm / GAIN),
            (None, None) => (goal * GAIN, goal),
        };
        let is_reliable = times.is_some_and(|t| t.warm.samples.min(t.not_warm.samples) >= SURE);
        Estimate {
            warm: warm.max(0.001),
            not_warm: other.max(0.001),
            is_reliable,
        }
    }

    /// Notes what a request took.
    pub fn add(&mut self, service: &Arc<str>, route: &Arc<str>, warm: bool, seconds: f64) {
        let at = match self.find(service, route) {
            Ok(at) => at,
            Err(at) => {
                let times = Times {
                    service: Arc::clone(service),
                    route: Arc::clone(route),
                    warm: Mean::default(),
                    not_warm: Mean::default(),
                };
                self.times.insert(at, times);
                at
            }
        };
        let times = &mut self.times[at];
        let mean = if warm {
            &mut times.warm
        } else {
            &mut times.not_warm
        };
        mean.add(seconds);
    }

    fn find(&self, service: &str, route: &str) -> Result<usize, usize> {
        let key = (service, route);
        self.times
            .binary_search_by(|t| (&*t.service, &*t.route).cmp(&key))
    }
}
