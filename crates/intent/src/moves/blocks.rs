//! Moves by client blocks that get another region.

use std::sync::Arc;

use entity::EntityRef;
use steer::version::blocks::BlockTable;
use steer::version::view::Region;

use super::{Cause, Move, Permille, cap, regions};
use crate::plan::Plan;

/// Addresses counted by their region in the old version (row) and in the new
/// one (column). Regions that only one version has count as "no region".
struct Counts {
    size: usize,
    cells: Vec<u64>,
    rows: Vec<u64>,
}

impl Counts {
    fn new(size: usize) -> Self {
        Self {
            size,
            cells: vec![0; size * size],
            rows: vec![0; size],
        }
    }

    fn add(&mut self, old: Option<usize>, new: Option<usize>, addresses: u64) {
        let Some(row) = old else {
            return;
        };
        self.rows[row] += addresses;
        if let Some(column) = new {
            self.cells[row * self.size + column] += addresses;
        }
    }
}

pub(super) fn moves(old: &Plan, new: &Plan) -> Vec<Move> {
    let common = regions(old, new);
    let counts = count(&old.blocks, &new.blocks, &common);
    let mut moves = Vec::new();
    for (row, &(before, _)) in common.iter().enumerate() {
        for (column, &(_, after)) in common.iter().enumerate() {
            let addresses = counts.cells[row * counts.size + column];
            if row == column || addresses == 0 {
                continue;
            }
            let share = Permille::of(addresses, counts.rows[row]);
            push(&mut moves, old, new, (before, after), share);
        }
    }
    moves
}

/// A caller's region is the same for all services, so each of them moves.
fn push(
    moves: &mut Vec<Move>,
    old: &Plan,
    new: &Plan,
    (from, to): (Region, Region),
    share: Permille,
) {
    let from = &old.regions[from].name;
    let to = &new.regions[to].name;
    for service in new.services.values() {
        moves.push(Move {
            service: Arc::clone(&service.name),
            from: Arc::clone(from),
            to: Some(Arc::clone(to)),
            cause: Cause::Blocks,
            share,
            cap: cap(new, &service.name, from, to),
        });
    }
}

fn count(old: &BlockTable, new: &BlockTable, common: &[(Region, Region)]) -> Counts {
    let mut counts = Counts::new(common.len());
    let before: Vec<(usize, usize)> = index(common.iter().map(|pair| pair.0));
    let after: Vec<(usize, usize)> = index(common.iter().map(|pair| pair.1));
    let mut old = Steps::new(old);
    let mut new = Steps::new(new);
    let mut start = 0;
    while start < END {
        let end = old.end.min(new.end);
        let (row, column) = (find(&before, old.region), find(&after, new.region));
        counts.add(row, column, end - start);
        old.advance(end);
        new.advance(end);
        start = end;
    }
    counts
}

/// One past the last address.
const END: u64 = 1 << 32;

/// Region references with their positions in the list of common regions.
fn index(regions: impl Iterator<Item = Region>) -> Vec<(usize, usize)> {
    let mut index: Vec<(usize, usize)> = regions
        .enumerate()
        .map(|(i, region)| (region.index(), i))
        .collect();
    index.sort_unstable();
    index
}

fn find(index: &[(usize, usize)], region: Option<Region>) -> Option<usize> {
    let region = region?.index();
    let found = index.binary_search_by_key(&region, |pair| pair.0);
    found.ok().map(|i| index[i].1)
}

/// Walks a table's ranges; knows the region up to `end`.
struct Steps<I> {
    ranges: I,
    region: Option<Region>,
    next: Option<Region>,
    end: u64,
}

impl<'a> Steps<Box<dyn Iterator<Item = (u32, Option<Region>)> + 'a>> {
    fn new(table: &'a BlockTable) -> Self {
        let mut steps = Self {
            ranges: Box::new(table.ranges()),
            region: None,
            next: None,
            end: 0,
        };
        steps.advance(0);
        steps
    }

    /// Moves on if the range that ends at `end` is through.
    fn advance(&mut self, end: u64) {
        while self.end <= end && self.end < END {
            self.region = self.next;
            match self.ranges.next() {
                Some((start, region)) => {
                    self.end = u64::from(start);
                    self.next = region;
                }
                None => self.end = END,
            }
        }
    }
}
