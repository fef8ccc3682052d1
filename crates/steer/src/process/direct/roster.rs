//! Roster of all targets that service discovery lists.
//!
//! Invariants: nothing is sent to a target in an evacuated domain; a target that
//! restarts under its old name starts without learnt state; what a target asked holds
//! for its incarnation, also if its entry lapses and returns.

use core::time::Duration;
use std::collections::VecDeque;
use std::sync::Arc;

use super::limit::Limit;
use super::members::Members;
use super::notice::TargetNotice;
use super::target::{Asked, Entry, Target};
use crate::clock::Time;

/// All targets, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    targets: Vec<Target>,
    /// Indexes into `targets` by service, sorted by service; a decision looks at the
    /// targets of one service only.
    index: Vec<(Arc<str>, Vec<usize>)>,
    /// Name hashes of all targets with their indexes, sorted.
    hashes: Vec<(u32, usize)>,
    domains: Vec<(Arc<str>, Arc<str>)>,
    evacuated: Vec<Arc<str>>,
    /// What targets had asked that are no longer known, oldest first. Their entries may
    /// come back.
    unlisted: VecDeque<Unlisted>,
}

/// A target that was dropped, with what it had asked.
#[derive(Clone, Debug)]
struct Unlisted {
    id: Arc<str>,
    incarnation: u64,
    asked: Asked,
}

/// Largest number of dropped targets that are remembered.
const UNLISTED_MAX: usize = 256;

impl Roster {
    /// Creates an empty roster; `domains` are pairs of a failure domain and its region.
    #[must_use]
    pub fn new(mut domains: Vec<(Arc<str>, Arc<str>)>) -> Self {
        domains.sort();
        Self {
            domains,
            ..Self::default()
        }
    }

    /// Region of a failure domain; an unknown domain is its own region.
    #[must_use]
    pub fn region(&self, domain: &Arc<str>) -> Arc<str> {
        let found = self.domains.binary_search_by(|d| d.0.cmp(domain));
        Arc::clone(found.map_or(domain, |at| &self.domains[at].1))
    }

    /// Regions of all failure domains; a region is repeated for each of its domains.
    pub fn regions(&self) -> impl Iterator<Item = &str> {
        self.domains.iter().map(|(_, region)| &**region)
    }

    /// Adds a target or applies its newer report. Returns whether anything that matters
    /// for steering has changed.
    pub fn put(&mut self, now: Time, entry: Entry) -> bool {
        self.put_all(now, vec![entry]) == [true]
    }

    /// Applies several entries, with one rebuild of the index at most.
    pub fn put_all(&mut self, now: Time, entries: Vec<Entry>) -> Vec<bool> {
        let mut moved = false;
        let put = |entry| self.put_one(now, entry, &mut moved);
        let changed = entries.into_iter().map(put).collect();
        if moved {
            self.reindex();
        }
        changed
    }

