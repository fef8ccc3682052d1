//! The gate's bounds in number, age and time.

use core::time::Duration;

use crate::clock;

/// Bounds of one process's gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Length of an epoch by the process's own clock.
    pub epoch: Duration,
    /// Age in epochs up to which a key may start to run.
    pub accept: u64,
    /// Age in epochs up to which records are kept; larger than `accept`.
    pub keep: u64,
    /// Records of keys, for each of the roles of owner and witness.
    pub records: usize,
    /// Requests held at a time.
    pub held: usize,
    /// Requests held at a time for one caller, so that none takes all the room.
    pub caller: usize,
    /// Resends that wait for one first run.
    pub waiters: usize,
    /// Memory in bytes for answers that a resend may ask for.
    pub answers: u64,
    /// Time given to a peer for its word.
    pub ask: Duration,
    /// Time between two questions to the witness for its epoch.
    pub probe: Duration,
    /// Time for which a silent witness is not chosen again.
    pub suspect: Duration,
    /// Time given to the platform's store for one call.
    pub store: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            epoch: Duration::from_secs(30),
            accept: 10,
            keep: 20,
            records: 131_072,
            held: 8_192,
            caller: 512,
            waiters: 4,
            answers: 8 << 20,
            ask: Duration::from_millis(400),
            probe: Duration::from_secs(3),
            suspect: Duration::from_secs(10),
            store: Duration::from_secs(1),
        }
    }
}

impl Limits {
    /// The same with records that outlive what is accepted. If they didn't, a
    /// key whose record is forgotten would pass for a new one and run again.
    #[must_use]
    pub fn sound(self) -> Self {
        Self {
            keep: self.keep.max(self.accept.saturating_add(1)),
            ..self
        }
    }

    /// The epoch that a process counts at `now`.
    #[must_use]
    pub fn epoch_at(&self, now: clock::Time) -> u64 {
        let span = u64::try_from(self.epoch.as_micros()).unwrap_or(u64::MAX);
        now.as_micros() / span.max(1)
    }
}
