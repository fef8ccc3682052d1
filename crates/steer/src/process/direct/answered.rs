//! Requests that were answered lately, by fingerprint: evidence that one doesn't crash the
//! targets that run it.
//!
//! Invariant: at most [`SLOTS`] are remembered, each for [`EVIDENCE_SPAN`] at most; a newer
//! one may take the place of another.

use core::time::Duration;

use crate::clock::Time;
use crate::request::arrival::Fingerprint;

/// Number of requests that are remembered.
const SLOTS: usize = 1024;

/// Time for which an answer is evidence. A request may begin to crash targets, when they
/// run new software for instance.
const EVIDENCE_SPAN: Duration = Duration::from_mins(1);

/// Last answers, each in the place that its fingerprint names.
#[derive(Clone, Debug, Default)]
pub(super) struct Answered(Vec<Option<(Fingerprint, Time)>>);

impl Answered {
    /// Records that a request was answered.
    pub(super) fn record(&mut self, now: Time, fingerprint: Fingerprint) {
        if self.0.is_empty() {
            self.0 = vec![None; SLOTS];
        }
        self.0[place(fingerprint)] = Some((fingerprint, now));
    }

    /// Returns whether a request was answered lately.
    pub(super) fn has(&self, now: Time, fingerprint: Fingerprint) -> bool {
        let found = self.0.get(place(fingerprint)).copied().flatten();
        found.is_some_and(|(known, at)| known == fingerprint && now.since(at) < EVIDENCE_SPAN)
    }
}

fn place(fingerprint: Fingerprint) -> usize {
    // Both halves of a fingerprint are hashes.
    let mixed = fingerprint.0 ^ (fingerprint.0 >> 64);
    usize::try_from(mixed % SLOTS as u128).unwrap_or_default()
}
