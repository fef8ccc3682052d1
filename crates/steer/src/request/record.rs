//! Records of idempotency keys: questions to witnesses, and claims in the store.
//!
//! Invariant: a [`Claim`] identifies one attempt of one process to run a key's
//! request; no other attempt ever has the same text.

use core::fmt;
use std::sync::Arc;

use super::arrival;
use crate::version::view;

/// Identifies a question to a peer within the process that asks, or a question
/// received within the process that answers. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuestionId(pub u64);

/// Question to a process as the witness of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    /// Records the key for its owner, which is about to send the request.
    Claim(Arc<str>),
    /// Seals the key, whose owner can't be reached: unless it has been claimed, its
    /// request never runs.
    Seal(Arc<str>),
    /// Asks for the witness's current epoch.
    Epoch,
}

/// Reply of a witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reply {
    /// The key is claimed: its owner may send the request, and may have done so.
    Claimed,
    /// The key is sealed: its request has not run and never will.
    Sealed,
    /// The key's epoch is too old, or not yet reached, so that its state is unknown.
    Expired,
    /// The witness has no room for another record and recorded nothing.
    Full,
    /// The key does not name this process as its witness.
    Foreign,
    /// Current epoch of the witness.
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

/// Claim of a key by one process in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Claiming process.
    pub incarnation: view::Incarnation,
    /// Number of the attempt within the process.
    pub number: u64,
    /// Fingerprint of the key's request.
    pub fingerprint: arrival::Fingerprint,
}

impl fmt::Display for Claim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let arrival::Fingerprint(fingerprint) = self.fingerprint;
        write!(f, "{}.{}.{fingerprint:032x}", self.incarnation, self.number)
    }
}

impl TryFrom<&str> for Claim {
    type Error = ClaimError;

    fn try_from(text: &str) -> Result<Self, ClaimError> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(ClaimError);
        let claim = Self {
            incarnation: view::Incarnation(
                u64::from_str_radix(next()?, 16).map_err(|_| ClaimError)?,
            ),
            number: next()?.parse().map_err(|_| ClaimError)?,
            fingerprint: arrival::Fingerprint(
                u128::from_str_radix(next()?, 16).map_err(|_| ClaimError)?,
            ),
        };
        match parts.next() {
            None => Ok(claim),
            Some(_) => Err(ClaimError),
        }
    }
}

/// Malformed claim, which no version of this program has written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed claim in the store; nothing else may write below the prefix of claims")]
pub struct ClaimError;

/// Call to the platform's store about a key that a caller chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Writes the claim if the key is absent.
    Create(Claim),
    /// Reads the claim that holds the key.
    Read,
}

/// Result of a [`StoreCall`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreResult {
    /// The claim was written.
    Created,
    /// This claim holds the key; `None` if the stored value is malformed.
    Found(Option<Claim>),
    /// No claim holds the key.
    Absent,
    /// The call certainly took no effect and never will, as when the store can't be
    /// reached.
    Unreachable,
    /// The effect is unknown: the call may have taken effect, or may still.
    Unknown,
}
