//! Tests of the table of client blocks.

use std::net::Ipv4Addr;

use entity::EntityRef;
use rstest::rstest;
use steer::version::blocks::{Block, BlockTable};
use steer::version::view::Region;

fn block(base: u32, len: u8, region: usize) -> Block {
    let mask = u32::MAX.checked_shl(32 - u32::from(len)).unwrap_or(0);
    Block {
        base: base & mask,
        len,
        region: Region::new(region),
    }
}

/// Returns the region of the longest block that contains the address, by linear search.
fn longest(blocks: &[Block], addr: u32) -> Option<Region> {
    let holds = |block: &&Block| block.base <= addr && addr <= block.last();
    let found = blocks.iter().filter(holds).max_by_key(|block| block.len);
    found.map(|block| block.region)
}

/// Nested and adjacent blocks, and blocks at the first and last address, must not get
/// lost when they are flattened. The table is compared with a linear search, at the
/// edges of all blocks and at a random address.
#[rstest]
#[case::few(1, 8)]
#[case::nested(2, 40)]
#[case::many(3, 400)]
fn region_is_longest(#[case] seed: u64, #[case] count: usize) {
    println!("seed {seed}");
    let mut rng = fastrand::Rng::with_seed(seed);
    for _ in 0..50 {
        let mut blocks: Vec<Block> = (0..count)
            .map(|_| block(rng.u32(..) & 0xf00f_ff0f, rng.u8(0..=32), rng.usize(..5)))
            .collect();
        blocks.sort_by_key(|block| (block.base, block.len));
        blocks.dedup_by_key(|block| (block.base, block.len));
        let table = BlockTable::new(blocks.clone());
        let edges = blocks.iter().flat_map(|block| {
            let (first, last) = (block.base, block.last());
            [first, last, first.wrapping_sub(1), last.wrapping_add(1)]
        });
        for addr in edges.chain([0, u32::MAX, rng.u32(..)]) {
            let found = table.region(Ipv4Addr::from(addr));
            assert_eq!(found, longest(&blocks, addr), "{}", Ipv4Addr::from(addr));
        }
    }
}

/// The ranges must cover all addresses, each with the region of its innermost block.
#[test]
fn ranges_cover_all() {
    let table = BlockTable::new(vec![block(0, 0, 1), block(1 << 31, 1, 2)]);
    let ranges: Vec<(u32, Option<Region>)> = table.ranges().collect();
    let expected = [(0, Some(Region::new(1))), (1 << 31, Some(Region::new(2)))];
    assert_eq!(ranges, expected);
}
