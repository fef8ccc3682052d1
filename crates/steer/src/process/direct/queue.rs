//! Decisions on the requests that wait at this instance: which are sent now, and
//! which are rejected.
//!
//! Invariants: more urgent requests are decided on first; a request that can't be
//! answered in time is rejected as soon as that is known, not when its time is
//! over; no request waits beyond the end of this process.

use core::time::Duration;
use std::sync::Arc;

use super::job::{Job, State};
use super::mechanisms::Mechanism;
use super::message::{Assignment, Decision, Rejection, Ticket};
use super::relay::Relay;
use super::spillover::Spillover;
use super::suspect::Suspicion;
use super::urgency::Rank;
use super::{ANSWER_RESERVE, Direct, place, unit_interval};
use crate::clock::Time;

/// Part of a request's latency objective, from its arrival, within which it may be
/// rejected because its answer might be late, and for which it is held while no
/// target can be used. Later rejections leave the caller too little time to come
/// back.
const REJECT_HOLD_RATIO: f64 = 0.125;

/// Part of its latency objective for which a suspect is held while a copy of it is in
/// flight. Most suspects are cleared by that copy's answer.
const SUSPECT_HOLD_RATIO: f64 = 0.5;

/// Factor on the estimated time to an answer; a request is only held if it would
/// be answered in time even so.
const COST_UNCERTAINTY_FACTOR: f64 = 1.5;

/// Part of the shortest expected service time that must be left for a request to
/// be sent at all. Service times scatter widely about their mean; below a quarter
/// of it hardly any answer comes in time, and the slot would be wasted.
const SERVICE_TIME_LEFT_RATIO_MIN: f64 = 0.25;

/// Relays that a request is tried at. Each may take a connect timeout to fail, and its
/// caller had better go elsewhere.
const RELAY_TRIES_MAX: u8 = 3;

/// Utilization of a region's slots below which it has slots to spare.
const SPARE_UTILIZATION_MAX: f64 = 0.6;

/// Least time until a rejected caller is told to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(150);

/// Longest time until a rejected caller is told to come back.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);

impl Direct {
    /// Decides on all waiting requests and returns those to send or reject. Must
    /// be called after each event, and while requests wait at least every
    /// [`STEP_INTERVAL_MAX`](super::STEP_INTERVAL_MAX).
    pub fn step(&mut self, now: Time) -> Vec<Decision> {
        self.expire_loads(now);
        self.update_contentions(now);
        let waiting = self.jobs.iter();
        let waiting = waiting.filter(|j| matches!(j.state, State::Waiting));
        let mut queue: Vec<Rank> = waiting.map(|job| self.rank(now, job)).collect();
        let mut decisions = self.give_up_overdue(now);
        if queue.is_empty() {
            return decisions;
        }
        queue.sort_unstable();
        self.roster.clear_reserved();
        self.update_region_views(now);
        for (_, _, _, ticket) in queue {
            if let Some(decision) = self.decide(now, ticket) {
                decisions.push(decision);
            }
        }
        decisions
    }

