//! The configuration in force, as files and as what they mean.
//!
//! Files of a version are named by what they are: [`BASE`], `overlays/SITE` and
//! `blocks/…`.
//!
//! Invariant: an [`InForce`] has passed the verifier whole.

use std::str;
use std::sync::Arc;

use intent::bundle;
use jsonc::fault::Fault;
use steer::process::config;
use steer::version::view;
use thiserror::Error;

/// Name of the base file.
pub const BASE: &str = "base";

/// What names of overlays start with.
pub const OVERLAYS: &str = "overlays/";

/// What names of client blocks' chunks start with.
pub const BLOCKS: &str = "blocks/";

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
    /// A file's name says nothing.
    #[error("file {0} is neither base, overlays/SITE nor blocks/…; name it so")]
    Name(Arc<str>),
    /// There is no base file.
    #[error("there is no base file; add one named base")]
    NoBase,
    /// The verifier found faults.
    #[error("{}", list(.0))]
    Faults(Vec<Fault>),
}

impl InForce {
    /// Verifies files as a version.
    ///
    /// # Errors
    /// Every fault that the verifier finds.
    pub fn new(version: view::Version, files: Vec<bundle::File>) -> Result<Self, Error> {
        let checked = bundle(&files)?.check().map_err(Error::Faults)?;
        Ok(Self {
            version,
            files,
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
        Self::new(head.version, files)
    }
}

fn bundle(files: &[bundle::File]) -> Result<bundle::Bundle, Error> {
    let mut base = None;
    let mut overlays = Vec::new();
    let mut chunks = Vec::new();
    for file in files {
        let name = &file.name;
        if &**name == BASE {
            base = Some(file.clone());
        } else if name.starts_with(OVERLAYS) {
            overlays.push(file.clone());
        } else if name.starts_with(BLOCKS) {
            chunks.push(file.clone());
        } else {
            return Err(Error::Name(Arc::clone(name)));
        }
    }
    Ok(bundle::Bundle {
        base: base.ok_or(Error::NoBase)?,
        overlays,
        blocks: bundle::Blocks::Chunks(chunks),
    })
}

fn list(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
