//! Versions of the configuration, as processes exchange them.
//!
//! Invariant: a version number stands for one list of files. It is assigned by
//! one compare-and-swap of the head document in the store. Bodies are stored
//! under the hash of their content, so a body never changes.

pub mod tracker;

use core::fmt;
use std::sync::Arc;

use crate::version::view::Version;

/// SHA-256 of a body, by which the store and the peers name it.
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
    /// File name, unique within a head.
    pub name: Arc<str>,
    /// Hash of the file's body.
    pub hash: Hash,
}

/// An accepted change, as recorded in the head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Version that the change created.
    pub version: Version,
    /// Unique id that the operator's client chose; never reused.
    pub id: Arc<str>,
}

/// Number of changes recorded in a head, the newest included. A client that
/// lost the answer to its write finds its change there, unless this many others
/// followed.
pub const RECENT: usize = 16;

/// The head document: one version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// Version number, one above that of the replaced head.
    pub version: Version,
    /// The last [`RECENT`] changes, newest first. The first one created this
    /// version.
    pub recent: Vec<Change>,
    /// Files, sorted by name.
    pub files: Vec<File>,
}

impl Head {
    /// Whether the change `id`, meant to create `version`, is part of this
    /// head's history. `None` if the recorded changes don't reach back to
    /// `version`.
    #[must_use]
    pub fn accepted(&self, version: Version, id: &str) -> Option<bool> {
        if self.recent.iter().any(|c| &*c.id == id) {
            return Some(true);
        }
        let oldest = self.recent.last().map_or(self.version, |c| c.version);
        let is_covered = oldest <= version || self.recent.len() < RECENT;
        is_covered.then_some(false)
    }
}

/// Content of a file, with its hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Body {
    /// Hash of the content. The driver checks it before it passes a body on.
    pub hash: Hash,
    /// Content of the file.
    pub bytes: Arc<[u8]>,
}
