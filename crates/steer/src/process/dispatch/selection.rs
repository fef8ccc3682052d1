//! Selection of the target or peer that a request is sent to.
//!
//! Invariant: an endpoint that is leaving, ejected or without room is never
//! picked, except for one trial at a time and for requests without any other
//! endpoint.

use core::time::Duration;
use std::sync::Arc;

use crate::clock::Time;
use crate::process::dispatch::job::Job;
use crate::process::dispatch::message::Destination;
use crate::process::dispatch::service::{Remote, ServiceState};
use crate::process::dispatch::{Dispatch, Origin};
use crate::process::safeguard::Safeguard;
use crate::process::target::{Availability, Endpoint, choose, latency};
use crate::request::{poison, retry};
use crate::version::view::Region;

/// Time that sending a request to a peer of the same region takes.
pub const SAME_REGION_HOP: Duration = Duration::from_millis(2);
/// Time that sending a request to a peer of another region takes.
pub const CROSS_REGION_HOP: Duration = Duration::from_millis(75);

/// Maximum number of targets considered per decision, as long as one of them
/// has room. The least loaded of this many, drawn anew each time, is as good as
/// the least loaded of all.
const TARGET_CANDIDATES_MAX: usize = 48;

/// Maximum number of peers considered per decision. More would cost time and
/// hardly find a better one.
const PEER_CANDIDATES_MAX: usize = 8;

/// Endpoint picked for a request.
pub(super) struct Pick {
    /// Index in the table of endpoints.
    pub endpoint: usize,
    /// Target or peer to send to.
    pub destination: Destination,
    /// Whether the request is to run alone on the target.
    pub is_exclusive: bool,
}

impl Pick {
    pub const fn is_local(&self) -> bool {
        matches!(self.destination, Destination::Target { .. })
    }
}

impl Dispatch {
    /// Returns whether the request may have crashed a target, and so has to run
    /// alone.
    pub(super) fn is_suspect(&self, job: &Job) -> bool {
        let enabled = self.tuning.safeguards;
        enabled.has(Safeguard::Poison)
            && enabled.has(Safeguard::Quarantine)
            && self.suspects.strikes(job.arrival.fingerprint) > 0
    }

    /// Picks a target of this failure domain with room; for a suspect, an empty
    /// one.
    pub(super) fn pick_target(
        &mut self,
        now: Time,
        service: usize,
        job: &Job,
        is_suspect: bool,
    ) -> Option<Pick> {
        if is_suspect {
            return self.pick_empty_target(now, service, job);
        }
        let enabled = self.tuning.safeguards;
        let state = &self.services[service];
        if job.arrival.origin == Origin::Peer
            && enabled.has(Safeguard::PeerGate)
            && !has_spare_capacity(state)
        {
            return None;
        }
        let skips_tried = enabled.has(Safeguard::OtherPlace);
        let is_open = |endpoint: &Endpoint| !(skips_tried && job.was_sent_to(endpoint));
        if state.ejected > 0
            && let Some(pick) = self.pick_trial(now, state, &is_open)
        {
            return Some(pick);
        }
        let wait = latency::micros(state.estimate().wait());
        let is_fast = |endpoint: &Endpoint| {
            !enabled.has(Safeguard::SlowTarget)
                || match endpoint.latency.speed(now, state.best_mean, wait) {
                    latency::Speed::Good => true,
                    latency::Speed::Uncertain => endpoint.in_flight == 0,
                    latency::Speed::Slow => false,
                }
        };
        let is_usable = |endpoint: &Endpoint| match endpoint.availability(now, enabled) {
            Availability::Free => is_fast(endpoint),
            Availability::Trial | Availability::Ejected | Availability::Busy => {
                !enabled.has(Safeguard::Ejection) && !endpoint.is_reserved
            }
            Availability::Leaving => false,
        };
        let count = state.locals.len();
        let first = state.subset.min(TARGET_CANDIDATES_MAX);
        let start = if state.subset > TARGET_CANDIDATES_MAX {
            self.rng.usize(..count)
        } else {
            0
        };
        let endpoints = self.endpoints.as_slice();
        let scored = |at: core::ops::Range<usize>| {
            at.map(|i| (start + i) % count)
                .map(|at| (at, &endpoints[state.locals[at].endpoint]))
                .filter(|&(_, endpoint)| is_open(endpoint) && is_usable(endpoint))
                .map(|(at, endpoint)| (at, endpoint.score(now, state.best_mean, enabled)))
        };
        let policy = self.tuning.policy;
        let found = policy.choose(scored(0..first), &mut self.rng);
        let found = found.or_else(|| {
            let rest = first..count;
            policy.choose(scored(rest), &mut self.rng)
        });
        Some(target_at(state, endpoints, found?, false))
    }