    /// Decides on one waiting request; `None` leaves it waiting.
    fn decide(&mut self, now: Time, ticket: Ticket) -> Option<Decision> {
        let at = self.find(ticket).ok()?;
        if let Some(reason) = self.withhold_reason(now, &self.jobs[at].request) {
            return Some(self.reject(now, at, reason, None));
        }
        if !self.stop_allows(now, &self.jobs[at]) {
            // Another instance can take it at once.
            return Some(self.reject(now, at, Rejection::Stopping, Some(Duration::ZERO)));
        }
        match self.suspicion(now, at) {
            Suspicion::None => {}
            Suspicion::Refused => return Some(self.reject(now, at, Rejection::Poison, None)),
            Suspicion::Waits if now < suspect_hold_limit(&self.jobs[at]) => return None,
            Suspicion::Waits => return Some(self.reject(now, at, Rejection::Suspect, None)),
        }
        if let Some(held) = self.admit(now, at) {
            let (reason, after) = held.verdict()?;
            return Some(self.reject(now, at, reason, Some(after)));
        }
        if !self.jobs[at].unreached.is_empty() && self.is_reach_unclear(now) {
            // The probes tell within a moment whether another target can be reached.
            return None;
        }
        if self.jobs[at].is_remote.is_none() {
            self.choose_region(now, at);
        }
        if self.is_too_late(now, &self.jobs[at]) {
            return Some(self.reject(now, at, Rejection::Overload, None));
        }
        let Some(best) = self.place(now, &self.jobs[at]) else {
            return self.reject_without_place(now, at);
        };
        let job = &self.jobs[at];
        let has_room = best.has_room && self.may_take_slot(job, &best);
        if has_room && !self.outlasts_process(now, &best) {
            let relay = if self.is_cut_off() {
                let region = &self.roster.all()[best.index].region;
                let relay = self.choose_relay(now, job, region);
                let Some(relay) = relay.filter(|_| job.refusals < RELAY_TRIES_MAX) else {
                    return Some(self.reject(now, at, Rejection::CutOff, None));
                };
                Some(relay)
            } else {
                None
            };
            if !self.may_retry_now(now, at) {
                return Some(self.reject(now, at, Rejection::NoRetry, None));
            }
            self.record_urgency_sent(at, &best);
            return Some(Decision::Send(self.send(now, at, &best, relay)));
        }
        let may_reject = self.mechanisms.has(Mechanism::EarlyReject);
        if let Some(forecast) = self.forecast(job).filter(|_| may_reject) {
            let finish = self.forecast_finish(now, job, forecast);
            if finish > job.time_limit {
                let reason = self.overload_reason(job, finish);
                let after = Self::retry_after(job, forecast.seconds);
                return Some(self.reject(now, at, reason, Some(after)));
            }
        }
        let waited = now.since(job.arrived).as_secs_f64();
        let goal = job.request.route.latency_goal.as_secs_f64();
        let finish = now + Duration::from_secs_f64(best.cost);
        let will_be_late =
            finish + ANSWER_RESERVE > job.time_limit || self.outlasts_process(now, &best);
        let may_be_late =
            now + Duration::from_secs_f64(best.cost * COST_UNCERTAINTY_FACTOR) > job.time_limit;
        if may_reject && (will_be_late || (may_be_late && waited <= goal * REJECT_HOLD_RATIO)) {
            let reason = self.overload_reason(job, finish);
            let after = Self::retry_after(job, best.wait);
            return Some(self.reject(now, at, reason, Some(after)));
        }
        self.record_urgency_waiting(at, &best);
        self.roster.reserve(best.index);
        None
    }

    /// Whether the answer would probably come after the end of this process, so
    /// that the caller would get none. Another instance can still take the request.
    fn outlasts_process(&self, now: Time, best: &place::Place) -> bool {
        let finish = now + Duration::from_secs_f64(best.cost * COST_UNCERTAINTY_FACTOR);
        self.stop.is_some_and(|stop| stop.is_too_late(finish))
    }

    /// Whether too little time is left for an answer even from a free target where
    /// the object is warm.
    fn is_too_late(&self, now: Time, job: &Job) -> bool {
        let estimate = self.estimate(job);
        now + Duration::from_secs_f64(estimate.warm * SERVICE_TIME_LEFT_RATIO_MIN) > job.time_limit
    }

    /// Rejects a request for which no target can be used now, once it has waited
    /// for a while.
    fn reject_without_place(&mut self, now: Time, at: usize) -> Option<Decision> {
        let job = &self.jobs[at];
        if let Some(after) = self.all_back_off(now, job) {
            return Some(self.reject(now, at, Rejection::BackingOff, Some(after)));
        }
        // A new request or a retry waits, since its targets may be ejected for a
        // moment only.
        let may_wait = now < hold_limit(job) || self.is_reach_unclear(now);
        if may_wait && now + ANSWER_RESERVE < job.time_limit {
            return None;
        }
        Some(self.reject(now, at, Rejection::NoTarget, None))
    }

    /// Removes a request. Its caller may come back `after` that time, or without
    /// it after the time for an idle queue.
    fn reject(
        &mut self,
        now: Time,
        at: usize,
        reason: Rejection,
        after: Option<Duration>,
    ) -> Decision {
        let job = self.jobs.remove(at);
        self.refund_token(now, &job);
        let forecast = self.forecast(&job);
        let is_overload = matches!(reason, Rejection::Overload | Rejection::Yields);
        Decision::Reject {
            ticket: job.ticket,
            reason: job.rejection(reason),
            retry_after: match after {
                Some(after) => after,
                None => Self::retry_after(&job, 0.0),
            },
            forecast: forecast
                .filter(|_| is_overload)
                .map(|f| Duration::from_secs_f64(f.seconds)),
        }
    }

