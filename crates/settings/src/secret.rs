//! The shared secret, and the checks on the files that hold it.

use core::fmt;
use std::path::PathBuf;
use std::sync::Arc;

/// Smallest length of a secret in bytes.
pub const SECRET_MIN: usize = 16;

/// Largest length of a secret in bytes; it is sent in a header.
pub const SECRET_MAX: usize = 256;

/// Permission bits for accounts other than the owner of a file.
const GROUP_OTHER_BITS: u32 = 0o077;

/// Reasons for which a secret can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The secret is too short or too long; its length in bytes.
    #[error("the secret has {0} bytes; use {SECRET_MIN} to {SECRET_MAX}")]
    Length(usize),
    /// The secret has a character that a header can't carry.
    #[error("the secret holds a blank or unprintable character; use printable ASCII")]
    Unprintable,
    /// Other accounts may read or write the file; its permission bits.
    #[error("mode {0:03o} lets others use the file; run: chmod 600 FILE")]
    Mode(u32),
}

/// A secret. It is never printed, and has no `==`: a comparison whose time depends on
/// the first difference would reveal the secret byte by byte.
#[derive(Clone)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Checks the text of a secret. Trailing line ends are removed, so that a file
    /// written by `echo` can be used.
    ///
    /// # Errors
    /// If the length or a character is out of bounds.
    pub fn new(text: &str) -> Result<Self, Error> {
        let text = text.trim_end_matches(['\r', '\n']);
        if !(SECRET_MIN..=SECRET_MAX).contains(&text.len()) {
            return Err(Error::Length(text.len()));
        }
        if !text.chars().all(|c| c.is_ascii_graphic()) {
            return Err(Error::Unprintable);
        }
        Ok(Self(text.into()))
    }

    /// Returns the secret, for comparisons in constant time and for sending.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(…)")
    }
}

/// Source of the secret.
#[derive(Clone, Debug)]
pub enum Source {
    /// The settings file itself, whose mode must then be checked.
    Inline(Secret),
    /// A file that holds only the secret, and whose mode must be checked.
    File(PathBuf),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Inline(_) => f.write_str("in this file"),
            Self::File(path) => write!(f, "in {}", path.display()),
        }
    }
}

/// Checks the mode of a file that holds a secret; returns the fault, if any.
///
/// If other accounts of the machine can read the file, they can make peer and operator
/// calls; if they can write it, they can choose the secret.
#[must_use]
pub fn mode_fault(mode: u32) -> Option<Error> {
    let bits = mode & 0o777;
    (bits & GROUP_OTHER_BITS != 0).then_some(Error::Mode(bits))
}
