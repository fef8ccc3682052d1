//! Choice of a relay among the instances that are present.
//!
//! Invariant: the same few instances are chosen for all requests.

use super::super::hash::{hash, rendezvous_weight};
use super::super::job::Job;
use super::super::members::Registration;
use super::super::{Direct, Request};
use super::{RELAY_REFUSED_PAUSE, RELAYS_MAX, Relay};
use crate::clock::Time;
use core::cmp::Reverse;
use std::sync::Arc;

impl Direct {
    /// Chooses the instance that sends a request to a target of `region`; `None` if there
    /// is none. One of the own region costs least, one of the target's region saves a way.
    pub(in crate::process::direct) fn choose_relay(
        &self,
        now: Time,
        job: &Job,
        region: &str,
    ) -> Option<Arc<Relay>> {
        let own = &*self.identity.region;
        let in_region = |region: &str| {
            let allowed = job.request.allows(region);
            allowed.then(|| self.relays(now, &|r| *r.region == *region))
        };
        let any = || self.relays(now, &|r| job.request.allows(&r.region));
        let mut relays = in_region(own).unwrap_or_default();
        if relays.is_empty() {
            relays = in_region(region).unwrap_or_default();
        }
        if relays.is_empty() {
            relays = any();
        }
        let count = relays.len().max(1) as u64;
        let at = usize::try_from(hash(&job.ticket.0.to_le_bytes()) % count).unwrap_or_default();
        let (name, registration) = relays.get(at)?;
        Some(Arc::new(Relay {
            name: Arc::clone(name),
            addr: registration.peers,
        }))
    }

    /// Whether an instance of this region can send requests for this one.
    pub(in crate::process::direct) fn has_relay_in(
        &self,
        now: Time,
        request: &Request,
        region: &str,
    ) -> bool {
        request.allows(region) && !self.relays(now, &|r| *r.region == *region).is_empty()
    }

    /// Instances that may send requests for this one, of those that `fits` holds for: the
    /// ones that serve callers if there are any, the same few for all requests.
    fn relays(
        &self,
        now: Time,
        fits: &dyn Fn(&Registration) -> bool,
    ) -> Vec<(&Arc<str>, &Registration)> {
        let is_free = |(name, registration): &(&Arc<str>, &Registration)| {
            fits(registration) && !self.is_relay_paused(now, name)
        };
        let mut found: Vec<_> = self.serving(now).filter(is_free).collect();
        if found.is_empty() {
            found = self.others(now).filter(is_free).collect();
        }
        let own = hash(self.identity.name.as_bytes());
        let weight = |name: &str| rendezvous_weight(hash(name.as_bytes()), own);
        found.sort_by_cached_key(|(name, _)| Reverse(weight(name)));
        found.truncate(RELAYS_MAX);
        found
    }

    /// Records that an instance refused to relay, or failed.
    pub(in crate::process::direct) fn pause_relay(&mut self, now: Time, name: &Arc<str>) {
        self.paused_relays
            .retain(|(known, until)| known != name && now < *until);
        let until = now + RELAY_REFUSED_PAUSE;
        self.paused_relays.push((Arc::clone(name), until));
    }

    fn is_relay_paused(&self, now: Time, name: &str) -> bool {
        let is_paused = |(known, until): &(Arc<str>, Time)| **known == *name && now < *until;
        self.paused_relays.iter().any(is_paused)
    }
}
