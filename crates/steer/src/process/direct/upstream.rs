//! Where this instance reads what the platform's store holds: from the store
//! itself, or from another instance that is up to date.
//!
//! Each call to the store is paid. If all instances read it, calls grow with the
//! fleet though all are told the same. So one instance of each region reads the
//! store, one of each other failure domain there reads from it, and the rest of
//! a domain from that one. They are found by a hash of their names, without
//! agreement: two that choose differently cost a few calls, nothing else. A loop
//! ends by age: nobody in it hears from the store, so all find the others stale.
//!
//! Invariants: an upstream that fails, or lies behind the store, isn't asked
//! again for [`REST`]; whoever finds no other reads the store itself, so a
//! domain that is cut off from the others loses nothing.

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use super::members::Registration;
use super::{Direct, hash};
use crate::clock::Time;

/// Where to read from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Upstream {
    /// The platform's store.
    Store,
    /// Another instance.
    Peer {
        /// Its name.
        name: Arc<str>,
        /// Where it takes calls.
        addr: SocketAddr,
    },
}

/// Instances of the own domain that are asked before the store, if they come
/// before this one. The second covers for the first while its end isn't known.
const BEFORE_NEAR: usize = 2;

/// The same of the own region beyond the domain.
const BEFORE_REGION: usize = 1;

/// Instances that are asked after the store failed: of the own domain ...
const AFTER_NEAR: usize = 3;

/// ... and of the own region beyond it.
const AFTER_REGION: usize = 2;

/// Age of what an upstream knows from which on it lies behind: its watch of the
/// store has failed at least once.
pub const STALE: Duration = Duration::from_millis(3200);

/// Time for which an upstream that failed isn't asked.
const REST: Duration = Duration::from_secs(4);

/// The same for the store: it is the last resort, and often back in a moment.
const REST_STORE: Duration = Duration::from_secs(1);

/// Upstreams that failed lately.
#[derive(Clone, Debug, Default)]
pub(super) struct Failed {
    store_at: Option<Time>,
    /// Names of instances, and when each failed.
    peers: Vec<(Arc<str>, Time)>,
}

impl Failed {
    fn is_store_failed(&self, now: Time) -> bool {
        self.is_store_failed_within(now, REST_STORE)
    }

    /// Whether the store has failed within this time.
    pub(super) fn is_store_failed_within(&self, now: Time, span: Duration) -> bool {
        self.store_at.is_some_and(|at| now.since(at) < span)
    }

    fn is_peer_failed(&self, now: Time, name: &str) -> bool {
        let failed = |(known, at): &(Arc<str>, Time)| **known == *name && now.since(*at) < REST;
        self.peers.iter().any(failed)
    }
}

impl Direct {
    /// Where to read next.
    #[must_use]
    pub fn upstream(&self, now: Time) -> Upstream {
        let (near, region) = self.candidates(now);
        let fit = |(name, row): &(&Arc<str>, &Registration)| {
            (!self.failed_upstreams.is_peer_failed(now, name)).then(|| Upstream::Peer {
                name: Arc::clone(name),
                addr: row.peers,
            })
        };
        let own = weight(&self.identity.name);
        let before = near.iter().take(BEFORE_NEAR);
        let before = before.chain(region.iter().take(BEFORE_REGION));
        let mut before = before.filter(|(name, _)| weight(name) > own);
        if let Some(peer) = before.find_map(fit) {
            return peer;
        }
        if !self.failed_upstreams.is_store_failed(now) {
            return Upstream::Store;
        }
        let after = near.iter().take(AFTER_NEAR);
        let mut after = after.chain(region.iter().take(AFTER_REGION));
        after.find_map(fit).unwrap_or(Upstream::Store)
    }

    /// Whether no other instance of the region comes before this one in reading
    /// the store.
    #[must_use]
    pub fn is_reader(&self, now: Time) -> bool {
        let own = weight(&self.identity.name);
        let others = self.others(now);
        let mut near = others.filter(|(_, row)| row.region == self.identity.registration.region);
        near.all(|(name, _)| weight(name) < own)
    }

    /// An upstream failed, or lies behind.
    pub fn upstream_failed(&mut self, now: Time, upstream: &Upstream) {
        match upstream {
            Upstream::Store => self.failed_upstreams.store_at = Some(now),
            Upstream::Peer { name, .. } => {
                let peers = &mut self.failed_upstreams.peers;
                peers.retain(|(known, at)| known != name && now.since(*at) < REST);
                peers.push((Arc::clone(name), now));
            }
        }
    }

    /// Regions with an instance, and so about how many read the store.
    pub(super) fn reader_count(&self, now: Time) -> usize {
        let mut regions: Vec<&str> = self.others(now).map(|(_, row)| &*row.region).collect();
        regions.push(&self.identity.registration.region);
        regions.sort_unstable();
        regions.dedup();
        regions.len()
    }

    /// Other instances that are there, in the order in which they are asked:
    /// those of the own domain, and of the rest of the region.
    fn candidates(&self, now: Time) -> (Candidates<'_>, Candidates<'_>) {
        let own = &self.identity.registration;
        let others = self.others(now).filter(|(_, row)| row.region == own.region);
        let (mut near, mut region): (Candidates<'_>, Candidates<'_>) =
            others.partition(|(_, row)| row.domain == own.domain);
        near.sort_by_key(|(name, _)| core::cmp::Reverse(weight(name)));
        region.sort_by_key(|(name, _)| core::cmp::Reverse(weight(name)));
        (near, region)
    }
}

type Candidates<'a> = Vec<(&'a Arc<str>, &'a Registration)>;

/// The order in which instances of a region read the store, the same for all:
/// the greatest first.
#[must_use]
pub fn weight(name: &str) -> u64 {
    hash(name.as_bytes())
}
