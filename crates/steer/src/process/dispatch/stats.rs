//! Counters of the dispatcher, for metrics and dumps.
//!
//! Invariant: counters only grow.

use core::fmt;

use crate::process::dispatch::message::Destination;
use crate::request::outcome::Reason;

/// Counters since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Attempts sent to targets.
    pub local: u64,
    /// Attempts sent to peers.
    pub remote: u64,
    /// Attempts that were retries.
    pub retries: u64,
    /// Complete answers given to callers.
    pub replied: u64,
    /// Requests sent from the queue to a local target.
    pub dequeued: u64,
    /// Ejections of targets and peers.
    pub ejected: u64,
    /// Probes sent to targets.
    pub probes: u64,
    /// Retries that the retry budget did not allow.
    pub budget_denied: u64,
    /// Refusals per reason, sorted by reason.
    pub refusals: Vec<(Reason, u64)>,
}

impl Stats {
    pub(super) fn record_sent(&mut self, destination: &Destination, tries: usize) {
        match destination {
            Destination::Target { .. } => self.local += 1,
            Destination::Member { .. } => self.remote += 1,
        }
        self.retries += u64::from(tries > 1);
    }

    pub(super) fn record_refused(&mut self, reason: Reason) {
        match self.refusals.binary_search_by_key(&reason, |r| r.0) {
            Ok(at) => self.refusals[at].1 += 1,
            Err(at) => self.refusals.insert(at, (reason, 1)),
        }
    }
}

impl fmt::Display for Stats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "local {} remote {} repeats {} replied {} pumped {} ejected {} probes {} unbudgeted {}",
            self.local,
            self.remote,
            self.retries,
            self.replied,
            self.dequeued,
            self.ejected,
            self.probes,
            self.budget_denied
        )?;
        for (reason, count) in &self.refusals {
            write!(f, " {reason} {count}")?;
        }
        Ok(())
    }
}
