//! All targets as service discovery names them.
//!
//! Invariants: nothing is sent to a target in an evacuated domain; one that
//! starts anew under its old name begins with nothing learnt.

use core::time::Duration;
use std::sync::Arc;

use super::limit::Limit;
use super::members::Members;
use super::target::{Entry, Target};
use crate::clock::Time;

/// All targets, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    targets: Vec<Target>,
    /// Places of each service's targets in `targets`, sorted by service: a
    /// decision looks at those of one service only.
    index: Vec<(Arc<str>, Vec<usize>)>,
    /// Marks of all targets with their places, sorted.
    hashes: Vec<(u32, usize)>,
    domains: Vec<(Arc<str>, Arc<str>)>,
    evacuated: Vec<Arc<str>>,
}

impl Roster {
    /// No targets yet; failure domains with their regions.
    #[must_use]
    pub fn new(mut domains: Vec<(Arc<str>, Arc<str>)>) -> Self {
        domains.sort();
        Self {
            domains,
            ..Self::default()
        }
    }

    /// The region of a failure domain; the domain itself if none is named.
    #[must_use]
    pub fn region(&self, domain: &Arc<str>) -> Arc<str> {
        let found = self.domains.binary_search_by(|d| d.0.cmp(domain));
        Arc::clone(found.map_or(domain, |at| &self.domains[at].1))
    }

    /// Regions of all failure domains; one that has several comes as often.
    pub fn regions(&self) -> impl Iterator<Item = &str> {
        self.domains.iter().map(|(_, region)| &**region)
    }

    /// Adds a target or takes its newer report. Says whether anything that
    /// matters for steering has changed.
    pub fn put(&mut self, now: Time, entry: Entry) -> bool {
        self.put_all(now, vec![entry]) == [true]
    }

    /// The same for many, which costs little more than for one.
    pub fn put_all(&mut self, now: Time, entries: Vec<Entry>) -> Vec<bool> {
        let mut moved = false;
        let put = |entry| self.put_one(now, entry, &mut moved);
        let changed = entries.into_iter().map(put).collect();
        if moved {
            self.reindex();
        }
        changed
    }

    /// Puts one; `moved` is set if places or services have changed.
    fn put_one(&mut self, now: Time, entry: Entry, moved: &mut bool) -> bool {
        let region = self.region(&entry.domain);
        match self.find(&entry.id) {
            Err(at) => {
                self.targets.insert(at, Target::new(now, entry, region));
                *moved = true;
                true
            }
            Ok(at) => {
                let target = &mut self.targets[at];
                let known = &target.entry;
                let restarted = entry.incarnation != known.incarnation
                    || entry.seq < known.seq
                    || entry.addr != known.addr
                    || entry.service != known.service;
                if restarted {
                    let flying = target.in_flight;
                    *target = Target::new(now, entry, region);
                    target.in_flight = flying;
                    *moved = true;
                    return true;
                }
                let changed = target.is_gone || target.entry.draining != entry.draining;
                // Leaving is final for an incarnation: an older report that
                // comes late must not bring it back.
                let draining = target.entry.draining || entry.draining;
                target.is_gone = false;
                target.drop_at = None;
                target.cold_until = target.cold_until.max(now + entry.cold);
                target.entry = Entry { draining, ..entry };
                changed
            }
        }
    }

    /// A target is no longer listed.
    pub fn remove(&mut self, id: &str) -> bool {
        let Ok(at) = self.find(id) else {
            return false;
        };
        let changed = !self.targets[at].is_gone;
        self.targets[at].is_gone = true;
        if self.targets[at].in_flight == 0 {
            self.targets.remove(at);
            self.reindex();
        }
        changed
    }

    /// A target is no longer listed, but the store was away: its entry may
    /// have lapsed and be back in a moment. It is dropped at `until`.
    pub fn mark_missing(&mut self, id: &str, until: Time) {
        if let Some(target) = self.get_mut(id) {
            target.drop_at.get_or_insert(until);
        }
    }

    /// Renews what other instances say they have at each target.
    pub fn update_peer_load(&mut self, now: Time, members: &Members) {
        for target in &mut self.targets {
            target.peers_in_flight = 0;
        }
        for (mark, count) in members.in_flight(now) {
            if let Some(target) = self.by_hash(mark) {
                target.peers_in_flight += u32::from(count);
            }
        }
    }

    /// The target of a mark.
    fn by_hash(&mut self, mark: u32) -> Option<&mut Target> {
        let found = self.hashes.binary_search_by_key(&mark, |m| m.0);
        found.ok().map(|at| &mut self.targets[self.hashes[at].1])
    }

