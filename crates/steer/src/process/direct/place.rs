//! Placement: the choice of a target for a request.
//!
//! The cost of a target is the expected time until the answer: the wait for a
//! slot, the service time, a penalty for a target that is slow or fails, and the
//! way there. A target where the object is warm needs a fraction of the service
//! time, so that a short wait for it beats an idle target that starts cold.
//!
//! Invariant: only eligible targets are chosen: listed, not draining, not ejected,
//! in no evacuated domain, in a region that route and team allow, not tried before, past
//! any backoff that they asked for, and, while cold or limited, within this instance's allotment of what they take.

use core::cmp::Ordering;

use super::hash::rendezvous_weight;
use super::health::Baseline;
use super::job::Job;
use super::mechanisms::Mechanism;
use super::members::name_hash;
use super::spillover::Outlook;
use super::target::{COLD_WINDOW, Target};
use super::{Direct, REPORT_DECAY_TIME, hash, short_hash, unit_interval};
use crate::clock::Time;

/// Targets among which one is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pool {
    /// Those of the local region.
    Local,
    /// Those of the other regions.
    Remote,
    /// Those of any region that are about to stop and serve for a while yet.
    LastResort,
}

/// A target chosen for a request.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Index of the target in the roster.
    pub index: usize,
    /// Expected seconds until the answer, penalties included.
    pub cost: f64,
    /// Value compared between targets, the lowest first: the cost to this request,
    /// and the weighted cost of wasted work to others.
    rank: f64,
    /// Whether it is to be chosen only if no other one is left, as its region is full.
    is_avoided: bool,
    /// Expected seconds until a slot is free; 0 if one is.
    pub wait: f64,
    /// Whether the target has room, so that the request may be sent now.
    pub has_room: bool,
    /// Expected service time in seconds, for a target that is not slow.
    pub service_time: f64,
    /// Whether the request's object is warm at the target.
    pub warm: bool,
}

/// Additional seconds assumed for a request to another region. Traffic between
/// regions is also paid for by the byte.
const CROSS_REGION_SECONDS: f64 = 0.15;

/// Factor by which the cost in the local region must exceed that in another one for
/// a request that would be late in both: a local one causes no traffic between regions.
const REMOTE_GAIN_RATIO_MIN: f64 = 1.5;

/// Part of a region's slot deficit at which the spillover share starts.
const SLOT_DEFICIT_USED_RATIO: f64 = 1.0;

/// Part of a cold target's bound that instances use. The rest covers instances
/// that don't know yet that the target is cold: the update takes up to half a second,
/// and a busy target receives about seven requests per second.
const COLD_USED_RATIO: f64 = 0.75;

/// Factor on the service time at a cold target.
const COLD_TARGET_SLOWDOWN: f64 = 2.0;

/// Requests that may queue at a target beyond its slots. Without one, a slot is
/// idle from each answer until the next request has arrived.
const TARGET_QUEUE_MAX: f64 = 1.0;

/// Weight of the additional work for a cold object, beyond what it costs the
/// request itself. Such a request takes a slot several times as long, which loads
/// the targets further, which in turn sends more objects to targets where they are
/// cold.
const WASTED_WORK_WEIGHT: f64 = 5.0;

/// Preferred targets of an object in a region: one, and a second for objects that
/// are requested more often than one target can serve.
const PREFERRED_MAX: usize = 2;

/// Largest weight of wasted work at the second preferred target while the region
/// has slots to spare. All instances overflow to that target, so the object is cold
/// there only once. While every object is cold, as after a start, each overflow is
/// one more cold request, and in a full region it takes a slot from warm objects.
const SECOND_WASTED_WORK_WEIGHT_MAX: f64 = 3.0;

/// Cost of a failed request that may be retried, in latency objectives.
const RETRY_COST: f64 = 2.0;

/// Cost of a failed request that may not be retried, in latency objectives: nobody
/// knows whether it ran.
const LOST_COST: f64 = 10.0;

/// Least slowness that costs use.
const SLOWNESS_MIN: f64 = 0.5;

