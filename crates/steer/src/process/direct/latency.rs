//! Estimates of how long a route's requests take at a service's targets,
//! learned from answers. Requests whose object is warm at the target are kept
//! apart from the others, which take longer.
//!
//! Invariant: an estimate is never zero; before the first answer it is the
//! route's latency objective, scaled by [`WARM_RATIO`] for warm objects.

use std::sync::Arc;

/// Least weight of a new sample in a mean; the first samples weigh more.
const SAMPLE_WEIGHT_MIN: f64 = 0.06;

/// Assumed latency of a warm object over that of another, while only one of the
/// two, or neither, has samples.
const WARM_RATIO: f64 = 0.6;

/// Samples that both means need before objects are moved by their difference.
const RELIABLE_SAMPLES_MIN: u32 = 8;

/// An exponentially weighted mean of latencies, which starts as the plain mean of
/// the first samples.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    seconds: f64,
    samples: u32,
}

impl Mean {
    fn add(&mut self, seconds: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT_MIN.max(1.0 / f64::from(self.samples));
        self.seconds += (seconds - self.seconds) * weight;
    }

    fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.seconds)
    }
}

/// Mean latencies of one route at one service.
#[derive(Clone, Debug)]
struct Latencies {
    service: Arc<str>,
    route: Arc<str>,
    warm: Mean,
    not_warm: Mean,
}

/// Mean latencies of all routes and services seen, sorted by service and route.
#[derive(Clone, Debug, Default)]
pub struct LatencyEstimates {
    latencies: Vec<Latencies>,
}

/// Expected service time of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Seconds at a target where its object is warm.
    pub warm: f64,
    /// Seconds at another target; never less than `warm`.
    pub not_warm: f64,
    /// Whether both rest on at least [`RELIABLE_SAMPLES_MIN`] answers.
    pub is_reliable: bool,
}

impl LatencyEstimates {
    /// Estimates the service time of a request of `route` at `service`. `goal`,
    /// the route's latency objective in seconds, is used while nothing is known.
    #[must_use]
    pub fn estimate(&self, service: &str, route: &str, goal: f64) -> Estimate {
        let latencies = self.find(service, route).ok().map(|at| &self.latencies[at]);
        let known = latencies.map(|l| (l.warm.get(), l.not_warm.get()));
        let (warm, not_warm) = match known.unwrap_or_default() {
            (Some(warm), Some(not_warm)) => (warm, not_warm.max(warm)),
            (None, Some(not_warm)) => (not_warm * WARM_RATIO, not_warm),
            (Some(warm), None) => (warm, warm / WARM_RATIO),
            (None, None) => (goal * WARM_RATIO, goal),
        };
        let is_reliable = latencies
            .is_some_and(|l| l.warm.samples.min(l.not_warm.samples) >= RELIABLE_SAMPLES_MIN);
        Estimate {
            warm: warm.max(0.001),
            not_warm: not_warm.max(0.001),
            is_reliable,
        }
    }

    /// Records the latency of an answered request, in seconds.
    pub fn add(&mut self, service: &Arc<str>, route: &Arc<str>, warm: bool, seconds: f64) {
        let at = match self.find(service, route) {
            Ok(at) => at,
            Err(at) => {
                let latencies = Latencies {
                    service: Arc::clone(service),
                    route: Arc::clone(route),
                    warm: Mean::default(),
                    not_warm: Mean::default(),
                };
                self.latencies.insert(at, latencies);
                at
            }
        };
        let latencies = &mut self.latencies[at];
        let mean = if warm {
            &mut latencies.warm
        } else {
            &mut latencies.not_warm
        };
        mean.add(seconds);
    }

    fn find(&self, service: &str, route: &str) -> Result<usize, usize> {
        let key = (service, route);
        self.latencies
            .binary_search_by(|l| (&*l.service, &*l.route).cmp(&key))
    }
}
