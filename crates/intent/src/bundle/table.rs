//! The table of all client blocks of a configuration.

use std::net::Ipv4Addr;
use std::sync::Arc;

use jsonc::fault::{Fault, Kind, Place};
use steer::version::blocks::{Block, BlockTable};

use super::{Blocks, File};
use crate::blocks::{self, Line};
use crate::draft::Draft;
use crate::plan::build;

/// A block with the file it stands in; sorted by block, then by place.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Source {
    base: u32,
    len: u8,
    file: u32,
    line: u32,
}

pub(super) fn build(draft: &Draft, blocks: &Blocks, faults: &mut Vec<Fault>) -> Arc<BlockTable> {
    let names = build::region_names(draft);
    let files: &[File] = match blocks {
        Blocks::Files(files) => {
            report_files(draft, files, faults);
            files
        }
        Blocks::Chunks(chunks) => chunks,
    };
    let read: Vec<Vec<Line>> = files
        .iter()
        .map(|file| blocks::read(&file.name, &file.text, &names, faults))
        .collect();
    report_twice(draft, files, &read, faults);
    let mut all = build::own_blocks(draft, &names);
    all.extend(read.iter().flatten().map(|line| line.block));
    Arc::new(BlockTable::new(all))
}

fn report_files(draft: &Draft, files: &[File], faults: &mut Vec<Fault>) {
    for name in &draft.block_files {
        if !files
            .iter()
            .any(|file| base_name(&file.name) == &*name.value)
        {
            faults.push(Fault::new(
                &name.place,
                Kind::Missing,
                format!("block file \"{}\" is not given", name.value),
                "give its path besides the base file's",
            ));
        }
    }
    for file in files {
        let named = |name: &crate::draft::Name| &*name.value == base_name(&file.name);
        if !draft.block_files.iter().any(named) {
            faults.push(Fault::new(
                &Place::start(&file.name),
                Kind::Redundant,
                "the base file doesn't name this block file",
                format!("add \"{}\" to \"block_files\"", base_name(&file.name)),
            ));
        }
    }
}

/// The last part of a path.
fn base_name(path: &str) -> &str {
    path.rsplit('/').next().unwrap_or(path)
}

/// Two equal blocks can't both hold: which one wins would depend on the order
/// of the files.
fn report_twice(draft: &Draft, files: &[File], read: &[Vec<Line>], faults: &mut Vec<Fault>) {
    let count = read.iter().map(Vec::len).sum::<usize>() + draft.blocks.len();
    let mut sources = Vec::with_capacity(count);
    for (file, lines) in (1..).zip(read) {
        sources.extend(lines.iter().map(|line| source(line.block, file, line.line)));
    }
    let own = (0..).zip(&draft.blocks);
    sources.extend(own.map(|(i, block)| Source {
        base: block.base,
        len: block.len,
        file: 0,
        line: i,
    }));
    sources.sort_unstable();
    for pair in sources.windows(2) {
        let (first, second) = (pair[0], pair[1]);
        // Two blocks of the base file itself are the verifier's matter.
        if (first.base, first.len) != (second.base, second.len) || second.file == 0 {
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

fn source(block: Block, file: u32, line: u32) -> Source {
    Source {
        base: block.base,
        len: block.len,
        file,
        line,
    }
}

fn place(source: Source, draft: &Draft, files: &[File]) -> Place {
    let Some(file) = source.file.checked_sub(1) else {
        return draft.blocks[source.line as usize].place.clone();
    };
    Place {
        file: Arc::clone(&files[file as usize].name),
        line: source.line,
        column: 1,
    }
}
