//! Client blocks cut by address, so that one changed block re-sends one chunk.
//!
//! Chunks are the leaves of a binary trie over first addresses: a range is
//! halved until it holds at most [`CHUNK_LINES`] blocks. Where the cuts lie
//! depends on the blocks of a range alone; a cut by count would move every
//! later cut when a block is added, and re-send half of them.

use core::fmt::Write;
use std::net::Ipv4Addr;

use crate::blocks;
use crate::bundle::File;

/// Most blocks in a chunk. A change sends a chunk and the manifest: fewer lines
/// make the one shorter and the other longer.
pub const CHUNK_LINES: usize = 2_048;

/// Bits in an address.
const BITS: u32 = 32;

/// A block as it is stored: first address, length, region's name.
type Row<'a> = (u32, u8, &'a str);

/// The chunks of block files, or of chunks, sorted by name; the same blocks give
/// the same chunks. A name is the range's first address in hexadecimal and its
/// prefix length, `blocks/0a000000-08`. Lines that are no blocks are lost, so
/// the files must have passed the check.
#[must_use]
pub fn chunks(files: &[File]) -> Vec<File> {
    let mut rows: Vec<Row<'_>> = files.iter().flat_map(|f| rows(&f.text)).collect();
    rows.sort_unstable();
    let mut chunks = Vec::new();
    cut(&rows, 0, 0, &mut chunks);
    chunks
}

/// Lines that aren't blocks have been refused by the check.
fn rows(text: &str) -> impl Iterator<Item = Row<'_>> {
    text.lines().filter_map(|line| {
        let content = line.split('#').next()?;
        let mut words = content.split_ascii_whitespace();
        let (base, len) = blocks::prefix(words.next()?).ok()?;
        Some((base, len, words.next()?))
    })
}

/// Cuts the range that starts at `base` and shares its first `depth` bits.
/// A single address holds at most 33 blocks, so that it is never cut.
fn cut(rows: &[Row<'_>], base: u32, depth: u32, chunks: &mut Vec<File>) {
    if rows.is_empty() {
        return;
    }
    if rows.len() <= CHUNK_LINES || depth == BITS {
        let name = format!("{}{base:08x}-{depth:02}", super::BLOCKS);
        chunks.push(File {
            name: name.into(),
            text: text(rows).into(),
        });
        return;
    }
    let half = base | 1 << (BITS - 1 - depth);
    let split = rows.partition_point(|row| row.0 < half);
    cut(&rows[..split], base, depth + 1, chunks);
    cut(&rows[split..], half, depth + 1, chunks);
}

fn text(rows: &[Row<'_>]) -> String {
    let mut text = String::with_capacity(rows.len() * 24);
    for (base, len, region) in rows {
        let addr = Ipv4Addr::from(*base);
        // Writing to a string can't fail.
        let _ = writeln!(text, "{addr}/{len} {region}");
    }
    text
}
