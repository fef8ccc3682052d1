//! State of one target: its latest entry in service discovery, and what this
//! instance has learned of its load, health, limit and warm objects.
//!
//! Invariant: a target that has announced that it is about to stop, in service
//! discovery or in an answer, receives no request under the same incarnation any more,
//! unless it is the last resort for a request in the time for which it serves yet.

use core::net::SocketAddr;
use core::time::Duration;
use std::collections::VecDeque;
use std::sync::Arc;

use super::backoff::Backoff;
use super::hash;
use super::health::Health;
use super::limit::Limit;
use super::members;
use super::notice::TargetNotice;
use super::report::Report;
use crate::clock::Time;

/// Service discovery's entry of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Name of the target; it mostly changes with each start.
    pub id: Arc<str>,
    /// Name of its service.
    pub service: Arc<str>,
    /// Address on which it listens for requests.
    pub addr: SocketAddr,
    /// Name of its failure domain.
    pub domain: Arc<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether the target has announced that it is about to stop.
    pub draining: bool,
    /// Sequence number of its entry since its start.
    pub seq: u64,
    /// Remaining time for which it is cold after its start.
    pub cold: Duration,
    /// Start time by the target's own clock, which distinguishes incarnations; 0 if the
    /// entry doesn't tell it.
    pub incarnation: u64,
}

impl Entry {
    /// Place of this entry among the target's reports; `None` if it can't be told.
    #[must_use]
    pub fn report(&self) -> Option<Report> {
        (self.incarnation != 0).then_some(Report {
            incarnation: self.incarnation,
            seq: self.seq,
        })
    }
}

/// Report of a target on itself, sent along with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Feedback {
    /// Requests running or queued at the target, the answered one included.
    pub load: Option<u32>,
    /// Time that work takes on the target's machine at that moment, as a multiple of the
    /// usual one.
    pub slowdown: Option<f64>,
    /// Largest rate that it accepts from all instances together, in requests per
    /// second.
    pub limit: Option<f64>,
    /// Time for which it asks this instance to send it nothing.
    pub backoff: Option<Duration>,
    /// Whether it is about to stop.
    pub is_leaving: bool,
}

/// What an answer has changed in the state of its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedbackEffect {
    /// Whether its rate limit is another one than before.
    pub limit_changed: bool,
    /// Whether it is the first one to report that the target is about to stop.
    pub began_leaving: bool,
}

/// Time since its last request for which an object counts as warm at a target. A
/// target evicts objects by their number, which isn't known here.
const WARM_TIME: Duration = Duration::from_mins(1);

/// Warm objects remembered per target; above it, those older than half of
/// [`WARM_TIME`] are dropped.
const WARM_OBJECTS_MAX: usize = 256;

/// Window over which requests to a cold target are counted. The bound is on the
/// requests that arrive within one second; the rest covers differences in delay.
pub const COLD_WINDOW: Duration = Duration::from_millis(1250);

/// Time before the end of a target's drain from which it is no last resort any more:
/// the request has to reach it and to be served.
const LAST_RESORT_RESERVE: Duration = Duration::from_millis(500);

/// Ejection time after the first failure to reach a target; it doubles with each
/// further consecutive failure.
const EJECTION_TIME_MIN: Duration = Duration::from_millis(400);

/// Longest ejection time.
const EJECTION_TIME_MAX: Duration = Duration::from_secs(3);

/// An object that is warm at a target.
#[derive(Clone, Copy, Debug)]
struct WarmObject {
    /// Short hash of the object.
    object: u32,
    /// Time of its last request.
    at: Time,
    /// Whether this instance sent the request. Only such objects are reported to
    /// other instances; otherwise they would pass a report to and fro for ever.
    is_own: bool,
}

/// What a target asked of instances in its answers. It holds for the incarnation, also
/// while service discovery doesn't list it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Asked {
    /// Backoff that it asked of this instance.
    backoff: Backoff,
    /// End of a backoff that it asked of other instances.
    others_backoff_until: Time,
    /// Time at which it first reported in an answer that it is about to stop.
    leaving_since: Option<Time>,
    /// Whether it reported that to this instance itself.
    has_announced_stop: bool,
}

