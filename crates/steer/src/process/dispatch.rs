//! Dispatcher: admits requests, sends them to targets and peers, queues them,
//! and retries or refuses them.
//!
//! Invariant: every request that arrives gets exactly one [`Action::Reply`] or
//! [`Action::Refuse`], unless its caller disconnects; a request of a service
//! that is not idempotent is never sent again once it may have run; and a
//! refusal says "not run" only while no attempt may have run.

mod caps;
mod completion;
pub mod dump;
mod job;
mod message;
mod queue;
mod selection;
mod service;
pub mod stats;
pub mod tuning;
mod upkeep;
mod view_update;

use std::sync::Arc;

pub use message::{Action, AttemptOutcome, Destination, Event, Identity, Report, TICK};

use crate::clock::Time;
use crate::process::safeguard::Safeguard;
use crate::process::{share, target};
use crate::request::admission;
use crate::request::arrival::{Arrival, AttemptId, Origin, RequestId};
use crate::request::outcome::{Reason, Refusal};
use crate::request::{poison, retry};
use crate::version::view::{Region, View};
use job::{Job, Running, RunningRequests};
use service::ServiceState;
use tuning::Tuning;

/// State of the dispatcher.
pub struct Dispatch {
    identity: Identity,
    tuning: Tuning,
    view: Arc<View>,
    /// Region of this instance's failure domain in the view in force.
    region: Option<Region>,
    endpoints: target::EndpointTable,
    /// Services, sorted by name.
    services: Vec<ServiceState>,
    /// Indices of `services`, sorted by class, highest first.
    class_order: Vec<usize>,
    running: RunningRequests,
    callers: admission::CallerCounts,
    budget: retry::Budget,
    suspects: poison::Suspects,
    shares: share::Shares,
    /// Loan requests to send; empty between events.
    loan_requests: Vec<Action>,
    last_attempt: u64,
    last_probe: Time,
    stats: stats::Stats,
    rng: fastrand::Rng,
}

impl Dispatch {
    /// Creates a dispatcher with no requests and an empty view.
    #[must_use]
    pub fn new(identity: Identity, rng: fastrand::Rng) -> Self {
        Self::with_tuning(identity, Tuning::default(), rng)
    }

    /// Creates a dispatcher with the given limits, policy and safeguards.
    #[must_use]
    pub fn with_tuning(identity: Identity, tuning: Tuning, rng: fastrand::Rng) -> Self {
        Self {
            identity,
            tuning,
            view: Arc::default(),
            region: None,
            endpoints: target::EndpointTable::default(),
            services: Vec::new(),
            class_order: Vec::new(),
            running: RunningRequests::default(),
            callers: admission::CallerCounts::default(),
            budget: retry::Budget::default(),
            suspects: poison::Suspects::default(),
            shares: share::Shares::default(),
            loan_requests: Vec::new(),
            last_attempt: 0,
            last_probe: Time::ZERO,
            stats: stats::Stats::default(),
            rng,
        }
    }

