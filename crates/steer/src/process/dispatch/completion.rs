//! Completion of attempts: answer, retry or refusal, and what is learned from
//! the outcome.
//!
//! Invariant: the outcome of an attempt that is not the request's current one
//! changes nothing.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::clock::Time;
use crate::process::dispatch::Dispatch;
use crate::process::dispatch::job::Running;
use crate::process::dispatch::message::{Action, AttemptOutcome, Destination, Report};
use crate::process::safeguard::Safeguard;
use crate::process::target::health::Fault;
use crate::process::target::{Availability, latency};
use crate::request::admission;
use crate::request::arrival::{AttemptId, Fingerprint, RequestId};
use crate::request::outcome::{Reason, Refusal};
use crate::request::poison::{self, StrikeUpdate};
use crate::request::retry::{self, Execution};
use crate::version::view::State;

impl Dispatch {
    pub(super) fn ended(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        let Some(running) = self.running.take(id, Some(attempt)) else {
            return;
        };
        self.release(&running);
        self.record_outcome(now, &running, &outcome, out);
        self.complete(now, running, outcome, out);
        self.send_queued(now, out);
    }

    fn complete(
        &mut self,
        now: Time,
        running: Running,
        outcome: AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        let mut job = running.job;
        let id = job.arrival.id;
        let Some(execution) = retry::execution(&outcome) else {
            if let AttemptOutcome::Answered(answer) = outcome {
                self.callers.remove(&job.arrival.caller);
                self.stats.replied += 1;
                out.push(Action::Reply { id, answer });
            }
            return;
        };
        job.is_uncertain |= execution == Execution::MayHaveRun;
        job.last_failure = Some(retry::failure_reason(&outcome));
        if self.is_poisoned(&job) {
            let refusal = Refusal::unknown(Reason::Poison, None);
            return self.finish_job(&job, refusal, out);
        }
        if let AttemptOutcome::PeerRefused(refusal) = outcome
            && execution == Execution::MayHaveRun
        {
            return self.finish_job(&job, refusal, out);
        }
        let Some(service) = self.find_service(&job.arrival.service) else {
            let refusal = job.refusal(Reason::UnknownService, None);
            return self.finish_job(&job, refusal, out);
        };
        let is_safe = execution == Execution::NotRun || self.services[service].is_idempotent;
        let wait = self.services[service].estimate().wait();
        if !is_safe || now >= job.deadline {
            return self.refuse_job(&job, retry::failure_reason(&outcome), wait, out);
        }
        if !self.budget.withdraw(retry::cost(&outcome))
            && self.tuning.safeguards.has(Safeguard::Budget)
        {
            self.stats.budget_denied += 1;
            return self.refuse_job(&job, retry::failure_reason(&outcome), wait, out);
        }
        self.place(now, service, job, out);
    }

    pub(super) fn disconnected(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        if let Some(running) = self.running.take(id, None) {
            self.release(&running);
            self.callers.remove(&running.job.arrival.caller);
            let attempt = running.attempt;
            out.push(Action::Cancel { id, attempt });
            return self.send_queued(now, out);
        }
        for service in &mut self.services {
            let Some(at) = service.queue.iter().position(|j| j.arrival.id == id) else {
                continue;
            };
            if let Some(job) = service.queue.remove(at) {
                self.callers.remove(&job.arrival.caller);
            }
            return;
        }
    }

    /// Removes an attempt from the in-flight counts, and ends its reservation.
    fn release(&mut self, running: &Running) {
        let service_name = &running.job.arrival.service;
        if let Ok(at) = self.endpoints.find(
            running.destination.kind(),
            running.destination.name(),
            service_name,
        ) {
            let endpoint = &mut self.endpoints.as_mut_slice()[at];
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            endpoint.is_reserved &= !running.is_exclusive;
        }
        if let Some(service) = self.find_service(service_name) {
            let is_local = matches!(running.destination, Destination::Target { .. });
            let state = &mut self.services[service];
            state.in_flight = state.in_flight.saturating_sub(1);
            state.local_running = state.local_running.saturating_sub(u32::from(is_local));
        }
    }

