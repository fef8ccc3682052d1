//! A configuration as the platform's store and the peers keep it.
//!
//! Bodies are values named by their content's hash, each well under a megabyte;
//! a head lists them. Invariant: a body never changes, so that a change sends
//! only bodies that the store doesn't have, and whoever has a head and its
//! bodies has exactly the configuration that was accepted.

pub mod chunk;
pub mod install;
pub mod wire;

use std::sync::Arc;

use sha2::{Digest, Sha256};
use steer::process::config::{File as Reference, Hash, Head, RECENT};
use steer::version::view::Version;

use crate::bundle::{Bundle, File};

/// Largest body in bytes; the store takes a megabyte, keys included.
pub const BODY_MAX: usize = 1_000_000;

/// Name of the base file.
pub const BASE: &str = "base";

/// Start of the name of a site's overlay.
pub const OVERLAY: &str = "overlay/";

/// Start of the name of a chunk of client blocks.
pub const BLOCKS: &str = "blocks/";

/// Longest change id in bytes.
pub const CHANGE_MAX: usize = 64;

/// Why a document can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Not 64 hexadecimal digits.
    #[error("\"{0}\" is no hash; the head is damaged, read it again")]
    Hash(String),
    /// A name that no document can have.
    #[error("\"{0}\" names no document; a newer release wrote it, upgrade this one")]
    Name(String),
    /// Names out of order or twice.
    #[error("document \"{0}\" is out of order; the head is damaged, read it again")]
    Order(String),
    /// No base file.
    #[error("no base file; the head is damaged, read it again")]
    NoBase,
    /// Changes that don't lead to the version.
    #[error("the changes of {0} don't lead to it; the head is damaged, read it again")]
    Recent(Version),
    /// A change id outside its bounds.
    #[error("a change id of {0} bytes; use 1 to {CHANGE_MAX} letters, digits or '-'")]
    Change(usize),
    /// Not the head's JSON.
    #[error("not a head: {0}; it is damaged, or another program wrote it")]
    Json(String),
    /// A body that isn't there, or isn't what its hash says.
    #[error("document \"{0}\" is missing; fetch the body {1}")]
    Missing(Arc<str>, Hash),
    /// A body that isn't text.
    #[error("document \"{0}\" is not UTF-8; apply the configuration again")]
    Text(Arc<str>),
    /// A body above [`BODY_MAX`].
    #[error(
        "document \"{name}\" has {bytes} bytes, more than {BODY_MAX}; move client blocks to files of their own"
    )]
    TooLarge {
        /// Its name.
        name: Arc<str>,
        /// Its size.
        bytes: usize,
    },
}

/// One file of a configuration with its content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// [`BASE`], or a name that starts with [`OVERLAY`] or [`BLOCKS`].
    pub name: Arc<str>,
    /// Hash of the content.
    pub hash: Hash,
    /// The content.
    pub text: Arc<str>,
}

/// Hash of a body.
#[must_use]
pub fn hash(bytes: &[u8]) -> Hash {
    Hash(Sha256::digest(bytes).into())
}

/// Permits a checked bundle's files to documents, sorted by name. Overlays are
/// named by their sites; block files are joined and cut into chunks.
///
/// # Errors
/// A file is too large for a body. A bundle that wasn't checked may lose an
/// overlay without a site and lines that are no blocks.
pub fn documents(bundle: &Bundle) -> Result<Vec<Document>, Error> {
    let mut documents = vec![document(BASE.into(), &bundle.base.text)?];
    for overlay in &bundle.overlays {
        if let Some(site) = site(overlay) {
            let name = format!("{OVERLAY}{site}");
            documents.push(document(name.into(), &overlay.text)?);
        }
    }
    for chunk in chunk::chunks(&bundle.blocks) {
        documents.push(document(chunk.name, &chunk.text)?);
    }
    documents.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(documents)
}

