//! The configuration in force, as files and as what they mean.
//!
//! Files of a version are named as crate `intent` names its documents.
//!
//! Invariant: an [`InForce`] has passed the verifier whole.

use std::str;
use std::sync::Arc;

use intent::{bundle, document};
use jsonc::fault::Fault;
use steer::process::config;
use steer::version::view;
use thiserror::Error;

/// A version that passed the verifier.
#[derive(Debug)]
pub struct InForce {
    /// Its number.
    pub version: view::Version,
    /// Its files, sorted by name.
    pub files: Vec<bundle::File>,
    /// What they mean.
    pub checked: bundle::Checked,
}

/// Why files are no configuration.
#[derive(Debug, Error)]
pub enum Error {
    /// A file isn't text.
    #[error("file {0} is not UTF-8 text; save it as such")]
    Text(Arc<str>),
    /// There is no base file.
    #[error("there is no base file; add one named base")]
    NoBase,
    /// The verifier found faults.
    #[error("{}", list(.0))]
    Faults(Vec<Fault>),
    /// A file can't be a document of the store.
    #[error(transparent)]
    Document(#[from] document::Error),
}

impl InForce {
    /// Verifies files as a version, and cuts its client blocks into documents.
    ///
    /// # Errors
    /// Every fault that the verifier finds.
    pub fn new(version: view::Version, files: &[bundle::File]) -> Result<Self, Error> {
        let bundle = bundle(files)?;
        let checked = bundle.check().map_err(Error::Faults)?;
        let documents = document::documents(&bundle)?;
        let files = documents.into_iter().map(|document| bundle::File {
            name: document.name,
            text: document.text,
        });
        Ok(Self {
            version,
            files: files.collect(),
            checked,
        })
    }

    /// Verifies a head with its bodies, which come in the order of its files.
    ///
    /// # Errors
    /// As for [`Self::new`], and if a body isn't text.
    pub fn open(head: &config::Head, bodies: &[config::Body]) -> Result<Self, Error> {
        let mut files = Vec::with_capacity(bodies.len());
        for (file, body) in head.files.iter().zip(bodies) {
            let text = str::from_utf8(&body.bytes);
            let text = text.map_err(|_| Error::Text(Arc::clone(&file.name)))?;
            files.push(bundle::File {
                name: Arc::clone(&file.name),
                text: text.into(),
            });
        }
        Self::new(head.version, &files)
    }
}

/// Files that are named neither base nor overlay hold client blocks: operators'
/// files, or the store's chunks of them.
fn bundle(files: &[bundle::File]) -> Result<bundle::Bundle, Error> {
    let mut base = None;
    let mut overlays = Vec::new();
    let mut blocks = Vec::new();
    for file in files {
        let name = &file.name;
        if &**name == document::BASE {
            base = Some(file.clone());
        } else if name.starts_with(document::OVERLAY) {
            overlays.push(file.clone());
        } else {
            blocks.push(file.clone());
        }
    }
    Ok(bundle::Bundle {
        base: base.ok_or(Error::NoBase)?,
        overlays,
        blocks,
    })
}

fn list(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
