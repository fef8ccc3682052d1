//! What operators state: one base file, an overlay a site, merged and verified.
//!
//! The way of a file: [`jsonc`] parses it to a tree with places; [`merge`]
//! lays a site's overlay over the base's tree; [`draft`] reads the result to typed
//! values; [`verify`] reports what doesn't fit together; [`plan`]
//! is the result in the terms of decisions. Invariant: no step stops at its
//! first fault, and no [`plan::Plan`] exists with a fault.

pub mod blocks;
pub mod bundle;
pub mod diff;
pub mod document;
pub mod draft;
pub mod instance;
pub mod listing;
pub mod merge;
pub mod moves;
pub mod plan;
pub mod verify;

use jsonc::fault::Fault;

impl plan::Plan {
    /// Parses and verifies a base file alone.
    ///
    /// # Errors
    /// Every fault, in the order of their places.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let bundle = bundle::Bundle {
            base: bundle::File {
                name: file.into(),
                text: text.into(),
            },
            overlays: Vec::new(),
            blocks: Vec::new(),
        };
        let checked = bundle.check()?;
        Ok(std::sync::Arc::unwrap_or_clone(checked.base))
    }
}
