//! Who of those that wait is sent, and who is rejected.
//!
//! Invariant: the more urgent is looked at first; what can't be answered in
//! time is rejected when that is known, and not when its time is over. Nothing
//! waits for longer than this process lasts.

use core::time::Duration;
use std::sync::Arc;

use super::job::{Job, State};
use super::mechanisms::Mechanism;
use super::message::{Assignment, Decision, Rejection, Ticket};
use super::spillover::Spillover;
use super::{ANSWER_RESERVE, Direct, place, unit_interval};
use crate::clock::Time;

/// Share of a request's latency objective for which it may be held before it is
/// rejected. Later rejections leave the caller too little time to come back.
const HOLD: f64 = 0.125;

/// How much longer than estimated a wait may get: a request is only taken in
/// if it would be answered in time even so.
const DOUBT: f64 = 1.5;

/// Part of the shortest time expected of an answer that a request must have left
/// to be sent at all. Times scatter widely about their mean; under a quarter of
/// it hardly any answer comes, and the slot would be taken in vain.
const LEAST: f64 = 0.25;

/// Part of a region's slots in use below which it has slots to spare.
const SPARE_USED: f64 = 0.6;

/// Shortest and longest time after which a rejected caller is told to return.
const AFTER_LEAST: Duration = Duration::from_millis(150);

const AFTER_MOST: Duration = Duration::from_secs(2);

impl Direct {
    /// Decides on everything that waits. To be called after each event, and at
    /// the latest after [`STEP_INTERVAL_MAX`] while something waits.
    pub fn step(&mut self, now: Time) -> Vec<Decision> {
        let mut order: Vec<((u32, u32), bool, Time, Ticket)> = Vec::new();
        for job in &self.jobs {
            if matches!(job.state, State::Waiting) {
                let late = now > job.objective();
                let priority = if self.mechanisms.has(Mechanism::Priority) {
                    job.ask.priority()
                } else {
                    (0, 0)
                };
                let rank = (priority, late, job.objective(), job.ticket);
                order.push(rank);
            }
        }
        if order.is_empty() {
            return Vec::new();
        }
        order.sort_unstable();
        for target in self.roster.all_mut() {
            target.reserved = 0;
        }
        let mut orders = Vec::new();
        for (_, _, _, ticket) in order {
            if let Some(decided) = self.decide(now, ticket) {
                orders.push(decided);
            }
        }
        orders
    }

    fn decide(&mut self, now: Time, ticket: Ticket) -> Option<Decision> {
        let at = self.find(ticket).ok()?;
        if let Some(why) = self.withhold_reason(now, &self.jobs[at].ask) {
            return Some(self.reject(now, at, why, None));
        }
        if let Some(held) = self.admit(now, at) {
            let (why, after) = held.verdict()?;
            return Some(self.reject(now, at, why, Some(after)));
        }
        if self.jobs[at].elsewhere.is_none() {
            self.choose_side(now, at);
        }
        if self.is_too_late(now, &self.jobs[at]) {
            return Some(self.reject(now, at, Rejection::Overload, None));
        }
        let Some(best) = self.place(now, &self.jobs[at]) else {
            return self.without_place(now, at);
        };
        let job = &self.jobs[at];
        if best.open && !self.outlasts(now, &best) {
            return Some(Decision::Send(self.send(now, at, &best)));
        }
        let held = now.since(job.arrived).as_secs_f64();
        let goal = job.ask.route.goal.as_secs_f64();
        let finish = now + Duration::from_secs_f64(best.cost);
        let hopeless = finish + ANSWER_RESERVE > job.limit || self.outlasts(now, &best);
        let far_off = now + Duration::from_secs_f64(best.cost * DOUBT) > job.limit;
        let reject = self.mechanisms.has(Mechanism::EarlyReject);
        if reject && (hopeless || (far_off && held <= goal * HOLD)) {
            let after = Self::after(&self.jobs[at], best.wait);
            return Some(self.reject(now, at, Rejection::Overload, Some(after)));
        }
        self.roster.all_mut()[best.index].reserved += 1;
        None
    }