fn document(name: Arc<str>, text: &Arc<str>) -> Result<Document, Error> {
    if text.len() > BODY_MAX {
        return Err(Error::TooLarge {
            name,
            bytes: text.len(),
        });
    }
    Ok(Document {
        name,
        hash: hash(text.as_bytes()),
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

/// Documents whose bodies no file of the head in force has: what a writer must
/// send. A body is sent before the head that names it.
pub fn unsent<'a>(
    documents: &'a [Document],
    parent: Option<&Head>,
) -> impl Iterator<Item = &'a Document> + use<'a> {
    let files = parent.map_or(&[][..], |head| &head.files);
    let mut sent: Vec<Hash> = files.iter().map(|file| file.hash).collect();
    sent.sort_unstable();
    documents
        .iter()
        .filter(move |document| sent.binary_search(&document.hash).is_err())
}

/// Checks what the writer of a head may have got wrong.
fn verify(head: &Head) -> Result<(), Error> {
    for change in &head.recent {
        let fits = |b: u8| b.is_ascii_alphanumeric() || b == b'-';
        if !(1..=CHANGE_MAX).contains(&change.id.len()) || !change.id.bytes().all(fits) {
            return Err(Error::Change(change.id.len()));
        }
    }
    let first = head.recent.first().map(|c| c.version);
    let falling = head.recent.windows(2).all(|p| p[0].version > p[1].version);
    if first != Some(head.version) || !falling || head.recent.len() > RECENT {
        return Err(Error::Recent(head.version));
    }
    if let Some(pair) = head.files.windows(2).find(|p| p[0].name >= p[1].name) {
        return Err(Error::Order(pair[1].name.to_string()));
    }
    if let Some(file) = head.files.iter().find(|f| !known(&f.name)) {
        return Err(Error::Name(file.name.escape_debug().to_string()));
    }
    find(&head.files, BASE).map(|_| ()).ok_or(Error::NoBase)
}

fn known(name: &str) -> bool {
    name == BASE || name.starts_with(OVERLAY) || name.starts_with(BLOCKS)
}

/// Hash of the document of this name; `files` are sorted.
#[must_use]
pub fn find(files: &[Reference], name: &str) -> Option<Hash> {
    let found = files.binary_search_by(|file| (*file.name).cmp(name));
    found.ok().map(|i| files[i].hash)
}

/// Puts a head's documents together again, for operators' commands; `get` gives
/// a body by its hash. An entry instance uses [`install`], which needs less.
///
/// # Errors
/// A body is missing, is not what its hash says, or is no text.
pub fn bundle(
    files: &[Reference],
    mut get: impl FnMut(Hash) -> Option<Arc<[u8]>>,
) -> Result<Bundle, Error> {
    let mut base = None;
    let mut overlays = Vec::new();
    let mut blocks = Vec::new();
    for reference in files {
        let bytes = body(reference, &mut get)?;
        let name = Arc::clone(&reference.name);
        let text = text(reference, &bytes)?.into();
        let file = File { name, text };
        if &*file.name == BASE {
            base = Some(file);
        } else if file.name.starts_with(OVERLAY) {
            overlays.push(file);
        } else {
            blocks.push(file);
        }
    }
    Ok(Bundle {
        base: base.ok_or(Error::NoBase)?,
        overlays,
        blocks,
    })
}

/// A body that is what its hash says. A damaged or wrong one counts as missing,
/// so that it is fetched again and never applied.
fn body(
    reference: &Reference,
    get: &mut impl FnMut(Hash) -> Option<Arc<[u8]>>,
) -> Result<Arc<[u8]>, Error> {
    let found = get(reference.hash).filter(|bytes| hash(bytes) == reference.hash);
    found.ok_or_else(|| Error::Missing(Arc::clone(&reference.name), reference.hash))
}

fn text<'a>(reference: &Reference, bytes: &'a [u8]) -> Result<&'a str, Error> {
    core::str::from_utf8(bytes).map_err(|_| Error::Text(Arc::clone(&reference.name)))
}