/// Odd, so that the order of equal targets differs between instances.
const TURN_MULTIPLIER: u32 = 0x9E37_79B1;

impl Direct {
    /// Chooses the best target for a request in the region decided for it, or in the
    /// others if that has none; `None` if no target can be used now.
    pub(super) fn place(&self, now: Time, job: &Job) -> Option<Place> {
        // A relay of another region has its own region's targets nearer.
        let is_far =
            self.is_cut_off() && !self.has_relay_in(now, &job.request, &self.identity.region);
        let (first, second) = match job.is_remote {
            Some(true) => (Pool::Remote, Pool::Local),
            _ if is_far => (Pool::Remote, Pool::Local),
            _ => (Pool::Local, Pool::Remote),
        };
        if let Some(place) = self.best(now, job, first) {
            return Some(place);
        }
        if first == Pool::Local && self.has_local_target(job) {
            // The local region has targets that can't be used for a moment only.
            return None;
        }
        let place = self.best(now, job, second);
        place.or_else(|| self.best(now, job, Pool::LastResort))
    }

    /// Returns whether a request would be better off in another region, `None` if it
    /// has no choice, what other regions report, and the position of its object from 0 to
    /// 1, by which spillover selects objects.
    ///
    /// A request counts only if its wait exceeds the additional time of another
    /// region: one that is late because its object is cold would be as late there,
    /// and would leave the object to be loaded in two regions.
    pub(super) fn spillover_pressure(&self, now: Time, job: &Job) -> (Option<bool>, Outlook, f64) {
        let position = match job.request.object {
            Some(object) => unit_interval(hash(&object.to_le_bytes())),
            None => 0.5,
        };
        let Some(local) = self.best(now, job, Pool::Local) else {
            let has_choice = self.is_local_limited(now, job) && self.has_remote(now, job);
            // Slots say nothing of targets that are at their limits.
            return (has_choice.then_some(true), Outlook::Unknown, position);
        };
        let goal = job.request.route.latency_goal.as_secs_f64();
        if local.cost <= goal || local.wait <= CROSS_REGION_SECONDS {
            let pressure = self.has_remote(now, job).then_some(false);
            return (pressure, self.outlook(now, job), position);
        }
        let remote = self.best(now, job, Pool::Remote);
        let view = self.region_view(&job.service);
        let is_gain = |remote: Place| {
            let region = &self.roster.all()[remote.index].region;
            let is_faster = remote.cost <= goal || remote.cost * REMOTE_GAIN_RATIO_MIN < local.cost;
            is_faster && view.is_none_or(|v| v.may_gain(region))
        };
        (remote.map(is_gain), self.outlook(now, job), position)
    }

    /// Whether another region has a usable target for a request.
    fn has_remote(&self, now: Time, job: &Job) -> bool {
        let mut all = self.pool_of(&job.service, Pool::Remote);
        all.any(|(_, target)| self.is_usable(now, job, target, Pool::Remote))
    }

