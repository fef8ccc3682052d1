//! Periodic work: refusing waiting requests that are out of time, spillover,
//! probes, expiry.
//!
//! Invariant: a waiting request that can no longer be answered in time is
//! refused before its deadline.

use core::mem;
use core::time::Duration;
use std::collections::VecDeque;

use crate::clock::Time;
use crate::process::dispatch::Dispatch;
use crate::process::dispatch::job::Job;
use crate::process::dispatch::message::Action;
use crate::process::safeguard::Safeguard;
use crate::process::target::{Availability, Endpoint};
use crate::request::outcome::Reason;

/// Minimum time between two probes of one instance. A probe costs a target
/// 6 ms; at this rate the 12 targets of a service lose 0.6 % together.
pub const PROBE_INTERVAL_MIN: Duration = Duration::from_secs(1);

/// Time without ended attempts, reports and probes after which an idle target is
/// probed. While there is traffic, its outcomes are better evidence than probes.
pub const PROBE_SILENCE: Duration = Duration::from_secs(10);

impl Dispatch {
    pub(super) fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        for endpoint in self.endpoints.as_mut_slice() {
            endpoint.expire_leaving(now);
        }
        self.refresh(now);
        self.release_reserved();
        for service in 0..self.services.len() {
            self.refuse_expired(now, service, out);
            self.place_stuck(now, service, out);
            self.spill_over(now, service, out);
        }
        self.send_queued(now, out);
        self.suspects.expire(now);
        self.send_probe(now, out);
    }

    /// Refuses the waiting requests that can no longer be answered in time.
    fn refuse_expired(&mut self, now: Time, service: usize, out: &mut Vec<Action>) {
        let enabled = self.tuning.safeguards;
        let estimate = self.services[service].estimate();
        let run = if enabled.has(Safeguard::Admission) {
            estimate.mean
        } else {
            None
        };
        let earliest_end = now + run.unwrap_or_default();
        let is_late = |deadline: Time| earliest_end >= deadline;
        if !self.services[service]
            .queue
            .iter()
            .any(|j| is_late(j.deadline))
        {
            return;
        }
        let queue = mem::take(&mut self.services[service].queue);
        for job in queue {
            if is_late(job.deadline) {
                self.refuse_job(&job, Reason::Deadline, estimate.wait(), out);
            } else {
                self.services[service].queue.push_back(job);
            }
        }
    }

    /// Places again the requests that wait but have no target left.
    fn place_stuck(&mut self, now: Time, service: usize, out: &mut Vec<Action>) {
        let is_stuck = |d: &Self, job: &Job| !d.has_open_target(now, service, job);
        if !self.services[service]
            .queue
            .iter()
            .any(|j| is_stuck(self, j))
        {
            return;
        }
        let queue = mem::take(&mut self.services[service].queue);
        let (stuck, kept) = queue.into_iter().partition(|j| is_stuck(self, j));
        self.services[service].queue = kept;
        let stuck: VecDeque<Job> = stuck;
        for job in stuck {
            self.place(now, service, job, out);
        }
    }

    /// Sends waiting requests to peers, newest first, as long as the expected
    /// wait here is longer than the way to a peer.
    fn spill_over(&mut self, now: Time, service: usize, out: &mut Vec<Action>) {
        while self.has_room(service) {
            let wait = self.services[service].estimate().wait();
            let Some(job) = self.services[service].queue.pop_back() else {
                return;
            };
            let left = job.deadline.since(now);
            let pick = self.pick_peer(now, service, &job, wait, left);
            let Ok(Some(pick)) = pick else {
                return self.services[service].queue.push_back(job);
            };
            self.send(now, service, job, pick, out);
        }
    }

    /// Releases the targets that are reserved for suspects, where no suspect
    /// waits and none runs.
    fn release_reserved(&mut self) {
        if self.endpoints.as_slice().iter().all(|t| !t.is_reserved) {
            return;
        }
        for service in &self.services {
            let has_suspect = service.queue.iter().any(|j| self.is_suspect(j));
            for local in service.locals.iter().filter(|_| !has_suspect) {
                let endpoint = &self.endpoints.as_slice()[local.endpoint];
                let runs_alone =
                    |r: &super::Running| r.is_exclusive && *r.destination.name() == endpoint.name;
                let is_used = self.running.iter().any(runs_alone);
                self.endpoints.as_mut_slice()[local.endpoint].is_reserved &= is_used;
            }
        }
    }

    /// Sends at most one probe: to the target that has been silent longest
    /// among those that are idle, or that need a probe before a request that is
    /// not idempotent may try them after an ejection.
    fn send_probe(&mut self, now: Time, out: &mut Vec<Action>) {
        if now.since(self.last_probe) < PROBE_INTERVAL_MIN {
            return;
        }
        let enabled = self.tuning.safeguards;
        let mut longest: Option<(Time, usize, usize)> = None;
        for (at, service) in self.services.iter().enumerate() {
            for (nth, local) in service.locals.iter().enumerate() {
                let endpoint = &self.endpoints.as_slice()[local.endpoint];
                if !needs_probe(
                    endpoint,
                    now,
                    service.is_idempotent,
                    endpoint.availability(now, enabled),
                ) {
                    continue;
                }
                if longest.is_none_or(|s| endpoint.last_evidence < s.0) {
                    longest = Some((endpoint.last_evidence, at, nth));
                }
            }
        }
        let Some((_, service, nth)) = longest else {
            return;
        };
        self.last_probe = now;
        self.stats.probes += 1;
        let local = &self.services[service].locals[nth];
        let endpoint = &mut self.endpoints.as_mut_slice()[local.endpoint];
        endpoint.last_evidence = now;
        out.push(Action::Probe {
            target: endpoint.name.clone(),
            addr: local.addr,
        });
    }
}

fn needs_probe(
    endpoint: &Endpoint,
    now: Time,
    is_idempotent: bool,
    availability: Availability,
) -> bool {
    let awaits_probe = availability == Availability::Trial
        && !is_idempotent
        && !endpoint.health.has_passed_probe();
    let is_silent = endpoint.in_flight == 0 && now.since(endpoint.last_evidence) >= PROBE_SILENCE;
    awaits_probe || (is_silent && availability != Availability::Leaving)
}
