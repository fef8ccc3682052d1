//! Client blocks: longest-prefix match from a caller's IPv4 address to its region.
//!
//! Invariant: ranges are sorted and disjoint, so that one binary search finds the
//! longest matching block.

use std::net::Ipv4Addr;

use entity::EntityRef;

use super::view::Region;

/// Client block: an IPv4 prefix and the region of its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Block {
    /// First address of the block; host bits are zero.
    pub base: u32,
    /// Prefix length, 0 to 32.
    pub len: u8,
    /// Region of the callers in the block.
    pub region: Region,
}

impl Block {
    /// Returns the last address of the block.
    #[must_use]
    pub const fn last(&self) -> u32 {
        match u32::MAX.checked_shr(self.len as u32) {
            Some(host) => self.base | host,
            None => self.base,
        }
    }
}

/// Maximum number of regions in a table.
pub const REGIONS_MAX: usize = NO_REGION as usize;

/// Packed value of addresses that are in no block.
const NO_REGION: u16 = u16::MAX;

/// Client blocks flattened to disjoint ranges. Range `i` starts at `starts[i]`, ends
/// before the next start and belongs to `regions[i]`.
///
/// Every process holds a table of all client blocks, and two during a change of
/// version. At six bytes per range they are small compared with its other state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BlockTable {
    starts: Vec<u32>,
    regions: Vec<u16>,
}

impl BlockTable {
    /// Builds the table from blocks in any order. Of two equal blocks the later one
    /// wins.
    ///
    /// # Panics
    /// If a region's index is not below [`REGIONS_MAX`].
    #[must_use]
    pub fn new(mut blocks: Vec<Block>) -> Self {
        blocks.sort_by_key(|b| (b.base, b.len));
        Self::from_sorted(blocks)
    }

    /// Builds the table from blocks sorted by first address, then by length, which
    /// need not all be in memory.
    ///
    /// # Panics
    /// If a region's index is not below [`REGIONS_MAX`].
    #[must_use]
    pub fn from_sorted(blocks: impl IntoIterator<Item = Block>) -> Self {
        let mut table = Self::default();
        let mut open: Vec<Block> = Vec::new();
        for block in blocks {
            table.close_before(&mut open, u64::from(block.base));
            table.start_range(u64::from(block.base), Some(block.region));
            open.push(block);
        }
        table.close_before(&mut open, 1 << 32);
        table.starts.shrink_to_fit();
        table.regions.shrink_to_fit();
        table
    }

    /// Returns the region of the longest block that contains `addr`, if any.
    #[must_use]
    pub fn region(&self, addr: Ipv4Addr) -> Option<Region> {
        let addr = u32::from(addr);
        let after = self.starts.partition_point(|&start| start <= addr);
        after.checked_sub(1).and_then(|i| unpack(self.regions[i]))
    }

    /// Lists all ranges in order: first address, and the region if the range is in a
    /// block.
    pub fn ranges(&self) -> impl Iterator<Item = (u32, Option<Region>)> {
        let regions = self.regions.iter().copied().map(unpack);
        self.starts.iter().copied().zip(regions)
    }

    /// Returns the number of ranges.
    #[must_use]
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    /// Returns whether the table has no ranges.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }

    /// Closes the open blocks that end before `next`; the range behind each belongs to
    /// the block around it.
    fn close_before(&mut self, open: &mut Vec<Block>, next: u64) {
        while let Some(inner) = open.last().copied() {
            let end = u64::from(inner.last()) + 1;
            if end > next {
                return;
            }
            open.pop();
            let outer = open.last().map(|b| b.region);
            self.start_range(end, outer);
        }
    }

    /// Starts a range at `start`. Replaces the last range if it starts there too, and
    /// extends it if it has the same region.
    fn start_range(&mut self, start: u64, region: Option<Region>) {
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
        return NO_REGION;
    };
    let index = u16::try_from(region.index()).ok();
    index
        .filter(|&index| index != NO_REGION)
        .expect("the verifier keeps regions below REGIONS_MAX")
}

fn unpack(packed: u16) -> Option<Region> {
    (packed != NO_REGION).then(|| Region::new(usize::from(packed)))
}
