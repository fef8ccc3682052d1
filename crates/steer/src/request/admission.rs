//! Whether a request can still be answered in time, and who may take part.
//!
//! Invariant: what is refused here has not been sent anywhere, and is told
//! when to come back.

use core::time::Duration;
use std::sync::Arc;

use crate::process::target::latency;

/// Shortest and longest time after which a caller is asked to come back.
pub const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(10));

/// Shortest and longest time for which a peer is asked to send nothing.
pub const PEER_PAUSE_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(2), Duration::from_millis(200));

/// What waiting here would mean.
#[derive(Clone, Copy, Debug)]
pub struct QueueEstimate {
    /// Requests that wait in front.
    pub ahead: usize,
    /// Requests that may run at a time; zero if no target is usable.
    pub limit: u32,
    /// Measured mean time of one, if known.
    pub mean: Option<Duration>,
    /// Measured time that few exceed, if known.
    pub high: Option<Duration>,
}

impl QueueEstimate {
    /// Expected time in the queue.
    #[must_use]
    pub fn wait(&self) -> Duration {
        if self.limit == 0 {
            return Duration::MAX;
        }
        let mean = latency::micros(self.mean.unwrap_or_default());
        let ahead = self.ahead as u64 + 1;
        Duration::from_micros(mean.saturating_mul(ahead) / u64::from(self.limit))
    }

    /// Whether a request with `left` to go can be expected to be answered if
    /// it queues. Half the way from the mean to the high time is asked for: by
    /// the mean alone every second one would be late.
    #[must_use]
    pub fn is_feasible(&self, left: Duration) -> bool {
        self.wait().saturating_add(self.run_time()) <= left
    }

    /// Time to allow for running.
    #[must_use]
    pub fn run_time(&self) -> Duration {
        let mean = self.mean.unwrap_or_default();
        let high = self.high.unwrap_or_default();
        (mean + high) / 2
    }

    /// When a request that is refused now should come back. Jittered, so that
    /// those refused together don't come back together.
    #[must_use]
    pub fn retry_after(&self, rng: &mut fastrand::Rng) -> Duration {
        retry_after(self.wait(), rng)
    }
}

/// Between one and two times `span`, within [`RETRY_AFTER_BOUNDS`].
#[must_use]
pub fn retry_after(span: Duration, rng: &mut fastrand::Rng) -> Duration {
    let span = span.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1 / 2);
    span + Duration::from_micros(rng.u64(..=latency::micros(span)))
}

/// The same for a peer. It asks on behalf of many and has room elsewhere to
/// find; a slot here is free again in a fraction of a request's time.
#[must_use]
pub fn peer_pause(span: Duration, rng: &mut fastrand::Rng) -> Duration {
    let span = span.clamp(PEER_PAUSE_BOUNDS.0, PEER_PAUSE_BOUNDS.1);
    span + Duration::from_micros(rng.u64(..=latency::micros(span)))
}

/// Requests per caller, sorted by name; callers without requests are dropped.
#[derive(Clone, Debug, Default)]
pub struct CallerCounts {
    names: Vec<(Arc<str>, usize)>,
}

impl CallerCounts {
    /// Requests of this caller.
    #[must_use]
    pub fn get(&self, name: &str) -> usize {
        let at = self.names.binary_search_by(|n| (*n.0).cmp(name));
        at.map_or(0, |at| self.names[at].1)
    }

    /// Adds one.
    pub fn add(&mut self, name: &Arc<str>) {
        match self.names.binary_search_by(|n| n.0.cmp(name)) {
            Ok(at) => self.names[at].1 += 1,
            Err(at) => self.names.insert(at, (Arc::clone(name), 1)),
        }
    }

    /// Takes one away.
    pub fn remove(&mut self, name: &str) {
        let Ok(at) = self.names.binary_search_by(|n| (*n.0).cmp(name)) else {
            return;
        };
        self.names[at].1 -= 1;
        if self.names[at].1 == 0 {
            self.names.remove(at);
        }
    }
}
