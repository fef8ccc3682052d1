//! Versions of the configuration as processes exchange them.
//!
//! Invariant: a version number stands for one list of files. The number is
//! decided by one compare-and-swap on the head document in the store; bodies
//! are stored under the hash of their content, so a body never changes.

pub mod tracker;

use core::fmt;
use std::sync::Arc;

use crate::version::view::Version;

/// SHA-256 of a body; the store's and the peers' name for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Hash(pub [u8; 32]);

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// One file of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct File {
    /// Its name, unique in a manifest.
    pub name: Arc<str>,
    /// Hash of its content.
    pub hash: Hash,
}

/// An accepted change, as the head remembers it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Version that it made.
    pub version: Version,
    /// Name that the operator's client chose for it, never reused.
    pub id: Arc<str>,
}

/// Changes that a head remembers, its own included. An operator's client whose
/// answer was lost finds its change here, unless so many followed.
pub const RECENT: usize = 16;

/// The head document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Version; one above the head that it replaced.
    pub version: Version,
    /// The last [`RECENT`] changes, newest first; the first made this version.
    pub recent: Vec<Change>,
    /// Files, sorted by name.
    pub files: Vec<File>,
}

impl Head {
    /// Whether this head came of the change `id`, or of one after it that
    /// remembers it; `None` if the head's memory doesn't reach to `version`.
    #[must_use]
    pub fn accepted(&self, version: Version, id: &str) -> Option<bool> {
        if self.recent.iter().any(|c| &*c.id == id) {
            return Some(true);
        }
        let oldest = self.recent.last().map_or(self.version, |c| c.version);
        let reaches = oldest <= version || self.recent.len() < RECENT;
        reaches.then_some(false)
    }
}

/// A body with its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Body {
    /// Hash of the content. The driver checks it before a body gets here.
    pub hash: Hash,
    /// The content.
    pub bytes: Arc<[u8]>,
}
