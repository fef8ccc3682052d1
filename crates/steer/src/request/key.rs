//! Syntax of idempotency keys.
//!
//! An issued key names its owner, the only process that may run the request, and its
//! witness, which has to record the key first. A look-up answer gives the part before
//! the nonce, and the caller appends its own nonce:
//!
//! `a1.<owner>.<owner epoch>.<witness or 0>.<witness epoch>.<nonce>`
//!
//! Invariant: a key's owner and witness never change, and each epoch is counted by
//! the process it belongs to. A process therefore knows the age of a key without
//! comparing clocks with another one.

use core::fmt;
use std::sync::Arc;

use thiserror::Error;

use crate::version::view;

/// Start of issued keys: version 1 of the syntax.
const ISSUED_PREFIX: &str = "a1.";

/// Minimum length of a nonce in bytes. Callers share the part before it, so a nonce has
/// to be long enough that no two callers pick the same one.
pub const NONCE_LEN_MIN: usize = 16;

/// Maximum length of a nonce in bytes.
pub const NONCE_LEN_MAX: usize = 64;

/// Minimum length in bytes of a key that a caller chooses without a look-up.
pub const CHOSEN_LEN_MIN: usize = 16;

/// Maximum length in bytes of a key that a caller chooses without a look-up.
pub const CHOSEN_LEN_MAX: usize = 128;

/// A process and one of its epochs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// The process.
    pub incarnation: view::Incarnation,
    /// Epoch of the process when the key was issued.
    pub epoch: u64,
}

/// Part of a key that a look-up answer gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// Only process that may run the key's request.
    pub owner: Stamp,
    /// Process that has to record the key before the request may run, if any.
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
    /// Key as sent.
    pub text: Arc<str>,
    /// Owner and witness named in the key.
    pub prefix: Prefix,
}

/// Idempotency key sent by a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// Formed from a look-up's answer.
    Issued(Issued),
    /// Chosen by the caller alone.
    Chosen(Arc<str>),
}

/// Syntax error in a key. It depends on the key's text alone, so no instance ever runs
/// a request with such a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// Length outside the bounds of keys that callers choose.
    #[error("a key has {CHOSEN_LEN_MIN} to {CHOSEN_LEN_MAX} characters; this one has {0}")]
    Length(usize),
    /// Character that is not allowed.
    #[error("a key may contain letters, digits, '-', '_', '.' and ':'; found {0:?}")]
    Character(char),
    /// Wrong number of parts in a key that starts like an issued one.
    #[error("append a nonce without dots to the look-up's key prefix; this key has {0} parts")]
    Parts(usize),
    /// Incarnation that is not 16 lower-case hexadecimal digits.
    #[error("copy the look-up's key prefix unchanged; its incarnation is malformed")]
    Incarnation,
    /// Epoch that is not a decimal number without leading zeros.
    #[error("copy the look-up's key prefix unchanged; its epoch is malformed")]
    Epoch,
    /// Length of the nonce outside its bounds.
    #[error("a nonce has {NONCE_LEN_MIN} to {NONCE_LEN_MAX} characters; this one has {0}")]
    Nonce(usize),
}

impl TryFrom<&Arc<str>> for Key {
    type Error = KeyError;

    fn try_from(text: &Arc<str>) -> Result<Self, KeyError> {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
        if let Some(bad) = text.chars().find(|&c| !is_allowed(c)) {
            return Err(KeyError::Character(bad));
        }
        match text.strip_prefix(ISSUED_PREFIX) {
            Some(rest) => Ok(Self::Issued(Issued {
                text: Arc::clone(text),
                prefix: parse_prefix(rest)?,
            })),
            None if (CHOSEN_LEN_MIN..=CHOSEN_LEN_MAX).contains(&text.len()) => {
                Ok(Self::Chosen(Arc::clone(text)))
            }
            None => Err(KeyError::Length(text.len())),
        }
    }
}

fn parse_prefix(rest: &str) -> Result<Prefix, KeyError> {
    let parts: Vec<&str> = rest.split('.').collect();
    let &[owner, owner_epoch, witness, witness_epoch, nonce] = parts.as_slice() else {
        return Err(KeyError::Parts(parts.len()));
    };
    if !(NONCE_LEN_MIN..=NONCE_LEN_MAX).contains(&nonce.len()) {
        return Err(KeyError::Nonce(nonce.len()));
    }
    let owner = parse_stamp(owner, owner_epoch)?;
    let witness = match (witness, witness_epoch) {
        ("0", "0") => None,
        _ => Some(parse_stamp(witness, witness_epoch)?),
    };
    Ok(Prefix { owner, witness })
}

/// Parses an incarnation and an epoch. Accepts only the form that [`Prefix`] prints, so
/// that no two texts name the same process and epoch.
fn parse_stamp(incarnation: &str, epoch: &str) -> Result<Stamp, KeyError> {
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
