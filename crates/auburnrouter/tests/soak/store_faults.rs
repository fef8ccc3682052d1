//! Faults of the store that leave it readable: writes that get no answer, reports of
//! targets that are carried out late, and more versions between two reads than one answer
//! holds.

use std::time::{Duration, Instant};

use fastrand::Rng;
use platform_standin::Store;
use platform_standin::store::WriteFault;

/// Largest value of the store in the instances' settings, in bytes. Answers are bounded by
/// it.
pub const VALUE_BYTES: usize = 65_536;

/// Versions of a quick succession, and their size in bytes.
pub const FLOOD_VERSIONS: u64 = 16;
pub const FLOOD_BYTES: usize = 48_000;

/// Minimum and maximum time for which writes get no answer, and after which they are
/// carried out, in ms.
const FAULT_MS: (u64, u64) = (300, 1_500);
const LATE_MS: (u64, u64) = (100, 3_000);

/// Rounds of faults without one of these, for each with one.
const OTHER_ROUNDS: u8 = 9;

/// Sets the draws of these faults apart from those of others.
const SEED_MASK: u64 = 0x0005_704E;

/// What a round brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing that others have to do.
    Nothing,
    /// Versions are to be written in quick succession.
    Flood,
}

/// Draws the faults.
pub struct StoreFaults {
    rng: Rng,
    /// End of the present fault of writes.
    until: Option<Instant>,
}

impl StoreFaults {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed ^ SEED_MASK),
            until: None,
        }
    }

    /// Ends a fault that is due, and sometimes begins one.
    pub fn step(&mut self, store: &Store) -> Step {
        if self.until.is_some_and(|until| Instant::now() >= until) {
            self.restore(store);
        }
        if self.rng.u8(0..=OTHER_ROUNDS) > 0 {
            return Step::Nothing;
        }
        if self.rng.bool() {
            return Step::Flood;
        }
        let late = self.late();
        let fault = [WriteFault::Unanswered, WriteFault::Late(late)][self.rng.usize(0..2)];
        store.set_write_fault(Some(fault));
        let span = Duration::from_millis(self.rng.u64(FAULT_MS.0..FAULT_MS.1));
        self.until = Some(Instant::now() + span);
        Step::Nothing
    }

    /// Ends the fault of writes.
    pub fn restore(&mut self, store: &Store) {
        store.set_write_fault(None);
        self.until = None;
    }

    /// Time after which a report of a target is carried out late, if one is.
    pub fn late_report(&mut self) -> Option<Duration> {
        let late = self.late();
        self.rng.bool().then_some(late)
    }

    /// Time after which a write is carried out late.
    fn late(&mut self) -> Duration {
        Duration::from_millis(self.rng.u64(LATE_MS.0..LATE_MS.1))
    }
}
