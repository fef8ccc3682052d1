//! Completion of attempts and cancellation of requests: what is learned from the
//! outcome, and whether the request is retried.
//!
//! Invariant: a request that may have run is sent again only if it is
//! idempotent, and is never reported as not run afterwards.

use core::mem;
use core::net::SocketAddr;
use std::sync::Arc;

use super::job::{Job, State};
use super::mechanisms::Mechanism;
use super::message::{Assignment, AttemptOutcome, FollowUp, Ticket, Withheld};
use super::suspect::Cause;
use super::target::{Feedback, FeedbackEffect};
use super::{ANSWER_RESERVE, Direct, members, short_hash};
use crate::clock::Time;

/// Largest number of targets that a request is tried at in vain, as no connection opens.
const UNREACHED_MAX: usize = 3;

impl Direct {
    /// Removes a request whose caller has left or whose time is over.
    pub fn cancel(&mut self, now: Time, ticket: Ticket) {
        let Ok(at) = self.find(ticket) else { return };
        let job = self.jobs.remove(at);
        match &job.state {
            State::InFlight { target, .. } => {
                self.end_in_flight(target);
                self.release_permit(job.request.fingerprint, ticket);
            }
            State::Waiting => self.refund_token(now, &job),
        }
    }

    /// The reason why an assigned request must not be sent any more, if there is one.
    /// To be asked when the request is about to leave: an overloaded instance may send
    /// long after its decision, and a target that has asked for something since relies
    /// on no request coming after a bounded time.
    #[must_use]
    pub fn withheld(&self, now: Time, assignment: &Assignment) -> Option<Withheld> {
        let job = self.find(assignment.ticket).map(|at| &self.jobs[at]);
        if !job.is_ok_and(|job| self.withhold_reason(now, &job.request).is_none()) {
            return Some(Withheld::Key);
        }
        if !job.is_ok_and(|job| self.stop_allows(now, job)) {
            return Some(Withheld::Stopping);
        }
        let is_trial = job.is_ok_and(|job| job.is_trial);
        if !is_trial && self.is_refused(now, assignment.fingerprint) {
            return Some(Withheld::Poison);
        }
        // It was decided on before the first strike, or has no permit.
        if !is_trial
            && self.suspects.strikes(assignment.fingerprint) > assignment.strikes
            && !self.holds_permit(assignment.fingerprint, assignment.ticket)
        {
            return Some(Withheld::Suspect);
        }
        if assignment.relay.is_none() && self.is_cut_off() {
            return Some(Withheld::CutOff);
        }
        self.withheld_from(now, &assignment.target, assignment.incarnation)
    }

    /// The reason why nothing must be sent to a target any more, if there is one.
    fn withheld_from(&self, now: Time, id: &str, incarnation: u64) -> Option<Withheld> {
        let Some(target) = self.roster.get(id) else {
            return Some(Withheld::Gone);
        };
        let is_usable = target.is_available() || target.is_last_resort(now, self.bounds.drain);
        if target.entry.incarnation != incarnation || target.is_gone {
            Some(Withheld::Gone)
        } else if !is_usable {
            Some(Withheld::Leaving)
        } else if self.roster.is_evacuated(&target.entry.domain) {
            Some(Withheld::Evacuated)
        } else if target.backoff_left(now).is_some() {
            Some(Withheld::Backoff)
        } else if target.is_ejected(now) {
            Some(Withheld::Ejected)
        } else {
            None
        }
    }

    /// Address of a target for a request of another instance.
    ///
    /// # Errors
    /// The reason why this instance must not send to the target, if there is one.
    pub fn relay_target(
        &self,
        now: Time,
        id: &str,
        incarnation: u64,
    ) -> Result<SocketAddr, Withheld> {
        match self.withheld_from(now, id, incarnation) {
            Some(reason) => Err(reason),
            None => self
                .roster
                .get(id)
                .map(|t| t.entry.addr)
                .ok_or(Withheld::Gone),
        }
    }

