//! Limits of the gate in number, age and time.

use core::time::Duration;

use crate::clock;

/// Limits of one process's gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Length of an epoch by the process's own clock.
    pub epoch_length: Duration,
    /// Age in epochs up to which a key may start to run.
    pub accept_epochs: u64,
    /// Age in epochs up to which records are kept; larger than `accept`.
    pub keep_epochs: u64,
    /// Records of keys, for each of the roles of owner and witness.
    pub records_max: usize,
    /// Requests held at a time.
    pub held_max: usize,
    /// Requests held at a time for one caller, so that none can use up the total.
    pub caller_max: usize,
    /// Resends that may wait for the outcome of one first copy.
    pub waiters_max: usize,
    /// Memory in bytes for answers retained for resends.
    pub answer_bytes: u64,
    /// Time within which a peer has to answer a question.
    pub ask_timeout: Duration,
    /// Time between two probes of the witness for its epoch.
    pub probe_interval: Duration,
    /// Time for which a witness that did not answer is not chosen again.
    pub suspect_time: Duration,
    /// Time within which the platform's store has to answer one call.
    pub store_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            epoch_length: Duration::from_secs(30),
            accept_epochs: 10,
            keep_epochs: 20,
            records_max: 131_072,
            held_max: 8_192,
            caller_max: 512,
            waiters_max: 4,
            answer_bytes: 8 << 20,
            ask_timeout: Duration::from_millis(400),
            probe_interval: Duration::from_secs(3),
            suspect_time: Duration::from_secs(10),
            store_timeout: Duration::from_secs(1),
        }
    }
}

impl Limits {
    /// Raises `keep_epochs` above `accept_epochs` if it is not. Otherwise a key
    /// whose record was removed would pass for a new one and run again.
    #[must_use]
    pub fn with_valid_ages(self) -> Self {
        Self {
            keep_epochs: self.keep_epochs.max(self.accept_epochs.saturating_add(1)),
            ..self
        }
    }

    /// Epoch at `now` by the process's own clock.
    #[must_use]
    pub fn epoch_at(&self, now: clock::Time) -> u64 {
        let span = u64::try_from(self.epoch_length.as_micros()).unwrap_or(u64::MAX);
        now.as_micros() / span.max(1)
    }
}