    /// Picks an ejected target that is due for a trial. A request that is not
    /// idempotent tries it only after a successful probe.
    fn pick_trial(
        &self,
        now: Time,
        state: &ServiceState,
        is_open: &impl Fn(&Endpoint) -> bool,
    ) -> Option<Pick> {
        let enabled = self.tuning.safeguards;
        let endpoints = self.endpoints.as_slice();
        let at = state.locals.iter().position(|local| {
            let endpoint = &endpoints[local.endpoint];
            let may_try = state.is_idempotent || endpoint.health.has_passed_probe();
            may_try
                && is_open(endpoint)
                && endpoint.availability(now, enabled) == Availability::Trial
        })?;
        enabled
            .has(Safeguard::Ejection)
            .then(|| target_at(state, endpoints, at, false))
    }

    /// Returns whether there is a usable target, with or without room, that the
    /// request was not sent to.
    pub(super) fn has_open_target(&self, now: Time, service: usize, job: &Job) -> bool {
        let enabled = self.tuning.safeguards;
        let skips_tried = enabled.has(Safeguard::OtherPlace);
        let endpoints = self.endpoints.as_slice();
        let mut locals = self.services[service]
            .locals
            .iter()
            .map(|l| &endpoints[l.endpoint]);
        locals.any(|endpoint| {
            let is_used = matches!(
                endpoint.availability(now, enabled),
                Availability::Free | Availability::Busy
            );
            is_used && !(skips_tried && job.was_sent_to(endpoint))
        })
    }

    /// Picks an idle target on which a suspect can run alone. If there is none,
    /// reserves the one with the fewest requests in flight: it gets no new ones
    /// until it is idle. Copies of a suspect run one at a time.
    fn pick_empty_target(&mut self, now: Time, service: usize, job: &Job) -> Option<Pick> {
        let enabled = self.tuning.safeguards;
        let fingerprint = job.arrival.fingerprint;
        let is_running =
            |r: &super::Running| r.is_exclusive && r.job.arrival.fingerprint == fingerprint;
        if self.running.iter().any(is_running) {
            return None;
        }
        let state = &self.services[service];
        let endpoints = self.endpoints.as_mut_slice();
        let is_usable = |endpoint: &Endpoint| {
            !job.was_sent_to(endpoint)
                && (endpoint.is_reserved
                    || matches!(
                        endpoint.availability(now, enabled),
                        Availability::Free | Availability::Busy
                    ))
        };
        let is_ready = |endpoint: &Endpoint| endpoint.in_flight == 0 && is_usable(endpoint);
        if let Some(at) = state
            .locals
            .iter()
            .position(|l| is_ready(&endpoints[l.endpoint]))
        {
            return Some(target_at(state, endpoints, at, true));
        }
        if state
            .locals
            .iter()
            .all(|l| !endpoints[l.endpoint].is_reserved)
        {
            let least_loaded = state
                .locals
                .iter()
                .filter(|l| is_usable(&endpoints[l.endpoint]))
                .min_by_key(|l| endpoints[l.endpoint].in_flight);
            if let Some(local) = least_loaded {
                endpoints[local.endpoint].is_reserved = true;
            }
        }
        None
    }

    /// Picks a peer that the request reaches within `wait_max` and that can
    /// answer it within `left`. Peers of this instance's region are preferred.
    ///
    /// # Errors
    /// The time after which caps may allow it, if only caps exclude the peers.
    pub(super) fn pick_peer(
        &mut self,
        now: Time,
        service: usize,
        job: &Job,
        wait_max: Duration,
        left: Duration,
    ) -> Result<Option<Pick>, Duration> {
        let state = &self.services[service];
        // A suspect stays where its strikes are known as long as a local target
        // is usable.
        if job.arrival.origin == Origin::Peer || (self.is_suspect(job) && state.limit > 0) {
            return Ok(None);
        }
        let run = state.estimate().run_time();
        let tiers = [
            (SAME_REGION_HOP, 0..state.same_region),
            (CROSS_REGION_HOP, state.same_region..state.remotes.len()),
        ];
        let mut cap_wait: Option<Duration> = None;
        let mut closed_regions = Vec::new();
        for (hop, tier) in tiers {
            if hop > wait_max || hop + run > left {
                continue;
            }
            while let Some(at) = self.choose_peer(now, service, job, tier.clone(), &closed_regions)
            {
                let to = self.services[service].remotes[at].clone();
                match self.admit_shift(now, &job.arrival, to.member) {
                    Ok(()) => return Ok(Some(self.peer_at(&to))),
                    Err(after) => cap_wait = Some(cap_wait.map_or(after, |c| c.min(after))),
                }
                // Caps apply between regions: another region may have room.
                closed_regions.push(to.region);
            }
        }
        cap_wait.map_or(Ok(None), Err)
    }

