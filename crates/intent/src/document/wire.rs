//! A head as the store's JSON value, apart from the type that decisions use.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use steer::process::config;
use steer::version::view::Version;

use super::Error;

/// Bytes of a hash.
const HASH_BYTES: usize = 32;

/// A file's name and hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct File {
    /// Name.
    pub name: String,
    /// SHA-256 of the body, 64 hexadecimal digits.
    pub hash: String,
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version that it made.
    pub version: u64,
    /// Id that its writer chose.
    pub id: String,
}

/// The head document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The version.
    pub version: u64,
    /// Last changes, newest first.
    pub recent: Vec<Change>,
    /// Files, sorted by name.
    pub files: Vec<File>,
}

impl From<&config::Head> for Head {
    fn from(head: &config::Head) -> Self {
        let change = |change: &config::Change| Change {
            version: change.version.0,
            id: change.id.to_string(),
        };
        let file = |file: &config::File| File {
            name: file.name.to_string(),
            hash: file.hash.to_string(),
        };
        Self {
            version: head.version.0,
            recent: head.recent.iter().map(change).collect(),
            files: head.files.iter().map(file).collect(),
        }
    }
}

impl TryFrom<Head> for config::Head {
    type Error = Error;

    fn try_from(wire: Head) -> Result<Self, Error> {
        let recent = wire.recent.into_iter().map(|change| config::Change {
            version: Version(change.version),
            id: change.id.into(),
        });
        let mut files = Vec::with_capacity(wire.files.len());
        for file in wire.files {
            files.push(config::File {
                hash: parse_hash(&file.hash)?,
                name: file.name.into(),
            });
        }
        let head = Self {
            version: Version(wire.version),
            recent: recent.collect(),
            files,
        };
        super::verify(&head)?;
        Ok(head)
    }
}

/// A hash from 64 hexadecimal digits, as [`config::Hash`] prints them.
///
/// # Errors
/// The text is anything else, capital letters included: two texts for one hash
/// would be two keys for one body.
pub fn parse_hash(text: &str) -> Result<config::Hash, Error> {
    let error = || Error::Hash(text.escape_debug().to_string());
    if text.len() != 2 * HASH_BYTES {
        return Err(error());
    }
    let mut bytes = [0; HASH_BYTES];
    for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
        let digits = digit(pair[0]).zip(digit(pair[1]));
        let (high, low) = digits.ok_or_else(error)?;
        *byte = high << 4 | low;
    }
    Ok(config::Hash(bytes))
}

fn digit(byte: u8) -> Option<u8> {
    match byte {
        b'0'..=b'9' => Some(byte - b'0'),
        b'a'..=b'f' => Some(byte - b'a' + 10),
        _ => None,
    }
}

/// A head as the value of a key.
///
/// # Panics
/// Never: strings and numbers always serialise.
#[must_use]
pub fn to_json(head: &config::Head) -> String {
    serde_json::to_string(&Head::from(head)).expect("strings and numbers serialise")
}

/// Reads the value of a key.
///
/// # Errors
/// The text is not a head's JSON, or not a possible head.
pub fn from_json(text: &str) -> Result<Arc<config::Head>, Error> {
    let wire: Head = serde_json::from_str(text).map_err(|e| Error::Json(e.to_string()))?;
    Ok(Arc::new(wire.try_into()?))
}
