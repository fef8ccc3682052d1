//! Which target a request is best sent to.
//!
//! The cost of a target is the time until the answer: the wait for a slot, the
//! work, more where it is slow or fails, and the way there. A target that
//! handled the object lately needs a fraction of the work, so a short wait for
//! it is better than an idle one that has to begin from nothing.
//!
//! Invariant: only targets that may be used are placed on: known, not leaving,
//! in no evacuated domain, in a region that the route allows, not tried before,
//! and, while cold or limited, within this instance's part of what they take.

use super::health::Baseline;
use super::job::Job;
use super::mechanisms::Mechanism;
use super::target::{COLD_SPAN, Target};
use super::{Direct, REPORT_DECAY_TIME, hash, short_hash, unit_interval};
use crate::clock::Time;

/// A target for a request.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Its place in the roster.
    pub index: usize,
    /// Seconds until the answer.
    pub cost: f64,
    /// What it is compared by: the cost to this request and to others.
    rank: f64,
    /// Seconds of that until a slot is free; 0 if one is.
    pub wait: f64,
    /// Whether it may be sent there now.
    pub open: bool,
    /// Seconds of work.
    pub work: f64,
    /// Whether the object is warm there.
    pub warm: bool,
}

/// Seconds that a request to another region takes longer, until measured. What
/// crosses regions is paid by the byte besides.
const FAR: f64 = 0.15;

/// How much dearer than home another region may look before it is used: home
/// costs no bytes between regions.
const FAR_GAIN: f64 = 1.5;

/// Part of what a region lacks by its share of the slots that is sent elsewhere
/// from the start.
const LACK: f64 = 1.0;

/// Part of what a cold target bears that instances send it knowingly. The rest
/// is for those that haven't heard yet that it is cold: news takes up to half a
/// second, and a busy target gets some seven requests a second.
const COLD_USED: f64 = 0.75;

/// How much slower a cold target is.
const COLD: f64 = 2.0;

/// Requests that may wait at a target beyond its slots. Without one a slot lies
/// idle from each answer until the next request has come all the way.
const EXTRA: f64 = 1.0;

/// What work in vain counts over what it costs the request itself. An object
/// sent to an idle target that doesn't hold it takes a slot several times as
/// long, which fills the targets further, which sends more objects astray.
const SOCIAL: f64 = 5.0;

/// Targets of a region that an object belongs to: one, and another for objects
/// that are asked for more often than one target can bear.
const PREFERRED: usize = 2;

/// What work in vain counts at the second of them, while the region has slots to
/// spare. All instances spill there, so the object is cold there once; but while
/// everything is cold, as after a start, each spill is one more cold run, and in
/// a full region it takes a slot from objects that are warm.
const SECOND: f64 = 3.0;

/// Latency objectives that a failed request costs: it begins anew, or it is lost
/// since nobody knows whether it ran.
const AGAIN: f64 = 2.0;
const LOST: f64 = 10.0;

/// Smallest slowness that estimates use.
const SLOW_LEAST: f64 = 0.5;

impl Direct {
    /// The best target for a request now, if any can be used.
    pub(super) fn place(&self, now: Time, job: &Job) -> Option<Place> {
        let near = job.elsewhere != Some(true);
        if let Some(place) = self.best(now, job, near) {
            return Some(place);
        }
        if near && self.has_home(job) {
            // Home has targets, which can't be used for a moment only.
            return None;
        }
        self.best(now, job, !near)
    }

    /// Whether a request would be better off in another region, and how its
    /// object stands among them. `None` if it has no choice.
    ///
    /// Only a wait that is longer than the way there counts: a request that is
    /// late because its object is cold is as late elsewhere, and leaves its
    /// object cold in two regions.
    pub(super) fn pressure(&self, now: Time, job: &Job) -> (Option<bool>, f64) {
        let position = match job.ask.object {
            Some(object) => unit_interval(hash(&object.to_le_bytes())),
            None => 0.5,
        };
        let near = self.best(now, job, true);
        let far = self.best(now, job, false);
        let (near, far) = match (near, far) {
            (Some(near), Some(far)) => (near, far),
            (None, Some(_)) if self.is_home_limited(now, job) => return (Some(true), position),
            _ => return (None, position),
        };
        let goal = job.ask.route.goal.as_secs_f64();
        let late = near.cost > goal;
        let gain = far.cost <= goal || far.cost * FAR_GAIN < near.cost;
        (Some(late && near.wait > FAR && gain), position)
    }

