//! Targets as service discovery names them, and what was learnt of each.
//!
//! Invariants: a target that leaves, is gone, or stands in an evacuated domain
//! is never usable again under the same incarnation; a target that starts anew
//! under its old name begins with nothing learnt.

use core::net::SocketAddr;
use core::time::Duration;
use std::collections::VecDeque;
use std::sync::Arc;

use super::hash;
use super::health::Health;
use super::members::{self, Members};
use crate::clock::Time;

/// What service discovery says of one target.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its name, new with most starts.
    pub id: Arc<str>,
    /// Service that it serves.
    pub service: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it has announced that it leaves.
    pub draining: bool,
    /// Counts its reports since its start.
    pub seq: u64,
    /// How much longer it stays cold.
    pub cold: Duration,
    /// When it started, in the target's own terms; tells incarnations apart.
    pub born: u64,
}

/// How long an object counts as warm at a target since its last request. A
/// target forgets objects by their number, which isn't known here.
const WARM_SPAN: Duration = Duration::from_mins(1);

/// Objects remembered for each target.
const WARM_MOST: usize = 256;

/// Span over which requests to a cold target are counted. The bound is on what
/// arrives within one second; the rest covers different delays on the way.
pub const COLD_SPAN: Duration = Duration::from_millis(1250);

/// First pause after a failure to reach a target; doubles with each further one.
const ASIDE_FIRST: Duration = Duration::from_millis(400);
/// Longest such pause.
const ASIDE_MOST: Duration = Duration::from_secs(3);

/// An object that a target handled lately.
#[derive(Clone, Copy, Debug)]
struct Held {
    object: u32,
    at: Time,
    /// Whether this instance sent it there. Only that is told to others: what
    /// was heard would be told to and fro for ever.
    own: bool,
}

/// One target and what this instance knows of it.
#[derive(Clone, Debug)]
pub struct Target {
    /// What discovery said last.
    pub entry: Entry,
    /// Its region.
    pub region: Arc<str>,
    /// Whether discovery has dropped it.
    pub gone: bool,
    /// Requests of this instance that are at it now.
    pub flying: u32,
    /// Requests planned for it in the current step.
    pub reserved: u32,
    /// Requests of others that were there at the last report.
    others: f64,
    told: Time,
    /// Requests that other instances say they have there.
    near: u32,
    mark: u32,
    /// Hash of its name.
    hash: u64,
    /// When it is dropped unless it is listed again.
    missing: Option<Time>,
    /// How it does.
    pub health: Health,
    failures: u32,
    aside: Time,
    cold_until: Time,
    sent_at: VecDeque<Time>,
    /// Sorted by object.
    held: Vec<Held>,
}

impl Target {
    fn new(now: Time, entry: Entry, region: Arc<str>) -> Self {
        let cold_until = now + entry.cold;
        Self {
            mark: members::mark(&entry.id),
            hash: hash(entry.id.as_bytes()),
            entry,
            region,
            gone: false,
            flying: 0,
            reserved: 0,
            others: 0.0,
            told: now,
            near: 0,
            missing: None,
            health: Health::default(),
            failures: 0,
            aside: Time::ZERO,
            cold_until,
            sent_at: VecDeque::new(),
            held: Vec::new(),
        }
    }

    /// The mark by which heartbeats name it.
    #[must_use]
    pub const fn mark(&self) -> u32 {
        self.mark
    }

    /// Hash of its name.
    #[must_use]
    pub const fn hash(&self) -> u64 {
        self.hash
    }

    /// Whether it may be sent requests at all.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.gone && !self.entry.draining
    }

    /// Whether it is set aside after failures.
    #[must_use]
    pub fn is_aside(&self, now: Time) -> bool {
        now < self.aside
    }

    /// Whether it is cold.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Marks it cold for a while, as after its domain was evacuated.
    pub fn chill(&mut self, until: Time) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Requests believed to be at it, or planned for it. What others have there
    /// fades with the time since the target last told.
    #[must_use]
    pub fn load(&self, now: Time, fade: Duration) -> f64 {
        let mut others = f64::from(self.near);
        if self.others > 0.0 {
            let age = now.since(self.told).as_secs_f64() / fade.as_secs_f64().max(0.001);
            others = others.max(self.others * (-age).exp());
        }
        f64::from(self.flying + self.reserved) + others
    }

    /// Notes the target's own report: requests running and waiting there, with
    /// the one that it answers and that has ended here.
    pub fn tell(&mut self, now: Time, present: u32) {
        self.others = f64::from(present.saturating_sub(self.flying + 1));
        self.told = now;
    }

    /// Time since its own last report of its requests; since it was listed, if
    /// there is none.
    #[must_use]
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.told)
    }

    /// Whether an object was handled lately, as far as this instance knows.
    #[must_use]
    pub fn holds(&self, now: Time, object: u32) -> bool {
        let found = self.held.binary_search_by_key(&object, |h| h.object);
        found.is_ok_and(|at| now.since(self.held[at].at) < WARM_SPAN)
    }

    /// Notes that it has handled an object, for this instance or for another.
    /// Says whether that is news.
    pub fn handled(&mut self, now: Time, object: u32, own: bool) -> bool {
        let held = Held {
            object,
            at: now,
            own,
        };
        match self.held.binary_search_by_key(&object, |h| h.object) {
            Ok(at) => {
                let known = self.held[at];
                let lapsed = now.since(known.at) >= WARM_SPAN;
                // Another's word doesn't make what was seen here its own.
                if own || !known.own || lapsed {
                    self.held[at] = held;
                }
                lapsed || own && !known.own
            }
            Err(at) => {
                self.held.insert(at, held);
                if self.held.len() > WARM_MOST {
                    self.held.retain(|h| now.since(h.at) < WARM_SPAN / 2);
                }
                true
            }
        }
    }

    /// Objects that this instance sent there lately.
    fn own_held(&self, now: Time) -> impl Iterator<Item = u32> {
        let own = move |h: &&Held| h.own && now.since(h.at) < WARM_SPAN;
        self.held.iter().filter(own).map(|h| h.object)
    }

    /// Requests of this instance sent to it within [`COLD_SPAN`].
    #[must_use]
    pub fn sent_lately(&self, now: Time) -> usize {
        let recent = |at: &&Time| now.since(**at) < COLD_SPAN;
        self.sent_at.iter().rev().take_while(recent).count()
    }

    /// Notes a request sent to it.
    pub fn sent(&mut self, now: Time) {
        self.flying += 1;
        while self
            .sent_at
            .front()
            .is_some_and(|at| now.since(*at) >= COLD_SPAN)
        {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }

    /// Notes an answer, with the time it took over the time expected.
    pub fn answered(&mut self, now: Time, ratio: Option<f64>) {
        self.failures = 0;
        self.aside = Time::ZERO;
        self.health.answered(now, ratio);
    }

    /// Notes that it couldn't be reached or broke off: it gets nothing for a
    /// while, or each request would find out anew.
    pub fn unreached(&mut self, now: Time) {
        self.health.failed(now);
        let factor = 1 << self.failures.min(4);
        self.failures += 1;
        self.aside = now + (ASIDE_FIRST * factor).min(ASIDE_MOST);
    }
}

