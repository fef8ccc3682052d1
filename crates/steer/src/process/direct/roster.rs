//! Roster of all targets that service discovery lists.
//!
//! An instance knows every target of a deployment and uses few of them. What is done
//! often (heartbeats, sweeps, decisions) therefore visits only the targets concerned:
//! those that this instance has contacted, those at which others have requests, those
//! of one service and region. [`Roster::visits`] counts what is visited.
//!
//! Invariants: nothing is sent to a target in an evacuated domain; a target that
//! restarts under its old name starts without learnt state; what a target asked holds
//! for its incarnation, also if its entry lapses and returns; every target with
//! requests in flight, with own warm objects, with a limit reported to this instance, or
//! that asked something of it is among the contacted ones.

mod index;

use core::cell::Cell;
use core::time::Duration;
use std::collections::VecDeque;
use std::sync::Arc;

use super::limit::Limit;
use super::members::Members;
use super::notice::TargetNotice;
use super::target::{Asked, Entry, Target};
use crate::clock::Time;
use index::Index;

/// All targets, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    targets: Vec<Target>,
    index: Index,
    /// Short hashes of the targets at which other instances have requests in flight.
    busy_by_peers: Vec<u32>,
    /// Whether a target may be gone or missing.
    has_departures: bool,
    /// Entries of the roster visited or moved so far.
    visits: Cell<u64>,
    domains: Vec<(Arc<str>, Arc<str>)>,
    evacuated: Vec<Arc<str>>,
    /// What targets had asked that are no longer known, oldest first. Their entries may
    /// come back.
    unlisted: VecDeque<Unlisted>,
}

/// What an entry of service discovery changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that matters for steering.
    Nothing,
    /// The target is new, or listed again.
    Listed,
    /// It has started anew, or is at another address or of another service.
    Restarted,
    /// It has reported another state.
    Reported,
}