    fn peer_at(&self, to: &Remote) -> Pick {
        Pick {
            endpoint: to.endpoint,
            destination: Destination::Member {
                name: Arc::clone(&self.endpoints.as_slice()[to.endpoint].name),
                incarnation: to.incarnation,
                peer: to.peer,
            },
            is_exclusive: false,
        }
    }

    fn choose_peer(
        &mut self,
        now: Time,
        service: usize,
        job: &Job,
        tier: core::ops::Range<usize>,
        closed_regions: &[Region],
    ) -> Option<usize> {
        let enabled = self.tuning.safeguards;
        let count = tier.len();
        if count == 0 {
            return None;
        }
        let start = if count > PEER_CANDIDATES_MAX {
            self.rng.usize(..count)
        } else {
            0
        };
        let state = &self.services[service];
        let endpoints = self.endpoints.as_slice();
        let scored = (0..count.min(PEER_CANDIDATES_MAX))
            .map(|i| tier.start + (start + i) % count)
            .filter(|&at| !closed_regions.contains(&state.remotes[at].region))
            .map(|at| (at, &endpoints[state.remotes[at].endpoint]))
            .filter(|(_, endpoint)| !job.was_sent_to(endpoint))
            .filter(|(_, endpoint)| {
                matches!(
                    endpoint.availability(now, enabled),
                    Availability::Free | Availability::Trial
                )
            })
            .map(|(at, endpoint)| (at, u64::from(endpoint.in_flight)));
        choose::Policy::LowestScore.choose(scored, &mut self.rng)
    }

    /// Picks an idle ejected target for a request without any other endpoint.
    /// When all targets are ejected the ejections may be wrong, and trying costs
    /// nothing. One request at a time bounds the load on a target that does
    /// fail.
    pub(super) fn pick_ejected(&self, now: Time, service: usize, job: &Job) -> Option<Pick> {
        let enabled = self.tuning.safeguards;
        let state = &self.services[service];
        let endpoints = self.endpoints.as_slice();
        let at = state.locals.iter().position(|local| {
            let endpoint = &endpoints[local.endpoint];
            let is_ejected = matches!(
                endpoint.availability(now, enabled),
                Availability::Ejected | Availability::Trial
            );
            is_ejected && endpoint.in_flight == 0 && !job.was_sent_to(endpoint)
        })?;
        Some(target_at(state, endpoints, at, false))
    }

    /// Time-out of an attempt. An idempotent request that could be sent to
    /// another endpoint does not spend all its time on a target that hangs.
    ///
    /// Before any latency is measured, the first attempt gets half of the time
    /// left, so that a retry elsewhere has the other half. A service slower than
    /// that would then never be answered: once as many such attempts have timed
    /// out as there are targets, the service counts as slow, and attempts get
    /// all the time left.
    pub(super) fn attempt_budget(
        &self,
        service: usize,
        pick: &Pick,
        job: &Job,
        left: Duration,
    ) -> Duration {
        let enabled = self.tuning.safeguards;
        let state = &self.services[service];
        let has_others = state.locals.len() + state.remotes.len() > 1;
        let is_bounded = enabled.has(Safeguard::AttemptBound)
            && state.is_idempotent
            && has_others
            && pick.is_local()
            && self.budget.has_retry();
        match state.latency.high().filter(|_| is_bounded) {
            Some(high) => left.min((high * 2).max(retry::ATTEMPT_TIMEOUT_MIN)),
            None if is_bounded && is_first_unmeasured(state, job) => left / 2,
            None => left,
        }
    }

    /// Returns whether the request has so many strikes that it is always
    /// refused.
    pub(super) fn is_poisoned(&self, job: &Job) -> bool {
        self.tuning.safeguards.has(Safeguard::Poison)
            && self.suspects.strikes(job.arrival.fingerprint) >= poison::STRIKES_MAX
    }
}

fn is_first_unmeasured(state: &ServiceState, job: &Job) -> bool {
    let is_known = state.latency.high().is_some();
    !is_known && job.tried.is_empty() && state.early_timeouts < state.locals.len()
}

/// Returns whether the service has room for requests from peers: the highest
/// class may fill the targets, the others leave a quarter to this instance's
/// own callers.
///
/// One request at a time is accepted even with a limit of zero. If all targets
/// are ejected and only peers send requests, no target would be tried again
/// otherwise, and the service would stay unavailable.
fn has_spare_capacity(state: &ServiceState) -> bool {
    let max = if state.class == 0 {
        state.limit
    } else {
        state.limit - state.limit / 4
    };
    state.queue.is_empty() && state.local_running < max.max(1)
}

fn target_at(state: &ServiceState, endpoints: &[Endpoint], at: usize, is_exclusive: bool) -> Pick {
    let local = &state.locals[at];
    let destination = Destination::Target {
        name: Arc::clone(&endpoints[local.endpoint].name),
        addr: local.addr,
    };
    Pick {
        endpoint: local.endpoint,
        destination,
        is_exclusive,
    }
}
