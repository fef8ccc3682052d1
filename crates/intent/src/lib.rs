//! What operators state: one base file, an overlay a site, merged and verified.
//!
//! The way of a file: [`jsonc`] parses it to a tree with places; [`draft`] reads
//! that to typed values; [`verify`] reports what doesn't fit together; [`plan`]
//! is the result in the terms of decisions. Invariant: no step stops at its
//! first fault, and no [`plan::Plan`] exists with a fault.

pub mod blocks;
pub mod draft;
pub mod instance;
pub mod plan;
pub mod verify;

use std::sync::Arc;

use jsonc::fault::Fault;
use steer::version::blocks::BlockTable;

impl plan::Plan {
    /// Parses and verifies one base file that names no block files.
    ///
    /// # Errors
    /// Every fault, in the order of their places.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let root = jsonc::parse(file, text).map_err(|fault| vec![fault])?;
        let mut faults = Vec::new();
        let draft = draft::read::draft(&root, &mut faults);
        verify::verify(&draft, &mut faults);
        faults.sort();
        faults.dedup();
        if !faults.is_empty() {
            return Err(faults);
        }
        let names = plan::build::region_names(&draft);
        let table = BlockTable::new(plan::build::own_blocks(&draft, &names));
        plan::build::plan(&draft, Arc::new(table)).ok_or(faults)
    }
}
