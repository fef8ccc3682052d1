//! Sliding window over the use within the last second.
//!
//! Invariant: in any interval of one second the sum of the amounts taken is at
//! most the limit that applied to the last of them. A token bucket does not
//! guarantee that: it lets a burst and a refill pass within one second.

use core::time::Duration;

use crate::clock::Time;

/// Period over which use is summed. Caps are per second.
pub const RATE_PERIOD: Duration = Duration::from_secs(1);

/// Length of a slice, in microseconds.
const SLICE_MICROS: u64 = 50_000;

/// Number of slices that are summed: one more than fit into a second, since the
/// oldest one lies only partly within it.
const SLICE_COUNT: usize = 21;

/// Use within the last second, as a ring of slices.
#[derive(Clone, Debug, Default)]
pub struct Window {
    slices: [u64; SLICE_COUNT],
    /// Number of the newest slice, counted from the start of the clock.
    newest: u64,
}

impl Window {
    /// Use within the last second, rounded up to whole slices.
    pub fn used(&mut self, now: Time) -> u64 {
        self.advance(now);
        let slices = self.slices.iter();
        slices.fold(0, |sum: u64, slice| sum.saturating_add(*slice))
    }

    /// Records use of `amount` at `now`.
    pub fn add(&mut self, now: Time, amount: u64) {
        self.advance(now);
        let at = index(self.newest);
        self.slices[at] = self.slices[at].saturating_add(amount);
    }

    /// Time until use has fallen to `limit` if nothing more is taken.
    pub fn wait(&mut self, now: Time, limit: u64) -> Duration {
        let mut used = self.used(now);
        let mut expired = 0;
        while used > limit && expired < SLICE_COUNT {
            // In the ring the oldest slice follows the newest one.
            let oldest = self.slices[index(self.newest + 1 + expired as u64)];
            used = used.saturating_sub(oldest);
            expired += 1;
        }
        let offset = now.as_micros() % SLICE_MICROS;
        let micros = SLICE_MICROS * expired as u64;
        Duration::from_micros(micros.saturating_sub(offset))
    }

    /// Clears the slices that have left the window.
    fn advance(&mut self, now: Time) {
        let slice = now.as_micros() / SLICE_MICROS;
        let elapsed = slice.saturating_sub(self.newest).min(SLICE_COUNT as u64);
        for i in 0..elapsed {
            self.slices[index(slice - i)] = 0;
        }
        self.newest = self.newest.max(slice);
    }
}

fn index(slice: u64) -> usize {
    usize::try_from(slice % SLICE_COUNT as u64).unwrap_or_default()
}