impl Asked {
    /// Whether any of it still holds.
    pub(super) fn holds(&self, now: Time) -> bool {
        self.leaving_since.is_some()
            || self.backoff.left(now).is_some()
            || now < self.others_backoff_until
    }
}

/// A target with all that this instance knows of it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Latest entry in service discovery.
    pub entry: Entry,
    /// Region of its failure domain.
    pub region: Arc<str>,
    /// Whether the target is no longer listed in service discovery.
    pub is_gone: bool,
    /// Requests of this instance that are in flight to it.
    pub in_flight: u32,
    /// Requests of this instance that wait for it, counted anew in each step.
    pub reserved: u32,
    /// Whether the roster has it among the targets that this instance has contacted.
    pub(super) is_contacted: bool,
    /// Requests of other instances at the target's last load report.
    others_load: f64,
    /// Time of the last load report; of the first entry before one.
    reported_at: Time,
    /// Last report of how long work takes on its machine, as a multiple of the usual
    /// time, and when it was received.
    slowdown: Option<(f64, Time)>,
    limit: Limit,
    asked: Asked,
    /// Requests that other instances have in flight to it, by their heartbeats.
    pub(super) peers_in_flight: u32,
    /// Requests that further instances have in flight to it, by their load reports.
    pub(super) reported_in_flight: u32,
    /// 32-bit hash of its name, used in heartbeats.
    short_hash: u32,
    /// 64-bit hash of its name, used for placement.
    hash: u64,
    /// Time at which it is dropped unless it is listed again.
    pub(super) drop_at: Option<Time>,
    /// Slowness, failures and refusals.
    pub health: Health,
    /// Consecutive failures to reach it.
    failure_streak: u32,
    ejected_until: Time,
    pub(super) cold_until: Time,
    /// Times of this instance's recent requests, oldest first.
    sent_at: VecDeque<Time>,
    /// Warm objects, sorted by hash.
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
            is_contacted: false,
            others_load: 0.0,
            reported_at: now,
            slowdown: None,
            limit: Limit::NONE,
            asked: Asked::default(),
            peers_in_flight: 0,
            reported_in_flight: 0,
            drop_at: None,
            health: Health::default(),
            failure_streak: 0,
            ejected_until: Time::ZERO,
            cold_until,
            sent_at: VecDeque::new(),
            objects: Vec::new(),
        }
    }

    /// Starts anew by an entry of another incarnation or address. Requests of before may
    /// still be in flight.
    pub(super) fn restart(&mut self, now: Time, entry: Entry, region: Arc<str>) {
        let is_contacted = self.is_contacted;
        let in_flight = self.in_flight;
        *self = Self::new(now, entry, region);
        self.in_flight = in_flight;
        self.is_contacted = is_contacted;
    }

    /// Whether this instance remembers anything of its contact with the target that it
    /// reports to others.
    pub(super) fn holds_contact(&self, now: Time) -> bool {
        self.in_flight > 0
            || self.limit.is_reported(now)
            || self.asked.holds(now)
            || self.own_objects(now).next().is_some()
    }

    /// The 32-bit hash of its name, by which heartbeats identify it.
    #[must_use]
    pub const fn short_hash(&self) -> u32 {
        self.short_hash
    }

    /// The 64-bit hash of its name.
    #[must_use]
    pub const fn hash(&self) -> u64 {
        self.hash
    }

    /// Whether the target is listed and has not announced that it is about to stop.
    #[must_use]
    pub fn is_available(&self) -> bool {
        !self.is_gone && !self.entry.draining && self.asked.leaving_since.is_none()
    }

    /// Whether the target is about to stop by its own answers alone, and serves for a
    /// while yet; `drain` is the time for which targets do after they announce it.
    pub(super) fn is_last_resort(&self, now: Time, drain: Duration) -> bool {
        let is_serving = |since| now + LAST_RESORT_RESERVE < since + drain;
        !self.is_gone && !self.entry.draining && self.asked.leaving_since.is_some_and(is_serving)
    }

    /// Whether the target is ejected after failures to reach it.
    #[must_use]
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Whether the target is cold after its start or an evacuation.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Marks the target as cold until a time, as after an evacuation of its domain.
    pub fn mark_cold(&mut self, until: Time) {
        self.cold_until = self.cold_until.max(until);
    }

    /// Estimated number of requests at the target or reserved for it. The load of other
    /// instances by the target's last report decays with the time constant
    /// `decay_time`, and counts if it exceeds what these report.
    #[must_use]
    pub fn load(&self, now: Time, decay_time: Duration) -> f64 {
        let mut others = f64::from(self.others_in_flight());
        if self.others_load > 0.0 {
            let age =
                now.since(self.reported_at).as_secs_f64() / decay_time.as_secs_f64().max(0.001);
            others = others.max(self.others_load * (-age).exp());
        }
        f64::from(self.in_flight + self.reserved) + others
    }

    /// Requests that other instances have in flight to it, by their reports and heartbeats;
    /// each sender's count once.
    #[must_use]
    pub const fn others_in_flight(&self) -> u32 {
        self.peers_in_flight.saturating_add(self.reported_in_flight)
    }

    /// Records the target's load report: `present` counts requests running and queued
    /// there, including the answered one, which still counts as in flight here.
    pub fn record_load(&mut self, now: Time, present: u32) {
        self.others_load = f64::from(present.saturating_sub(self.in_flight));
        self.reported_at = now;
    }

    /// Records how long work takes on its machine, as a multiple of the usual time.
    pub fn record_slowdown(&mut self, now: Time, slowdown: f64) {
        self.slowdown = Some((slowdown, now));
    }

    /// The last report of how long work takes on its machine, as a multiple of the usual
    /// time, and its age.
    #[must_use]
    pub fn slowdown(&self, now: Time) -> Option<(f64, Duration)> {
        self.slowdown.map(|(factor, at)| (factor, now.since(at)))
    }

    /// The rate limit that it reports, in requests per second.
    #[must_use]
    pub const fn limit(&self) -> Option<f64> {
        self.limit.rate
    }

    /// The rate limit, with the time at which it was reported.
    pub(super) const fn limit_state(&self) -> &Limit {
        &self.limit
    }

    /// Records the rate limit in an answer to this instance; `None` lifts it. Returns
    /// whether the limit has changed.
    pub fn update_limit(&mut self, now: Time, rate: Option<f64>) -> bool {
        let limit = self.limit.updated(now, rate);
        core::mem::replace(&mut self.limit, limit).rate != rate
    }

    /// Adopts a rate limit that it reported to another instance, if that is newer.
    pub(super) fn merge_limit(&mut self, limit: Limit) {
        if self.limit.is_older_than(&limit) {
            self.limit = limit;
        }
    }

    /// Remaining time of the backoff that it asked of this instance, if any.
    #[must_use]
    pub fn backoff_left(&self, now: Time) -> Option<Duration> {
        self.asked.backoff.left(now)
    }

    /// What it asked of instances.
    pub(super) const fn asked(&self) -> &Asked {
        &self.asked
    }

    /// Takes up what the same incarnation asked before it was unlisted.
    pub(super) const fn resume(&mut self, asked: Asked) {
        self.asked = asked;
        self.is_contacted = true;
    }

    /// The backoff that it asked of this instance.
    pub(super) const fn backoff(&self) -> &Backoff {
        &self.asked.backoff
    }

    /// Time since it first reported in an answer that it is about to stop.
    #[must_use]
    pub fn leaving_age(&self, now: Time) -> Option<Duration> {
        self.asked.leaving_since.map(|since| now.since(since))
    }

    /// Records a backoff that it asked of this instance, of which `backoff_max` counts, and
    /// whether it is about to stop, by one of its answers. Returns whether that is the first one to say so.
    pub(super) fn record_requests(
        &mut self,
        now: Time,
        feedback: &Feedback,
        backoff_max: Duration,
    ) -> bool {
        if let Some(span) = feedback.backoff {
            self.asked.backoff.extend(now, span.min(backoff_max));
        }
        let began_leaving = feedback.is_leaving && !self.asked.has_announced_stop;
        if began_leaving {
            self.asked.leaving_since.get_or_insert(now);
            self.asked.has_announced_stop = true;
        }
        began_leaving
    }

    /// Whether it has announced to this instance itself that it is about to stop.
    #[must_use]
    pub(super) const fn has_announced_stop(&self) -> bool {
        self.asked.has_announced_stop
    }

    /// Whether a backoff lasts that it asked of this or another instance.
    #[must_use]
    pub fn backs_off(&self, now: Time) -> bool {
        now < self.asked.others_backoff_until || self.backoff_left(now).is_some()
    }

    /// Records what it told another instance.
    pub(super) fn note(&mut self, now: Time, notice: &TargetNotice) {
        self.asked.others_backoff_until = self.asked.others_backoff_until.max(now + notice.backoff);
        if notice.is_leaving {
            self.asked.leaving_since.get_or_insert(now);
        }
    }

    /// Time since its last load report, or since it was first listed.
    #[must_use]
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.reported_at)
    }

    /// Whether an object is warm there, as far as this instance knows.
    #[must_use]
    pub fn has_object(&self, now: Time, object: u32) -> bool {
        let found = self.objects.binary_search_by_key(&object, |o| o.object);
        found.is_ok_and(|at| now.since(self.objects[at].at) < WARM_TIME)
    }

    /// Records a request for an object, sent by this instance if `is_own`. Returns
    /// whether the object was not warm before, or only by reports of other instances.
    pub fn record_object(&mut self, now: Time, object: u32, is_own: bool) -> bool {
        let warm_object = WarmObject {
            object,
            at: now,
            is_own,
        };
        match self.objects.binary_search_by_key(&object, |o| o.object) {
            Ok(at) => {
                let known = self.objects[at];
                let is_expired = now.since(known.at) >= WARM_TIME;
                // A report of another instance doesn't replace what was seen here.
                if is_own || !known.is_own || is_expired {
                    self.objects[at] = warm_object;
                }
                is_expired || is_own && !known.is_own
            }
            Err(at) => {
                self.objects.insert(at, warm_object);
                if self.objects.len() > WARM_OBJECTS_MAX {
                    self.objects.retain(|o| now.since(o.at) < WARM_TIME / 2);
                }
                true
            }
        }
    }

    /// Forgets all objects, as the target has.
    pub(super) fn clear_objects(&mut self) {
        self.objects.clear();
    }

    /// Objects that are warm by this instance's own requests.
    pub(super) fn own_objects(&self, now: Time) -> impl Iterator<Item = u32> {
        let is_recent = move |o: &&WarmObject| o.is_own && now.since(o.at) < WARM_TIME;
        self.objects.iter().filter(is_recent).map(|o| o.object)
    }

    /// Number of requests that this instance sent to it within `span`, which is
    /// [`COLD_WINDOW`] or the window of its rate limit.
    #[must_use]
    pub fn sent_within(&self, now: Time, span: Duration) -> usize {
        let is_recent = |at: &&Time| now.since(**at) < span;
        self.sent_at.iter().rev().take_while(is_recent).count()
    }

    /// Time of this instance's last request to it, if it is remembered.
    pub(super) fn last_sent(&self) -> Option<Time> {
        self.sent_at.back().copied()
    }

    /// Records a request sent to it; the times of those older than `span` are dropped.
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

    /// Records that it refused a request sent at `sent_at`. One that asked for a backoff
    /// is avoided by that alone.
    pub(super) fn record_refusal(&mut self, now: Time, sent_at: Time) {
        if !self.asked.backoff.was_asked_since(sent_at) {
            self.health.record_refusal(now);
        }
    }

    /// Records an answer to a request sent at `sent_at`, with its latency over the
    /// expected one if that is known.
    pub fn record_answer(&mut self, now: Time, sent_at: Time, ratio: Option<f64>) {
        self.asked.backoff.record_answer(sent_at);
        self.failure_streak = 0;
        self.ejected_until = Time::ZERO;
        self.health.record_answer(now, ratio);
    }

    /// Forgets failures to reach the target, as they were not its own.
    pub(super) fn readmit(&mut self) {
        self.health.forget_failures();
        self.failure_streak = 0;
        self.ejected_until = Time::ZERO;
    }

    /// Ejects the target for a while because it couldn't be reached or the connection was lost;
    /// otherwise each request would have to find out by itself.
    pub fn eject(&mut self, now: Time) {
        self.health.record_failure(now);
        let factor = 1 << self.failure_streak.min(4);
        self.failure_streak += 1;
        self.ejected_until = now + (EJECTION_TIME_MIN * factor).min(EJECTION_TIME_MAX);
    }
}
