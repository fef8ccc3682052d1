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
//! That holds where a suspect has its target to itself. Where it runs beside others, or
//! copies of it run at several instances, two breaks are no proof: such an owner sets a
//! higher number of strikes, and copies that were under way together don't reach it.
//!
//! Instances tell each other what they hold. Strikes only grow within a round; whoever
//! clears or withdraws some begins a new round, so that older news can't bring them
//! back.
//!
//! Invariant: at most [`SUSPECTS_MAX`] fingerprints are kept, each until
//! [`SUSPECT_TTL`] after its last strike, or after it was cleared.

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
/// Time after a break from which an answer to a request sent before shows that the target
/// didn't crash. Answers that it had finished may still be read when it has crashed.
pub const SURVIVAL_SPAN: Duration = Duration::from_secs(1);

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
    /// Strikes, including those that peers reported; zero if it was cleared.
    total: u8,
    /// Counts how often strikes were taken back.
    round: u16,
    /// End of its life.
    expires_at: Time,
    /// Time at which this instance last learned something new.
    changed_at: Time,
    /// Whether it found that itself.
    is_own: bool,
    /// Whether the request is always refused, or was: all instances are told of it then.
    is_public: bool,
}

impl Entry {
    fn strikes(&self) -> u8 {
        let own = u8::try_from(self.breaks.len()).unwrap_or(u8::MAX);
        own.max(self.total)
    }

    /// Begins a round with this number of strikes.
    fn begin_round(&mut self, now: Time, strikes: u8) {
        self.round = self.round.saturating_add(1);
        self.total = strikes;
        self.changed_at = now;
        self.is_own = strikes > 0 || self.is_public;
        if strikes == 0 {
            self.breaks.clear();
            self.expires_at = now + SUSPECT_TTL;
        }
    }

    fn report(&self, now: Time) -> Report {
        Report {
            fingerprint: self.fingerprint,
            round: self.round,
            strikes: self.strikes(),
            left: self.expires_at.since(now),
        }
    }
}

/// What an instance holds against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Counts how often strikes were taken back. A report of a later round replaces one
    /// of an earlier round.
    pub round: u16,
    /// Strikes; zero if it was cleared.
    pub strikes: u8,
    /// Time for which it is kept.
    pub left: Duration,
}

/// New number of strikes of a fingerprint, to be reported to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StrikeUpdate {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Current strikes; zero clears them.
    pub strikes: u8,
}

/// Strikes of a fingerprint that were taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Withdrawal {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Strikes before.
    pub before: u8,
    /// Strikes since.
    pub strikes: u8,
}

impl From<Withdrawal> for StrikeUpdate {
    fn from(withdrawal: Withdrawal) -> Self {
        Self {
            fingerprint: withdrawal.fingerprint,
            strikes: withdrawal.strikes,
        }
    }
}

/// Fingerprints with strikes, sorted by fingerprint.
#[derive(Clone, Debug)]
pub struct Suspects {
    entries: Vec<Entry>,
    /// Number of strikes at which a request is always refused.
    strikes_max: u8,
}

impl Default for Suspects {
    fn default() -> Self {
        Self::new(STRIKES_MAX)
    }
}

impl Suspects {
    /// Creates an empty list that refuses requests from `strikes_max` strikes on.
    #[must_use]
    pub const fn new(strikes_max: u8) -> Self {
        Self {
            entries: Vec::new(),
            strikes_max,
        }
    }

    /// Returns whether a request is always refused.
    #[must_use]
    pub fn is_refused(&self, fingerprint: Fingerprint) -> bool {
        self.strikes(fingerprint) >= self.strikes_max
    }

    /// Returns the strikes of a fingerprint.
    #[must_use]
    pub fn strikes(&self, fingerprint: Fingerprint) -> u8 {
        self.find(fingerprint)
            .map_or(0, |at| self.entries[at].strikes())
    }

    /// Returns how often strikes against a fingerprint were taken back.
    #[must_use]
    pub fn round(&self, fingerprint: Fingerprint) -> u16 {
        self.find(fingerprint)
            .map_or(0, |at| self.entries[at].round)
    }

