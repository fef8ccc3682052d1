//! Counters of the dispatcher, for metrics and dumps.

use core::fmt;

use crate::process::dispatch::message::Destination;
use crate::request::outcome::Reason;

/// Counts since the process's start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Attempts sent to targets.
    pub local: u64,
    /// Attempts sent to peers.
    pub remote: u64,
    /// Attempts that were repeats.
    pub retries: u64,
    /// Whole answers passed on.
    pub replied: u64,
    /// Requests taken from the queue.
    pub dequeued: u64,
    /// Ejections.
    pub ejected: u64,
    /// Probes sent.
    pub probes: u64,
    /// Repeats that the budget stopped.
    pub budget_denied: u64,
    /// Refusals by reason, sorted.
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