    /// Whether an answer would probably come after this process has ended, and
    /// its caller would get none. Another instance can still take the request.
    fn outlasts(&self, now: Time, best: &place::Place) -> bool {
        let finish = now + Duration::from_secs_f64(best.cost * DOUBT);
        self.stops_at
            .is_some_and(|end| finish + ANSWER_RESERVE > end)
    }

    /// Whether even a free target that holds the object would answer too late.
    fn is_too_late(&self, now: Time, job: &Job) -> bool {
        let work = self.estimate(job);
        now + Duration::from_secs_f64(work.warm * LEAST) > job.limit
    }

    /// No target can be used now.
    fn without_place(&mut self, now: Time, at: usize) -> Option<Decision> {
        let job = &self.jobs[at];
        let goal = job.ask.route.goal.mul_f64(HOLD);
        // One that was sent already, or has just come, waits for a target that
        // is only set aside for a moment.
        if now < job.arrived + goal && now + ANSWER_RESERVE < job.limit {
            return None;
        }
        Some(self.reject(now, at, Rejection::NoTarget, None))
    }

    /// Takes a request out; its caller may come back `after`, or soon.
    fn reject(
        &mut self,
        now: Time,
        at: usize,
        why: Rejection,
        after: Option<Duration>,
    ) -> Decision {
        let job = self.jobs.remove(at);
        self.give_back(now, &job);
        Decision::Reject {
            ticket: job.ticket,
            why: job.why(why),
            after: match after {
                Some(after) => after,
                None => Self::after(&job, 0.0),
            },
        }
    }

    fn send(&mut self, now: Time, at: usize, best: &place::Place) -> Assignment {
        let load = self.load(now, &self.roster.all()[best.index]);
        let span = self.sent_memory(&self.roster.all()[best.index]);
        let target = &mut self.roster.all_mut()[best.index];
        let age = target.age(now);
        let queued = load >= f64::from(target.entry.slots);
        target.record_sent(now, span);
        let id = Arc::clone(&target.entry.id);
        let addr = target.entry.addr;
        let limit = target.limit();
        let version = self.version();
        let job = &mut self.jobs[at];
        job.strikes = self.suspects.strikes(job.ask.fingerprint);
        job.tried.push(Arc::clone(&id));
        job.state = State::At {
            target: Arc::clone(&id),
            since: now,
            expected: best.work,
            warm: best.warm,
            queued,
        };
        Assignment {
            ticket: job.ticket,
            target: id,
            addr,
            attempt: job.tried.len(),
            expected_work: best.work,
            warm: best.warm,
            load,
            limit,
            load_age: age,
            version,
        }
    }

    /// When a rejected caller may come back: once the queue ahead of it is
    /// done. The spread keeps callers rejected together from returning so.
    pub(super) fn after(job: &Job, wait: f64) -> Duration {
        let spread = unit_interval(job.ticket.0.wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let goal = job.ask.route.goal.as_secs_f64();
        let seconds = wait.max(goal * 0.2) * (0.75 + spread * 0.75);
        Duration::from_secs_f64(seconds).clamp(AFTER_LEAST, AFTER_MOST)
    }

    /// Decides in which region a request is to run.
    fn choose_side(&mut self, now: Time, at: usize) {
        let (pressure, position) = self.pressure(now, &self.jobs[at]);
        let service = Arc::clone(&self.jobs[at].service);
        let has = |mechanism| self.mechanisms.has(mechanism);
        let pressure = pressure.filter(|_| has(Mechanism::Spillover));
        let start = has(Mechanism::InitialShare);
        let used = self.used(now, &service);
        let side = pressure.is_some_and(|pressure| {
            let share = if start { self.lacking(&service) } else { 0.0 };
            let bound = self.bounds.shift_max;
            let spillovers = &mut self.spillovers;
            let at = match spillovers.binary_search_by(|p| p.0.cmp(&service)) {
                Ok(at) => at,
                Err(at) => {
                    spillovers.insert(at, (service, Spillover::new(bound, share)));
                    at
                }
            };
            spillovers[at]
                .1
                .choose_remote(now, pressure, used, position)
        });
        self.jobs[at].elsewhere = Some(side);
        self.jobs[at].spare = self.used_for(now, &self.jobs[at], side) < SPARE_USED;
    }
}