    /// Returns the number of fingerprints with strikes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.all().count()
    }

    /// Returns whether no fingerprint has strikes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.all().next().is_none()
    }

    /// Records a strike for a request in flight when the connection to `target`
    /// broke. `known` is its number of strikes when it was sent there.
    ///
    /// If the fingerprint has got a strike since then, this one is never the last before
    /// it is always refused. Several copies of a popular request are in flight at any
    /// time; when a rack fails they break on several targets at once, which is little
    /// more evidence than a single break.
    pub fn strike(
        &mut self,
        now: Time,
        known: u8,
        fingerprint: Fingerprint,
        target: &Arc<str>,
    ) -> StrikeUpdate {
        let at = self.ensure(now, fingerprint);
        let strikes_max = self.strikes_max;
        let entry = &mut self.entries[at];
        let before = entry.strikes();
        if known >= before || before.saturating_add(1) < strikes_max {
            entry.breaks.push(Break {
                target: Arc::clone(target),
                at: now,
            });
            entry.total = entry.total.max(before.saturating_add(1));
            entry.expires_at = now + SUSPECT_TTL;
            entry.changed_at = now;
            entry.is_own = true;
            entry.is_public |= entry.strikes() >= strikes_max;
        }
        StrikeUpdate {
            fingerprint,
            strikes: entry.strikes(),
        }
    }

    /// Merges a peer's report. Zero strikes clear the fingerprint, unless it is always
    /// refused.
    pub fn merge(&mut self, now: Time, fingerprint: Fingerprint, strikes: u8) {
        if strikes == 0 {
            // What this instance has seen since may be newer than the report.
            if !self.origin(fingerprint).1 {
                self.clear(now, fingerprint);
            }
            return;
        }
        let at = self.ensure(now, fingerprint);
        let strikes_max = self.strikes_max;
        let entry = &mut self.entries[at];
        // A repeated report doesn't extend the lifetime: peers repeat reports to
        // each new instance and would keep the entry alive for ever.
        if strikes > entry.total {
            entry.total = strikes;
            entry.expires_at = now + SUSPECT_TTL;
            entry.changed_at = now;
            entry.is_own = false;
            entry.is_public |= entry.strikes() >= strikes_max;
        }
    }

    /// Takes a report of another instance. A later round replaces what is held, of the
    /// same round the larger number of strikes counts.
    pub fn absorb(&mut self, now: Time, report: Report) {
        let left = report.left.min(SUSPECT_TTL);
        if left.is_zero() {
            return;
        }
        let held = self.report(now, report.fingerprint);
        if held.is_some_and(|h| (h.round, h.strikes) >= (report.round, report.strikes)) {
            return;
        }
        let at = self.ensure(now, report.fingerprint);
        let strikes_max = self.strikes_max;
        let entry = &mut self.entries[at];
        if report.round > entry.round {
            entry.breaks.clear();
        }
        entry.round = report.round;
        entry.total = report.strikes;
        entry.expires_at = now + left;
        entry.changed_at = now;
        entry.is_own = false;
        entry.is_public |= report.strikes >= strikes_max;
    }

    /// What is held against the fingerprints that are always refused, or were, the latest
    /// change first.
    #[must_use]
    pub fn reports(&self, now: Time) -> Vec<Report> {
        let mut all: Vec<&Entry> = self.public().collect();
        all.sort_by_key(|entry| core::cmp::Reverse(entry.changed_at));
        all.into_iter().map(|entry| entry.report(now)).collect()
    }

    /// What is held against the fingerprints of which something new was learned less than
    /// `span` ago, the latest change first.
    #[must_use]
    pub fn news(&self, now: Time, span: Duration) -> Vec<Report> {
        let is_new = |e: &&Entry| now.since(e.changed_at) < span;
        let mut all: Vec<&Entry> = self.entries.iter().filter(is_new).collect();
        all.sort_by_key(|entry| core::cmp::Reverse(entry.changed_at));
        all.into_iter().map(|entry| entry.report(now)).collect()
    }

    /// Strikes that changed less than `span` ago, the latest change first, as far as they
    /// can be told without their round: none that were withdrawn, and zero of those that
    /// were cleared before there was a verdict.
    #[must_use]
    pub fn recent(&self, now: Time, span: Duration) -> Vec<StrikeUpdate> {
        let is_clear = |e: &Entry| e.strikes() == 0 && !e.is_public;
        let is_recent =
            |e: &&Entry| now.since(e.changed_at) < span && (e.round == 0 || is_clear(e));
        let mut all: Vec<&Entry> = self.entries.iter().filter(is_recent).collect();
        all.sort_by_key(|entry| core::cmp::Reverse(entry.changed_at));
        let update = |entry: &Entry| StrikeUpdate {
            fingerprint: entry.fingerprint,
            strikes: entry.strikes(),
        };
        all.into_iter().map(update).collect()
    }

    fn public(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|e| e.is_public)
    }

    /// What is held against a fingerprint.
    #[must_use]
    pub fn report(&self, now: Time, fingerprint: Fingerprint) -> Option<Report> {
        let at = self.find(fingerprint).ok()?;
        Some(self.entries[at].report(now))
    }

    /// Returns whether anything is held against a fingerprint, or was lately.
    #[must_use]
    pub fn is_held(&self, fingerprint: Fingerprint) -> bool {
        self.find(fingerprint).is_ok()
    }

    /// Returns when something new was last learned of a fingerprint, and whether this
    /// instance found it itself.
    #[must_use]
    pub fn origin(&self, fingerprint: Fingerprint) -> (Time, bool) {
        let found = self.find(fingerprint).map(|at| &self.entries[at]);
        found.map_or((Time::ZERO, false), |e| (e.changed_at, e.is_own))
    }

    /// Returns whether no fingerprint is always refused, or was lately.
    #[must_use]
    pub fn has_no_verdict(&self) -> bool {
        self.public().next().is_none()
    }

    /// Returns whether something new was learned less than `span` ago of a fingerprint
    /// that is always refused, or was.
    #[must_use]
    pub fn has_changed(&self, now: Time, span: Duration) -> bool {
        self.public().any(|e| now.since(e.changed_at) < span)
    }

    /// Lists all fingerprints with their strikes.
    pub fn all(&self) -> impl Iterator<Item = StrikeUpdate> {
        let struck = self.entries.iter().filter(|e| e.strikes() > 0);
        struck.map(|entry| StrikeUpdate {
            fingerprint: entry.fingerprint,
            strikes: entry.strikes(),
        })
    }

    /// Lists the fingerprints that are always refused, with their strikes.
    pub fn rejected(&self) -> impl Iterator<Item = StrikeUpdate> {
        let is_refused = |e: &&Entry| e.strikes() >= self.strikes_max;
        let refused = self.entries.iter().filter(is_refused);
        refused.map(|entry| StrikeUpdate {
            fingerprint: entry.fingerprint,
            strikes: entry.strikes(),
        })
    }

    /// Clears a request that succeeded. Does nothing if it is always refused.
    pub fn clear(&mut self, now: Time, fingerprint: Fingerprint) -> Option<StrikeUpdate> {
        if self.is_refused(fingerprint) {
            return None;
        }
        self.acquit(now, fingerprint)
    }

    /// Clears a request whatever its strikes.
    pub fn acquit(&mut self, now: Time, fingerprint: Fingerprint) -> Option<StrikeUpdate> {
        let at = self.find(fingerprint).ok()?;
        let entry = &mut self.entries[at];
        if entry.strikes() == 0 {
            return None;
        }
        entry.begin_round(now, 0);
        Some(StrikeUpdate {
            fingerprint,
            strikes: 0,
        })
    }

    /// Withdraws the strikes of breaks since `sent_at` and at least [`SURVIVAL_SPAN`]
    /// ago, after `target` has answered a request sent at that time: the target did not
    /// crash.
    pub fn withdraw(&mut self, now: Time, target: &str, sent_at: Time) -> Vec<Withdrawal> {
        let is_disproved =
            |b: &Break| *b.target == *target && b.at > sent_at && now.since(b.at) >= SURVIVAL_SPAN;
        self.withdraw_breaks(now, is_disproved)
    }

    /// Withdraws the strikes of breaks from `first` on and before `end` at a target that
    /// has not crashed.
    pub fn withdraw_within(
        &mut self,
        now: Time,
        target: &str,
        first: Time,
        end: Time,
    ) -> Vec<Withdrawal> {
        let is_disproved = |b: &Break| *b.target == *target && b.at >= first && b.at < end;
        self.withdraw_breaks(now, is_disproved)
    }

    fn withdraw_breaks(
        &mut self,
        now: Time,
        is_disproved: impl Fn(&Break) -> bool,
    ) -> Vec<Withdrawal> {
        let mut changes = Vec::new();
        for entry in &mut self.entries {
            let (before, breaks) = (entry.strikes(), entry.breaks.len());
            entry.breaks.retain(|b| !is_disproved(b));
            let withdrawn = breaks - entry.breaks.len();
            if withdrawn == 0 {
                continue;
            }
            let own = u8::try_from(entry.breaks.len()).unwrap_or(u8::MAX);
            let withdrawn = u8::try_from(withdrawn).unwrap_or(u8::MAX);
            let strikes = entry.total.saturating_sub(withdrawn).max(own);
            entry.begin_round(now, strikes);
            changes.push(Withdrawal {
                fingerprint: entry.fingerprint,
                before,
                strikes,
            });
        }
        changes
    }

    /// Drops fingerprints at the end of their life.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|e| now < e.expires_at);
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |e| e.fingerprint)
    }

    fn ensure(&mut self, now: Time, fingerprint: Fingerprint) -> usize {
        if let Ok(at) = self.find(fingerprint) {
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
            round: 0,
            expires_at: now + SUSPECT_TTL,
            changed_at: now,
            is_own: false,
            is_public: false,
        };
        self.entries.insert(at, entry);
        at
    }

    /// Removes the oldest fingerprint that was cleared, if there is none the oldest
    /// suspect, or else the oldest that is always refused.
    fn evict(&mut self) {
        let oldest = (0..self.entries.len()).min_by_key(|&i| {
            let entry = &self.entries[i];
            (entry.strikes().min(self.strikes_max), entry.expires_at)
        });
        if let Some(at) = oldest {
            self.entries.remove(at);
        }
    }
}
