//! Whether a request can still be answered in time, and who may take part.
//!
//! Invariant: what is refused here has not been sent anywhere, and is told
//! when to come back.

use core::time::Duration;
use std::sync::Arc;

use crate::process::target::latency;

/// Shortest and longest time after which a caller is asked to come back.
pub const COME_BACK: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));

/// Shortest and longest time for which a peer is asked to send nothing.
pub const PAUSE: (Duration, Duration) = (Duration::from_millis(2), Duration::from_millis(200));

/// What waiting here would mean.
#[derive(Clone, Copy, Debug)]
pub struct Outlook {
    /// Requests that wait in front.
    pub ahead: usize,
    /// Requests that may run at a time; zero if no target is usable.
    pub limit: u32,
    /// Measured mean time of one, if known.
    pub mean: Option<Duration>,
    /// Measured time that few exceed, if known.
    pub high: Option<Duration>,
}

impl Outlook {
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
    pub fn hopeful(&self, left: Duration) -> bool {
        self.wait().saturating_add(self.run()) <= left
    }

    /// Time to allow for running.
    #[must_use]
    pub fn run(&self) -> Duration {
        let mean = self.mean.unwrap_or_default();
        let high = self.high.unwrap_or_default();
        (mean + high) / 2
    }

    /// When a request that is refused now should come back. Jittered, so that
    /// those refused together don't come back together.
    #[must_use]
    pub fn come_back(&self, rng: &mut fastrand::Rng) -> Duration {
        jitter(self.wait(), rng)
    }
}

/// Between one and two times `span`, within [`COME_BACK`].
#[must_use]
pub fn jitter(span: Duration, rng: &mut fastrand::Rng) -> Duration {
    let span = span.clamp(COME_BACK.0, COME_BACK.1 / 2);
    span + Duration::from_micros(rng.u64(..=latency::micros(span)))
}

/// The same for a peer. It asks on behalf of many and has room elsewhere to
/// find; a slot here is free again in a fraction of a request's time.
#[must_use]
pub fn pause(span: Duration, rng: &mut fastrand::Rng) -> Duration {
    let span = span.clamp(PAUSE.0, PAUSE.1);
    span + Duration::from_micros(rng.u64(..=latency::micros(span)))
}

/// Requests per caller, sorted by name; callers without requests are dropped.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    names: Vec<(Arc<str>, usize)>,
}

impl Counts {
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
