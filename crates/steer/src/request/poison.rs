//! Requests that crash the targets that run them.
//!
//! A connection that breaks while requests are in flight marks each of them:
//! one of them may have crashed the target, and nothing tells which. A marked
//! request is a suspect; it is run alone on a target from then on. If it
//! succeeds, the mark was unjust and goes. If a second target breaks under it,
//! it was alone there, and it is refused for good: two targets are lost, not
//! more. Marks are withdrawn too when the target goes on answering requests
//! begun before the break, since then only a connection failed.
//!
//! Invariant: at most [`SUSPECTS_MAX`] fingerprints are kept, each for [`SUSPECT_TTL`].

use core::time::Duration;
use std::sync::Arc;

use crate::clock::Time;
use crate::request::arrival::Fingerprint;

/// Strikes at which a request is refused for good.
pub const STRIKES_MAX: u8 = 2;
/// Time after the last strike at which a fingerprint is forgotten.
pub const SUSPECT_TTL: Duration = Duration::from_mins(10);
/// Fingerprints kept at most.
pub const SUSPECTS_MAX: usize = 1024;

/// A target that broke under a request.
#[derive(Clone, Debug)]
struct Mark {
    target: Arc<str>,
    at: Time,
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: Fingerprint,
    marks: Vec<Mark>,
    reported: u8,
    at: Time,
}

impl Entry {
    fn strikes(&self) -> u8 {
        let own = u8::try_from(self.marks.len()).unwrap_or(u8::MAX);
        own.max(self.reported)
    }
}

/// What became of a fingerprint's strikes, to be reported to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StrikeUpdate {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Its strikes now; zero clears it.
    pub strikes: u8,
}

/// Suspects and culprits, sorted by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    entries: Vec<Entry>,
}

impl Suspects {
    /// Strikes against a fingerprint.
    #[must_use]
    pub fn strikes(&self, fingerprint: Fingerprint) -> u8 {
        self.find(fingerprint)
            .map_or(0, |at| self.entries[at].strikes())
    }

    /// Number of fingerprints kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is suspected.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// `target` broke under a request that had `known` strikes when it was
    /// sent there.
    ///
    /// Only a request that was sent as a suspect can get a further strike.
    /// Several copies of a popular look-up are in flight at any time; when a
    /// rack fails they break together on several targets, which says no more
    /// against them than one break does.
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
            entry.marks.push(Mark {
                target: Arc::clone(target),
                at: now,
            });
            entry.reported = entry.reported.max((before + 1).min(STRIKES_MAX));
            entry.at = now;
        }
        StrikeUpdate {
            fingerprint,
            strikes: entry.strikes(),
        }
    }

    /// A peer's word. Zero clears, unless the request is refused for good.
    pub fn merge(&mut self, now: Time, fingerprint: Fingerprint, strikes: u8) {
        if strikes == 0 {
            self.clear(fingerprint);
            return;
        }
        let at = self.ensure(now, fingerprint);
        let entry = &mut self.entries[at];
        // The same word again doesn't make it younger: peers repeat it to each
        // newcomer, and would keep it alive among themselves for ever.
        if strikes > entry.reported {
            entry.reported = strikes;
            entry.at = now;
        }
    }

    /// Requests that are refused for good.
    pub fn rejected(&self) -> impl Iterator<Item = StrikeUpdate> {
        let refused = self.entries.iter().filter(|e| e.strikes() >= STRIKES_MAX);
        refused.map(|entry| StrikeUpdate {
            fingerprint: entry.fingerprint,
            strikes: entry.strikes(),
        })
    }

    /// Requests that were struck within `span`, for peers.
    pub fn recent(&self, now: Time, span: Duration) -> impl Iterator<Item = StrikeUpdate> {
        let fresh = self.entries.iter().filter(move |e| now.since(e.at) < span);
        fresh.map(|entry| StrikeUpdate {
            fingerprint: entry.fingerprint,
            strikes: entry.strikes(),
        })
    }

    /// The request succeeded: it doesn't crash targets.
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

    /// `target` answered a request begun at `begun`: it survived every break
    /// since then, so the marks of those breaks are withdrawn.
    pub fn withdraw(&mut self, target: &str, begun: Time, out: &mut Vec<StrikeUpdate>) {
        for entry in &mut self.entries {
            let before = entry.marks.len();
            entry
                .marks
                .retain(|m| *m.target != *target || m.at <= begun);
            if entry.marks.len() == before {
                continue;
            }
            let own = u8::try_from(entry.marks.len()).unwrap_or(u8::MAX);
            entry.reported = entry.reported.saturating_sub(1).max(own);
            out.push(StrikeUpdate {
                fingerprint: entry.fingerprint,
                strikes: entry.reported,
            });
        }
        self.entries.retain(|e| e.strikes() > 0);
    }

    /// Forgets what is older than [`SUSPECT_TTL`].
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|e| now.since(e.at) < SUSPECT_TTL);
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
            marks: Vec::new(),
            reported: 0,
            at: now,
        };
        self.entries.insert(at, entry);
        at
    }

    /// Makes room: a suspect goes before a culprit, the older before the newer.
    fn evict(&mut self) {
        let oldest = (0..self.entries.len()).min_by_key(|&i| {
            let entry = &self.entries[i];
            (entry.strikes() >= STRIKES_MAX, entry.at)
        });
        if let Some(at) = oldest {
            self.entries.remove(at);
        }
    }
}
