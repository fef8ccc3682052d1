//! Which entry instances a caller should use.
//!
//! Invariant: a look-up reads one immutable table, takes no lock, allocates
//! nothing, and its work grows with the instances of one region only.

use std::sync::Arc;

use entity::SecondaryMap;

use super::view;

/// Choices in one answer: one to use, two to fall back on.
pub const CHOICES_MAX: usize = 3;

/// Entry instances to use, in the order to try them.
pub type Choices = [Option<view::Member>; CHOICES_MAX];

/// The live members of each region, made once per view.
#[derive(Clone, Debug, Default)]
pub struct Table {
    regions: SecondaryMap<view::Region, Vec<Seat>>,
    all: Vec<Seat>,
}

/// A live member and the hash of its name, which stays the same when its
/// process is replaced, so that its callers come back to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Seat {
    member: view::Member,
    hash: u64,
}

impl Table {
    /// The table of one view.
    #[must_use]
    pub fn new(view: &view::View) -> Self {
        let mut table = Self::default();
        for (member, data) in view.members.iter() {
            if !takes_callers(view, data) {
                continue;
            }
            let hash = hash_name(&data.name);
            let seat = Seat { member, hash };
            let region = view.domains[data.domain].region;
            table.regions[region].push(seat);
            table.all.push(seat);
        }
        table
    }

    /// Chooses for a caller: members of its region first, then any. The order
    /// is a rendezvous of caller and member, so that the callers of a member
    /// that left fall evenly on the others and nobody else moves.
    #[must_use]
    pub fn choose(&self, region: Option<view::Region>, caller: u64) -> Choices {
        let mut found = Top::default();
        if let Some(region) = region {
            found.add(&self.regions[region], caller, None);
        }
        let near = found.len;
        if near < CHOICES_MAX {
            found.add(&self.all, caller, Some(near));
        }
        found.members
    }

    /// Number of members that take callers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether nobody takes callers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

fn takes_callers(view: &view::View, data: &view::MemberData) -> bool {
    let drained = view
        .entry(&data.name)
        .is_some_and(|entry| view.entries[entry].state == view::State::Leaving);
    data.state == view::State::Live && !drained
}

/// The best-ranked members so far, best first.
#[derive(Default)]
struct Top {
    members: Choices,
    ranks: [u64; CHOICES_MAX],
    len: usize,
}

impl Top {
    /// Merges seats in behind the first `keep` places.
    fn add(&mut self, seats: &[Seat], caller: u64, keep: Option<usize>) {
        let floor = keep.unwrap_or(0);
        for seat in seats {
            if self.members[..floor].contains(&Some(seat.member)) {
                continue;
            }
            self.insert(floor, seat.member, mix(caller ^ seat.hash));
        }
    }

    fn insert(&mut self, floor: usize, member: view::Member, rank: u64) {
        let taken = &self.ranks[floor..self.len];
        let at = floor + taken.partition_point(|&r| r >= rank);
        if at >= CHOICES_MAX {
            return;
        }
        self.members[at..].rotate_right(1);
        self.ranks[at..].rotate_right(1);
        self.members[at] = Some(member);
        self.ranks[at] = rank;
        self.len = (self.len + 1).min(CHOICES_MAX);
    }
}

/// Hash of a name: FNV-1a, the same in every process and version.
#[must_use]
pub fn hash_name(name: &Arc<str>) -> u64 {
    hash_bytes(name.as_bytes())
}

/// Hash of bytes: FNV-1a, the same in every process and version.
#[must_use]
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let step = |hash: u64, &byte: &u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    bytes.iter().fold(OFFSET, step)
}

/// Spreads the bits of a combined hash (the finaliser of `SplitMix64`).
const fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
