//! Bounds on memory, work and time, with their defaults and ranges.

use core::ops::RangeInclusive;
use core::time::Duration;

/// One bound as declared: its name in the file, its default and its range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Field name under `limits`.
    pub name: &'static str,
    /// Value if the file has none.
    pub default: u64,
    /// Values that are accepted.
    pub range: RangeInclusive<u64>,
}

const fn bound(name: &'static str, default: u64, least: u64, most: u64) -> Bound {
    Bound {
        name,
        default,
        range: least..=most,
    }
}

/// Every bound, in the order they print.
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

/// The bounds in force.
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
    /// Largest request head in bytes.
    #[must_use]
    pub fn head_bytes(&self) -> usize {
        self.size(0)
    }

    /// Largest request body in bytes.
    #[must_use]
    pub fn body_bytes(&self) -> usize {
        self.size(1)
    }

    /// Most callers' connections open at a time.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.size(2)
    }

    /// Most requests at work at a time.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.size(3)
    }

    /// Most requests that wait for a target at a time.
    #[must_use]
    pub fn queue(&self) -> usize {
        self.size(4)
    }

    /// Most requests of one caller at a time.
    #[must_use]
    pub fn caller_in_flight(&self) -> usize {
        self.size(5)
    }

    /// Longest time a request may take, its caller's deadline notwithstanding.
    #[must_use]
    pub fn request_time(&self) -> Duration {
        Duration::from_millis(self.values[6])
    }

    /// Longest time a connection may be idle or a head half sent.
    #[must_use]
    pub fn idle_time(&self) -> Duration {
        Duration::from_millis(self.values[7])
    }

    /// Threads that carry traffic; the control thread comes on top.
    #[must_use]
    pub fn threads(&self) -> usize {
        self.size(8)
    }

    /// Most connections to one target.
    #[must_use]
    pub fn target_connections(&self) -> usize {
        self.size(9)
    }

    /// Longest expected time in the queue: short where latency counts most,
    /// longer where refusals do.
    #[must_use]
    pub fn wait_max(&self) -> Duration {
        Duration::from_millis(self.values[10])
    }

    /// Sets the bound at `index` of [`LIMIT_DEFS`].
    pub(crate) fn set(&mut self, index: usize, value: u64) {
        self.values[index] = value;
    }

    /// All bounds with their names.
    pub fn named(&self) -> impl Iterator<Item = (&'static str, u64)> {
        LIMIT_DEFS.iter().zip(self.values).map(|(b, v)| (b.name, v))
    }

    /// Every range fits `usize` on the 32-bit and 64-bit machines it runs on.
    fn size(&self, index: usize) -> usize {
        usize::try_from(self.values[index]).unwrap_or(usize::MAX)
    }
}
