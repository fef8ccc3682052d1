//! The shared secret, and the checks on the files that hold it.

use core::fmt;
use std::path::PathBuf;
use std::sync::Arc;

/// Shortest secret in bytes.
pub const SECRET_MIN: usize = 16;

/// Longest secret in bytes; it travels in a header.
pub const SECRET_MAX: usize = 256;

/// Permission bits of a file that others than its owner may use.
const GROUP_OTHER_BITS: u32 = 0o077;

/// Why a secret can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Too short or too long.
    #[error("the secret has {0} bytes; use {SECRET_MIN} to {SECRET_MAX}")]
    Length(usize),
    /// A character that a header can't carry.
    #[error("the secret holds a blank or unprintable character; use printable ASCII")]
    Unprintable,
    /// Others may read the file.
    #[error("mode {0:03o} lets others use the file; run: chmod 600 FILE")]
    Mode(u32),
}

/// A secret that never prints itself, and that has no `==`: a comparison whose
/// time depends on the first difference would tell it byte by byte.
#[derive(Clone)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Checks a secret's text; line ends around it are dropped, so that a file
    /// written by `echo` serves.
    ///
    /// # Errors
    /// Its length or a character is outside the bounds.
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

    /// The secret itself, for comparisons in constant time and for the wire.
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

/// Where the secret comes from.
#[derive(Clone, Debug)]
pub enum Source {
    /// It stands in the settings file, whose mode must then be checked.
    Inline(Secret),
    /// It stands alone in this file, whose mode must be checked.
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

/// What is wrong with the mode of a file that holds a secret, if anything.
///
/// A file that others can read gives peer and operator calls to every account
/// of the instance; one that others can write lets them choose the secret.
#[must_use]
pub fn mode_fault(mode: u32) -> Option<Error> {
    let bits = mode & 0o777;
    (bits & GROUP_OTHER_BITS != 0).then_some(Error::Mode(bits))
}
