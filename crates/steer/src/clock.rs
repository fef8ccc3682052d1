//! Time as the decisions see it.
//!
//! Invariant: a [`Time`] is only ever compared with one from the same process.
//! Nothing that two processes exchange carries a `Time`, only durations.

use core::fmt;
use core::ops::{Add, Sub};
use core::time::Duration;

/// A point on one process's monotonic clock: microseconds since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The start of the process.
    pub const ZERO: Self = Self(0);

    /// From microseconds since the process's start.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the process's start.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time from `earlier` to this one; zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}ms", self.0 / 1000, self.0 % 1000)
    }
}
