//! Choice of the upstream among the instances that are present.
//!
//! Invariant: an instance reads from one that ranks above it in its domain or region, or
//! from the store; only after the store failed from any other.

use super::super::Direct;
use super::super::members::Registration;
use super::{
    Candidates, DOMAIN_PEERS_AFTER_STORE, PEER_BACKOFF, REGION_PEERS_AFTER_STORE,
    REGION_PEERS_BEFORE_STORE, STAND_IN, Upstream, domain_sources, reader_rank, tree_depth,
};
use crate::clock::Time;
use std::sync::Arc;

impl Direct {
    /// Upstream to read from next.
    #[must_use]
    pub fn upstream(&self, now: Time) -> Upstream {
        let (domain, region) = self.candidates(now);
        let usable = |(name, registration): &(&Arc<str>, &Registration)| {
            (!self.failed_upstreams.is_peer_failed(now, name)).then(|| Upstream::Peer {
                name: Arc::clone(name),
                addr: registration.peers,
            })
        };
        let own = reader_rank(&self.identity.name);
        let above = domain.partition_point(|(name, _)| reader_rank(name) > own);
        let in_domain = domain_sources(above).map(|rank| &domain[rank]);
        let in_region = region.iter().take(REGION_PEERS_BEFORE_STORE);
        let in_region = in_region.filter(|(name, _)| reader_rank(name) > own);
        if let Some(peer) = in_domain.chain(in_region).find_map(usable) {
            return peer;
        }
        if !self.failed_upstreams.is_store_failed(now) {
            return Upstream::Store;
        }
        let after = domain.iter().take(DOMAIN_PEERS_AFTER_STORE);
        let mut after = after.chain(region.iter().take(REGION_PEERS_AFTER_STORE));
        after.find_map(usable).unwrap_or(Upstream::Store)
    }

    /// Turn of this instance to leave a lost upstream, from 0: those go first that others
    /// read from, or ask next.
    pub(in crate::process::direct) fn failover_turn(&self, now: Time) -> usize {
        let (domain, region) = self.candidates(now);
        let own = reader_rank(&self.identity.name);
        let above = domain.partition_point(|(name, _)| reader_rank(name) > own);
        let first = domain.first().map_or(own, |(name, _)| reader_rank(name));
        let first = first.max(own);
        let reads_in_region = region
            .first()
            .is_some_and(|(name, _)| reader_rank(name) > first);
        let levels = tree_depth(above) + usize::from(reads_in_region);
        levels.saturating_sub(1) + usize::from(above > STAND_IN)
    }

    /// Returns whether this instance ranks first in its region and so reads the store.
    #[must_use]
    pub fn is_reader(&self, now: Time) -> bool {
        let own = reader_rank(&self.identity.name);
        let others = self.others(now);
        let mut in_region = others
            .filter(|(_, registration)| registration.region == self.identity.registration.region);
        in_region.all(|(name, _)| reader_rank(name) < own)
    }

    /// Records that an upstream failed or lags behind.
    pub fn upstream_failed(&mut self, now: Time, upstream: &Upstream) {
        match upstream {
            Upstream::Store => self.failed_upstreams.store_at = Some(now),
            Upstream::Peer { name, .. } => {
                let peers = &mut self.failed_upstreams.peers;
                peers.retain(|(known, at)| known != name && now.since(*at) < PEER_BACKOFF);
                peers.push((Arc::clone(name), now));
            }
        }
    }

    /// Number of regions with an instance, which is about the number of instances that
    /// read the store.
    pub(in crate::process::direct) fn reader_count(&self, now: Time) -> usize {
        let mut regions: Vec<&str> = self
            .others(now)
            .map(|(_, registration)| &*registration.region)
            .collect();
        regions.push(&self.identity.registration.region);
        regions.sort_unstable();
        regions.dedup();
        regions.len()
    }

    /// Other instances that are present, by descending rank: those of this failure
    /// domain, and those of the rest of the region.
    fn candidates(&self, now: Time) -> (Candidates<'_>, Candidates<'_>) {
        let own = &self.identity.registration;
        let others = self
            .others(now)
            .filter(|(_, registration)| registration.region == own.region);
        let (mut domain, mut region): (Candidates<'_>, Candidates<'_>) =
            others.partition(|(_, registration)| registration.domain == own.domain);
        domain.sort_by_cached_key(|(name, _)| core::cmp::Reverse(reader_rank(name)));
        region.sort_by_cached_key(|(name, _)| core::cmp::Reverse(reader_rank(name)));
        (domain, region)
    }
}