    /// Updates the endpoint and the strikes of the request by an outcome.
    fn record_outcome(
        &mut self,
        now: Time,
        running: &Running,
        outcome: &AttemptOutcome,
        out: &mut Vec<Action>,
    ) {
        let service_name = &running.job.arrival.service;
        let name = running.destination.name();
        let sent_at = running.sent_at;
        let Ok(at) = self
            .endpoints
            .find(running.destination.kind(), name, service_name)
        else {
            return;
        };
        let endpoint = &mut self.endpoints.as_mut_slice()[at];
        endpoint.last_evidence = now;
        match outcome {
            AttemptOutcome::Answered(answer) => {
                self.record_answer(now, running, at, answer.status, out);
            }
            AttemptOutcome::Refused { after, leaving } => {
                endpoint.window.record_refusal(
                    now,
                    sent_at,
                    after.unwrap_or_default(),
                    &mut self.rng,
                );
                if *leaving {
                    endpoint.mark_leaving(now);
                }
            }
            AttemptOutcome::PeerRefused(refusal) => {
                let after = refusal.retry_after.unwrap_or_default();
                endpoint
                    .window
                    .record_refusal(now, sent_at, after, &mut self.rng);
                if refusal.reason == Reason::Leaving {
                    endpoint.mark_leaving(now);
                }
            }
            AttemptOutcome::Unreachable => self.record_fault(now, at, sent_at, Fault::Hard),
            AttemptOutcome::BadAnswer => self.record_fault(now, at, sent_at, Fault::Soft),
            AttemptOutcome::TimedOut => {
                self.note_early_timeout(running);
                self.record_fault(now, at, sent_at, Fault::Soft);
            }
            AttemptOutcome::Broken => {
                self.record_fault(now, at, sent_at, Fault::Hard);
                self.record_break(now, running, out);
            }
        }
    }

    /// Counts a time-out if no latency of the service is measured yet.
    fn note_early_timeout(&mut self, running: &Running) {
        if let Some(service) = self.find_service(&running.job.arrival.service) {
            let state = &mut self.services[service];
            state.early_timeouts += usize::from(state.latency.high().is_none());
        }
    }

    fn record_answer(
        &mut self,
        now: Time,
        running: &Running,
        at: usize,
        status: u16,
        out: &mut Vec<Action>,
    ) {
        let took = now.since(running.sent_at);
        let service = self.find_service(&running.job.arrival.service);
        let is_local = matches!(running.destination, Destination::Target { .. });
        let best = service.map_or(0, |s| self.services[s].best_mean);
        let endpoint = &mut self.endpoints.as_mut_slice()[at];
        // A target that fails fast must not attract requests by low latency.
        if status < 500 || latency::micros(took) >= best {
            endpoint.latency.record(now, took, 16);
            if let Some(service) = service.filter(|_| is_local) {
                self.services[service].latency.record(now, took, 32);
            }
        }
        endpoint.window.record_answer();
        endpoint
            .reported
            .update_trust(endpoint.slots, latency::micros(took) <= best);
        if endpoint.health.record_success(running.sent_at) {
            endpoint.mark_cold(now);
        }
        let mut changes = Vec::new();
        if is_local && !self.suspects.is_empty() {
            changes.extend(self.suspects.clear(now, running.job.arrival.fingerprint));
            let name = running.destination.name();
            let withdrawn = self.suspects.withdraw(now, name, running.sent_at);
            changes.extend(withdrawn.into_iter().map(StrikeUpdate::from));
        }
        out.extend(changes.into_iter().map(suspect_action));
    }