    /// The share of a service's requests that this region lacks room for, if
    /// all regions had the same traffic. Where the spillover starts.
    pub(super) fn lacking(&self, service: &str) -> f64 {
        let mut slots: Vec<(&str, f64)> = Vec::new();
        for (_, target) in self.roster.of_service(service) {
            if !target.is_available() {
                continue;
            }
            let own = f64::from(target.entry.slots);
            match slots.iter_mut().find(|s| s.0 == &*target.region) {
                Some(found) => found.1 += own,
                None => slots.push((&target.region, own)),
            }
        }
        let total: f64 = slots.iter().map(|s| s.1).sum();
        let here = slots.iter().find(|s| s.0 == &*self.identity.region);
        let here = here.map_or(0.0, |s| s.1);
        #[allow(clippy::cast_precision_loss, reason = "regions are few")]
        let fair = total / slots.len().max(1) as f64;
        if fair <= 0.0 {
            return 0.0;
        }
        (1.0 - here / fair).clamp(0.0, 1.0) * LACK
    }

    /// Part of the slots of a service in the own region that are in use.
    pub(super) fn used(&self, now: Time, service: &str) -> f64 {
        self.used_where(now, service, |target| target.region == self.identity.region)
    }

    /// The same of the regions where a request is to run.
    pub(super) fn used_for(&self, now: Time, job: &Job, elsewhere: bool) -> f64 {
        let home = &self.identity.region;
        let far = elsewhere || !job.ask.allows(home);
        self.used_where(now, &job.service, |target| {
            (target.region != *home) == far && job.ask.allows(&target.region)
        })
    }

    fn used_where(&self, now: Time, service: &str, fits: impl Fn(&Target) -> bool) -> f64 {
        let (mut load, mut slots) = (0.0, 0.0);
        for (_, target) in self.roster.of_service(service) {
            let open = target.is_available() && !self.roster.is_evacuated(&target.entry.domain);
            if open && fits(target) {
                load += self.load(now, target);
                slots += f64::from(target.entry.slots);
            }
        }
        if slots > 0.0 { load / slots } else { 1.0 }
    }

    /// Whether the own region has a target that may be used soon.
    fn has_home(&self, job: &Job) -> bool {
        let home = |t: &Target| {
            t.region == self.identity.region
                && t.is_available()
                && job.ask.allows(&t.region)
                && !self.roster.is_evacuated(&t.entry.domain)
                && !job.tried.contains(&t.entry.id)
        };
        self.roster.of_service(&job.service).any(|(_, t)| home(t))
    }

    /// Whether targets of the own region would be usable but for the limits that they
    /// name.
    fn is_home_limited(&self, now: Time, job: &Job) -> bool {
        let mut all = self.roster.of_service(&job.service);
        all.any(|(_, t)| self.is_fit(now, job, t, true) && !self.is_within_limit(now, t))
    }

    fn best(&self, now: Time, job: &Job, near: bool) -> Option<Place> {
        let route = &job.ask.route;
        let goal = route.goal.as_secs_f64();
        let work = self.estimate(job);
        let mechanisms = self.mechanisms;
        let object = job
            .ask
            .object
            .filter(|_| mechanisms.has(Mechanism::PreferredTargets));
        let preferred = object.map_or([None; PREFERRED], |o| self.preferred(now, job, o, near));
        let vain = if mechanisms.has(Mechanism::WastedWork) {
            SOCIAL
        } else {
            0.0
        };
        let extra = if mechanisms.has(Mechanism::LocalQueue) {
            EXTRA
        } else {
            f64::INFINITY
        };
        let lost = if route.idempotent { AGAIN } else { LOST };
        let mut best: Option<Place> = None;
        for (index, target) in self.roster.of_service(&job.service) {
            if !self.is_usable(now, job, target, near) {
                continue;
            }
            let object = job
                .ask
                .object
                .filter(|_| mechanisms.has(Mechanism::Affinity));
            let warm = object.is_some_and(|o| target.has_object(now, short_hash(o)));
            let place = preferred.iter().position(|p| *p == Some(index));
            let base = match (warm, place) {
                (true, _) => work.warm,
                // Others of this region send the object there too.
                (false, Some(_)) => f64::midpoint(work.warm, work.not_warm),
                (false, None) => work.not_warm,
            };
            let cold = if target.is_cold(now) { COLD } else { 1.0 };
            let slowness = if mechanisms.has(Mechanism::Slowness) {
                target.health.slowness(now).max(SLOW_LEAST)
            } else {
                1.0
            };
            let seconds = base * slowness * cold;
            let slots = f64::from(target.entry.slots.max(1));
            let load = self.load(now, target);
            let over = load - slots + 1.0;
            let mean = f64::midpoint(work.warm, work.not_warm);
            let wait = if over > 0.5 {
                over * mean * slowness / slots
            } else {
                0.0
            };
            let far = if near { 0.0 } else { FAR };
            // An ill target fails that share of its requests, each of which
            // has to begin anew elsewhere. Load breaks ties.
            let illness = if mechanisms.has(Mechanism::FailureRate) {
                (target.health.refusal_rate(now) + target.health.failure_rate(now) * lost) * goal
            } else {
                0.0
            };
            let cost = wait + seconds + far + illness + load * 0.002;
            let vain = match place {
                Some(0) => 0.0,
                Some(_) if work.is_reliable && job.spare => vain.min(SECOND),
                _ => vain,
            };
            let rank = cost + (base - work.warm) * vain;
            if best.is_none_or(|b| rank < b.rank) {
                best = Some(Place {
                    rank,
                    index,
                    cost,
                    wait,
                    open: load < slots + extra,
                    work: base,
                    warm,
                });
            }
        }
        best
    }

