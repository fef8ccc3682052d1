//! Client blocks: which region a caller's address belongs to.
//!
//! Invariant: ranges are sorted and disjoint, so that one binary search finds
//! the longest matching block.

use std::net::Ipv4Addr;

use entity::EntityRef;

use super::view::Region;

/// A client block as operators write it: an IPv4 prefix and its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Block {
    /// First address of the block; host bits are zero.
    pub base: u32,
    /// Prefix length, 0 to 32.
    pub len: u8,
    /// Region whose callers these are.
    pub region: Region,
}

impl Block {
    /// Last address of the block.
    #[must_use]
    pub const fn last(&self) -> u32 {
        match u32::MAX.checked_shr(self.len as u32) {
            Some(host) => self.base | host,
            None => self.base,
        }
    }
}

/// Most regions that a table can tell apart.
pub const REGIONS_MAX: usize = NONE as usize;

/// Stands for "no block" among the regions.
const NONE: u16 = u16::MAX;

/// Blocks flattened to disjoint ranges. Each range starts at `starts[i]` and
/// ends before the next start.
///
/// Every process holds one for all client blocks, and two while a version
/// changes; six bytes a range keep that small beside its other state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BlockTable {
    starts: Vec<u32>,
    regions: Vec<u16>,
}

impl BlockTable {
    /// Flattens nested blocks; where two blocks are equal the later one wins.
    ///
    /// # Panics
    /// If a region's index is not below [`REGIONS_MAX`].
    #[must_use]
    pub fn new(mut blocks: Vec<Block>) -> Self {
        blocks.sort_by_key(|b| (b.base, b.len));
        Self::from_sorted(blocks)
    }

    /// The same of blocks that come sorted by first address, then length, so
    /// that they needn't all be in memory.
    ///
    /// # Panics
    /// If a region's index is not below [`REGIONS_MAX`].
    #[must_use]
    pub fn from_sorted(blocks: impl IntoIterator<Item = Block>) -> Self {
        let mut table = Self::default();
        let mut open: Vec<Block> = Vec::new();
        for block in blocks {
            table.close_before(&mut open, u64::from(block.base));
            table.begin(u64::from(block.base), Some(block.region));
            open.push(block);
        }
        table.close_before(&mut open, 1 << 32);
        table.starts.shrink_to_fit();
        table.regions.shrink_to_fit();
        table
    }

    /// Region of the longest block that holds `addr`.
    #[must_use]
    pub fn region(&self, addr: Ipv4Addr) -> Option<Region> {
        let addr = u32::from(addr);
        let after = self.starts.partition_point(|&start| start <= addr);
        after.checked_sub(1).and_then(|i| unpack(self.regions[i]))
    }

    /// All ranges in order: first address, and region if a block holds it.
    pub fn ranges(&self) -> impl Iterator<Item = (u32, Option<Region>)> {
        let regions = self.regions.iter().copied().map(unpack);
        self.starts.iter().copied().zip(regions)
    }

    /// Number of disjoint ranges.
    #[must_use]
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    /// Whether there are no ranges.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }

    fn close_before(&mut self, open: &mut Vec<Block>, next: u64) {
        while let Some(inner) = open.last().copied() {
            let end = u64::from(inner.last()) + 1;
            if end > next {
                return;
            }
            open.pop();
            let outer = open.last().map(|b| b.region);
            self.begin(end, outer);
        }
    }

    /// Starts a range at `start`; a range of no length before it disappears.
    fn begin(&mut self, start: u64, region: Option<Region>) {
        let Ok(start) = u32::try_from(start) else {
            return;
        };
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.regions.pop();
        }
        let region = pack(region);
        if self.regions.last() == Some(&region) {
            return;
        }
        self.starts.push(start);
        self.regions.push(region);
    }
}

fn pack(region: Option<Region>) -> u16 {
    let Some(region) = region else {
        return NONE;
    };
    let index = u16::try_from(region.index()).ok();
    index
        .filter(|&index| index != NONE)
        .expect("the verifier keeps regions below REGIONS_MAX")
}

fn unpack(packed: u16) -> Option<Region> {
    (packed != NONE).then(|| Region::new(usize::from(packed)))
}