    /// Applies one entry; sets `moved` if indexes or services have changed.
    fn put_one(&mut self, now: Time, entry: Entry, moved: &mut bool) -> bool {
        let region = self.region(&entry.domain);
        match self.find(&entry.id) {
            Err(at) => {
                let mut target = Target::new(now, entry, region);
                let is_same = |u: &Unlisted| {
                    u.id == target.entry.id && u.incarnation == target.entry.incarnation
                };
                if let Some(asked) = self.unlisted.iter().rev().find(|u| is_same(u)) {
                    target.resume(asked.asked);
                }
                self.targets.insert(at, target);
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
                    let in_flight = target.in_flight;
                    *target = Target::new(now, entry, region);
                    target.in_flight = in_flight;
                    *moved = true;
                    return true;
                }
                let changed = target.is_gone || target.entry.draining != entry.draining;
                // Draining is final for an incarnation: a late older report must not
                // undo it.
                let draining = target.entry.draining || entry.draining;
                target.is_gone = false;
                target.drop_at = None;
                target.cold_until = target.cold_until.max(now + entry.cold);
                target.entry = Entry { draining, ..entry };
                changed
            }
        }
    }

    /// Records that a target is no longer listed. Returns whether it was listed.
    pub fn remove(&mut self, now: Time, id: &str) -> bool {
        let Ok(at) = self.find(id) else {
            return false;
        };
        let changed = !self.targets[at].is_gone;
        self.targets[at].is_gone = true;
        if self.targets[at].in_flight == 0 {
            let target = self.targets.remove(at);
            self.remember(now, &target);
            self.reindex();
        }
        changed
    }

    /// Keeps what a target asked that is dropped.
    fn remember(&mut self, now: Time, target: &Target) {
        if !target.asked().holds(now) {
            return;
        }
        if self.unlisted.len() >= UNLISTED_MAX {
            self.unlisted.pop_front();
        }
        self.unlisted.push_back(Unlisted {
            id: Arc::clone(&target.entry.id),
            incarnation: target.entry.incarnation,
            asked: *target.asked(),
        });
    }

    /// Records that a target is missing after the store was unreachable: its entry may
    /// have expired and be renewed soon. It is dropped at `until`.
    pub fn mark_missing(&mut self, id: &str, until: Time) {
        if let Some(target) = self.get_mut(id) {
            target.drop_at.get_or_insert(until);
        }
    }

    /// Updates each target's requests in flight as reported by other instances.
    pub fn update_peer_load(&mut self, now: Time, members: &Members) {
        for target in &mut self.targets {
            target.peers_in_flight = 0;
        }
        for (target_hash, count) in members.in_flight(now) {
            if let Some(target) = self.target_by_hash(target_hash) {
                target.peers_in_flight += u32::from(count);
            }
        }
    }

    /// Target with this name hash.
    fn target_by_hash(&mut self, target_hash: u32) -> Option<&mut Target> {
        let found = self.hashes.binary_search_by_key(&target_hash, |m| m.0);
        found.ok().map(|at| &mut self.targets[self.hashes[at].1])
    }

    /// Requests of this instance at targets, by target hash, sorted.
    #[must_use]
    pub fn in_flight(&self) -> Vec<(u32, u8)> {
        let busy = self.targets.iter().filter(|t| t.in_flight > 0);
        let count = |t: &Target| u8::try_from(t.in_flight).unwrap_or(u8::MAX);
        let mut in_flight: Vec<(u32, u8)> = busy.map(|t| (t.short_hash(), count(t))).collect();
        in_flight.sort_unstable();
        in_flight
    }

    /// Objects that targets of a region hold because of requests of this instance:
    /// target hash and object hash.
    #[must_use]
    pub fn warm_objects(&self, now: Time, region: &str) -> Vec<(u32, u32)> {
        let local = self.targets.iter().filter(|t| *t.region == *region);
        let open = local.filter(|t| t.is_available());
        open.flat_map(|t| t.own_objects(now).map(|object| (t.short_hash(), object)))
            .collect()
    }

    /// Records a report of another instance that a target holds an object.
    pub fn note_warm_object(&mut self, now: Time, target_hash: u32, object: u32) {
        if let Some(target) = self.target_by_hash(target_hash) {
            target.record_object(now, object, false);
        }
    }

    /// Records a limit that a target reported to another instance.
    pub(super) fn note_limit(&mut self, target_hash: u32, limit: Limit) {
        if let Some(target) = self.target_by_hash(target_hash) {
            target.merge_limit(limit);
        }
    }

    /// Records what a target told another instance, unless it was another incarnation.
    pub(super) fn note_target(&mut self, now: Time, notice: &TargetNotice) {
        if let Some(target) = self.target_by_hash(notice.target_hash)
            && target.entry.incarnation == notice.incarnation
        {
            target.note(now, notice);
        }
    }

    /// Names of all listed targets, sorted.
    #[must_use]
    pub fn listed(&self) -> Vec<Arc<str>> {
        let listed = self.targets.iter().filter(|t| !t.is_gone);
        listed.map(|t| Arc::clone(&t.entry.id)).collect()
    }

    /// Target of this name, listed or still handling requests.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.find(id).ok().map(|at| &self.targets[at])
    }

    /// Mutable access to the target of this name.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Target> {
        self.find(id).ok().map(|at| &mut self.targets[at])
    }

    /// All targets.
    #[must_use]
    pub fn all(&self) -> &[Target] {
        &self.targets
    }

    /// Mutable access to all targets.
    pub fn all_mut(&mut self) -> &mut [Target] {
        &mut self.targets
    }

    /// Sets the evacuated domains, which get no requests. Targets of a domain that
    /// returns are cold for `warmup`, as they have lost the objects they held.
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

    /// Returns whether a domain is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, domain: &str) -> bool {
        if self.evacuated.is_empty() {
            return false;
        }
        let found = self.evacuated.binary_search_by(|d| (**d).cmp(domain));
        found.is_ok()
    }

    /// Evacuated domains, sorted.
    #[must_use]
    pub fn evacuated(&self) -> &[Arc<str>] {
        &self.evacuated
    }

    /// Drops targets that are gone and have no requests in flight. Returns the names of
    /// those that were missing for too long.
    pub fn sweep(&mut self, now: Time) -> Vec<Arc<str>> {
        let mut dropped = Vec::new();
        for target in &mut self.targets {
            if target.drop_at.is_some_and(|until| now >= until) && !target.is_gone {
                target.is_gone = true;
                dropped.push(Arc::clone(&target.entry.id));
            }
        }
        self.drop_gone(now);
        dropped
    }

    fn drop_gone(&mut self, now: Time) {
        let is_dropped = |t: &mut Target| t.is_gone && t.in_flight == 0;
        let dropped: Vec<Target> = self.targets.extract_if(.., is_dropped).collect();
        for target in &dropped {
            self.remember(now, target);
        }
        if !dropped.is_empty() {
            self.reindex();
        }
    }

    /// Rebuilds the indexes. Targets come and go a few times a second at most,
    /// decisions are made a thousand times as often.
    fn reindex(&mut self) {
        self.index.clear();
        for (index, target) in self.targets.iter().enumerate() {
            let service = &target.entry.service;
            match self.index.binary_search_by(|i| i.0.cmp(service)) {
                Ok(at) => self.index[at].1.push(index),
                Err(at) => self.index.insert(at, (Arc::clone(service), vec![index])),
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

    /// Targets of a service, with their indexes in the roster.
    pub fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = (usize, &'a Target)> {
        let found = self.index.binary_search_by(|i| (*i.0).cmp(service));
        let indexes = found.map_or(&[][..], |at| &self.index[at].1[..]);
        indexes.iter().map(|&index| (index, &self.targets[index]))
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.targets.binary_search_by(|t| (*t.entry.id).cmp(id))
    }
}
