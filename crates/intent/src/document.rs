//! A configuration as the platform's store keeps it.
//!
//! Bodies are values named by their content's hash, each well under a megabyte;
//! a [`Manifest`] lists them. Invariant: a body never changes, so that a change
//! sends only bodies the store doesn't have, and whoever has a manifest and its
//! bodies has exactly the configuration that was accepted.

pub mod chunk;
pub mod wire;

use core::fmt;
use core::str::FromStr;
use std::sync::Arc;

use sha2::{Digest, Sha256};
use steer::version::view::Version;

use crate::bundle::{Blocks, Bundle, File};

/// Largest body in bytes; the store takes a megabyte, keys included.
pub const BODY_MAX: usize = 1_000_000;

/// Name of the base file's body.
pub const BASE: &str = "base";

/// Start of the name of a site's overlay.
pub const OVERLAY: &str = "overlay/";

/// Start of the name of a chunk of client blocks.
pub const BLOCKS: &str = "blocks/";

/// Bytes of a SHA-256 hash.
const HASH_BYTES: usize = 32;

/// Content's SHA-256; prints as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Hash([u8; HASH_BYTES]);

impl Hash {
    /// Hash of a body.
    #[must_use]
    pub fn of(body: &str) -> Self {
        Self(Sha256::digest(body.as_bytes()).into())
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Why a document can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Not 64 hexadecimal digits.
    #[error("\"{0}\" is no hash; the manifest is damaged, read it again")]
    Hash(String),
    /// A name that no body can have.
    #[error("\"{0}\" names no document; the writer is newer than this program, upgrade it")]
    Name(String),
    /// Names out of order or twice.
    #[error("document \"{0}\" is out of order; the manifest is damaged, read it again")]
    Order(String),
    /// No base file.
    #[error("no base file; the manifest is damaged, read it again")]
    NoBase,
    /// A version that doesn't follow its parent.
    #[error("version {version} can't follow {parent}; the manifest is damaged, read it again")]
    Parent {
        /// The version.
        version: Version,
        /// What it claims to follow.
        parent: Version,
    },
    /// A change id outside its bounds.
    #[error("a change id of {0} bytes; use 1 to {CHANGE_MAX} letters, digits or '-'")]
    Change(usize),
    /// Not the manifest's JSON.
    #[error("not a manifest: {0}; the head is damaged or another program wrote it")]
    Json(String),
    /// A body that isn't there.
    #[error("document \"{0}\" is missing; fetch the body {1}")]
    Missing(Arc<str>, Hash),
    /// A body above [`BODY_MAX`].
    #[error(
        "document \"{name}\" has {bytes} bytes, more than {BODY_MAX}; move client blocks to \"block_files\""
    )]
    TooLarge {
        /// Its name.
        name: Arc<str>,
        /// Its size.
        bytes: usize,
    },
}

impl FromStr for Hash {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let error = || Error::Hash(text.escape_debug().to_string());
        let canonical = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != 2 * HASH_BYTES || !text.bytes().all(canonical) {
            return Err(error());
        }
        let mut bytes = [0; HASH_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            let pair = core::str::from_utf8(pair).map_err(|_| error())?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| error())?;
        }
        Ok(Self(bytes))
    }
}

/// Longest change id in bytes.
pub const CHANGE_MAX: usize = 64;

/// A body's name and hash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Reference {
    /// [`BASE`], or a name that starts with [`OVERLAY`] or [`BLOCKS`].
    pub name: Arc<str>,
    /// Hash of its body.
    pub hash: Hash,
}

/// A body and what names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Body {
    /// Name and hash.
    pub reference: Reference,
    /// The content.
    pub text: Arc<str>,
}

/// All that a version consists of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    /// The version; one more than its parent.
    pub version: Version,
    /// Id that the writer chose, to find out whether its write took effect.
    pub change: Arc<str>,
    /// Version that the change was made from.
    pub parent: Version,
    /// The bodies, sorted by name.
    pub files: Vec<Reference>,
}

impl Manifest {
    /// The manifest of a change.
    ///
    /// # Errors
    /// The id is outside its bounds, or the bodies are not a configuration.
    pub fn new(parent: Version, change: &str, bodies: &[Body]) -> Result<Self, Error> {
        let manifest = Self {
            version: Version(parent.0 + 1),
            change: change.into(),
            parent,
            files: bodies.iter().map(|b| b.reference.clone()).collect(),
        };
        manifest.verify()?;
        Ok(manifest)
    }

