//! Mixed services: those that get requests of different priorities at the same time.
//!
//! Answers the load in which more and less urgent requests compete for the slots of one
//! service. Where all requests of a service have one priority, there is nothing to weigh
//! between them.
//!
//! Invariant: a service is mixed only while requests of at least two priorities each make
//! up [`PART_MIN`] of its recent requests, so that a few test requests don't make it so.

use std::sync::Arc;

use super::Direct;
use super::message::Request;
use crate::clock::Time;

/// Priority of a request: the team's, then the route's; the lowest is the most urgent.
pub type Priority = (u32, u32);

/// Time constant in seconds over which the requests of a service are counted.
const COUNT_TIME_SECONDS: f64 = 10.0;

/// Least part of a service's requests that counts as a priority of its own.
const PART_MIN: f64 = 0.05;

/// Counted requests below which a service isn't mixed: a process that has just started
/// has seen too few of them.
const REQUESTS_MIN: f64 = 40.0;

/// Recent requests of one priority.
#[derive(Clone, Copy, Debug)]
struct Count {
    priority: Priority,
    requests: f64,
}

/// Recent requests of one service.
#[derive(Clone, Debug)]
struct ServiceCounts {
    service: Arc<str>,
    updated_at: Time,
    /// Counts by priority, sorted.
    counts: Vec<Count>,
}

/// Recent requests by service and priority, sorted by service.
#[derive(Clone, Debug, Default)]
pub struct PriorityMix {
    services: Vec<ServiceCounts>,
}

impl PriorityMix {
    /// Counts a request that has arrived for a service.
    pub fn record(&mut self, now: Time, service: &Arc<str>, priority: Priority) {
        let at = match self.find(service) {
            Ok(at) => at,
            Err(at) => {
                let counts = ServiceCounts {
                    service: Arc::clone(service),
                    updated_at: now,
                    counts: Vec::new(),
                };
                self.services.insert(at, counts);
                at
            }
        };
        self.services[at].record(now, priority);
    }

    /// Whether requests of different priorities compete for the slots of a service.
    #[must_use]
    pub fn is_mixed(&self, service: &str) -> bool {
        self.priorities(service).nth(1).is_some()
    }

    /// The priority of the most urgent requests of a mixed service.
    #[must_use]
    pub fn most_urgent(&self, service: &str) -> Option<Priority> {
        let mut priorities = self.priorities(service);
        let first = priorities.next()?;
        priorities.next().map(|_| first)
    }

    /// Recent requests a second of a service with this priority or a more urgent one.
    #[must_use]
    pub fn rate_up_to(&self, service: &str, priority: Priority) -> f64 {
        let counts = self
            .find(service)
            .map(|at| self.services[at].counts.as_slice());
        let counted = counts.unwrap_or_default().iter();
        let requests: f64 = counted
            .filter(|c| c.priority <= priority)
            .map(|c| c.requests)
            .sum();
        requests / COUNT_TIME_SECONDS
    }

    /// Priorities that make up a part of a service's requests, the most urgent first.
    pub(super) fn priorities(&self, service: &str) -> impl Iterator<Item = Priority> {
        let counts = self
            .find(service)
            .map(|at| self.services[at].counts.as_slice());
        let counts = counts.unwrap_or_default();
        let total: f64 = counts.iter().map(|c| c.requests).sum();
        let is_part = move |c: &&Count| total >= REQUESTS_MIN && c.requests >= total * PART_MIN;
        counts.iter().filter(is_part).map(|c| c.priority)
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|s| (*s.service).cmp(service))
    }
}

impl ServiceCounts {
    fn record(&mut self, now: Time, priority: Priority) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let factor = (-elapsed / COUNT_TIME_SECONDS).exp();
        for count in &mut self.counts {
            count.requests *= factor;
        }
        match self.counts.binary_search_by_key(&priority, |c| c.priority) {
            Ok(at) => self.counts[at].requests += 1.0,
            Err(at) => {
                let requests = 1.0;
                self.counts.insert(at, Count { priority, requests });
            }
        }
    }
}

impl Direct {
    /// Counts a request that has arrived for a service.
    pub(super) fn record_priority(&mut self, now: Time, service: &Arc<str>, request: &Request) {
        self.mix.record(now, service, request.priority());
    }
}
