//! Number of instances that are named to the callers of a region.
//!
//! Answers load that changes: callers close connections to instances that are no longer
//! named, and their successors know nothing yet, so the number rises as soon as it is too
//! small and falls late and slowly.
//!
//! Invariant: the number never falls within [`FALL_DELAY`] of a time at which it was
//! needed, nor twice within [`FALL_INTERVAL`].

use core::time::Duration;

use crate::clock::Time;

/// Time for which fewer instances must have been enough before the number falls.
const FALL_DELAY: Duration = Duration::from_mins(1);

/// Time between two falls by one.
const FALL_INTERVAL: Duration = Duration::from_secs(30);

/// The number, and when it was needed last.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    number: usize,
    needed_at: Time,
    fell_at: Option<Time>,
}

impl Count {
    /// The number within these bounds.
    #[must_use]
    pub fn get(&self, min: usize, max: usize) -> usize {
        self.number.max(min).min(max)
    }

    /// Moves the number by at most one towards what is required; `None` if that is unknown.
    pub fn update(&mut self, now: Time, min: usize, max: usize, required: Option<usize>) {
        self.number = self.get(min, max);
        // While nothing is known of the load, it may need the number.
        let required = required.unwrap_or(self.number);
        if required >= self.number {
            self.needed_at = now;
            self.number += usize::from(required > self.number);
            return;
        }
        let is_idle = now.since(self.needed_at) >= FALL_DELAY;
        let may_fall = self.fell_at.is_none_or(|at| now.since(at) >= FALL_INTERVAL);
        if is_idle && may_fall {
            self.number -= 1;
            self.fell_at = Some(now);
        }
    }
}
