//! One target: what service discovery said of it last, and what this instance
//! has learnt of it.
//!
//! Invariant: a target that leaves or is gone is never usable again under the
//! same incarnation.

use core::net::SocketAddr;
use core::time::Duration;
use std::collections::VecDeque;
use std::sync::Arc;

use super::hash;
use super::health::Health;
use super::limit::Limit;
use super::members;
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
    pub incarnation: u64,
}

/// What a target's answer says of the target itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Feedback {
    /// Requests there.
    pub load: Option<u32>,
    /// Requests a second that it takes from all instances together.
    pub limit: Option<f64>,
}

/// How long an object counts as warm at a target since its last request. A
/// target forgets objects by their number, which isn't known here.
const WARM_SPAN: Duration = Duration::from_mins(1);

/// Objects remembered for each target.
const WARM_MOST: usize = 256;

/// Span over which requests to a cold target are counted. The bound is on what
/// arrives within one second; the rest covers different delays on the way.
pub const COLD_WINDOW: Duration = Duration::from_millis(1250);

/// First pause after a failure to reach a target; doubles with each further one.
const ASIDE_FIRST: Duration = Duration::from_millis(400);
/// Longest such pause.
const ASIDE_MOST: Duration = Duration::from_secs(3);

/// An object that a target handled lately.
#[derive(Clone, Copy, Debug)]
struct WarmObject {
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
    pub is_gone: bool,
    /// Requests of this instance that are at it now.
    pub in_flight: u32,
    /// Requests planned for it in the current step.
    pub reserved: u32,
    /// Requests of others that were there at the last report.
    others_load: f64,
    reported_at: Time,
    limit: Limit,
    /// Requests that other instances say they have there.
    pub(super) peers_in_flight: u32,
    short_hash: u32,
    /// Hash of its name.
    hash: u64,
    /// When it is dropped unless it is listed again.
    pub(super) drop_at: Option<Time>,
    /// How it does.
    pub health: Health,
    failure_streak: u32,
    ejected_until: Time,
    pub(super) cold_until: Time,
    sent_at: VecDeque<Time>,
    /// Sorted by object.
    objects: Vec<WarmObject>,
}

impl Target {
    pub(super) fn new(now: Time, entry: Entry, region: Arc<str>) -> Self {
        let cold_until = now + entry.cold;
        Self {
            short_hash: members::name_hash(&entry.id),
            hash: hash(entry.id.as_bytes()),
            entry,
            region,
            is_gone: false,
            in_flight: 0,
            reserved: 0,
            others_load: 0.0,
            reported_at: now,
            limit: Limit::NONE,
            peers_in_flight: 0,
            drop_at: None,
            health: Health::default(),
            failure_streak: 0,
            ejected_until: Time::ZERO,
            cold_until,
            sent_at: VecDeque::new(),
            objects: Vec::new(),
        }
    }

    /// The mark by which heartbeats name it.
    #[must_use]
    pub const fn short_hash(&self) -> u32 {
        self.short_hash
    }

    /// Hash of its name.
    #[must_use]
    pub const fn hash(&self) -> u64 {
        self.hash
    }

    /// Whether it may be sent requests at all.
    #[must_use]
    pub fn is_available(&self) -> bool {
        !self.is_gone && !self.entry.draining
    }

    /// Whether it is set aside after failures.
    #[must_use]
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Whether it is cold.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Marks it cold for a while, as after its domain was evacuated.
    pub fn mark_cold(&mut self, until: Time) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Requests believed to be at it, or planned for it. What others have there
    /// fades with the time since the target last told.
    #[must_use]
    pub fn load(&self, now: Time, fade: Duration) -> f64 {
        let mut others = f64::from(self.peers_in_flight);
        if self.others_load > 0.0 {
            let age = now.since(self.reported_at).as_secs_f64() / fade.as_secs_f64().max(0.001);
            others = others.max(self.others_load * (-age).exp());
        }
        f64::from(self.in_flight + self.reserved) + others
    }