/// All targets, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    targets: Vec<Target>,
    /// Places of each service's targets in `targets`, sorted by service: a
    /// decision looks at those of one service only.
    index: Vec<(Arc<str>, Vec<usize>)>,
    /// Marks of all targets with their places, sorted.
    marks: Vec<(u32, usize)>,
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
                let restarted = entry.born != known.born
                    || entry.seq < known.seq
                    || entry.addr != known.addr
                    || entry.service != known.service;
                if restarted {
                    let flying = target.flying;
                    *target = Target::new(now, entry, region);
                    target.flying = flying;
                    *moved = true;
                    return true;
                }
                let changed = target.gone || target.entry.draining != entry.draining;
                // Leaving is final for an incarnation: an older report that
                // comes late must not bring it back.
                let draining = target.entry.draining || entry.draining;
                target.gone = false;
                target.missing = None;
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
        let changed = !self.targets[at].gone;
        self.targets[at].gone = true;
        if self.targets[at].flying == 0 {
            self.targets.remove(at);
            self.reindex();
        }
        changed
    }

    /// A target is no longer listed, but the store was away: its entry may
    /// have lapsed and be back in a moment. It is dropped at `until`.
    pub fn miss(&mut self, id: &str, until: Time) {
        if let Some(target) = self.get_mut(id) {
            target.missing.get_or_insert(until);
        }
    }

    /// Renews what other instances say they have at each target.
    pub fn hear(&mut self, now: Time, members: &Members) {
        for target in &mut self.targets {
            target.near = 0;
        }
        for (mark, count) in members.flying(now) {
            if let Some(target) = self.marked(mark) {
                target.near += u32::from(count);
            }
        }
    }

    /// The target of a mark.
    fn marked(&mut self, mark: u32) -> Option<&mut Target> {
        let found = self.marks.binary_search_by_key(&mark, |m| m.0);
        found.ok().map(|at| &mut self.targets[self.marks[at].1])
    }

    /// What this instance has at targets, by mark, sorted.
    #[must_use]
    pub fn flying(&self) -> Vec<(u32, u8)> {
        let busy = self.targets.iter().filter(|t| t.flying > 0);
        let count = |t: &Target| u8::try_from(t.flying).unwrap_or(u8::MAX);
        let mut flying: Vec<(u32, u8)> = busy.map(|t| (t.mark, count(t))).collect();
        flying.sort_unstable();
        flying
    }

    /// Objects that targets of a region hold by what this instance sent them:
    /// the target's mark, and the object.
    #[must_use]
    pub fn held(&self, now: Time, region: &str) -> Vec<(u32, u32)> {
        let near = self.targets.iter().filter(|t| *t.region == *region);
        let open = near.filter(|t| t.is_open());
        open.flat_map(|t| t.own_held(now).map(|object| (t.mark, object)))
            .collect()
    }

    /// Another instance says that the target of this mark holds an object.
    pub fn told_held(&mut self, now: Time, mark: u32, object: u32) {
        if let Some(target) = self.marked(mark) {
            target.handled(now, object, false);
        }
    }

    /// Names of all listed targets, in order.
    #[must_use]
    pub fn listed(&self) -> Vec<Arc<str>> {
        let listed = self.targets.iter().filter(|t| !t.gone);
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
                target.chill(now + warmup);
                target.held.clear();
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
            if target.missing.is_some_and(|until| now >= until) && !target.gone {
                target.gone = true;
                dropped.push(Arc::clone(&target.entry.id));
            }
        }
        self.drop_gone();
        dropped
    }

    fn drop_gone(&mut self) {
        let before = self.targets.len();
        self.targets.retain(|t| !t.gone || t.flying > 0);
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
        let marks = self.targets.iter().enumerate().map(|(at, t)| (t.mark, at));
        self.marks = marks.collect();
        self.marks.sort_unstable();
    }

    /// The targets of a service, with their places among all.
    pub fn of<'a>(&'a self, service: &str) -> impl Iterator<Item = (usize, &'a Target)> {
        let found = self.index.binary_search_by(|i| (*i.0).cmp(service));
        let places = found.map_or(&[][..], |at| &self.index[at].1[..]);
        places.iter().map(|&place| (place, &self.targets[place]))
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.targets.binary_search_by(|t| (*t.entry.id).cmp(id))
    }
}
