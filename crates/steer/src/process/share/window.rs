//! What was used within the last second.
//!
//! Invariant: whatever second one looks at, the sum of what was taken in it is
//! at most the limit that held when the last of it was taken. A token bucket
//! would not do: it lets a burst and a refill pass within one second.

use core::time::Duration;

use crate::clock::Time;

/// Time that a sum is over.
pub const RATE_PERIOD: Duration = Duration::from_secs(1);

/// Microseconds whose use is kept in one number.
const SLICE_MICROS: u64 = 50_000;

/// Slices that a sum is over: one more than a second has, since the oldest is
/// only partly within it.
const SLICE_COUNT: usize = 21;

/// Use within the last second, in slices.
#[derive(Clone, Debug, Default)]
pub struct Window {
    slices: [u64; SLICE_COUNT],
    /// Number of the newest slice since the process's start.
    newest: u64,
}

impl Window {
    /// What was used within the last second, and at most a slice more.
    pub fn used(&mut self, now: Time) -> u64 {
        self.turn(now);
        let slices = self.slices.iter();
        slices.fold(0, |sum: u64, slice| sum.saturating_add(*slice))
    }

    /// Counts use.
    pub fn add(&mut self, now: Time, amount: u64) {
        self.turn(now);
        let at = index(self.newest);
        self.slices[at] = self.slices[at].saturating_add(amount);
    }

    /// Time until the use has fallen to `limit`, if nothing more is taken.
    pub fn wait(&mut self, now: Time, limit: u64) -> Duration {
        let mut used = self.used(now);
        let mut ages = 0;
        while used > limit && ages < SLICE_COUNT {
            // The oldest slice is the one after the newest in the ring.
            let oldest = self.slices[index(self.newest + 1 + ages as u64)];
            used = used.saturating_sub(oldest);
            ages += 1;
        }
        let into = now.as_micros() % SLICE_MICROS;
        let whole = SLICE_MICROS * ages as u64;
        Duration::from_micros(whole.saturating_sub(into))
    }

    /// Drops slices that have left the second.
    fn turn(&mut self, now: Time) {
        let slice = now.as_micros() / SLICE_MICROS;
        let passed = slice.saturating_sub(self.newest).min(SLICE_COUNT as u64);
        for i in 0..passed {
            self.slices[index(slice - i)] = 0;
        }
        self.newest = self.newest.max(slice);
    }
}

fn index(slice: u64) -> usize {
    usize::try_from(slice % SLICE_COUNT as u64).unwrap_or_default()
}
