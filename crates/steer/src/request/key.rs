//! Idempotency keys: who may run a request, and who vouches for it.
//!
//! A look-up answer gives everything up to the nonce, the caller appends a
//! nonce of its own:
//!
//! `a1.<owner>.<owner epoch>.<witness or 0>.<witness epoch>.<nonce>`
//!
//! Invariant: a key's owner and witness never change, and each epoch is a count
//! kept by the process it belongs to. A process therefore knows a key's age
//! without comparing its clock with anybody's.

use core::fmt;
use std::sync::Arc;

use thiserror::Error;

use crate::version::view;

/// What issued keys start with: syntax version 1.
const ISSUED_PREFIX: &str = "a1.";

/// Shortest nonce in bytes. Callers share the part before it, so a nonce has to
/// be long enough that two callers don't pick the same one.
pub const NONCE_LEN_MIN: usize = 16;

/// Longest nonce in bytes.
pub const NONCE_LEN_MAX: usize = 64;

/// Shortest key in bytes that a caller may choose without a look-up.
pub const CHOSEN_LEN_MIN: usize = 16;

/// Longest key in bytes that a caller may choose without a look-up.
pub const CHOSEN_LEN_MAX: usize = 128;

/// A process and one of its epochs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// The process.
    pub incarnation: view::Incarnation,
    /// Its count of epochs when the key was issued.
    pub epoch: u64,
}

/// The part of a key that a look-up answer gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// The only process that may run the key.
    pub owner: Stamp,
    /// The process that has to record the key before it may run.
    pub witness: Option<Stamp>,
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Stamp { incarnation, epoch } = self.owner;
        write!(f, "{ISSUED_PREFIX}{incarnation}.{epoch}.")?;
        match self.witness {
            Some(Stamp { incarnation, epoch }) => write!(f, "{incarnation}.{epoch}."),
            None => write!(f, "0.0."),
        }
    }
}

/// A key formed from a look-up's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Issued {
    /// The key as sent.
    pub text: Arc<str>,
    /// What its issuer said.
    pub prefix: Prefix,
}

/// A key as a caller sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// Formed from a look-up's answer.
    Issued(Issued),
    /// Chosen by the caller alone.
    Chosen(Arc<str>),
}

/// Why a key can't be used. The verdict depends on the key's text alone, so no
/// instance ever runs such a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// Too short or too long to be chosen by a caller.
    #[error("a key has {CHOSEN_LEN_MIN} to {CHOSEN_LEN_MAX} characters; this one has {0}")]
    Length(usize),
    /// A character that is not allowed.
    #[error("a key is made of letters, digits, '-', '_', '.' and ':'; {0:?} is none")]
    Character(char),
    /// Starts like an issued key but has another number of parts.
    #[error("append a nonce without dots to the look-up's key prefix; this key has {0} parts")]
    Parts(usize),
    /// An incarnation is not 16 hexadecimal digits.
    #[error("copy the look-up's key prefix unchanged; its incarnation is malformed")]
    Incarnation,
    /// An epoch is no decimal number.
    #[error("copy the look-up's key prefix unchanged; its epoch is malformed")]
    Epoch,
    /// The nonce is too short or too long.
    #[error("a nonce has {NONCE_LEN_MIN} to {NONCE_LEN_MAX} characters; this one has {0}")]
    Nonce(usize),
}

impl TryFrom<&Arc<str>> for Key {
    type Error = KeyError;

    fn try_from(text: &Arc<str>) -> Result<Self, KeyError> {
        let fit = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
        if let Some(bad) = text.chars().find(|&c| !fit(c)) {
            return Err(KeyError::Character(bad));
        }
        match text.strip_prefix(ISSUED_PREFIX) {
            Some(rest) => Ok(Self::Issued(Issued {
                text: Arc::clone(text),
                prefix: parse(rest)?,
            })),
            None if (CHOSEN_LEN_MIN..=CHOSEN_LEN_MAX).contains(&text.len()) => {
                Ok(Self::Chosen(Arc::clone(text)))
            }
            None => Err(KeyError::Length(text.len())),
        }
    }
}

fn parse(rest: &str) -> Result<Prefix, KeyError> {
    let parts: Vec<&str> = rest.split('.').collect();
    let &[owner, owner_epoch, witness, witness_epoch, nonce] = parts.as_slice() else {
        return Err(KeyError::Parts(parts.len()));
    };
    if !(NONCE_LEN_MIN..=NONCE_LEN_MAX).contains(&nonce.len()) {
        return Err(KeyError::Nonce(nonce.len()));
    }
    let owner = stamp(owner, owner_epoch)?;
    let witness = match (witness, witness_epoch) {
        ("0", "0") => None,
        _ => Some(stamp(witness, witness_epoch)?),
    };
    Ok(Prefix { owner, witness })
}

/// Only the form that [`Prefix`] prints is taken, so that no two texts name the
/// same owner and epoch.
fn stamp(incarnation: &str, epoch: &str) -> Result<Stamp, KeyError> {
    let number = u64::from_str_radix(incarnation, 16).map_err(|_| KeyError::Incarnation)?;
    let stamp = Stamp {
        incarnation: view::Incarnation(number),
        epoch: epoch.parse().map_err(|_| KeyError::Epoch)?,
    };
    if stamp.incarnation.to_string() != incarnation {
        return Err(KeyError::Incarnation);
    }
    if stamp.epoch.to_string() != epoch {
        return Err(KeyError::Epoch);
    }
    Ok(stamp)
}
