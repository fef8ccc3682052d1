//! Estimates for admission control: queueing delay and time to retry after.
//!
//! Invariant: every retry hint is jittered and bounded, so that requests rejected
//! together don't come back together.

use core::time::Duration;
use std::sync::Arc;

use crate::process::target::latency;

/// Shortest and longest time after which a caller is asked to retry, jitter included.
pub const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(10));

/// Shortest and longest pause that a peer is asked for, before jitter, which adds up
/// to the same again.
pub const PEER_PAUSE_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(2), Duration::from_millis(200));

/// Expected cost of queueing a request at this instance.
#[derive(Clone, Copy, Debug)]
pub struct QueueEstimate {
    /// Number of requests queued ahead.
    pub ahead: usize,
    /// Concurrency limit; zero if no target is usable.
    pub limit: u32,
    /// Mean measured latency of a request, if known.
    pub mean: Option<Duration>,
    /// Latency that few requests exceed, if known.
    pub high: Option<Duration>,
}

impl QueueEstimate {
    /// Returns the expected time in the queue; [`Duration::MAX`] if no target is usable.
    #[must_use]
    pub fn wait(&self) -> Duration {
        if self.limit == 0 {
            return Duration::MAX;
        }
        let mean = latency::micros(self.mean.unwrap_or_default());
        let ahead = self.ahead as u64 + 1;
        Duration::from_micros(mean.saturating_mul(ahead) / u64::from(self.limit))
    }

    /// Returns whether a request with `left` until its deadline is expected to be
    /// answered in time if it is queued.
    #[must_use]
    pub fn is_feasible(&self, left: Duration) -> bool {
        self.wait().saturating_add(self.run_time()) <= left
    }

    /// Returns the time to allow for running: halfway between the mean and the high
    /// latency. With the mean alone every second request would be late.
    #[must_use]
    pub fn run_time(&self) -> Duration {
        let mean = self.mean.unwrap_or_default();
        let high = self.high.unwrap_or_default();
        (mean + high) / 2
    }

    /// Returns the time after which a request rejected now should be retried. Jitter
    /// keeps requests that are rejected together from coming back together.
    #[must_use]
    pub fn retry_after(&self, rng: &mut fastrand::Rng) -> Duration {
        retry_after(self.wait(), rng)
    }
}

/// Returns a random duration between one and two times `span`, within
/// [`RETRY_AFTER_BOUNDS`].
#[must_use]
pub fn retry_after(span: Duration, rng: &mut fastrand::Rng) -> Duration {
    let span = span.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1 / 2);
    span + Duration::from_micros(rng.u64(..=latency::micros(span)))
}

/// Returns a random pause between one and two times `span`, which is first clamped to
/// [`PEER_PAUSE_BOUNDS`]. Pauses of peers are short: a peer sends for many callers, and
/// a slot here is free again in a fraction of a request's time.
#[must_use]
pub fn peer_pause(span: Duration, rng: &mut fastrand::Rng) -> Duration {
    let span = span.clamp(PEER_PAUSE_BOUNDS.0, PEER_PAUSE_BOUNDS.1);
    span + Duration::from_micros(rng.u64(..=latency::micros(span)))
}

/// Number of requests per caller, sorted by name. Callers without requests are removed.
#[derive(Clone, Debug, Default)]
pub struct CallerCounts {
    counts: Vec<(Arc<str>, usize)>,
}

impl CallerCounts {
    /// Returns the number of requests of a caller.
    #[must_use]
    pub fn get(&self, name: &str) -> usize {
        let at = self.counts.binary_search_by(|n| (*n.0).cmp(name));
        at.map_or(0, |at| self.counts[at].1)
    }

    /// Counts a request of a caller.
    pub fn add(&mut self, name: &Arc<str>) {
        match self.counts.binary_search_by(|n| n.0.cmp(name)) {
            Ok(at) => self.counts[at].1 += 1,
            Err(at) => self.counts.insert(at, (Arc::clone(name), 1)),
        }
    }

    /// Removes a request of a caller from the count.
    pub fn remove(&mut self, name: &str) {
        let Ok(at) = self.counts.binary_search_by(|n| (*n.0).cmp(name)) else {
            return;
        };
        self.counts[at].1 -= 1;
        if self.counts[at].1 == 0 {
            self.counts.remove(at);
        }
    }
}