    /// Targets of a service among which those of a pool are, with their indexes.
    pub(super) fn pool_of<'a>(
        &'a self,
        service: &str,
        pool: Pool,
    ) -> impl Iterator<Item = (usize, &'a Target)> {
        let region = (pool == Pool::Local).then_some(&*self.identity.region);
        self.roster.of(service, region)
    }

    /// The share of a service's requests that this region has too few slots for, by what
    /// other regions report or else on the assumption that all regions receive the same
    /// traffic. The spillover share starts there.
    pub(super) fn slot_deficit(&self, now: Time, service: &str) -> f64 {
        let mut slots: Vec<(&str, f64)> = Vec::new();
        for (_, target) in self.roster.of_service(service) {
            if !target.is_available() {
                continue;
            }
            let count = f64::from(target.entry.slots);
            match slots.iter_mut().find(|s| s.0 == &*target.region) {
                Some(found) => found.1 += count,
                None => slots.push((&target.region, count)),
            }
        }
        if let Some(deficit) = self.reported_deficit(now, service, &slots) {
            return deficit * SLOT_DEFICIT_USED_RATIO;
        }
        let total: f64 = slots.iter().map(|s| s.1).sum();
        let local = slots.iter().find(|s| s.0 == &*self.identity.region);
        let local = local.map_or(0.0, |s| s.1);
        #[allow(clippy::cast_precision_loss, reason = "regions are few")]
        let mean = total / slots.len().max(1) as f64;
        if mean <= 0.0 {
            return 0.0;
        }
        (1.0 - local / mean).clamp(0.0, 1.0) * SLOT_DEFICIT_USED_RATIO
    }

    /// Load of a service's targets in the local region over their slots; 1 if there
    /// are none.
    pub(super) fn local_utilization(&self, now: Time, service: &str) -> f64 {
        let region = Some(&*self.identity.region);
        self.utilization_where(now, service, region, |_| true)
    }

    /// Utilization of the targets in the regions where a request is to run: the local
    /// region or, if `is_remote` or the local one is not allowed, the others.
    pub(super) fn utilization_for(&self, now: Time, job: &Job, is_remote: bool) -> f64 {
        let local_region = &self.identity.region;
        let is_remote = is_remote || !job.request.allows(local_region);
        let region = (!is_remote).then_some(&**local_region);
        self.utilization_where(now, &job.service, region, |target| {
            (target.region != *local_region) == is_remote && job.request.allows(&target.region)
        })
    }

    /// Utilization of a service's targets, in one region if it is given, that `fits`
    /// holds for.
    fn utilization_where(
        &self,
        now: Time,
        service: &str,
        region: Option<&str>,
        fits: impl Fn(&Target) -> bool,
    ) -> f64 {
        let (mut load, mut slots) = (0.0, 0.0);
        for (_, target) in self.roster.of(service, region) {
            let is_usable = target.is_available()
                && !self.roster.is_evacuated(&target.entry.domain)
                && !target.backs_off(now);
            if is_usable && fits(target) {
                load += self.load(now, target);
                slots += f64::from(target.entry.slots);
            }
        }
        if slots > 0.0 { load / slots } else { 1.0 }
    }

    /// Whether the local region has a target for a request that may be usable soon.
    fn has_local_target(&self, job: &Job) -> bool {
        let is_candidate = |t: &Target| {
            t.is_available()
                && job.request.allows(&t.region)
                && !self.roster.is_evacuated(&t.entry.domain)
                && !job.excludes(&t.entry.id)
                && self.reopens_in_time(t, job)
        };
        self.pool_of(&job.service, Pool::Local)
            .any(|(_, t)| is_candidate(t))
    }

    /// Whether a target of the local region would be usable but for the rate limit that
    /// it reports.
    fn is_local_limited(&self, now: Time, job: &Job) -> bool {
        let mut all = self.pool_of(&job.service, Pool::Local);
        all.any(|(_, t)| {
            self.is_eligible(now, job, t, Pool::Local) && !self.is_within_limit(now, t)
        })
    }

    /// The usable target of lowest rank in a pool.
    fn best(&self, now: Time, job: &Job, pool: Pool) -> Option<Place> {
        let route = &job.request.route;
        let goal = route.latency_goal.as_secs_f64();
        let estimate = self.estimate(job);
        let mechanisms = self.mechanisms;
        let object = job
            .request
            .object
            .filter(|_| mechanisms.has(Mechanism::PreferredTargets));
        let preferred = object.map_or([None; PREFERRED_MAX], |o| self.preferred(now, job, o, pool));
        let waste_weight = if mechanisms.has(Mechanism::WastedWork) {
            WASTED_WORK_WEIGHT
        } else {
            0.0
        };
        let queue_max = if mechanisms.has(Mechanism::LocalQueue) {
            TARGET_QUEUE_MAX
        } else {
            f64::INFINITY
        };
        let failure_cost = if route.is_idempotent {
            RETRY_COST
        } else {
            LOST_COST
        };
        let own_hash = name_hash(&self.identity.name);
        let turn = |t: &Target| (t.short_hash() ^ own_hash).wrapping_mul(TURN_MULTIPLIER);
        let view = self.region_view(&job.service);
        let view = view.filter(|_| pool == Pool::Remote);
        let mut best: Option<Place> = None;
        for (index, target) in self.pool_of(&job.service, pool) {
            if !self.is_usable(now, job, target, pool) {
                continue;
            }
            let object = job
                .request
                .object
                .filter(|_| mechanisms.has(Mechanism::Affinity));
            let warm = object.is_some_and(|o| target.has_object(now, short_hash(o)));
            let preference = preferred.iter().position(|p| *p == Some(index));
            let base = match (warm, preference) {
                (true, _) => estimate.warm,
                // Other instances of the region send the object there too, so that it may
                // be warm without this instance's knowledge.
                (false, Some(_)) => f64::midpoint(estimate.warm, estimate.not_warm),
                (false, None) => estimate.not_warm,
            };
            let slowdown = if target.is_cold(now) {
                COLD_TARGET_SLOWDOWN
            } else {
                1.0
            };
            let slowness = if mechanisms.has(Mechanism::Slowness) {
                target.health.slowness(now).max(SLOWNESS_MIN)
            } else {
                1.0
            };
            let seconds = base * slowness * slowdown;
            let slots = f64::from(target.entry.slots.max(1));
            let load = self.load(now, target);
            let excess = load - slots + 1.0;
            let mean = f64::midpoint(estimate.warm, estimate.not_warm);
            let wait = if excess > 0.5 {
                excess * mean * slowness / slots
            } else {
                0.0
            };
            let wait = wait + view.map_or(0.0, |v| v.wait(&target.region, mean));
            let is_avoided = view.is_some_and(|v| v.is_avoided(&target.region));
            let is_local = target.region == self.identity.region;
            let distance = if is_local { 0.0 } else { CROSS_REGION_SECONDS };
            let failures = self.expected_failures(now, target, failure_cost);
            // The load breaks ties.
            let cost = wait + seconds + distance + failures * goal + load * 0.002;
            let waste_weight = match preference {
                Some(0) => 0.0,
                Some(_) if estimate.is_reliable && job.has_spare_slots => {
                    waste_weight.min(SECOND_WASTED_WORK_WEIGHT_MAX)
                }
                _ => waste_weight,
            };
            let rank = cost + (base - estimate.warm) * waste_weight;
            let by_rank = |b: &Place| rank.total_cmp(&b.rank);
            let is_better = |b: &Place| match is_avoided.cmp(&b.is_avoided).then(by_rank(b)) {
                Ordering::Less => true,
                // Without an order of its own, each instance would take the first of all
                // idle targets by name.
                Ordering::Equal => turn(target) < turn(&self.roster.all()[b.index]),
                Ordering::Greater => false,
            };
            if best.as_ref().is_none_or(is_better) {
                best = Some(Place {
                    rank,
                    is_avoided,
                    index,
                    cost,
                    wait,
                    has_room: load < slots + queue_max,
                    service_time: base,
                    warm,
                });
            }
        }
        best
    }

    /// Expected cost of failures and refusals at a target, in latency objectives: each
    /// such request has to start again at another target.
    fn expected_failures(&self, now: Time, target: &Target, failure_cost: f64) -> f64 {
        if !self.mechanisms.has(Mechanism::FailureRate) {
            return 0.0;
        }
        let refusal_rate = if target.backs_off(now) {
            1.0
        } else {
            target.health.refusal_rate(now)
        };
        refusal_rate + target.health.failure_rate(now) * failure_cost
    }

    /// Estimated number of requests at a target, of this and of other instances.
    pub(super) fn load(&self, now: Time, target: &Target) -> f64 {
        if self.mechanisms.has(Mechanism::PeerLoad) {
            target.load(now, REPORT_DECAY_TIME)
        } else {
            f64::from(target.in_flight + target.reserved)
        }
    }

    /// Whether a request may be sent to a target now.
    pub(super) fn is_usable(&self, now: Time, job: &Job, target: &Target, pool: Pool) -> bool {
        self.is_eligible(now, job, target, pool) && self.is_within_limit(now, target)
    }

    /// Whether a target is usable apart from the rate limit that it reports.
    fn is_eligible(&self, now: Time, job: &Job, target: &Target, pool: Pool) -> bool {
        self.is_in_pool(now, target, pool)
            && !target.is_ejected(now)
            && job.request.allows(&target.region)
            && !self.roster.is_evacuated(&target.entry.domain)
            && !job.excludes(&target.entry.id)
            && self.accepts_after_backoff(now, target)
            && (!self.may_be_cold(now, target) || self.has_cold_allotment(now, target))
    }

    /// Whether a target belongs to a pool.
    fn is_in_pool(&self, now: Time, target: &Target, pool: Pool) -> bool {
        let is_local = target.region == self.identity.region;
        match pool {
            Pool::Local => is_local && target.is_available(),
            Pool::Remote => !is_local && target.is_available(),
            Pool::LastResort => target.is_last_resort(now, self.bounds.drain),
        }
    }

    /// Whether a target is cold, or may have become cold without this instance's
    /// knowledge. An instance that is cut off from the store and from all others gets
    /// no such update, although callers still reach it and it reaches targets.
    fn may_be_cold(&self, now: Time, target: &Target) -> bool {
        target.is_cold(now) || self.is_isolated(now)
    }

    /// Whether this instance's allotment of a cold target's bound leaves room for a
    /// request.
    fn has_cold_allotment(&self, now: Time, target: &Target) -> bool {
        // An earlier process of this instance may have sent requests just before
        // this one started, and the other participants aren't known before the store's
        // content is, which instances that start together learn one after the other.
        if !self.has_known_store_for(now, COLD_WINDOW) {
            return false;
        }
        let rate = self
            .routes
            .as_ref()
            .and_then(|r| r.service(&target.entry.service))
            .map_or(0.0, |s| s.cold_rate);
        let total = rate * self.bounds.cold_factor + self.bounds.cold_slack;
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small count"
        )]
        let total = (total * COLD_USED_RATIO).max(0.0) as usize;
        target.sent_within(now, COLD_WINDOW) < self.allotment(total, target)
    }

    /// The preferred targets of an object, the first choice first, as indices in the
    /// roster. They are found by rendezvous hashing, so that instances agree without
    /// communication and few objects move when a target comes or goes. A degraded
    /// target comes last meanwhile, or each request for its objects would be late or
    /// lost; so does one that has asked for a backoff.
    fn preferred(
        &self,
        now: Time,
        job: &Job,
        object: u64,
        pool: Pool,
    ) -> [Option<usize>; PREFERRED_MAX] {
        let is_candidate = |t: &Target| {
            self.is_in_pool(now, t, pool)
                && job.request.allows(&t.region)
                && !self.roster.is_evacuated(&t.entry.domain)
        };
        let uses_shared_health = self.mechanisms.has(Mechanism::SharedHealth);
        let candidates = self.pool_of(&job.service, pool);
        let candidates: Vec<(usize, &Target)> =
            candidates.filter(|(_, t)| is_candidate(t)).collect();
        let view = self.region_view(&job.service);
        let view = view.filter(|_| pool == Pool::Remote);
        let baseline = Baseline::of(now, candidates.iter().map(|(_, t)| &t.health));
        let mut best = [None; PREFERRED_MAX];
        for (index, target) in candidates {
            let is_degraded = uses_shared_health && target.health.is_degraded(now, &baseline);
            let is_healthy = !is_degraded && !target.backs_off(now);
            let has_room = !view.is_some_and(|v| v.is_avoided(&target.region));
            let mut next = Some((
                (
                    has_room,
                    is_healthy,
                    rendezvous_weight(target.hash(), object),
                ),
                index,
            ));
            for choice in &mut best {
                if next > *choice {
                    core::mem::swap(&mut next, choice);
                }
            }
        }
        best.map(|choice| choice.map(|(_, index)| index))
    }
}
