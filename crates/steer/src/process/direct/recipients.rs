//! Which instances get this instance's heartbeats.
//!
//! Heartbeats to all would grow with the square of the fleet, and bytes that
//! leave the failure domain are paid, those that leave the region most. So the
//! nearest get each one, a few of the rest of the region and a few of other
//! regions every few: enough for all to learn that someone knows a newer
//! configuration, and which instances answer while the store is away.
//!
//! Invariant: whom an instance tells depends on names alone, and so is the same
//! for as long as the members are; who is told by whom is spread evenly.

use core::net::SocketAddr;

use super::{Direct, members};
use crate::clock::Time;

/// Instances of the own domain that get each heartbeat; bytes within it cost
/// nothing but the processor time.
const DOMAIN_MOST: usize = 12;

/// Instances that get each heartbeat at least, if the region has them: those who
/// share targets need each other's counts.
const NEAR_LEAST: usize = 8;

/// Further ones of the region, between which the news of one domain spreads to
/// the others.
const REGION_MOST: usize = 3;

/// Instances of other regions.
const FAR_MOST: usize = 8;

/// Who gets heartbeats, by how often.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recipients {
    /// Each one.
    pub local: Vec<SocketAddr>,
    /// Every few.
    pub region: Vec<SocketAddr>,
    /// Every few, without what concerns the targets of a region.
    pub remote: Vec<SocketAddr>,
}

impl Direct {
    /// Who gets heartbeats now: those too that haven't been heard, or two that
    /// were cut off from each other while the store is away would never speak
    /// again, nor would one that has just started and knows the others by the
    /// word of one of them.
    #[must_use]
    pub fn recipients(&self, now: Time) -> Recipients {
        let own = &self.identity.registration;
        let (mut domain, mut region, mut far) = (Vec::new(), Vec::new(), Vec::new());
        for (name, row) in self.members.participants(now) {
            let list = if row.domain == own.domain {
                &mut domain
            } else if row.region == own.region {
                &mut region
            } else {
                &mut far
            };
            list.push((distance(&self.identity.name, name), row.heartbeats));
        }
        let mut near = nearest(domain, DOMAIN_MOST);
        let fill = NEAR_LEAST.saturating_sub(near.len());
        let mut region = nearest(region, fill + REGION_MOST);
        near.extend(region.drain(..fill.min(region.len())));
        Recipients {
            local: near,
            region,
            remote: nearest(far, FAR_MOST),
        }
    }
}

fn nearest(mut list: Vec<(u32, SocketAddr)>, most: usize) -> Vec<SocketAddr> {
    list.sort_unstable();
    list.truncate(most);
    list.into_iter().map(|(_, addr)| addr).collect()
}

/// Spreads who tells whom, the same both ways.
fn distance(one: &str, other: &str) -> u32 {
    members::name_hash(one) ^ members::name_hash(other)
}
