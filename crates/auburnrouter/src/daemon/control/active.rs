//! The configuration in force: its files and the plan of this failure domain.
//!
//! Invariant: an [`ActiveConfig`] has passed the verifier for this failure domain; the
//! instance that accepted it has verified it for every site.

use std::sync::Arc;

use intent::document::{self, install};
use intent::{bundle, plan};
use jsonc::fault::Fault;
use steer::process::config;
use steer::version::view;
use thiserror::Error;

/// A configuration version that passed the verifier for this failure domain.
#[derive(Debug)]
pub struct ActiveConfig {
    /// Version number.
    pub version: view::Version,
    /// Files, sorted by name.
    pub files: Vec<config::File>,
    /// Contents of the files, in the same order.
    pub bodies: Vec<config::Body>,
    /// Plan for this failure domain.
    pub plan: plan::Plan,
}

/// Faults that keep files from being a configuration.
#[derive(Debug, Error)]
pub enum Error {
    /// There is no base file.
    #[error("there is no base file; add one named {}", document::BASE)]
    NoBase,
    /// The verifier found faults.
    #[error("{}", list(.0))]
    Faults(Vec<Fault>),
    /// A file can't be stored as a document.
    #[error(transparent)]
    Document(#[from] document::Error),
}

/// A full configuration that was verified for every site.
#[derive(Debug)]
pub struct FullConfig {
    /// Documents, sorted by name.
    pub documents: Vec<document::Document>,
    /// Verified content.
    pub checked: bundle::Checked,
}

impl ActiveConfig {
    /// Verifies a head with its bodies, which must be in the order of its files.
    ///
    /// # Errors
    /// If a body is damaged or the files have faults.
    pub fn verify(
        head: &config::Head,
        bodies: &[config::Body],
        domain: &str,
    ) -> Result<Self, install::Refusal> {
        let get = |hash: config::Hash| {
            let found = bodies.iter().find(|b| b.hash == hash);
            found.map(|b| Arc::clone(&b.bytes))
        };
        Ok(Self {
            version: head.version,
            plan: install::plan(&head.files, domain, get)?,
            files: head.files.clone(),
            bodies: bodies.to_vec(),
        })
    }

    /// Verifies the configuration for every site. The result is not cached: a process
    /// has no memory for it besides the table in use.
    ///
    /// # Errors
    /// If a body is damaged or the files have faults.
    pub fn full(&self) -> Result<FullConfig, Error> {
        let get = |hash: config::Hash| {
            let found = self.bodies.iter().find(|b| b.hash == hash);
            found.map(|b| Arc::clone(&b.bytes))
        };
        FullConfig::new(&document::bundle(&self.files, get)?)
    }
}

impl FullConfig {
    /// Verifies a configuration for every site.
    ///
    /// # Errors
    /// Every fault that the verifier finds.
    pub fn new(bundle: &bundle::Bundle) -> Result<Self, Error> {
        let checked = bundle.check().map_err(Error::Faults)?;
        let documents = document::documents(bundle)?;
        Ok(Self { documents, checked })
    }
}

/// Sorts files by their names into base, overlays and client blocks.
///
/// # Errors
/// If there is no base file.
pub fn bundle(files: Vec<bundle::File>) -> Result<bundle::Bundle, Error> {
    let mut base = None;
    let mut overlays = Vec::new();
    let mut blocks = Vec::new();
    for file in files {
        if &*file.name == document::BASE {
            base = Some(file);
        } else if file.name.starts_with(document::OVERLAY) {
            overlays.push(file);
        } else {
            blocks.push(file);
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
