//! Verdicts on requests that crash targets, as the platform's store keeps them.
//!
//! What instances hold in memory is gone when all start anew, and an instance that starts
//! hears of it late. So a request that is always refused, and comes again all the same,
//! has a row in the store, with an end to its life; every instance reads all rows before
//! it takes callers. While the store is away, instances tell each other, and the rows are
//! written afterwards. Calls to the store are paid for, and most requests that happen to
//! be under way in two breaks never come again.
//!
//! A request may be refused by mistake: one that happened to be under way in two crashes.
//! After a while a copy of it is run once more, and if it is answered the verdict is
//! taken back. The row says how many such trials there were, so that all instances
//! together run no more than [`TRIALS_MAX`].
//!
//! Invariants: a row is replaced only at the revision that the writer knew, so of several
//! writers one succeeds; an instance has at most one write under way.

use core::time::Duration;

use super::{Direct, hash};
use crate::clock::Time;
use crate::request::arrival::Fingerprint;
use crate::request::poison::Report;

use super::suspect::STRIKES_MAX;

/// Refusals of a request by an instance from which on its verdict is worth a row; a
/// caller that tries an ordinary request again causes one.
const REFUSALS_MIN: u8 = 2;

/// Time after which an instance writes down that a verdict was taken back, if another one
/// found it and has not written it.
const SUBSTITUTE_DELAY: Duration = Duration::from_secs(3);

/// Time over which substitutes spread their writes.
const SUBSTITUTE_SPREAD: Duration = Duration::from_secs(30);

/// Time after a write during which its row is expected to arrive.
const WRITE_SETTLES: Duration = Duration::from_secs(2);

/// Shortest rest of its life for which a verdict is worth a row.
const ROW_LIFE_MIN: Duration = Duration::from_secs(30);

/// Time after a verdict or a trial from which a copy of the request may be tried.
pub const TRIAL_DELAY: Duration = Duration::from_mins(1);

/// Largest number of trials of a request, by all instances together.
pub const TRIALS_MAX: u8 = 2;

/// Time for which an instance may begin the trial that it has written down.
const TRIAL_PERMIT: Duration = Duration::from_secs(1);

/// Row of the store on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// Counts how often strikes were taken back.
    pub round: u16,
    /// Strikes; zero if the request was cleared.
    pub strikes: u8,
    /// Trials since the verdict.
    pub trials: u8,
    /// Time for which the verdict was to be kept when the row was written.
    pub left: Duration,
}

/// Row to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowWrite {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Revision of the row that it replaces; zero if there must be none.
    pub revision: u64,
    /// New content.
    pub row: Row,
}

/// Row as this instance knows it.
#[derive(Clone, Debug)]
struct Known {
    fingerprint: Fingerprint,
    /// Revision in the store; zero if it has no row.
    revision: u64,
    round: u16,
    strikes: u8,
    trials: u8,
    /// Refusals by this instance.
    refusals: u8,
    /// Time at which the row last changed.
    changed_at: Time,
    /// Time until which a write of this instance is under way.
    busy_until: Time,
    /// Time until which this instance may begin a trial.
    trial_until: Time,
}

/// Known rows, sorted by fingerprint.
#[derive(Clone, Debug, Default)]
pub(super) struct Rows(Vec<Known>);

impl Rows {
    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.0.binary_search_by_key(&fingerprint, |k| k.fingerprint)
    }

    fn get(&self, fingerprint: Fingerprint) -> Option<&Known> {
        self.find(fingerprint).ok().map(|at| &self.0[at])
    }

    fn ensure(&mut self, fingerprint: Fingerprint) -> &mut Known {
        let at = match self.find(fingerprint) {
            Ok(at) => at,
            Err(at) => {
                let known = Known {
                    fingerprint,
                    revision: 0,
                    round: 0,
                    strikes: 0,
                    trials: 0,
                    refusals: 0,
                    changed_at: Time::ZERO,
                    busy_until: Time::ZERO,
                    trial_until: Time::ZERO,
                };
                self.0.insert(at, known);
                at
            }
        };
        &mut self.0[at]
    }
}

impl Direct {
    /// Takes a row of the store, or its end.
    pub fn learn_row(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        revision: u64,
        row: Option<Row>,
    ) {
        let known = self.rows.ensure(fingerprint);
        known.busy_until = Time::ZERO;
        let Some(row) = row else {
            known.revision = 0;
            return;
        };
        known.revision = revision;
        known.round = row.round;
        known.strikes = row.strikes;
        known.trials = row.trials;
        known.changed_at = now;
        let before = self.suspects.strikes(fingerprint);
        let report = Report {
            fingerprint,
            round: row.round,
            strikes: row.strikes,
            left: row.left,
        };
        self.suspects.absorb(now, report);
        self.log_suspect(fingerprint, before, super::suspect::Cause::Stored);
    }

