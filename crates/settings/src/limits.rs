//! Bounds on memory, work and time, with their defaults and ranges.

use core::ops::RangeInclusive;
use core::time::Duration;

/// Declaration of a bound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Name of the field under `limits` in the file.
    pub name: &'static str,
    /// Value if the file names none.
    pub default: u64,
    /// Accepted values.
    pub range: RangeInclusive<u64>,
}

const fn bound(name: &'static str, default: u64, min: u64, max: u64) -> Bound {
    Bound {
        name,
        default,
        range: min..=max,
    }
}

/// All bounds, in the order in which they are printed. [`Limits`] refers to them by
/// index.
pub const LIMIT_DEFS: [Bound; 11] = [
    bound("head_bytes", 16_384, 1_024, 1 << 20),
    bound("body_bytes", 1 << 20, 0, 1 << 26),
    bound("connections", 4_096, 1, 65_536),
    bound("in_flight", 1_024, 1, 65_536),
    bound("queue", 256, 0, 65_536),
    bound("caller_in_flight", 64, 1, 65_536),
    bound("request_ms", 30_000, 1, 600_000),
    bound("idle_ms", 60_000, 100, 3_600_000),
    bound("threads", 4, 1, 256),
    bound("target_connections", 64, 1, 4_096),
    bound("wait_ms", 250, 0, 60_000),
];

/// Bounds in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    values: [u64; LIMIT_DEFS.len()],
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            values: LIMIT_DEFS.map(|b| b.default),
        }
    }
}

impl Limits {
    /// Largest head of a request in bytes.
    #[must_use]
    pub fn head_bytes(&self) -> usize {
        self.size(0)
    }

    /// Largest body of a request in bytes.
    #[must_use]
    pub fn body_bytes(&self) -> usize {
        self.size(1)
    }

    /// Largest number of open connections of callers.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.size(2)
    }

    /// Largest number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.size(3)
    }

    /// Largest number of requests that wait for a target.
    #[must_use]
    pub fn queue(&self) -> usize {
        self.size(4)
    }

    /// Largest number of requests of one caller in flight.
    #[must_use]
    pub fn caller_in_flight(&self) -> usize {
        self.size(5)
    }

    /// Longest time that a request may take, even if its caller's deadline is later.
    #[must_use]
    pub fn request_time(&self) -> Duration {
        Duration::from_millis(self.values[6])
    }

    /// Longest time for which a connection may be idle or a head incomplete.
    #[must_use]
    pub fn idle_time(&self) -> Duration {
        Duration::from_millis(self.values[7])
    }

    /// Number of threads that serve requests, besides the control thread.
    #[must_use]
    pub fn threads(&self) -> usize {
        self.size(8)
    }

    /// Largest number of connections to one target.
    #[must_use]
    pub fn target_connections(&self) -> usize {
        self.size(9)
    }

    /// Longest expected time in the queue. Shorter values favour latency, longer ones
    /// reduce refusals.
    #[must_use]
    pub fn wait_max(&self) -> Duration {
        Duration::from_millis(self.values[10])
    }

    /// Sets the bound at `index` of [`LIMIT_DEFS`].
    pub(crate) fn set(&mut self, index: usize, value: u64) {
        self.values[index] = value;
    }

    /// Returns all bounds with their names.
    pub fn named(&self) -> impl Iterator<Item = (&'static str, u64)> {
        LIMIT_DEFS.iter().zip(self.values).map(|(b, v)| (b.name, v))
    }

    /// Returns a bound as `usize`; every range fits on 32-bit and 64-bit machines.
    fn size(&self, index: usize) -> usize {
        usize::try_from(self.values[index]).unwrap_or(usize::MAX)
    }
}
