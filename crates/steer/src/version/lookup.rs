//! Look-ups: choice of the entry instances that a caller should use.
//!
//! Invariant: a look-up reads one immutable table, takes no lock and allocates
//! nothing. Its cost is linear in the members of one region; all members are read
//! only if the caller's region is unknown or has fewer than [`CHOICES_MAX`].

use std::sync::Arc;

use entity::SecondaryMap;

use super::view;

/// Number of entry instances in an answer: one to use and two fallbacks.
pub const CHOICES_MAX: usize = 3;

/// Entry instances in the order in which a caller should try them.
pub type Choices = [Option<view::Member>; CHOICES_MAX];

/// Live members of each region, built once per view.
#[derive(Clone, Debug, Default)]
pub struct Table {
    regions: SecondaryMap<view::Region, Vec<Candidate>>,
    all: Vec<Candidate>,
}

/// Live member and the hash of its name. A process that replaces it under the same
/// name has the same hash, and so gets the same callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Candidate {
    member: view::Member,
    hash: u64,
}

impl Table {
    /// Builds the table of a view.
    #[must_use]
    pub fn new(view: &view::View) -> Self {
        let mut table = Self::default();
        for (member, data) in view.members.iter() {
            if !accepts_callers(view, data) {
                continue;
            }
            let hash = hash_name(&data.name);
            let candidate = Candidate { member, hash };
            let region = view.domains[data.domain].region;
            table.regions[region].push(candidate);
            table.all.push(candidate);
        }
        table
    }

    /// Chooses members for a caller, given the hash of its identity: those of its
    /// region first, then any. Ranked by rendezvous hashing, so that the callers of a
    /// member that leaves are spread evenly over the others and no other caller moves.
    #[must_use]
    pub fn choose(&self, region: Option<view::Region>, caller: u64) -> Choices {
        let mut ranking = Ranking::default();
        if let Some(region) = region {
            ranking.add(&self.regions[region], caller, None);
        }
        let locals = ranking.len;
        if locals < CHOICES_MAX {
            ranking.add(&self.all, caller, Some(locals));
        }
        ranking.members
    }

    /// Returns the number of members that accept callers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Returns whether no member accepts callers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

fn accepts_callers(view: &view::View, data: &view::MemberData) -> bool {
    let is_drained = view
        .entry(&data.name)
        .is_some_and(|entry| view.entries[entry].state == view::State::Leaving);
    data.state == view::State::Live && !is_drained
}

/// Highest-ranked members found so far, in descending order of rank.
#[derive(Default)]
struct Ranking {
    members: Choices,
    ranks: [u64; CHOICES_MAX],
    len: usize,
}

impl Ranking {
    /// Merges candidates into the choices, behind the first `keep` ones.
    fn add(&mut self, candidates: &[Candidate], caller: u64, keep: Option<usize>) {
        let floor = keep.unwrap_or(0);
        for candidate in candidates {
            if self.members[..floor].contains(&Some(candidate.member)) {
                continue;
            }
            self.insert(floor, candidate.member, mix(caller ^ candidate.hash));
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

/// Returns the FNV-1a hash of a name, which is the same in every process and version.
#[must_use]
pub fn hash_name(name: &Arc<str>) -> u64 {
    hash_bytes(name.as_bytes())
}

/// Returns the FNV-1a hash of bytes, which is the same in every process and version.
#[must_use]
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let step = |hash: u64, &byte: &u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    bytes.iter().fold(OFFSET, step)
}

/// Mixes the bits of a combined hash with the finaliser of `SplitMix64`.
const fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
