//! Order in which the instances of a region are named to callers, where their sizes
//! differ, and how many of them bear a load.
//!
//! Answers regions with a few large instances and many small ones, each of which would
//! get too few requests to learn from.
//!
//! Invariants: the order is total and depends on names, domains and sizes only; the
//! instances named are the first of it, so that instances that disagree on the number
//! disagree on no more than the last names.

use core::cmp::Reverse;

use super::super::hash::{hash, rendezvous_weight};
use super::REFERRED_MAX;
use super::size::Size;

/// Least ratio of the largest to the smallest processor share in a region from which
/// sizes decide. With smaller ratios all instances get requests enough to be worth naming.
const SIZE_RATIO_MIN: u64 = 4;

/// Instances of each failure domain that are always named, if it has them: one of them
/// may fail together with another domain.
const DOMAIN_MIN: usize = 2;

/// Multiple of the demand that the named instances sustain; requests arrive unevenly.
const DEMAND_FACTOR: f64 = 1.5;

/// An instance of known size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instance<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// Its size.
    pub size: Size,
}

/// Instances of a region in the order in which they are named.
#[derive(Clone, Debug)]
pub struct Ranking<'a> {
    order: Vec<Instance<'a>>,
    min: usize,
}

impl<'a> Ranking<'a> {
    /// Ranks the instances of a region; `None` if their sizes are too similar to matter.
    #[must_use]
    pub fn new(region: &str, mut instances: Vec<Instance<'a>>) -> Option<Self> {
        let shares = || instances.iter().map(|i| u64::from(i.size.millicores()));
        let (largest, smallest) = (shares().max()?, shares().min()?);
        if largest < smallest * SIZE_RATIO_MIN {
            return None;
        }
        let region = hash(region.as_bytes());
        let rank = |i: &Instance<'a>| {
            let weight = rendezvous_weight(hash(i.name.as_bytes()), region);
            (Reverse(i.size), Reverse(weight), i.name)
        };
        instances.sort_by_cached_key(|i| (i.domain, rank(i)));
        let in_turn = instances
            .chunk_by(|a, b| a.domain == b.domain)
            .flat_map(|domain| domain.iter().enumerate());
        let mut in_turn: Vec<(usize, Instance<'a>)> = in_turn.map(|(turn, i)| (turn, *i)).collect();
        in_turn.sort_by_cached_key(|(turn, i)| (*turn, rank(i)));
        let min = in_turn.partition_point(|(turn, _)| *turn < DOMAIN_MIN);
        Some(Self {
            min: min.min(REFERRED_MAX),
            order: in_turn.into_iter().map(|(_, i)| i).collect(),
        })
    }

    /// The first `count` instances.
    #[must_use]
    pub fn first(&self, count: usize) -> &[Instance<'a>] {
        &self.order[..count.min(self.order.len())]
    }

    /// Number of instances.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether there are none.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Smallest number of instances that are named.
    #[must_use]
    pub const fn min(&self) -> usize {
        self.min
    }

    /// Largest number of instances that are named.
    #[must_use]
    pub fn max(&self) -> usize {
        self.order.len().min(REFERRED_MAX)
    }

    /// Requests a second that the first `count` instances sustain when the failure domain
    /// with the most of their capacity is lost. The loss of a region's only domain leaves
    /// nothing, whatever their number, so there it is what they sustain without a loss.
    #[must_use]
    pub fn sustained(&self, count: usize) -> f64 {
        let mut domains: Vec<(&str, f64)> = Vec::new();
        for instance in self.first(count) {
            let capacity = instance.size.capacity();
            match domains.binary_search_by(|d| d.0.cmp(instance.domain)) {
                Ok(at) => domains[at].1 += capacity,
                Err(at) => domains.insert(at, (instance.domain, capacity)),
            }
        }
        let all: f64 = domains.iter().map(|d| d.1).sum();
        match domains.as_slice() {
            [_] => all,
            domains => all - domains.iter().map(|d| d.1).fold(0.0, f64::max),
        }
    }

    /// Number of instances that a demand requires, in requests a second.
    #[must_use]
    pub fn required(&self, demand: f64) -> usize {
        let is_enough = |count: &usize| self.sustained(*count) >= demand * DEMAND_FACTOR;
        let max = self.max();
        (self.min..max).find(is_enough).unwrap_or(max)
    }
}
