//! A manifest as JSON, apart from the type that the program works with.

use serde::{Deserialize, Serialize};
use steer::version::view::Version;

use super::{Error, Reference};

/// A body's name and hash on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct File {
    /// Name.
    pub name: String,
    /// SHA-256 of the body, 64 hexadecimal digits.
    pub hash: String,
}

/// A manifest on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The version.
    pub version: u64,
    /// The writer's id of the change.
    pub change: String,
    /// Version that the change was made from.
    pub parent: u64,
    /// The bodies, sorted by name.
    pub files: Vec<File>,
}

impl From<&super::Manifest> for Manifest {
    fn from(manifest: &super::Manifest) -> Self {
        let file = |reference: &Reference| File {
            name: reference.name.to_string(),
            hash: reference.hash.to_string(),
        };
        Self {
            version: manifest.version.0,
            change: manifest.change.to_string(),
            parent: manifest.parent.0,
            files: manifest.files.iter().map(file).collect(),
        }
    }
}

impl TryFrom<Manifest> for super::Manifest {
    type Error = Error;

    fn try_from(wire: Manifest) -> Result<Self, Error> {
        let mut files = Vec::with_capacity(wire.files.len());
        for file in wire.files {
            files.push(Reference {
                name: file.name.into(),
                hash: file.hash.parse()?,
            });
        }
        let manifest = Self {
            version: Version(wire.version),
            change: wire.change.into(),
            parent: Version(wire.parent),
            files,
        };
        manifest.verify()?;
        Ok(manifest)
    }
}

impl super::Manifest {
    /// The manifest as the value of a key.
    ///
    /// # Panics
    /// Never: strings and numbers always serialise.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(&Manifest::from(self)).expect("strings and numbers serialise")
    }

    /// Reads the value of a key.
    ///
    /// # Errors
    /// The text is not a manifest's JSON, or not a possible manifest.
    pub fn from_json(text: &str) -> Result<Self, Error> {
        let wire: Manifest =
            serde_json::from_str(text).map_err(|error| Error::Json(error.to_string()))?;
        wire.try_into()
    }
}