    fn record_fault(&mut self, now: Time, at: usize, sent_at: Time, fault: Fault) {
        let enabled = self.tuning.safeguards;
        let service_name = &self.endpoints.as_slice()[at].service;
        let has_spare = !enabled.has(Safeguard::LastTarget)
            || self
                .find_service(service_name)
                .is_some_and(|service| self.has_half_left(now, service, at));
        let endpoint = &mut self.endpoints.as_mut_slice()[at];
        if endpoint
            .health
            .record_fault(now, sent_at, fault, has_spare, &mut self.rng)
        {
            self.stats.ejected += 1;
        }
    }

    /// Returns whether half the targets of a service would be usable without
    /// one of them.
    fn has_half_left(&self, now: Time, service: usize, without: usize) -> bool {
        let enabled = self.tuning.safeguards;
        let endpoints = self.endpoints.as_slice();
        let locals = &self.services[service].locals;
        let is_used = |endpoint: usize| {
            matches!(
                endpoints[endpoint].availability(now, enabled),
                Availability::Free | Availability::Busy
            )
        };
        let left = locals
            .iter()
            .filter(|l| l.endpoint != without && is_used(l.endpoint));
        left.count() * 2 >= locals.len()
    }

    /// Records a strike against a request whose target broke while it ran.
    fn record_break(&mut self, now: Time, running: &Running, out: &mut Vec<Action>) {
        let is_local = matches!(running.destination, Destination::Target { .. });
        if !is_local || !self.tuning.safeguards.has(Safeguard::Poison) {
            return;
        }
        let fingerprint = running.job.arrival.fingerprint;
        let name = running.destination.name();
        let change = self
            .suspects
            .strike(now, running.strikes, fingerprint, name);
        out.push(suspect_action(change));
        self.refuse_poisoned(change.fingerprint, out);
    }

    pub(super) fn suspected(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        strikes: u8,
        out: &mut Vec<Action>,
    ) {
        self.suspects.merge(now, fingerprint, strikes);
        self.refuse_poisoned(fingerprint, out);
    }

    /// Refuses the waiting copies of a request that is always refused.
    fn refuse_poisoned(&mut self, fingerprint: Fingerprint, out: &mut Vec<Action>) {
        let is_on = self.tuning.safeguards.has(Safeguard::Poison);
        if !is_on || self.suspects.strikes(fingerprint) < poison::STRIKES_MAX {
            return;
        }
        for service in 0..self.services.len() {
            let queue = core::mem::take(&mut self.services[service].queue);
            let (refused, kept): (VecDeque<_>, VecDeque<_>) = queue
                .into_iter()
                .partition(|j| j.arrival.fingerprint == fingerprint);
            self.services[service].queue = kept;
            for job in refused {
                self.finish_job(&job, Refusal::unknown(Reason::Poison, None), out);
            }
        }
    }

    pub(super) fn report(&mut self, now: Time, name: &Arc<str>, report: Report) {
        let Some(at) = self.endpoints.target(name) else {
            return;
        };
        let endpoint = &mut self.endpoints.as_mut_slice()[at];
        endpoint.last_evidence = now;
        endpoint
            .reported
            .record(now, report.load, endpoint.in_flight);
        if report.state == State::Leaving {
            endpoint.mark_leaving(now);
        }
    }

    pub(super) fn probed(&mut self, now: Time, name: &Arc<str>, report: Option<Report>) {
        let Some(at) = self.endpoints.target(name) else {
            return;
        };
        let endpoint = &mut self.endpoints.as_mut_slice()[at];
        endpoint.last_evidence = now;
        if let Some(report) = report {
            endpoint.health.note_probe();
            self.report(now, name, report);
        } else {
            self.record_fault(now, at, now, Fault::Hard);
        }
    }

    /// Time after which to ask again if no waiting time is known, with jitter.
    pub(super) fn default_retry_after(&mut self) -> core::time::Duration {
        admission::retry_after(admission::RETRY_AFTER_BOUNDS.0, &mut self.rng)
    }
}

pub(super) const fn suspect_action(change: StrikeUpdate) -> Action {
    Action::Suspect {
        fingerprint: change.fingerprint,
        strikes: change.strikes,
    }
}