    /// Handles one event and appends the actions to perform to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Arrive(arrival) => self.arrive(now, arrival, out),
            Event::Ended {
                id,
                attempt,
                outcome,
            } => self.ended(now, id, attempt, outcome, out),
            Event::SlotHeld(held) => self.shares.set_slot_held(now, held),
            Event::LoanGranted {
                route,
                amount,
                asked_at,
            } => self.shares.borrow(asked_at, &route, amount),
            Event::LoanRequested { ask, route, amount } => {
                let amount = self.shares.lend(now, &route, amount);
                out.push(Action::Lend { ask, amount });
            }
            Event::Disconnected(id) => self.disconnected(now, id, out),
            Event::View(view) => self.apply_view(now, view, out),
            Event::Report { target, report } => self.report(now, &target, report),
            Event::Probed { target, report } => self.probed(now, &target, report),
            Event::Suspected {
                fingerprint,
                strikes,
            } => self.suspected(now, fingerprint, strikes, out),
            Event::Tick => self.tick(now, out),
        }
        out.append(&mut self.loan_requests);
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.services.iter().map(|s| s.queue.len()).sum()
    }

    /// Returns the counters since the start.
    #[must_use]
    pub const fn stats(&self) -> &stats::Stats {
        &self.stats
    }

    /// Returns the state at `now`, to be written as text.
    #[must_use]
    pub const fn dump(&self, now: Time) -> dump::Dump<'_> {
        dump::Dump {
            dispatch: self,
            now,
        }
    }

    fn arrive(&mut self, now: Time, arrival: Arrival, out: &mut Vec<Action>) {
        let service = match self.admit(&arrival) {
            Ok(service) => service,
            Err(refusal) => {
                let id = arrival.id;
                return self.refuse(id, refusal, out);
            }
        };
        if let Err(wait) = self.admit_inbound(now, &arrival) {
            let after = Some(admission::retry_after(wait, &mut self.rng));
            let refusal = Refusal::not_run(Reason::Cap, after);
            return self.refuse(arrival.id, refusal, out);
        }
        let allowed = arrival.deadline.unwrap_or(self.services[service].deadline);
        self.callers.add(&arrival.caller);
        self.budget.deposit();
        let job = Job {
            deadline: now + allowed,
            arrived_at: now,
            tried: Vec::new(),
            is_uncertain: false,
            last_failure: None,
            arrival,
        };
        self.place(now, service, job, out);
    }

    /// Checks the limits that do not depend on the deadline; returns the index
    /// of the service.
    fn admit(&mut self, arrival: &Arrival) -> Result<usize, Refusal> {
        if self.view.version.0 == 0 {
            let after = Some(self.default_retry_after());
            return Err(Refusal::not_run(Reason::NotReady, after));
        }
        let Some(service) = self.find_service(&arrival.service) else {
            return Err(Refusal::not_run(Reason::UnknownService, None));
        };
        let enabled = self.tuning.safeguards;
        let strikes = self.suspects.strikes(arrival.fingerprint);
        if enabled.has(Safeguard::Poison) && strikes >= poison::STRIKES_MAX {
            // Earlier attempts of the same request ran: "not run" is wrong.
            return Err(Refusal::unknown(Reason::Poison, None));
        }
        let limits = self.tuning.limits;
        let is_caller_full = self.callers.get(&arrival.caller) >= limits.per_caller();
        if enabled.has(Safeguard::CallerLimit) && is_caller_full {
            let after = Some(self.default_retry_after());
            return Err(Refusal::not_run(Reason::CallerLimit, after));
        }
        let is_service_full = self.services[service].total() >= limits.per_service();
        if enabled.has(Safeguard::ServiceLimit) && is_service_full {
            let after = Some(self.default_retry_after());
            return Err(Refusal::not_run(Reason::Overloaded, after));
        }
        Ok(service)
    }

    /// Sends a job, queues it, or refuses it at once.
    fn place(&mut self, now: Time, service: usize, job: Job, out: &mut Vec<Action>) {
        let left = job.deadline.since(now);
        let enabled = self.tuning.safeguards;
        if self.is_too_late(service, left) {
            let wait = self.services[service].estimate().wait();
            let reason = job.last_failure.unwrap_or(Reason::Deadline);
            return self.refuse_job(&job, reason, wait, out);
        }
        let is_next = self.services[service].queue.is_empty() || !job.tried.is_empty();
        let has_room = self.has_room(service);
        let is_suspect = self.is_suspect(&job);
        if (is_next || is_suspect)
            && has_room
            && let Some(pick) = self.pick_target(now, service, &job, is_suspect)
        {
            return self.send(now, service, job, pick, out);
        }
        let estimate = self.services[service].estimate();
        if job.arrival.origin == Origin::Peer {
            // Only the instance that the caller reached queues requests: one
            // that waits here could be served by another peer.
            return self.refuse_job(&job, Reason::Overloaded, estimate.wait(), out);
        }
        let is_short = estimate.wait() <= self.wait_limit(now, service);
        let is_feasible =
            !enabled.has(Safeguard::Admission) || (is_short && estimate.is_feasible(left));
        let is_queueable = is_feasible
            && self.has_open_target(now, service, &job)
            && self.has_queue_share(service);
        let wait_max = if is_queueable { estimate.wait() } else { left };
        // A request that a cap admits counts as used: caps are only checked for
        // the peer that the request is then sent to.
        let remote = if has_room {
            self.pick_peer(now, service, &job, wait_max, left)
        } else {
            Ok(None)
        };
        let cap_wait = match remote {
            Ok(Some(pick)) => return self.send(now, service, job, pick, out),
            Ok(None) => None,
            Err(after) => Some(after),
        };
        if is_queueable && self.make_room(service, out) {
            return self.enqueue(now, service, job);
        }
        if estimate.limit == 0
            && has_room
            && let Some(pick) = self.pick_ejected(now, service, &job)
        {
            return self.send(now, service, job, pick, out);
        }
        let reason = match job.last_failure {
            _ if cap_wait.is_some() => Reason::Cap,
            Some(failed) => failed,
            None if estimate.limit == 0 => Reason::NoTarget,
            // The reason is the deadline only if the expected wait and run
            // time exceed it. A wait that the limits exclude is overload.
            None if estimate.is_feasible(left) => Reason::Overloaded,
            None => Reason::Deadline,
        };
        let wait = match cap_wait {
            Some(after) => after,
            None if estimate.limit == 0 => admission::RETRY_AFTER_BOUNDS.0 * 10,
            None => estimate.wait(),
        };
        self.refuse_job(&job, reason, wait, out);
    }

    /// Returns whether even an idle target would hardly answer in time. Such a
    /// request would take a slot for an answer that is discarded. One is let
    /// through while none runs: the measured latency may be of a brownout that
    /// is over, and is only corrected by answers.
    fn is_too_late(&self, service: usize, left: core::time::Duration) -> bool {
        let run_min = core::time::Duration::from_micros(self.services[service].best_mean / 2);
        let is_on = self.tuning.safeguards.has(Safeguard::Admission);
        let is_busy = self.services[service].local_running > 0;
        left.is_zero() || (is_on && is_busy && left < run_min)
    }

    fn send(
        &mut self,
        now: Time,
        service: usize,
        mut job: Job,
        pick: selection::Pick,
        out: &mut Vec<Action>,
    ) {
        let left = job.deadline.since(now);
        let budget = self.attempt_budget(service, &pick, &job, left);
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        let endpoint = &mut self.endpoints.as_mut_slice()[pick.endpoint];
        endpoint.in_flight += 1;
        endpoint.is_reserved |= pick.is_exclusive;
        let state = &mut self.services[service];
        state.in_flight += 1;
        state.local_running += u32::from(pick.is_local());
        job.tried
            .push((pick.destination.kind(), Arc::clone(pick.destination.name())));
        self.stats.record_sent(&pick.destination, job.tried.len());
        out.push(Action::Send {
            id: job.arrival.id,
            attempt,
            destination: pick.destination.clone(),
            budget,
        });
        self.running.add(Running {
            strikes: self.suspects.strikes(job.arrival.fingerprint),
            job,
            attempt,
            destination: pick.destination,
            sent_at: now,
            is_exclusive: pick.is_exclusive,
        });
    }

    /// Refuses a job. `wait` is the expected wait, from which the time to ask
    /// again follows.
    fn refuse_job(
        &mut self,
        job: &Job,
        reason: Reason,
        wait: core::time::Duration,
        out: &mut Vec<Action>,
    ) {
        let after = match job.arrival.origin {
            Origin::Peer => admission::peer_pause(wait, &mut self.rng),
            Origin::Caller | Origin::Forward => admission::retry_after(wait, &mut self.rng),
        };
        let refusal = job.refusal(reason, Some(after));
        self.finish_job(job, refusal, out);
    }

    fn finish_job(&mut self, job: &Job, refusal: Refusal, out: &mut Vec<Action>) {
        self.callers.remove(&job.arrival.caller);
        self.refuse(job.arrival.id, refusal, out);
    }

    fn refuse(&mut self, id: RequestId, refusal: Refusal, out: &mut Vec<Action>) {
        self.stats.record_refused(refusal.reason);
        out.push(Action::Refuse { id, refusal });
    }

    fn find_service(&self, name: &str) -> Option<usize> {
        self.services.binary_search_by(|s| (*s.name).cmp(name)).ok()
    }
}
