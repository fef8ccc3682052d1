//! What follows when an attempt ends or a caller leaves.
//!
//! Invariant: a request that may have run is sent again only if it is
//! idempotent, and is never called "not run" afterwards.

use core::mem;
use std::sync::Arc;

use super::job::{Job, State};
use super::mechanisms::Mechanism;
use super::message::{Assignment, AttemptOutcome, FollowUp, Ticket};
use super::target::Feedback;
use super::{ANSWER_RESERVE, Direct, members, short_hash};
use crate::clock::Time;
use crate::request::poison::STRIKES;

impl Direct {
    /// The caller has left, or the request's time is over.
    pub fn cancel(&mut self, now: Time, ticket: Ticket) {
        let Ok(at) = self.find(ticket) else { return };
        let job = self.jobs.remove(at);
        match &job.state {
            State::At { target, .. } => self.landed(target),
            State::Waiting => self.give_back(now, &job),
        }
    }

    /// Whether what was decided to be sent to a target may be sent still. An
    /// instance that is behind sends long after it has decided, and a target that
    /// leaves counts on nothing coming after a bounded time.
    #[must_use]
    pub fn may_send(&self, target: &str) -> bool {
        let target = self.roster.get(target);
        target.is_some_and(|t| t.is_available() && !self.roster.is_evacuated(&t.entry.domain))
    }

    /// The same for a request itself: its key may have been taken away.
    #[must_use]
    pub fn may_send_request(&self, now: Time, go: &Assignment) -> bool {
        let job = self.find(go.ticket).map(|at| &self.jobs[at]);
        let kept = job.is_ok_and(|job| self.withhold_reason(now, &job.ask).is_none());
        kept && self.may_send(&go.target)
    }

    /// An attempt has ended.
    pub fn finish_attempt(
        &mut self,
        now: Time,
        ticket: Ticket,
        ending: AttemptOutcome,
    ) -> FollowUp {
        let Ok(at) = self.find(ticket) else {
            return FollowUp::Settled;
        };
        let State::At {
            target,
            since,
            expected,
            warm,
            queued,
        } = mem::replace(&mut self.jobs[at].state, State::Waiting)
        else {
            return FollowUp::Settled;
        };
        self.landed(&target);
        self.judge(now, &self.jobs[at].clone(), &target, since, ending);
        let took = now.since(since).as_secs_f64();
        let object = self.jobs[at].ask.object;
        let ratio = (!queued).then_some(took / expected.max(0.001));
        match ending {
            AttemptOutcome::Answered if self.estimate(&self.jobs[at]).is_reliable => {
                self.note_slow(&target, ratio);
            }
            AttemptOutcome::Answered | AttemptOutcome::NotRun | AttemptOutcome::Withdrawn => {}
            _ => self.note_failed(&target),
        }
        if let Some(target) = self.roster.get_mut(&target) {
            match ending {
                AttemptOutcome::Answered => {
                    target.record_answer(now, ratio);
                    if let Some(object) = object
                        && target.record_object(now, short_hash(object), true)
                    {
                        let mark = members::name_hash(&target.entry.id);
                        self.object_updates.push((mark, short_hash(object)));
                    }
                }
                AttemptOutcome::NotRun => target.health.record_refusal(now),
                AttemptOutcome::Failed
                | AttemptOutcome::InvalidResponse
                | AttemptOutcome::TimedOut => {
                    target.health.record_failure(now);
                }
                AttemptOutcome::WrongTarget
                | AttemptOutcome::NotSent
                | AttemptOutcome::ConnectionLost => target.eject(now),
                AttemptOutcome::Withdrawn => {}
            }
        }
        if ending == AttemptOutcome::Answered {
            self.note_punctual(now, at, &target, warm);
            if !queued {
                let job = &self.jobs[at];
                self.latency
                    .add(&job.service, &job.ask.route.name, warm, took);
            }
            self.jobs.remove(at);
            return FollowUp::Settled;
        }
        self.after_failure(now, at, ending)
    }

    /// What an ending says for or against the request itself: one that crashes
    /// its targets comes again and again, at any instance.
    fn judge(
        &mut self,
        now: Time,
        job: &Job,
        target: &Arc<str>,
        since: Time,
        ending: AttemptOutcome,
    ) {
        let print = job.ask.fingerprint;
        match ending {
            AttemptOutcome::ConnectionLost => {
                self.suspects.strike(now, job.strikes, print, target);
            }
            AttemptOutcome::Answered if !self.suspects.is_empty() => {
                self.suspects.clear(print);
                // What follows is told by the next heartbeats.
                self.suspects.survived(target, since, &mut Vec::new());
            }
            _ => {}
        }
    }

    /// A target's answer says this of it. Says whether it names another limit than
    /// before.
    pub fn apply_feedback(&mut self, now: Time, id: &str, feedback: Feedback) -> bool {
        let Some(target) = self.roster.get_mut(id) else {
            return false;
        };
        if let Some(load) = feedback.load {
            target.record_load(now, load);
        }
        target.update_limit(now, feedback.limit)
    }

    /// Whether a request whose attempt failed is tried elsewhere.
    fn after_failure(&mut self, now: Time, at: usize, ending: AttemptOutcome) -> FollowUp {
        let not_run = matches!(
            ending,
            AttemptOutcome::NotRun
                | AttemptOutcome::WrongTarget
                | AttemptOutcome::NotSent
                | AttemptOutcome::Withdrawn
        );
        let job = &mut self.jobs[at];
        job.may_have_run |= !not_run;
        let allowed = self.mechanisms.has(Mechanism::Retry);
        let crashes = self.suspects.strikes(job.ask.fingerprint) >= STRIKES;
        let again = allowed && !crashes && (!job.may_have_run || job.ask.route.idempotent);
        let left = job.tried.len() < job.ask.route.attempts.max(1);
        let time = now + ANSWER_RESERVE < job.limit;
        let service = Arc::clone(&job.service);
        let may_have_run = job.may_have_run;
        let arrived = !matches!(ending, AttemptOutcome::NotSent | AttemptOutcome::Withdrawn);
        let rule = self.bounds.retries;
        let instances = self.participants.len() + 1;
        // What never arrived costs no target anything; the bound is on arrivals.
        let leave = !arrived || self.budget(&service).try_spend(now, &rule, instances);
        if again && left && time && leave {
            return FollowUp::Retry;
        }
        let job = self.jobs.remove(at);
        if may_have_run {
            return FollowUp::Settled;
        }
        self.give_back(now, &job);
        FollowUp::Reject {
            after: Self::after(&job, 0.0),
        }
    }

    /// Tells the share that runs elsewhere whether an answer was in time. Where the
    /// object was cold it is late at home and elsewhere alike.
    fn note_punctual(&mut self, now: Time, at: usize, target: &str, warm: bool) {
        let job = &self.jobs[at];
        let Some(target) = self.roster.get(target) else {
            return;
        };
        if !warm || !job.ask.is_unrestricted() {
            return;
        }
        let elsewhere = target.region != self.identity.region;
        let late = now > job.objective();
        let found = self.spillovers.binary_search_by(|p| p.0.cmp(&job.service));
        if let Ok(at) = found {
            self.spillovers[at].1.record_answer(elsewhere, late);
        }
    }

    fn landed(&mut self, target: &str) {
        if let Some(target) = self.roster.get_mut(target) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }
}
