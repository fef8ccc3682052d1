//! Places of instances that announce their start to this one.
//!
//! Invariant: an instance is placed among all that this one knows of its failure domain,
//! starting or present, and never among itself.

use super::super::Direct;
use super::{StartPlace, Starter};
use crate::clock::Time;
use core::net::SocketAddr;
use std::sync::Arc;

impl Direct {
    /// Remembers an instance that starts, and returns its place among the others of its
    /// failure domain.
    pub fn announce_start(&mut self, now: Time, starter: Starter) -> StartPlace {
        let (name, domain) = (Arc::clone(&starter.name), Arc::clone(&starter.domain));
        self.starters.put(now, starter);
        let starting = self.starters.of(&domain).map(|s| (&s.name, s.peers));
        let present = self.others(now);
        let present = present.filter(|(_, registration)| registration.domain == domain);
        let present = present.map(|(name, registration)| (name, registration.peers));
        let mut others: Vec<(Arc<str>, SocketAddr)> = starting
            .chain(present)
            .filter(|(other, _)| **other != name)
            .map(|(other, peers)| (Arc::clone(other), peers))
            .collect();
        others.sort_by(|a, b| a.0.cmp(&b.0));
        others.dedup_by(|later, first| later.0 == first.0);
        StartPlace::among(&name, others)
    }
}