    /// Requests believed to be at a target.
    pub(super) fn load(&self, now: Time, target: &Target) -> f64 {
        if self.mechanisms.has(Mechanism::PeerLoad) {
            target.load(now, REPORT_DECAY_TIME)
        } else {
            f64::from(target.in_flight + target.reserved)
        }
    }

    fn is_usable(&self, now: Time, job: &Job, target: &Target, near: bool) -> bool {
        self.is_fit(now, job, target, near) && self.is_within_limit(now, target)
    }

    /// Whether a target is usable whatever limit it names.
    fn is_fit(&self, now: Time, job: &Job, target: &Target, near: bool) -> bool {
        (target.region == self.identity.region) == near
            && target.is_available()
            && !target.is_ejected(now)
            && job.ask.allows(&target.region)
            && !self.roster.is_evacuated(&target.entry.domain)
            && !job.tried.contains(&target.entry.id)
            && (!self.may_be_cold(now, target) || self.has_cold_room(now, target))
    }

    /// Whether a target is cold, or may be without this instance's knowledge.
    /// One that is cut off from the store and from all others isn't told; its
    /// callers still reach it, and it still reaches targets.
    fn may_be_cold(&self, now: Time, target: &Target) -> bool {
        target.is_cold(now) || self.is_isolated(now)
    }

    /// Whether a cold target bears another request of this instance.
    fn has_cold_room(&self, now: Time, target: &Target) -> bool {
        // A process that has just started may have an earlier one's requests
        // behind it, and doesn't know yet whom it shares the sum with.
        if now < Time::ZERO + COLD_SPAN {
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
        let total = (total * COLD_USED).max(0.0) as usize;
        target.sent_within(now, COLD_SPAN) < self.allotment(total, target)
    }

    /// The targets of a region that an object belongs to, the first one first:
    /// those of the highest hash of both, so that instances agree without a word
    /// and few objects move when a target comes or goes. One that does poorly
    /// comes last meanwhile, or each request of its objects would be late or
    /// lost.
    fn preferred(
        &self,
        now: Time,
        job: &Job,
        object: u64,
        near: bool,
    ) -> [Option<usize>; PREFERRED] {
        let fits = |t: &Target| {
            (t.region == self.identity.region) == near
                && t.is_available()
                && job.ask.allows(&t.region)
                && !self.roster.is_evacuated(&t.entry.domain)
        };
        let shared = self.mechanisms.has(Mechanism::SharedHealth);
        let fit = self
            .roster
            .of_service(&job.service)
            .filter(|(_, t)| fits(t));
        let fit: Vec<(usize, &Target)> = fit.collect();
        let usual = Baseline::of(now, fit.iter().map(|(_, t)| &t.health));
        let mut best = [None; PREFERRED];
        for (index, target) in fit {
            let well = !shared || !target.health.is_degraded(now, &usual);
            let mut next = Some(((well, weight(target.hash(), object)), index));
            for held in &mut best {
                if next > *held {
                    core::mem::swap(&mut next, held);
                }
            }
        }
        best.map(|held| held.map(|(_, index)| index))
    }
}

fn weight(target: u64, object: u64) -> u64 {
    let mixed = target ^ object;
    let mixed = (mixed ^ (mixed >> 31)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    (mixed ^ (mixed >> 29)).wrapping_mul(0x94D0_49BB_1331_11EB)
}
