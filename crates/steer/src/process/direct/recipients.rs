//! Recipients of this instance's heartbeats.
//!
//! Heartbeats to all instances would grow with the square of the fleet, and bytes that
//! leave the failure domain are paid for, those between regions most. So the closest
//! instances get each heartbeat, and a few of the rest of the region and of other
//! regions get one every few. Where callers are told only some instances of a region, these
//! are closest to each other: they alone send requests to its targets. That is enough for all to learn that some instance knows
//! a newer configuration, and which instances respond while the store is unreachable.
//!
//! Invariant: the recipients depend on names alone, so they are stable while the
//! membership is, and every instance receives from about the same number of others.

use core::net::SocketAddr;

use super::{Direct, members};
use crate::clock::Time;

/// Instances of this failure domain, and others that callers are told, that get each
/// heartbeat. Bytes within the domain cost only processor time.
const DOMAIN_RECIPIENTS_MAX: usize = 12;

/// Smallest number of instances that get each heartbeat, if the region has them:
/// instances that share targets need each other's counts.
const LOCAL_RECIPIENTS_MIN: usize = 8;

/// Further instances of the region; they pass the updates of one domain on to the
/// others.
const REGION_RECIPIENTS_MAX: usize = 3;

/// Instances of other regions.
const REMOTE_RECIPIENTS_MAX: usize = 8;

/// Recipients of heartbeats, by how often they get them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recipients {
    /// Get each heartbeat.
    pub local: Vec<SocketAddr>,
    /// Get one heartbeat in several.
    pub region: Vec<SocketAddr>,
    /// Get one heartbeat in several, without what concerns the targets of a region.
    pub remote: Vec<SocketAddr>,
}

impl Direct {
    /// Recipients of the next heartbeat, including instances not heard from. Otherwise
    /// two instances that were partitioned while the store was unreachable would never
    /// exchange heartbeats again, nor would one that has just started and knows the
    /// others only through one of them.
    #[must_use]
    pub fn recipients(&self, now: Time) -> Recipients {
        let own = &self.identity.registration;
        let (mut domain, mut region, mut remote) = (Vec::new(), Vec::new(), Vec::new());
        let is_self_named = self.is_named_by_size(&self.identity.name);
        for (name, registration) in self.members.participants(now) {
            let is_close = is_self_named && self.is_named_by_size(name);
            let list = if registration.domain == own.domain || is_close {
                &mut domain
            } else if registration.region == own.region {
                &mut region
            } else {
                &mut remote
            };
            let distance = (!is_close, distance(&self.identity.name, name));
            list.push((distance, registration.heartbeats));
        }
        let mut local = nearest(domain, DOMAIN_RECIPIENTS_MAX);
        let fill = LOCAL_RECIPIENTS_MIN.saturating_sub(local.len());
        let mut region = nearest(region, fill + REGION_RECIPIENTS_MAX);
        local.extend(region.drain(..fill.min(region.len())));
        Recipients {
            local,
            region,
            remote: nearest(remote, REMOTE_RECIPIENTS_MAX),
        }
    }
}

fn nearest(mut list: Vec<((bool, u32), SocketAddr)>, max: usize) -> Vec<SocketAddr> {
    list.sort_unstable();
    list.truncate(max);
    list.into_iter().map(|(_, addr)| addr).collect()
}

/// Distance by which recipients are chosen. It is symmetric and spreads them evenly.
fn distance(one: &str, other: &str) -> u32 {
    members::name_hash(one) ^ members::name_hash(other)
}
