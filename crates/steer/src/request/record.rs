//! What processes tell each other and the store about keys.
//!
//! Invariant: a [`Claim`] names one try of one process at one key; no other
//! try ever has the same text.

use core::fmt;
use std::sync::Arc;

use super::arrival;
use crate::version::view;

/// Names one question to a peer within the process that asks, and one question
/// received within the process that answers; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuestionId(pub u64);

/// What one process asks another in its role as a witness.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    /// The owner is about to send the key's request: record it.
    Claim(Arc<str>),
    /// The owner can't be reached: make sure that the key never runs, if it
    /// has not been claimed.
    Seal(Arc<str>),
    /// Which epoch do you count?
    Epoch,
}

/// What a witness says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reply {
    /// The key is claimed: its owner may send it, and may have done so.
    Claimed,
    /// The key never gets a claim: it has not run and won't.
    Sealed,
    /// The key is too old to say.
    Expired,
    /// No room for another record; nothing was recorded.
    Full,
    /// The key names another process as its witness.
    Foreign,
    /// The witness's present epoch.
    Epoch(u64),
}

impl fmt::Display for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Claimed => f.write_str("claimed"),
            Self::Sealed => f.write_str("sealed"),
            Self::Expired => f.write_str("expired"),
            Self::Full => f.write_str("full"),
            Self::Foreign => f.write_str("foreign"),
            Self::Epoch(epoch) => write!(f, "epoch {epoch}"),
        }
    }
}

/// One process's claim of a key in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Who claims.
    pub incarnation: view::Incarnation,
    /// Which of its tries.
    pub number: u64,
    /// The request that the key stands for.
    pub fingerprint: arrival::Fingerprint,
}

impl fmt::Display for Claim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let arrival::Fingerprint(print) = self.fingerprint;
        write!(f, "{}.{}.{print:032x}", self.incarnation, self.number)
    }
}

impl TryFrom<&str> for Claim {
    type Error = ClaimError;

    fn try_from(text: &str) -> Result<Self, ClaimError> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(ClaimError);
        let attempt = Self {
            incarnation: view::Incarnation(
                u64::from_str_radix(next()?, 16).map_err(|_| ClaimError)?,
            ),
            number: next()?.parse().map_err(|_| ClaimError)?,
            fingerprint: arrival::Fingerprint(
                u128::from_str_radix(next()?, 16).map_err(|_| ClaimError)?,
            ),
        };
        match parts.next() {
            None => Ok(attempt),
            Some(_) => Err(ClaimError),
        }
    }
}

/// A claim in the store that no version of this program wrote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a claim in the store is unreadable; nothing else may write below its prefix")]
pub struct ClaimError;

/// A call to the platform's store about one key chosen by a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Write the attempt if the key is absent.
    Create(Claim),
    /// Read the attempt that holds the key.
    Read,
}

/// What became of a [`StoreCall`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreResult {
    /// The attempt was written.
    Created,
    /// This attempt holds the key; `None` if its value is unreadable.
    Found(Option<Claim>),
    /// Nothing holds the key.
    Absent,
    /// No connection to the store: the call took no effect.
    Unreachable,
    /// The call may have taken effect, or may yet.
    Unknown,
}