impl Change {
    /// Name in log lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Nothing => "nothing",
            Self::Listed => "listed",
            Self::Restarted => "restarted",
            Self::Reported => "reported",
        }
    }
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

    /// Adds a target or applies its newer report.
    pub fn put(&mut self, now: Time, entry: Entry) -> Change {
        self.put_all(now, vec![entry])[0]
    }

    /// Applies several entries, with one rebuild of the index at most. Returns the change
    /// by each.
    pub fn put_all(&mut self, now: Time, entries: Vec<Entry>) -> Vec<Change> {
        let mut changes = vec![Change::Listed; entries.len()];
        let mut moved = false;
        let mut unknown = Vec::new();
        for (at, entry) in entries.into_iter().enumerate() {
            match self.find(&entry.id) {
                Ok(found) => {
                    let region = self.region(&entry.domain);
                    changes[at] = update(now, &mut self.targets[found], entry, region);
                    moved |= changes[at] == Change::Restarted;
                }
                Err(_) => unknown.push((at, entry)),
            }
        }
        // Stable: of several entries of one target the last one counts.
        unknown.sort_by(|a, b| a.1.id.cmp(&b.1.id));
        let mut added: Vec<Target> = Vec::new();
        for (at, entry) in unknown {
            match added.last_mut() {
                Some(last) if last.entry.id == entry.id => {
                    let region = self.region(&entry.domain);
                    changes[at] = update(now, last, entry, region);
                }
                _ => added.push(self.create(now, entry)),
            }
        }
        if !added.is_empty() {
            self.insert_all(added);
        } else if moved {
            self.reindex();
        }
        changes
    }

    /// A target that is newly listed, or again after it was dropped.
    fn create(&self, now: Time, entry: Entry) -> Target {
        let region = self.region(&entry.domain);
        let mut target = Target::new(now, entry, region);
        let is_same =
            |u: &Unlisted| u.id == target.entry.id && u.incarnation == target.entry.incarnation;
        if let Some(asked) = self.unlisted.iter().rev().find(|u| is_same(u)) {
            target.resume(asked.asked);
        }
        target
    }

    /// Adds unknown targets, sorted by name. One pass over the roster, however many they
    /// are: a start brings all targets of a deployment at once.
    fn insert_all(&mut self, added: Vec<Target>) {
        let mut merged = Vec::with_capacity(self.targets.len() + added.len());
        let mut added = added.into_iter().peekable();
        for target in core::mem::take(&mut self.targets) {
            while let Some(new) = added.next_if(|new| new.entry.id < target.entry.id) {
                merged.push(new);
            }
            merged.push(target);
        }
        merged.extend(added);
        self.visit(merged.len());
        self.targets = merged;
        self.reindex();
    }

    /// Records that a target is no longer listed. Returns whether it was listed.
    pub fn remove(&mut self, now: Time, id: &str) -> bool {
        self.remove_all(now, &[id]) == [true]
    }

    /// Records that targets are no longer listed, with one pass over the roster at most.
    /// Returns for each whether it was listed.
    pub fn remove_all(&mut self, now: Time, ids: &[&str]) -> Vec<bool> {
        let mut was_listed = Vec::with_capacity(ids.len());
        for id in ids {
            let found = self.find(id).map(|at| &mut self.targets[at]);
            was_listed.push(found.is_ok_and(|target| {
                self.has_departures = true;
                !core::mem::replace(&mut target.is_gone, true)
            }));
        }
        if self.has_departures {
            self.drop_gone(now);
        }
        was_listed
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
            self.has_departures = true;
        }
    }

    /// Updates targets' requests in flight as reported by other instances.
    pub fn update_peer_load(&mut self, now: Time, members: &Members) {
        for short_hash in core::mem::take(&mut self.busy_by_peers) {
            if let Some(target) = self.target_by_hash(short_hash) {
                target.peers_in_flight = 0;
            }
        }
        for (short_hash, count) in members.in_flight(now) {
            if let Some(target) = self.target_by_hash(short_hash) {
                target.peers_in_flight += u32::from(count);
                self.busy_by_peers.push(short_hash);
            }
        }
    }

    /// Sets the requests that other instances have in flight to a target by their reports.
    pub(super) fn set_reported_in_flight(&mut self, target_hash: u32, count: u32) {
        if let Some(target) = self.target_by_hash(target_hash) {
            target.reported_in_flight = count;
        }
    }

    /// Target with this name hash.
    pub(super) fn target_by_hash(&mut self, short_hash: u32) -> Option<&mut Target> {
        self.visit(1);
        self.index
            .by_hash(short_hash)
            .map(|at| &mut self.targets[at])
    }

    /// Targets that this instance has contacted and still remembers something of.
    pub(super) fn contacted(&self) -> impl Iterator<Item = &Target> {
        let contacted = self.index.contacted().iter();
        contacted
            .inspect(|_| self.visit(1))
            .map(|at| &self.targets[*at])
    }

    /// The target at an index, which this instance is in contact with from now on.
    pub(super) fn contact(&mut self, index: usize) -> &mut Target {
        self.index.add_contacted(index);
        let target = &mut self.targets[index];
        target.is_contacted = true;
        target
    }

    /// The target of this name, which this instance is in contact with from now on.
    pub(super) fn contact_by_id(&mut self, id: &str) -> Option<&mut Target> {
        let at = self.find(id).ok()?;
        Some(self.contact(at))
    }

    /// Counts one more request that waits for the target at an index.
    pub(super) fn reserve(&mut self, index: usize) {
        self.targets[index].reserved += 1;
        self.index.add_reserved(index);
    }

    /// Begins the count of requests that wait for targets anew.
    pub(super) fn clear_reserved(&mut self) {
        for index in self.index.take_reserved() {
            self.visit(1);
            self.targets[index].reserved = 0;
        }
    }

    /// Requests of this instance at targets, by target hash, sorted.
    #[must_use]
    pub fn in_flight(&self) -> Vec<(u32, u8)> {
        let busy = self.contacted().filter(|t| t.in_flight > 0);
        let count = |t: &Target| u8::try_from(t.in_flight).unwrap_or(u8::MAX);
        let mut in_flight: Vec<(u32, u8)> = busy.map(|t| (t.short_hash(), count(t))).collect();
        in_flight.sort_unstable();
        in_flight
    }

    /// Objects that targets of a region hold because of requests of this instance:
    /// target hash and object hash.
    #[must_use]
    pub fn warm_objects(&self, now: Time, region: &str) -> Vec<(u32, u32)> {
        let local = self.contacted().filter(|t| *t.region == *region);
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

    /// Drops targets that are gone and have no requests in flight, and forgets contacts of
    /// which nothing is remembered. Returns the names of targets that were missing for
    /// too long.
    pub fn sweep(&mut self, now: Time) -> Vec<Arc<str>> {
        self.forget_contacts(now);
        if !self.has_departures {
            return Vec::new();
        }
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

    fn forget_contacts(&mut self, now: Time) {
        let targets = &mut self.targets;
        let visits = &self.visits;
        self.index.retain_contacted(|at| {
            let target = &mut targets[*at];
            visits.set(visits.get() + 1);
            target.is_contacted = target.holds_contact(now);
            target.is_contacted
        });
    }

    fn drop_gone(&mut self, now: Time) {
        self.visit(self.targets.len());
        let is_dropped = |t: &mut Target| t.is_gone && t.in_flight == 0;
        let dropped: Vec<Target> = self.targets.extract_if(.., is_dropped).collect();
        for target in &dropped {
            self.remember(now, target);
        }
        if !dropped.is_empty() {
            self.reindex();
        }
        let is_departing = |t: &Target| t.is_gone || t.drop_at.is_some();
        self.has_departures = self.targets.iter().any(is_departing);
    }

    /// Rebuilds the index, after targets have come or gone.
    fn reindex(&mut self) {
        self.visit(self.targets.len());
        self.index.build(&self.targets);
    }

    /// Targets of a service, with their indexes in the roster.
    pub fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = (usize, &'a Target)> {
        self.of(service, None)
    }

    /// Targets of a service, of one region if it is given, with their indexes in the
    /// roster.
    pub(super) fn of<'a>(
        &'a self,
        service: &str,
        region: Option<&str>,
    ) -> impl Iterator<Item = (usize, &'a Target)> {
        let indexes = match region {
            Some(region) => self.index.of_region(service, region),
            None => self.index.of_service(service),
        };
        let targets = indexes.iter().map(|&index| (index, &self.targets[index]));
        targets.inspect(|_| self.visit(1))
    }

    /// Number of the roster's entries visited or moved so far: the work that may grow
    /// with the number of targets.
    #[must_use]
    pub const fn visits(&self) -> u64 {
        self.visits.get()
    }

    fn visit(&self, entries: usize) {
        let entries = u64::try_from(entries).unwrap_or(u64::MAX);
        self.visits.set(self.visits.get().saturating_add(entries));
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.targets.binary_search_by(|t| (*t.entry.id).cmp(id))
    }
}