    /// What this instance has at targets, by mark, sorted.
    #[must_use]
    pub fn in_flight(&self) -> Vec<(u32, u8)> {
        let busy = self.targets.iter().filter(|t| t.in_flight > 0);
        let count = |t: &Target| u8::try_from(t.in_flight).unwrap_or(u8::MAX);
        let mut flying: Vec<(u32, u8)> = busy.map(|t| (t.short_hash(), count(t))).collect();
        flying.sort_unstable();
        flying
    }

    /// Objects that targets of a region hold by what this instance sent them:
    /// the target's mark, and the object.
    #[must_use]
    pub fn warm_objects(&self, now: Time, region: &str) -> Vec<(u32, u32)> {
        let near = self.targets.iter().filter(|t| *t.region == *region);
        let open = near.filter(|t| t.is_available());
        open.flat_map(|t| t.own_objects(now).map(|object| (t.short_hash(), object)))
            .collect()
    }

    /// Another instance says that the target of this mark holds an object.
    pub fn note_warm_object(&mut self, now: Time, mark: u32, object: u32) {
        if let Some(target) = self.by_hash(mark) {
            target.record_object(now, object, false);
        }
    }

    /// Another instance was told this by the target of this mark.
    pub(super) fn note_limit(&mut self, mark: u32, limit: Limit) {
        if let Some(target) = self.by_hash(mark) {
            target.merge_limit(limit);
        }
    }

    /// Names of all listed targets, in order.
    #[must_use]
    pub fn listed(&self) -> Vec<Arc<str>> {
        let listed = self.targets.iter().filter(|t| !t.is_gone);
        listed.map(|t| Arc::clone(&t.entry.id)).collect()
    }

    /// The target of this name, listed or still at work.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.find(id).ok().map(|at| &self.targets[at])
    }

    /// The same, to change.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Target> {
        self.find(id).ok().map(|at| &mut self.targets[at])
    }

    /// All targets.
    #[must_use]
    pub fn all(&self) -> &[Target] {
        &self.targets
    }

    /// All targets, to change.
    pub fn all_mut(&mut self) -> &mut [Target] {
        &mut self.targets
    }

    /// Sets the domains that must get nothing. What comes back is cold for
    /// `warmup`: its targets have forgotten what they held.
    pub fn evacuate(&mut self, now: Time, mut domains: Vec<Arc<str>>, warmup: Duration) {
        domains.sort();
        domains.dedup();
        let back: Vec<Arc<str>> = self
            .evacuated
            .iter()
            .filter(|d| domains.binary_search(d).is_err())
            .cloned()
            .collect();
        for target in &mut self.targets {
            if back.contains(&target.entry.domain) {
                target.mark_cold(now + warmup);
                target.clear_objects();
            }
        }
        self.evacuated = domains;
    }

    /// Whether nothing may be sent to a domain.
    #[must_use]
    pub fn is_evacuated(&self, domain: &str) -> bool {
        if self.evacuated.is_empty() {
            return false;
        }
        let found = self.evacuated.binary_search_by(|d| (**d).cmp(domain));
        found.is_ok()
    }

    /// Domains that must get nothing, sorted.
    #[must_use]
    pub fn evacuated(&self) -> &[Arc<str>] {
        &self.evacuated
    }

    /// Drops targets that are gone and have nothing at work. Names those that
    /// were missing and haven't come back.
    pub fn sweep(&mut self, now: Time) -> Vec<Arc<str>> {
        let mut dropped = Vec::new();
        for target in &mut self.targets {
            if target.drop_at.is_some_and(|until| now >= until) && !target.is_gone {
                target.is_gone = true;
                dropped.push(Arc::clone(&target.entry.id));
            }
        }
        self.drop_gone();
        dropped
    }

    fn drop_gone(&mut self) {
        let before = self.targets.len();
        self.targets.retain(|t| !t.is_gone || t.in_flight > 0);
        if self.targets.len() != before {
            self.reindex();
        }
    }

    /// Finds the services' targets anew. Targets come and go a few times a
    /// second at most, and decisions are made a thousand times as often.
    fn reindex(&mut self) {
        self.index.clear();
        for (place, target) in self.targets.iter().enumerate() {
            let service = &target.entry.service;
            match self.index.binary_search_by(|i| i.0.cmp(service)) {
                Ok(at) => self.index[at].1.push(place),
                Err(at) => self.index.insert(at, (Arc::clone(service), vec![place])),
            }
        }
        let marks = self
            .targets
            .iter()
            .enumerate()
            .map(|(at, t)| (t.short_hash(), at));
        self.hashes = marks.collect();
        self.hashes.sort_unstable();
    }

    /// The targets of a service, with their places among all.
    pub fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = (usize, &'a Target)> {
        let found = self.index.binary_search_by(|i| (*i.0).cmp(service));
        let places = found.map_or(&[][..], |at| &self.index[at].1[..]);
        places.iter().map(|&place| (place, &self.targets[place]))
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.targets.binary_search_by(|t| (*t.entry.id).cmp(id))
    }
}