    /// Records the outcome of an attempt and decides what follows. An unknown ticket,
    /// or one that is not in flight, is settled already.
    pub fn finish_attempt(
        &mut self,
        now: Time,
        ticket: Ticket,
        outcome: AttemptOutcome,
    ) -> FollowUp {
        let Ok(at) = self.find(ticket) else {
            return FollowUp::Settled;
        };
        let State::InFlight {
            target,
            sent_at,
            service_time,
            warm,
            queued,
            relay,
            ..
        } = mem::replace(&mut self.jobs[at].state, State::Waiting)
        else {
            return FollowUp::Settled;
        };
        self.end_in_flight(&target);
        self.record_reach(now, &target, relay.as_ref(), outcome);
        // What an instance that is cut off sees on its own links says nothing of targets.
        let is_own_fault = relay.is_none() && self.is_cut_off();
        if !is_own_fault {
            self.update_suspects(now, &self.jobs[at].clone(), &target, sent_at, outcome);
        }
        self.release_permit(self.jobs[at].request.fingerprint, ticket);
        let elapsed = now.since(sent_at).as_secs_f64();
        let object = self.jobs[at].request.object;
        let ratio = (!queued).then_some(elapsed / service_time.max(0.001));
        match outcome {
            AttemptOutcome::Answered if self.estimate(&self.jobs[at]).is_reliable => {
                self.note_slow(&target, ratio);
            }
            AttemptOutcome::Answered | AttemptOutcome::NotRun => {}
            _ if is_own_fault || !outcome.concerns_target() => {}
            _ => self.note_failed(&target),
        }
        if let Some(target) = self.roster.contact_by_id(&target) {
            match outcome {
                AttemptOutcome::Answered => {
                    target.record_answer(now, sent_at, ratio);
                    if let Some(object) = object
                        && target.record_object(now, short_hash(object), true)
                    {
                        let target_hash = members::name_hash(&target.entry.id);
                        self.object_updates.push((target_hash, short_hash(object)));
                    }
                }
                AttemptOutcome::NotRun => target.record_refusal(now, sent_at),
                _ if is_own_fault || !outcome.concerns_target() => {}
                AttemptOutcome::Failed
                | AttemptOutcome::InvalidResponse
                | AttemptOutcome::TimedOut => {
                    target.health.record_failure(now);
                }
                _ => target.eject(now),
            }
        }
        if outcome == AttemptOutcome::Answered {
            let fingerprint = self.jobs[at].request.fingerprint;
            self.answered.record(now, fingerprint);
            self.record_punctuality(now, at, &target, warm);
            if !queued {
                let job = &self.jobs[at];
                self.latency
                    .add(&job.service, &job.request.route.name, warm, elapsed);
            }
            self.jobs.remove(at);
            return FollowUp::Settled;
        }
        self.follow_up(now, at, outcome)
    }

    /// Records what an attempt shows of this instance's links to targets, or of the relay
    /// that was to send it.
    fn record_reach(
        &mut self,
        now: Time,
        target: &Arc<str>,
        relay: Option<&Arc<str>>,
        outcome: AttemptOutcome,
    ) {
        match (relay, outcome) {
            (Some(relay), AttemptOutcome::RelayRefused | AttemptOutcome::RelayLost) => {
                self.pause_relay(now, relay);
            }
            (None, AttemptOutcome::Unreachable | AttemptOutcome::ConnectionLost) => {
                self.record_unreached(now, target);
            }
            (
                _,
                AttemptOutcome::Answered
                | AttemptOutcome::Failed
                | AttemptOutcome::NotRun
                | AttemptOutcome::WrongTarget,
            ) => self.record_reached(now, relay.is_some()),
            _ => {}
        }
    }

    /// Records the outcome of an attempt that this instance made for another one. Returns
    /// whether the fault may be this instance's own, so that another one should try.
    pub fn finish_relayed(
        &mut self,
        now: Time,
        target: &Arc<str>,
        outcome: AttemptOutcome,
    ) -> bool {
        self.record_reach(now, target, None, outcome);
        let is_own_fault = self.is_cut_off() || self.is_reach_unclear(now);
        outcome == AttemptOutcome::Unreachable && is_own_fault
    }

    /// Updates the suspicion that this request crashes the targets that run it. Such
    /// a request is sent again and again, to any instance.
    fn update_suspects(
        &mut self,
        now: Time,
        job: &Job,
        target: &Arc<str>,
        sent_at: Time,
        outcome: AttemptOutcome,
    ) {
        let fingerprint = job.request.fingerprint;
        let before = self.suspects.strikes(fingerprint);
        match outcome {
            AttemptOutcome::ConnectionLost => {
                self.suspects.strike(now, job.strikes, fingerprint, target);
                self.remember_break(now, target);
                self.log_suspect(fingerprint, before, Cause::Broken(Arc::clone(target)));
            }
            // Whatever the target answered, it has survived the request.
            AttemptOutcome::Answered | AttemptOutcome::Failed if !self.suspects.is_empty() => {
                self.suspects.acquit(now, fingerprint);
                self.log_suspect(fingerprint, before, Cause::Answered);
                // The changes need no message: heartbeats report all recent strikes.
                let withdrawn = self.suspects.withdraw(now, target, sent_at);
                self.log_withdrawn(&withdrawn, &Cause::Survived(Arc::clone(target)));
            }
            _ => {}
        }
    }

