//! Choice of the upstream that this instance reads the platform's store from: the store
//! itself, or another instance that is up to date.
//!
//! Every call to the store is paid for. If all instances read it, calls would grow with
//! the fleet although all get the same answers. So one instance of each region reads
//! the store, one of each other failure domain reads from that one, and the rest of a
//! domain from the domain's reader, as a tree: an instance serves at most
//! [`DOMAIN_FANOUT`] others of its domain, whatever the size of the domain. Readers are
//! chosen by a hash of names, without agreement: instances that choose differently cost
//! a few extra calls and nothing else. A loop is broken by age: no instance in it hears
//! from the store, so each finds the others stale.
//!
//! Invariants: a peer that failed or lags behind the store is not asked again for
//! [`PEER_BACKOFF`], and the store for [`STORE_BACKOFF`]. An instance that finds no
//! usable peer reads the store, so a partitioned domain loses nothing.

mod choice;

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use super::hash;
use super::members::Registration;
use crate::clock::Time;

/// Source to read from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// Platform's store.
    Store,
    /// Another instance.
    Peer {
        /// Name of the instance.
        name: Arc<str>,
        /// Address for calls of peers.
        addr: SocketAddr,
    },
}

/// Instances of a failure domain that read from one other. All answers leave over that
/// one's link, and a start takes a snapshot for each.
pub const DOMAIN_FANOUT: usize = 10;

/// Rank within its failure domain of the instance that stands in for the domain's
/// reader while that one has ended unnoticed.
const STAND_IN: usize = 1;

/// Instances of the rest of the region that are asked before the store if they rank
/// above this one.
const REGION_PEERS_BEFORE_STORE: usize = 1;

/// Instances of this failure domain that are asked if the store failed.
const DOMAIN_PEERS_AFTER_STORE: usize = 3;

/// Instances of the rest of the region that are asked if the store failed.
const REGION_PEERS_AFTER_STORE: usize = 2;

/// Time that the instances above one that starts have to answer before it reads the
/// store.
pub const START_DELAY: Duration = Duration::from_millis(150);

/// Further time, if one of them is there and knows nothing yet, for each level of the
/// domain's tree above: this for each instance of the deployment, since what each of
/// them reads grows with it.
const START_LEVEL_DELAY: Duration = Duration::from_millis(2);

/// Bounds on that time for a level.
const START_LEVEL_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(600), Duration::from_secs(2));

/// Age of the last answer of the store above which another instance tells nothing new at
/// a start.
pub const UPSTREAM_STALE_AGE: Duration = Duration::from_millis(3200);

/// Time for which a peer that failed is not asked.
const PEER_BACKOFF: Duration = Duration::from_secs(4);

/// Time for which the store is not asked after a failure. It is the last resort, and
/// often back soon.
const STORE_BACKOFF: Duration = Duration::from_secs(1);

/// Upstreams that failed recently.
#[derive(Clone, Debug, Default)]
pub(super) struct FailedUpstreams {
    store_at: Option<Time>,
    /// Names of peers, and when each failed.
    peers: Vec<(Arc<str>, Time)>,
}

impl FailedUpstreams {
    fn is_store_failed(&self, now: Time) -> bool {
        self.is_store_failed_within(now, STORE_BACKOFF)
    }

    /// Returns whether the store has failed within `span`.
    pub(super) fn is_store_failed_within(&self, now: Time, span: Duration) -> bool {
        self.store_at.is_some_and(|at| now.since(at) < span)
    }

    fn is_peer_failed(&self, now: Time, name: &str) -> bool {
        let failed =
            |(known, at): &(Arc<str>, Time)| **known == *name && now.since(*at) < PEER_BACKOFF;
        self.peers.iter().any(failed)
    }
}

/// Ranks within a failure domain of those that the instance of rank `own` reads from,
/// the first choice first: its parent in the tree, the parents above, and the stand-in
/// of the domain's reader.
pub fn domain_sources(own: usize) -> impl Iterator<Item = usize> {
    parents(own).chain((own > STAND_IN).then_some(STAND_IN))
}

/// Ranks above `own` in the tree of a failure domain, the nearest first.
fn parents(own: usize) -> impl Iterator<Item = usize> {
    let parent = |rank: &usize| rank.checked_sub(1).map(|r| r / DOMAIN_FANOUT);
    core::iter::successors(parent(&own), parent)
}

/// Number of instances between that of rank `own` and the rest of the region.
fn tree_depth(own: usize) -> usize {
    parents(own).count()
}

/// Time after which an instance that starts reads the store if others that are starting
/// too have not told it everything. Of a deployment that starts at once only the first of each domain read the
/// store, and the others from them; `own` is its rank within its domain, `listed` the
/// number of instances that the store lists.
#[must_use]
pub fn start_delay(own: usize, listed: usize) -> Duration {
    let levels = tree_depth(own);
    let listed = u32::try_from(listed).unwrap_or(u32::MAX);
    let (least, most) = START_LEVEL_BOUNDS;
    let level = START_LEVEL_DELAY.saturating_mul(listed).clamp(least, most);
    START_DELAY + level * u32::try_from(levels).unwrap_or(u32::MAX)
}

type Candidates<'a> = Vec<(&'a Arc<str>, &'a Registration)>;

/// Rank of an instance as a reader of the store; the highest of a region reads it. All
/// instances compute the same rank.
#[must_use]
pub fn reader_rank(name: &str) -> u64 {
    hash(name.as_bytes())
}
