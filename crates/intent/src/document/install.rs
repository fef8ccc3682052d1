//! What an entry instance does with a head whose bodies are all there.
//!
//! At 830,000 client blocks their text is 17 MB and a list of them 10 MB, beside
//! a process's 64 MB for all of control. Chunks are therefore read one by one
//! from the bodies that the process keeps anyway, straight into the table.

use core::iter::Peekable;
use std::sync::Arc;

use jsonc::fault::{Fault, Kind, Place};
use jsonc::node::Node;
use steer::process::config::{File as Reference, Hash};
use steer::version::blocks::{Block, BlockTable};

use super::{BASE, BLOCKS, Error, OVERLAY};
use crate::blocks::{self, Line, Names};
use crate::bundle;
use crate::draft::{self, Draft};
use crate::merge;
use crate::plan::{Plan, build};
use crate::verify;

/// Why a head can't be put in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// A body is missing or damaged.
    #[error(transparent)]
    Document(#[from] Error),
    /// The files have faults; the first is shown.
    #[error("{} faults; the first: {first}", others + 1)]
    Faults {
        /// The first fault.
        first: Box<Fault>,
        /// How many more there are.
        others: usize,
    },
}

/// The plan that holds at the entry instances of `domain`. Files that they
/// don't read, such as other sites' overlays, aren't asked for.
///
/// # Errors
/// A body is missing or damaged, or the files have faults.
pub fn plan(
    files: &[Reference],
    domain: &str,
    mut get: impl FnMut(Hash) -> Option<Arc<[u8]>>,
) -> Result<Plan, Refusal> {
    let mut faults = Vec::new();
    let base = files.iter().find(|file| &*file.name == BASE);
    let base = parse(base.ok_or(Error::NoBase)?, &mut get)?;
    let base = merge::with_defaults(&base);
    let overlay = overlay(files, &base, domain);
    let overlay = overlay.map(|file| parse(file, &mut get)).transpose()?;
    let common = draft::read::draft(&base, &mut faults);
    verify::verify(&common, &mut faults);
    let draft = match overlay {
        Some(overlay) => lay(&base, &overlay, &mut faults),
        None => Some(common),
    };
    let table = table(files, draft.as_ref(), &mut get, &mut faults)?;
    let plan = draft.and_then(|draft| build::plan(&draft, Arc::new(table)));
    faults.sort();
    match (plan, faults.is_empty()) {
        (Some(plan), true) => Ok(plan),
        _ => Err(refusal(&faults)),
    }
}

fn refusal(faults: &[Fault]) -> Refusal {
    let unknown = || {
        let place = Place::start(&BASE.into());
        Fault::new(&place, Kind::Conflict, "no plan", "apply it again")
    };
    Refusal::Faults {
        first: Box::new(faults.first().cloned().unwrap_or_else(unknown)),
        others: faults.len().saturating_sub(1),
    }
}

fn parse(
    file: &Reference,
    get: &mut impl FnMut(Hash) -> Option<Arc<[u8]>>,
) -> Result<Node, Refusal> {
    let bytes = super::body(file, get)?;
    let text = super::text(file, &bytes)?;
    jsonc::parse(&file.name, text).map_err(|fault| refusal(&[fault]))
}

/// The overlay of the domain's first site, if there is one.
fn overlay<'a>(files: &'a [Reference], base: &Node, domain: &str) -> Option<&'a Reference> {
    let name = format!("{OVERLAY}{}", bundle::home(base, domain)?);
    files.iter().find(|file| *file.name == *name)
}

fn lay(base: &Node, overlay: &Node, faults: &mut Vec<Fault>) -> Option<Draft> {
    let merged = merge::merge(base, overlay, faults)?;
    let draft = draft::read::draft(&merged.root, faults);
    verify::overlaid(&draft, faults);
    Some(draft)
}

/// Builds the table from the chunks, whose names and lines are in order, and
/// the base's own blocks between them.
fn table(
    files: &[Reference],
    draft: Option<&Draft>,
    get: &mut impl FnMut(Hash) -> Option<Arc<[u8]>>,
    faults: &mut Vec<Fault>,
) -> Result<BlockTable, Error> {
    let Some(draft) = draft else {
        return Ok(BlockTable::default());
    };
    let names = build::region_names(draft);
    let mut own = build::own_blocks(draft, &names);
    own.sort_unstable();
    let mut own = own.into_iter().peekable();
    let mut error = None;
    let mut last = None;
    let mut chunks = files.iter().filter(|file| file.name.starts_with(BLOCKS));
    let mut rest: std::vec::IntoIter<Block> = Vec::new().into_iter();
    let table = BlockTable::from_sorted(core::iter::from_fn(|| {
        loop {
            if let Some(block) = rest.next() {
                return Some(block);
            }
            let Some(file) = chunks.next() else {
                return own.next();
            };
            match chunk(file, &names, get, faults) {
                Ok(lines) => rest = merged(file, &lines, &mut own, &mut last, faults),
                Err(found) => {
                    error = Some(found);
                    return None;
                }
            }
        }
    }));
    error.map_or(Ok(table), Err)
}

fn chunk(
    file: &Reference,
    names: &Names,
    get: &mut impl FnMut(Hash) -> Option<Arc<[u8]>>,
    faults: &mut Vec<Fault>,
) -> Result<Vec<Line>, Error> {
    let bytes = super::body(file, get)?;
    let text = super::text(file, &bytes)?;
    Ok(blocks::read(&file.name, text, names, faults))
}

/// First address and length: what sorts blocks and tells them apart.
type Key = (u32, u8);

/// One chunk's blocks with those of the base's own that come before its end.
/// A block out of order, or twice, would make the table lie without a sign.
fn merged(
    file: &Reference,
    lines: &[Line],
    own: &mut Peekable<std::vec::IntoIter<Block>>,
    last: &mut Option<Key>,
    faults: &mut Vec<Fault>,
) -> std::vec::IntoIter<Block> {
    let mut blocks = Vec::with_capacity(lines.len());
    for line in lines {
        let key = (line.block.base, line.block.len);
        while let Some(block) = own.next_if(|b| (b.base, b.len) < key) {
            *last = Some((block.base, block.len));
            blocks.push(block);
        }
        let twice = own.peek().is_some_and(|b| (b.base, b.len) == key);
        if twice || last.is_some_and(|last| last >= key) {
            faults.push(unordered(file, line));
            continue;
        }
        *last = Some(key);
        blocks.push(line.block);
    }
    blocks.into_iter()
}

fn unordered(file: &Reference, line: &Line) -> Fault {
    let place = Place {
        file: Arc::clone(&file.name),
        line: line.line,
        column: 1,
    };
    let message = "a block out of order, or twice";
    Fault::new(
        &place,
        Kind::Conflict,
        message,
        "apply the configuration again",
    )
}