    /// Applies what the head of a target's answer reports of the target itself, while
    /// the answered request still counts as in flight. An answer of an earlier
    /// incarnation changes nothing.
    pub fn apply_feedback(
        &mut self,
        now: Time,
        id: &str,
        incarnation: u64,
        feedback: Feedback,
    ) -> FeedbackEffect {
        let backoff_max = self.bounds.backoff_max;
        let target = self.roster.contact_by_id(id);
        let Some(target) = target.filter(|t| t.entry.incarnation == incarnation) else {
            return FeedbackEffect::default();
        };
        if let Some(load) = feedback.load {
            target.record_load(now, load);
        }
        if let Some(slowdown) = feedback.slowdown {
            target.record_slowdown(now, slowdown);
        }
        FeedbackEffect {
            limit_changed: target.update_limit(now, feedback.limit),
            began_leaving: target.record_requests(now, &feedback, backoff_max),
        }
    }

    /// Decides whether a request whose attempt failed is sent to another target.
    fn follow_up(&mut self, now: Time, at: usize, outcome: AttemptOutcome) -> FollowUp {
        let is_poison = self.is_refused(now, self.jobs[at].request.fingerprint);
        let is_reach_unclear = self.is_reach_unclear(now);
        let job = &mut self.jobs[at];
        job.may_have_run |= !outcome.is_not_run();
        match outcome {
            // It reached no target, and this one may serve it later.
            AttemptOutcome::Withdrawn | AttemptOutcome::RelayRefused => {
                job.tried.pop();
                job.refusals += u8::from(outcome == AttemptOutcome::RelayRefused);
            }
            AttemptOutcome::Unreachable | AttemptOutcome::RelayWithheld => {
                job.unreached.extend(job.tried.pop());
            }
            _ => {}
        }
        if outcome == AttemptOutcome::Withdrawn && is_poison {
            // The next step rejects it with the reason.
            return FollowUp::Retry;
        }
        let may_retry = self.mechanisms.has(Mechanism::Retry);
        // Its answer would find no memory either, and would be read in vain once more.
        let may_retry = may_retry && outcome != AttemptOutcome::NoMemory;
        let is_safe =
            may_retry && !is_poison && (!job.may_have_run || job.request.route.is_idempotent);
        let has_attempts = job.tried.len() < job.request.route.attempts_max.max(1)
            && (job.unreached.len() < UNREACHED_MAX || is_reach_unclear);
        let has_time = now + ANSWER_RESERVE < job.time_limit;
        let service = Arc::clone(&job.service);
        let may_have_run = job.may_have_run;
        let was_sent = outcome.was_sent();
        let all_back_off = self.all_back_off(now, &self.jobs[at]);
        let rule = self.retry_rule(now);
        let instances = self.sharing_instances();
        // The bound is on retries that follow an attempt which reached a target; one
        // that was never sent cost no target anything.
        let is_possible = is_safe && has_attempts && has_time && all_back_off.is_none();
        if is_possible && !was_sent {
            return FollowUp::Retry;
        }
        // A target's answer is worth more to the caller than a rejection at the next step.
        if is_possible && self.stop_allows(now, &self.jobs[at]) {
            let grant = self.budget(&service).try_spend(now, &rule, instances);
            if let Some(grant) = grant {
                self.jobs[at].grant = Some(Box::new(grant));
                return FollowUp::Retry;
            }
        }
        let job = self.jobs.remove(at);
        if may_have_run {
            return FollowUp::Settled;
        }
        self.refund_token(now, &job);
        FollowUp::Reject {
            retry_after: all_back_off.unwrap_or_else(|| Self::retry_after(&job, 0.0)),
        }
    }

    /// Whether a request may be sent now, as far as the retry budget goes: a retry that has
    /// waited for a target needs a new permission.
    pub(super) fn may_retry_now(&mut self, now: Time, at: usize) -> bool {
        let rule = self.retry_rule(now);
        let instances = self.sharing_instances();
        let job = &self.jobs[at];
        let Some(grant) = job.grant.as_deref().copied() else {
            return true;
        };
        if grant.is_valid(now, &rule) {
            return true;
        }
        let service = Arc::clone(&job.service);
        let renewed = self.budget(&service).renew(now, &rule, instances, &grant);
        self.jobs[at].grant = renewed.map(Box::new);
        renewed.is_some()
    }

    /// Records for the service's spillover whether an answer met its latency
    /// objective. Answers for cold objects are left out: they are as late locally as
    /// in other regions.
    fn record_punctuality(&mut self, now: Time, at: usize, target: &str, warm: bool) {
        let job = &self.jobs[at];
        let Some(target) = self.roster.get(target) else {
            return;
        };
        if !warm || !job.request.is_unrestricted() {
            return;
        }
        let is_remote = target.region != self.identity.region;
        let is_late = now > job.objective();
        let found = self.spillovers.binary_search_by(|p| p.0.cmp(&job.service));
        if let Ok(at) = found {
            self.spillovers[at].1.record_answer(is_remote, is_late);
        }
    }

    /// Takes one request off those in flight to a target.
    fn end_in_flight(&mut self, target: &str) {
        if let Some(target) = self.roster.get_mut(target) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }
}
