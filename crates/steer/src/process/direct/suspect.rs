//! Changes in the suspicion that requests crash the targets that run them, for the log.
//!
//! Invariant: at most [`CHANGES_MAX`] changes wait to be logged; further ones are
//! dropped.

use std::sync::Arc;

use super::Direct;
use crate::request::arrival::Fingerprint;

/// Largest number of changes that wait to be logged.
const CHANGES_MAX: usize = 256;

/// Cause of a change of strikes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The connection to this target broke while the request was in flight there.
    Broken(Arc<str>),
    /// This target answered a request that was sent before its connection broke.
    Survived(Arc<str>),
    /// The request was answered.
    Answered,
    /// Another instance reported it.
    Told(Arc<str>),
}

impl Cause {
    /// Name in log lines.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Broken(_) => "broken",
            Self::Survived(_) => "survived",
            Self::Answered => "answered",
            Self::Told(_) => "told",
        }
    }

    /// Name of the target or instance that it came from, if there is one.
    #[must_use]
    pub const fn source(&self) -> Option<&Arc<str>> {
        match self {
            Self::Broken(name) | Self::Survived(name) | Self::Told(name) => Some(name),
            Self::Answered => None,
        }
    }
}

/// Change of the strikes against a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Strikes before.
    pub before: u8,
    /// Strikes since.
    pub strikes: u8,
    /// Cause of the change.
    pub cause: Cause,
}

impl Direct {
    /// Returns the changes since the last call.
    pub fn take_suspect_changes(&mut self) -> Vec<Change> {
        core::mem::take(&mut self.suspect_changes)
    }

    /// Number of requests under suspicion, and of those that are always refused.
    #[must_use]
    pub fn suspect_counts(&self) -> (usize, usize) {
        (self.suspects.len(), self.suspects.rejected().count())
    }

    /// Requests under suspicion, with their strikes.
    pub fn suspects(&self) -> impl Iterator<Item = (Fingerprint, u8)> {
        self.suspects.all().map(|s| (s.fingerprint, s.strikes))
    }

    /// Records a change for the log if the strikes differ from those before.
    pub(super) fn log_suspect(&mut self, fingerprint: Fingerprint, before: u8, cause: Cause) {
        let strikes = self.suspects.strikes(fingerprint);
        if strikes != before && self.suspect_changes.len() < CHANGES_MAX {
            self.suspect_changes.push(Change {
                fingerprint,
                before,
                strikes,
                cause,
            });
        }
    }
}