    /// Notes the target's own report: requests running and waiting there, with
    /// the one that it answers and that has ended here.
    pub fn record_load(&mut self, now: Time, present: u32) {
        self.others_load = f64::from(present.saturating_sub(self.in_flight + 1));
        self.reported_at = now;
    }

    /// The limit that it names, in requests a second.
    #[must_use]
    pub const fn limit(&self) -> Option<f64> {
        self.limit.rate
    }

    /// The same, with when it was named.
    pub(super) const fn limit_state(&self) -> &Limit {
        &self.limit
    }

    /// Notes the limit that an answer to this instance names, or that it names none.
    /// Says whether that is news.
    pub fn update_limit(&mut self, now: Time, rate: Option<f64>) -> bool {
        let named = self.limit.updated(now, rate);
        core::mem::replace(&mut self.limit, named).rate != rate
    }

    /// Notes what another instance was told of its limit.
    pub(super) fn merge_limit(&mut self, told: Limit) {
        if self.limit.is_older_than(&told) {
            self.limit = told;
        }
    }

    /// Time since its own last report of its requests; since it was listed, if
    /// there is none.
    #[must_use]
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.reported_at)
    }

    /// Whether an object was handled lately, as far as this instance knows.
    #[must_use]
    pub fn has_object(&self, now: Time, object: u32) -> bool {
        let found = self.objects.binary_search_by_key(&object, |h| h.object);
        found.is_ok_and(|at| now.since(self.objects[at].at) < WARM_SPAN)
    }

    /// Notes that it has handled an object, for this instance or for another.
    /// Says whether that is news.
    pub fn record_object(&mut self, now: Time, object: u32, own: bool) -> bool {
        let held = WarmObject {
            object,
            at: now,
            own,
        };
        match self.objects.binary_search_by_key(&object, |h| h.object) {
            Ok(at) => {
                let known = self.objects[at];
                let lapsed = now.since(known.at) >= WARM_SPAN;
                // Another's word doesn't make what was seen here its own.
                if own || !known.own || lapsed {
                    self.objects[at] = held;
                }
                lapsed || own && !known.own
            }
            Err(at) => {
                self.objects.insert(at, held);
                if self.objects.len() > WARM_MOST {
                    self.objects.retain(|h| now.since(h.at) < WARM_SPAN / 2);
                }
                true
            }
        }
    }

    /// It has forgotten all objects.
    pub(super) fn clear_objects(&mut self) {
        self.objects.clear();
    }

    /// Objects that this instance sent there lately.
    pub(super) fn own_objects(&self, now: Time) -> impl Iterator<Item = u32> {
        let own = move |h: &&WarmObject| h.own && now.since(h.at) < WARM_SPAN;
        self.objects.iter().filter(own).map(|h| h.object)
    }

    /// Requests of this instance sent to it within `span`, which is [`COLD_WINDOW`] or
    /// that of its limit.
    #[must_use]
    pub fn sent_within(&self, now: Time, span: Duration) -> usize {
        let recent = |at: &&Time| now.since(**at) < span;
        self.sent_at.iter().rev().take_while(recent).count()
    }

    /// When this instance last sent it a request, if that is remembered.
    pub(super) fn last_sent(&self) -> Option<Time> {
        self.sent_at.back().copied()
    }

    /// Notes a request sent to it; those older than `span` are forgotten.
    pub fn record_sent(&mut self, now: Time, span: Duration) {
        self.in_flight += 1;
        while self
            .sent_at
            .front()
            .is_some_and(|at| now.since(*at) >= span)
        {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }

    /// Notes an answer, with the time it took over the time expected.
    pub fn record_answer(&mut self, now: Time, ratio: Option<f64>) {
        self.failure_streak = 0;
        self.ejected_until = Time::ZERO;
        self.health.record_answer(now, ratio);
    }

    /// Notes that it couldn't be reached or broke off: it gets nothing for a
    /// while, or each request would find out anew.
    pub fn eject(&mut self, now: Time) {
        self.health.record_failure(now);
        let factor = 1 << self.failure_streak.min(4);
        self.failure_streak += 1;
        self.ejected_until = now + (ASIDE_FIRST * factor).min(ASIDE_MOST);
    }
}
