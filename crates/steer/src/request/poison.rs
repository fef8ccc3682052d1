//! Detection of requests that crash targets.
//!
//! When a connection breaks while requests are in flight, each of them gets a
//! strike: one of them may have crashed the target, and nothing tells which. A
//! request with a strike is a suspect and runs alone on a target from then on. If
//! it succeeds, its strikes are cleared. If a second target breaks while it runs
//! there alone, it is always refused: it costs two targets, not more. Strikes are
//! also withdrawn when the target goes on answering requests sent before the
//! break, since then only a connection failed.
//!
//! Invariant: at most [`SUSPECTS_MAX`] fingerprints are kept, each until
//! [`SUSPECT_TTL`] after its last strike.

use core::time::Duration;
use std::sync::Arc;

use crate::clock::Time;
use crate::request::arrival::Fingerprint;

/// Number of strikes at which a request is always refused.
pub const STRIKES_MAX: u8 = 2;
/// Time after its last strike at which a fingerprint is dropped.
pub const SUSPECT_TTL: Duration = Duration::from_mins(10);
/// Maximum number of fingerprints kept.
pub const SUSPECTS_MAX: usize = 1024;

/// A broken connection to a target while the request was in flight there.
#[derive(Clone, Debug)]
struct Break {
    target: Arc<str>,
    at: Time,
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: Fingerprint,
    /// Breaks that this instance has seen.
    breaks: Vec<Break>,
    /// Strikes, including those that peers reported.
    total: u8,
    /// Time of the last strike.
    struck_at: Time,
}

impl Entry {
    fn strikes(&self) -> u8 {
        let own = u8::try_from(self.breaks.len()).unwrap_or(u8::MAX);
        own.max(self.total)
    }
}

/// New number of strikes of a fingerprint, to be reported to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StrikeUpdate {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Current strikes; zero clears them.
    pub strikes: u8,
}

/// Fingerprints with strikes, sorted by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    entries: Vec<Entry>,
}

impl Suspects {
    /// Returns the strikes of a fingerprint.
    #[must_use]
    pub fn strikes(&self, fingerprint: Fingerprint) -> u8 {
        self.find(fingerprint)
            .map_or(0, |at| self.entries[at].strikes())
    }

    /// Returns the number of fingerprints kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no fingerprint has strikes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records a strike for a request in flight when the connection to `target`
    /// broke. `known` is its number of strikes when it was sent there.
    ///
    /// No strike is added if the fingerprint has got one since then. Several copies
    /// of a popular request are in flight at any time; when a rack fails they break
    /// on several targets at once, which is no more evidence than a single break.
    pub fn strike(
        &mut self,
        now: Time,
        known: u8,
        fingerprint: Fingerprint,
        target: &Arc<str>,
    ) -> StrikeUpdate {
        let at = self.ensure(now, fingerprint);
        let entry = &mut self.entries[at];
        let before = entry.strikes();
        if known >= before {
            entry.breaks.push(Break {
                target: Arc::clone(target),
                at: now,
            });
            entry.total = entry.total.max((before + 1).min(STRIKES_MAX));
            entry.struck_at = now;
        }
        StrikeUpdate {
            fingerprint,
            strikes: entry.strikes(),
        }
    }

    /// Merges a peer's report. Zero strikes clear the fingerprint, unless it has
    /// [`STRIKES_MAX`].
    pub fn merge(&mut self, now: Time, fingerprint: Fingerprint, strikes: u8) {
        if strikes == 0 {
            self.clear(fingerprint);
            return;
        }
        let at = self.ensure(now, fingerprint);
        let entry = &mut self.entries[at];
        // A repeated report doesn't extend the lifetime: peers repeat reports to
        // each new instance and would keep the entry alive for ever.
        if strikes > entry.total {
            entry.total = strikes;
            entry.struck_at = now;
        }
    }

    /// Lists all fingerprints with their strikes.
    pub fn all(&self) -> impl Iterator<Item = StrikeUpdate> {
        self.entries.iter().map(|entry| StrikeUpdate {
            fingerprint: entry.fingerprint,
            strikes: entry.strikes(),
        })
    }

    /// Lists the fingerprints that are always refused, with their strikes.
    pub fn rejected(&self) -> impl Iterator<Item = StrikeUpdate> {
        let refused = self.entries.iter().filter(|e| e.strikes() >= STRIKES_MAX);
        refused.map(|entry| StrikeUpdate {
            fingerprint: entry.fingerprint,
            strikes: entry.strikes(),
        })
    }

    /// Lists the fingerprints whose last strike is less than `span` ago.
    pub fn recent(&self, now: Time, span: Duration) -> impl Iterator<Item = StrikeUpdate> {
        let fresh = self
            .entries
            .iter()
            .filter(move |e| now.since(e.struck_at) < span);
        fresh.map(|entry| StrikeUpdate {
            fingerprint: entry.fingerprint,
            strikes: entry.strikes(),
        })
    }

    /// Clears a request that succeeded. Does nothing if it has [`STRIKES_MAX`].
    pub fn clear(&mut self, fingerprint: Fingerprint) -> Option<StrikeUpdate> {
        let at = self.find(fingerprint)?;
        if self.entries[at].strikes() >= STRIKES_MAX {
            return None;
        }
        self.entries.remove(at);
        Some(StrikeUpdate {
            fingerprint,
            strikes: 0,
        })
    }

    /// Withdraws the strikes of breaks since `sent_at`, after `target` has answered a
    /// request sent at that time: the target did not crash. Appends the changed
    /// fingerprints to `out`.
    pub fn withdraw(&mut self, target: &str, sent_at: Time, out: &mut Vec<StrikeUpdate>) {
        for entry in &mut self.entries {
            let before = entry.breaks.len();
            entry
                .breaks
                .retain(|b| *b.target != *target || b.at <= sent_at);
            if entry.breaks.len() == before {
                continue;
            }
            let own = u8::try_from(entry.breaks.len()).unwrap_or(u8::MAX);
            entry.total = entry.total.saturating_sub(1).max(own);
            out.push(StrikeUpdate {
                fingerprint: entry.fingerprint,
                strikes: entry.total,
            });
        }
        self.entries.retain(|e| e.strikes() > 0);
    }

    /// Drops fingerprints whose last strike is [`SUSPECT_TTL`] ago.
    pub fn expire(&mut self, now: Time) {
        self.entries
            .retain(|e| now.since(e.struck_at) < SUSPECT_TTL);
    }

    fn find(&self, fingerprint: Fingerprint) -> Option<usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |e| e.fingerprint)
            .ok()
    }

    fn ensure(&mut self, now: Time, fingerprint: Fingerprint) -> usize {
        if let Some(at) = self.find(fingerprint) {
            return at;
        }
        if self.entries.len() >= SUSPECTS_MAX {
            self.evict();
        }
        let at = self
            .entries
            .partition_point(|e| e.fingerprint < fingerprint);
        let entry = Entry {
            fingerprint,
            breaks: Vec::new(),
            total: 0,
            struck_at: now,
        };
        self.entries.insert(at, entry);
        at
    }

    /// Removes the oldest suspect, or if there is none the oldest fingerprint that is
    /// always refused.
    fn evict(&mut self) {
        let oldest = (0..self.entries.len()).min_by_key(|&i| {
            let entry = &self.entries[i];
            (entry.strikes() >= STRIKES_MAX, entry.struck_at)
        });
        if let Some(at) = oldest {
            self.entries.remove(at);
        }
    }
}