    /// Marks a request as sent to the target at `best`, by `relay` if there is one.
    fn send(
        &mut self,
        now: Time,
        at: usize,
        best: &place::Place,
        relay: Option<Arc<Relay>>,
    ) -> Assignment {
        let load = self.load(now, &self.roster.all()[best.index]);
        let span = self.send_history_span(&self.roster.all()[best.index]);
        let target = self.roster.contact(best.index);
        let age = target.age(now);
        let queued = load >= f64::from(target.entry.slots);
        target.record_sent(now, span);
        let id = Arc::clone(&target.entry.id);
        let addr = target.entry.addr;
        let incarnation = target.entry.incarnation;
        let limit = target.limit();
        let slowdown = target.slowdown(now);
        let backoff_left = target.backoff_left(now);
        let leaving_age = target.leaving_age(now);
        let version = self.version();
        let staleness = self.staleness(now);
        let job = &mut self.jobs[at];
        job.strikes = self.suspects.strikes(job.request.fingerprint);
        job.tried.push(Arc::clone(&id));
        let (fingerprint, ticket) = (job.request.fingerprint, job.ticket);
        job.state = State::InFlight {
            target: Arc::clone(&id),
            sent_at: now,
            service_time: best.service_time,
            warm: best.warm,
            queued,
            relay: relay.as_ref().map(|r| Arc::clone(&r.name)),
            is_given_up: false,
        };
        let (attempt, strikes, grant) = (job.tried.len(), job.strikes, job.grant.clone());
        self.use_permit(fingerprint, ticket);
        Assignment {
            ticket,
            target: id,
            incarnation,
            addr,
            attempt,
            fingerprint,
            strikes,
            expected_work: best.service_time,
            is_warm: best.warm,
            load,
            limit,
            slowdown,
            backoff_left,
            leaving_age,
            load_age: age,
            grant,
            version,
            staleness,
            relay,
        }
    }

    /// Time after which a rejected caller may come back: about `wait`, the seconds
    /// until the queue ahead of it is done. Jitter keeps callers that are rejected
    /// together from returning together.
    pub(super) fn retry_after(job: &Job, wait: f64) -> Duration {
        let jitter = Self::jitter(job);
        let goal = job.request.route.latency_goal.as_secs_f64();
        let seconds = wait.max(goal * 0.2) * (0.75 + jitter * 0.75);
        Duration::from_secs_f64(seconds).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }

    /// Number from 0 to 1 that differs between requests.
    pub(super) fn jitter(job: &Job) -> f64 {
        unit_interval(job.ticket.0.wrapping_mul(0x9E37_79B9_7F4A_7C15))
    }

    /// Decides whether a request is to run in the local region or in another one.
    fn choose_region(&mut self, now: Time, at: usize) {
        let (pressure, outlook, position) = self.spillover_pressure(now, &self.jobs[at]);
        let service = Arc::clone(&self.jobs[at].service);
        let has = |mechanism| self.mechanisms.has(mechanism);
        let pressure = pressure.filter(|_| has(Mechanism::Spillover));
        let mut local_utilization = None;
        let is_remote = pressure.is_some_and(|pressure| {
            let utilization = self.local_utilization(now, &service);
            local_utilization = Some(utilization);
            self.spillover(now, &service)
                .choose_with(now, pressure, outlook, utilization, position)
        });
        self.jobs[at].is_remote = Some(is_remote);
        if self.mix.is_mixed(&service) {
            let utilization =
                local_utilization.unwrap_or_else(|| self.local_utilization(now, &service));
            local_utilization = Some(utilization);
            self.record_utilization(now, &service, utilization);
        }
        let job = &self.jobs[at];
        let runs_locally = !is_remote && job.request.allows(&self.identity.region);
        let utilization = local_utilization
            .filter(|_| runs_locally)
            .unwrap_or_else(|| self.utilization_for(now, job, is_remote));
        self.jobs[at].has_spare_slots = utilization < SPARE_UTILIZATION_MAX;
    }

    /// The spillover controller of a service, created on first use.
    fn spillover(&mut self, now: Time, service: &Arc<str>) -> &mut Spillover {
        let at = match self.spillovers.binary_search_by(|p| p.0.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let has_initial_share = self.mechanisms.has(Mechanism::InitialShare);
                let share = if has_initial_share {
                    self.slot_deficit(now, service)
                } else {
                    0.0
                };
                let spillover = Spillover::new(self.bounds.shift_max, share);
                self.spillovers.insert(at, (Arc::clone(service), spillover));
                at
            }
        };
        &mut self.spillovers[at].1
    }
}

/// Time until which a request may be held while a copy of it, which may crash its target,
/// is in flight.
fn suspect_hold_limit(job: &Job) -> Time {
    job.arrived + job.request.route.latency_goal.mul_f64(SUSPECT_HOLD_RATIO)
}

/// Time until which a request may be held while no target can be used.
pub(super) fn hold_limit(job: &Job) -> Time {
    job.arrived + job.request.route.latency_goal.mul_f64(REJECT_HOLD_RATIO)
}