    /// Checks what a writer may get wrong.
    fn verify(&self) -> Result<(), Error> {
        let fits = |b: u8| b.is_ascii_alphanumeric() || b == b'-';
        let length = self.change.len();
        if !(1..=CHANGE_MAX).contains(&length) || !self.change.bytes().all(fits) {
            return Err(Error::Change(length));
        }
        if self.parent.0.checked_add(1) != Some(self.version.0) {
            return Err(Error::Parent {
                version: self.version,
                parent: self.parent,
            });
        }
        if let Some(pair) = self.files.windows(2).find(|p| p[0].name >= p[1].name) {
            return Err(Error::Order(pair[1].name.to_string()));
        }
        if let Some(file) = self.files.iter().find(|f| !known(&f.name)) {
            return Err(Error::Name(file.name.escape_debug().to_string()));
        }
        self.find(BASE).map(|_| ()).ok_or(Error::NoBase)
    }

    /// Hash of the body of this name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<Hash> {
        let found = self.files.binary_search_by(|f| (*f.name).cmp(name));
        found.ok().map(|i| self.files[i].hash)
    }

    /// References whose bodies aren't among `have`, which is sorted: what a
    /// writer must send, or a reader fetch.
    pub fn missing(&self, have: &[Hash]) -> impl Iterator<Item = &Reference> {
        let lacks = |file: &&Reference| have.binary_search(&file.hash).is_err();
        self.files.iter().filter(lacks)
    }
}

fn known(name: &str) -> bool {
    name == BASE || name.starts_with(OVERLAY) || name.starts_with(BLOCKS)
}

/// Turns a checked bundle's files to bodies, sorted by name. Overlays are named
/// by their sites; block files are joined and cut into chunks.
///
/// # Errors
/// A file is too large for a body. A bundle that wasn't checked may lose an
/// overlay without a site and lines that are no blocks.
pub fn bodies(bundle: &Bundle) -> Result<Vec<Body>, Error> {
    let mut bodies = vec![body(BASE.into(), &bundle.base.text)?];
    for overlay in &bundle.overlays {
        if let Some(site) = site(overlay) {
            bodies.push(body(format!("{OVERLAY}{site}").into(), &overlay.text)?);
        }
    }
    match &bundle.blocks {
        Blocks::Files(files) => {
            for (name, text) in chunk::chunks(files) {
                bodies.push(body(name, &text.into())?);
            }
        }
        Blocks::Chunks(chunks) => {
            for chunk in chunks {
                bodies.push(body(Arc::clone(&chunk.name), &chunk.text)?);
            }
        }
    }
    bodies.sort_by(|a, b| a.reference.cmp(&b.reference));
    Ok(bodies)
}

fn body(name: Arc<str>, text: &Arc<str>) -> Result<Body, Error> {
    if text.len() > BODY_MAX {
        return Err(Error::TooLarge {
            name,
            bytes: text.len(),
        });
    }
    let hash = Hash::of(text);
    Ok(Body {
        reference: Reference { name, hash },
        text: Arc::clone(text),
    })
}

/// Name of the site that an overlay is for.
#[must_use]
pub fn site(overlay: &File) -> Option<Arc<str>> {
    let root = jsonc::parse(&overlay.name, &overlay.text).ok()?;
    match &root.get("site")?.value {
        jsonc::node::Value::Text(site) => Some(Arc::clone(site)),
        _ => None,
    }
}

/// Puts a manifest's bodies together again; `find` gives a body by its hash.
///
/// # Errors
/// A body is missing, or is not what its hash says.
pub fn bundle(
    manifest: &Manifest,
    mut find: impl FnMut(Hash) -> Option<Arc<str>>,
) -> Result<Bundle, Error> {
    let mut base = None;
    let mut overlays = Vec::new();
    let mut chunks = Vec::new();
    for reference in &manifest.files {
        let name = Arc::clone(&reference.name);
        let text = find(reference.hash).filter(|text| Hash::of(text) == reference.hash);
        let Some(text) = text else {
            return Err(Error::Missing(name, reference.hash));
        };
        let file = File { name, text };
        if &*file.name == BASE {
            base = Some(file);
        } else if file.name.starts_with(OVERLAY) {
            overlays.push(file);
        } else {
            chunks.push(file);
        }
    }
    Ok(Bundle {
        base: base.ok_or(Error::NoBase)?,
        overlays,
        blocks: Blocks::Chunks(chunks),
    })
}
