//! Moves by client blocks that get another region.

use std::sync::Arc;

use entity::EntityRef;
use steer::version::blocks::BlockTable;
use steer::version::view::Region;

use super::{Cause, Move, Permille, cap};
use crate::plan::Plan;

/// Addresses counted by their region in the old version (row) and in the new
/// one (column); the last column is "no region".
struct Counts {
    columns: usize,
    cells: Vec<u64>,
}

impl Counts {
    fn new(old: &Plan, new: &Plan) -> Self {
        let columns = new.regions.len() + 1;
        Self {
            columns,
            cells: vec![0; old.regions.len() * columns],
        }
    }

    fn add(&mut self, old: Option<Region>, new: Option<Region>, addresses: u64) {
        let column = new.map_or(self.columns - 1, Region::index);
        if let Some(row) = old.map(Region::index) {
            self.cells[row * self.columns + column] += addresses;
        }
    }

    fn row(&self, region: Region) -> &[u64] {
        let start = region.index() * self.columns;
        &self.cells[start..start + self.columns]
    }
}

pub(super) fn moves(old: &Plan, new: &Plan) -> Vec<Move> {
    if Arc::ptr_eq(&old.blocks, &new.blocks) && old.regions == new.regions {
        return Vec::new();
    }
    let counts = count(old, new);
    let mut moves = Vec::new();
    for (region, data) in old.regions.iter() {
        let row = counts.row(region);
        let whole = row.iter().sum();
        let columns = new.regions.values().map(|r| Some(&r.name)).chain([None]);
        for (to, &addresses) in columns.zip(row) {
            if addresses > 0 && to != Some(&data.name) {
                let share = Permille::of(addresses, whole);
                push(&mut moves, new, &data.name, to, share);
            }
        }
    }
    moves
}

/// A caller's region is the same for all services, so each of them moves.
fn push(
    moves: &mut Vec<Move>,
    new: &Plan,
    from: &Arc<str>,
    to: Option<&Arc<str>>,
    share: Permille,
) {
    for service in new.services.values() {
        moves.push(Move {
            service: Arc::clone(&service.name),
            from: Arc::clone(from),
            to: to.cloned(),
            cause: Cause::Blocks,
            share,
            cap: to.and_then(|to| cap(new, &service.name, from, to)),
        });
    }
}

fn count(old: &Plan, new: &Plan) -> Counts {
    let mut counts = Counts::new(old, new);
    let mut before = Steps::new(&old.blocks);
    let mut after = Steps::new(&new.blocks);
    let mut start = 0;
    while start < END {
        let end = before.end.min(after.end);
        counts.add(before.region, after.region, end - start);
        before.advance(end);
        after.advance(end);
        start = end;
    }
    counts
}

/// One past the last address.
const END: u64 = 1 << 32;

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