    /// Next row that this instance is to write, if there is one. It counts as under way
    /// until the row arrives, or for a while.
    pub fn next_row_write(&mut self, now: Time) -> Option<RowWrite> {
        if self.suspects.has_no_verdict() || !self.is_store_reachable(now) {
            return None;
        }
        let reports = self.suspects.reports(now);
        let report = reports.into_iter().find(|r| self.is_row_due(now, r))?;
        let known = self.rows.ensure(report.fingerprint);
        known.busy_until = now + WRITE_SETTLES;
        Some(RowWrite {
            fingerprint: report.fingerprint,
            revision: known.revision,
            row: Row {
                round: report.round,
                strikes: report.strikes,
                trials: if report.strikes == 0 { 0 } else { known.trials },
                left: report.left,
            },
        })
    }

    /// Whether a copy of a request that is always refused may be tried now.
    #[must_use]
    pub fn is_trial_due(&self, now: Time, fingerprint: Fingerprint) -> bool {
        let Some(known) = self.rows.get(fingerprint) else {
            return false;
        };
        let strikes = self.suspects.strikes(fingerprint);
        known.revision > 0
            && strikes >= STRIKES_MAX
            && strikes == known.strikes
            && known.trials < TRIALS_MAX
            && now >= known.busy_until
            && now.since(known.changed_at) >= TRIAL_DELAY
            && self.is_store_reachable(now)
    }

    /// Row to be written before a copy of a request is tried; `None` if none may be.
    pub fn begin_trial(&mut self, now: Time, fingerprint: Fingerprint) -> Option<RowWrite> {
        if !self.is_trial_due(now, fingerprint) {
            return None;
        }
        let report = self.suspects.report(now, fingerprint)?;
        let known = self.rows.ensure(fingerprint);
        known.busy_until = now + WRITE_SETTLES;
        Some(RowWrite {
            fingerprint,
            revision: known.revision,
            row: Row {
                round: known.round,
                strikes: known.strikes,
                trials: known.trials + 1,
                left: report.left.max(ROW_LIFE_MIN),
            },
        })
    }

    /// Records that the row of a trial is written: the next copy of the request that
    /// arrives soon is run.
    pub fn permit_trial(&mut self, now: Time, fingerprint: Fingerprint) {
        self.rows.ensure(fingerprint).trial_until = now + TRIAL_PERMIT;
    }

    /// Takes the permit to try a request, if there is one.
    pub(super) fn take_trial(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let Ok(at) = self.rows.find(fingerprint) else {
            return false;
        };
        let known = &mut self.rows.0[at];
        let is_permitted = now < known.trial_until;
        known.trial_until = Time::ZERO;
        is_permitted
    }

    /// Whether this instance is to write a row with this report.
    fn is_row_due(&self, now: Time, report: &Report) -> bool {
        let known = self.rows.get(report.fingerprint);
        if known.is_some_and(|k| now < k.busy_until) || report.left < ROW_LIFE_MIN {
            return false;
        }
        let is_verdict = report.strikes >= STRIKES_MAX;
        match known.filter(|k| k.revision > 0) {
            None => is_verdict && known.is_some_and(|k| k.refusals >= REFUSALS_MIN),
            Some(k) if (report.round, report.strikes) <= (k.round, k.strikes) => false,
            Some(k) => {
                (is_verdict || k.strikes >= STRIKES_MAX) && now >= self.row_due(report.fingerprint)
            }
        }
    }

    /// Counts a refusal of a request.
    pub(super) fn note_refusal(&mut self, fingerprint: Fingerprint) {
        let known = self.rows.ensure(fingerprint);
        known.refusals = known.refusals.saturating_add(1);
    }

    /// Time from which this instance changes a row: at once for what it found itself,
    /// later for what others found.
    fn row_due(&self, fingerprint: Fingerprint) -> Time {
        let (changed_at, is_own) = self.suspects.origin(fingerprint);
        if is_own {
            return changed_at;
        }
        let draw = hash(format!("{} {fingerprint}", self.identity.name).as_bytes());
        let spread = SUBSTITUTE_SPREAD.mul_f64(super::unit_interval(draw));
        changed_at + SUBSTITUTE_DELAY + spread
    }

    /// Forgets rows that are gone and against whose requests nothing is held any more.
    pub(super) fn sweep_rows(&mut self) {
        let suspects = &self.suspects;
        self.rows
            .0
            .retain(|k| k.revision > 0 || suspects.is_held(k.fingerprint));
    }
}
