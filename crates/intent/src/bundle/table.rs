//! The table of all client blocks of a configuration.

use std::net::Ipv4Addr;
use std::sync::Arc;

use jsonc::fault::{Fault, Kind, Place};
use steer::version::blocks::{Block, BlockTable};

use super::File;
use crate::blocks;
use crate::draft::Draft;
use crate::plan::build;

/// Stands for the base file among the files.
const OWN: u32 = 0;

/// A block and the line that states it. The order is that of the table, equal
/// blocks by their places.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Source {
    base: u32,
    len: u8,
    /// [`OWN`], or one more than the file's index.
    file: u32,
    /// Number of the line; index of the block in the base file.
    line: u32,
    block: Block,
}

impl Source {
    fn new(block: Block, file: u32, line: u32) -> Self {
        Self {
            base: block.base,
            len: block.len,
            file,
            line,
            block,
        }
    }
}

pub(super) fn build(draft: &Draft, files: &[File], faults: &mut Vec<Fault>) -> Arc<BlockTable> {
    let names = build::region_names(draft);
    let mut sources = Vec::new();
    for (line, written) in (0..).zip(&draft.blocks) {
        let region = written.region.as_ref();
        let region = region.and_then(|name| blocks::region(&names, &name.value));
        if let (Some((base, len)), Some(region)) = (written.prefix, region) {
            sources.push(Source::new(Block { base, len, region }, OWN, line));
        }
    }
    for (number, file) in (OWN + 1..).zip(files) {
        let lines = blocks::read(&file.name, &file.text, &names, faults);
        let lines = lines.into_iter();
        sources.extend(lines.map(|line| Source::new(line.block, number, line.line)));
    }
    sources.sort_unstable();
    report_twice(draft, files, &sources, faults);
    let blocks = sources.iter().map(|source| source.block);
    Arc::new(BlockTable::from_sorted(blocks))
}

/// Two equal blocks can't both hold: which one wins would depend on the order
/// of the files.
fn report_twice(draft: &Draft, files: &[File], sources: &[Source], faults: &mut Vec<Fault>) {
    for pair in sources.windows(2) {
        let (first, second) = (pair[0], pair[1]);
        // Two blocks of the base file itself are the verifier's matter.
        if (first.base, first.len) != (second.base, second.len) || second.file == OWN {
            continue;
        }
        let addr = Ipv4Addr::from(second.base);
        faults.push(Fault::new(
            &place(second, draft, files),
            Kind::Duplicate,
            format!("block {addr}/{} stands twice", second.len),
            format!("keep this one or the one at {}", place(first, draft, files)),
        ));
    }
}

fn place(source: Source, draft: &Draft, files: &[File]) -> Place {
    if source.file == OWN {
        return draft.blocks[source.line as usize].place.clone();
    }
    Place {
        file: Arc::clone(&files[source.file as usize - 1].name),
        line: source.line,
        column: 1,
    }
}