/// Applies an entry to the known target of its name. A report that was made before the
/// known one changes nothing.
fn update(now: Time, target: &mut Target, entry: Entry, region: Arc<str>) -> Change {
    let known = &target.entry;
    let is_late = entry
        .report()
        .zip(known.report())
        .is_some_and(|(report, last)| report.is_before(&last));
    if is_late {
        return Change::Nothing;
    }
    // Without an incarnation only the count of reports tells of a restart.
    let is_restart = entry.incarnation != known.incarnation || entry.seq < known.seq;
    if is_restart {
        target.restart(now, entry, region);
        return Change::Restarted;
    }
    // Draining is final for an incarnation.
    let draining = known.draining || entry.draining;
    let has_moved = entry.addr != known.addr || entry.service != known.service;
    let change = if has_moved {
        Change::Restarted
    } else if target.is_gone {
        Change::Listed
    } else if known.draining == draining {
        Change::Nothing
    } else {
        Change::Reported
    };
    let entry = Entry { draining, ..entry };
    if has_moved {
        let asked = *target.asked();
        target.restart(now, entry, region);
        target.resume(asked);
        return change;
    }
    target.is_gone = false;
    target.drop_at = None;
    target.cold_until = target.cold_until.max(now + entry.cold);
    target.entry = entry;
    change
}
