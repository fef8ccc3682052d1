//! Where a request goes.
//!
//! Invariant: a place that leaves, is ejected or has no room is never picked,
//! but for one trial at a time and for requests that have no other place.

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

/// Time that passing a request to a peer of the same region costs.
pub const SAME_REGION_HOP: Duration = Duration::from_millis(2);
/// Time that passing a request to another region costs.
pub const CROSS_REGION_HOP: Duration = Duration::from_millis(75);

/// Targets looked at per decision, as long as one of them has room. The least
/// loaded of so many, drawn anew each time, is as good as the least of all.
const TARGET_CANDIDATES_MAX: usize = 48;

/// Peers looked at per decision. More would cost time and find little better.
const PEER_CANDIDATES_MAX: usize = 8;

/// A chosen place.
pub(super) struct Pick {
    pub endpoint: usize,
    pub destination: Destination,
    /// Whether the request has the target for itself.
    pub is_exclusive: bool,
}

impl Pick {
    pub const fn is_local(&self) -> bool {
        matches!(self.destination, Destination::Target { .. })
    }
}

impl Dispatch {
    /// Whether a request may have crashed a target.
    pub(super) fn is_suspect(&self, job: &Job) -> bool {
        let on = self.tuning.safeguards;
        on.has(Safeguard::Poison)
            && on.has(Safeguard::Quarantine)
            && self.suspects.strikes(job.arrival.fingerprint) > 0
    }

    /// A target of this failure domain with room.
    pub(super) fn pick_target(
        &mut self,
        now: Time,
        service: usize,
        job: &Job,
        suspect: bool,
    ) -> Option<Pick> {
        if suspect {
            return self.pick_empty_target(now, service, job);
        }
        let on = self.tuning.safeguards;
        let state = &self.services[service];
        if job.arrival.origin == Origin::Peer
            && on.has(Safeguard::PeerGate)
            && !has_spare_capacity(state)
        {
            return None;
        }
        let other = on.has(Safeguard::OtherPlace);
        let open = |endpoint: &Endpoint| !(other && job.was_sent_to(endpoint));
        if state.ejected > 0
            && let Some(pick) = self.pick_trial(now, state, &open)
        {
            return Some(pick);
        }
        let wait = latency::micros(state.outlook().wait());
        let brisk = |endpoint: &Endpoint| {
            !on.has(Safeguard::SlowTarget)
                || match endpoint.latency.speed(now, state.best_mean, wait) {
                    latency::Speed::Good => true,
                    latency::Speed::Uncertain => endpoint.in_flight == 0,
                    latency::Speed::Slow => false,
                }
        };
        let fits = |endpoint: &Endpoint| match endpoint.availability(now, on) {
            Availability::Free => brisk(endpoint),
            Availability::Trial | Availability::Ejected | Availability::Busy => {
                !on.has(Safeguard::Ejection) && !endpoint.is_reserved
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
        let places = |at: core::ops::Range<usize>| {
            at.map(|i| (start + i) % count)
                .map(|at| (at, &endpoints[state.locals[at].endpoint]))
                .filter(|&(_, endpoint)| open(endpoint) && fits(endpoint))
                .map(|(at, endpoint)| (at, endpoint.score(now, state.best_mean, on)))
        };
        let policy = self.tuning.policy;
        let found = policy.choose(places(0..first), &mut self.rng);
        let found = found.or_else(|| {
            let rest = first..count;
            policy.choose(places(rest), &mut self.rng)
        });
        Some(target_at(state, endpoints, found?, false))
    }

    /// An ejected target that is due for its trial.
    fn pick_trial(
        &self,
        now: Time,
        state: &ServiceState,
        open: &impl Fn(&Endpoint) -> bool,
    ) -> Option<Pick> {
        let on = self.tuning.safeguards;
        let endpoints = self.endpoints.as_slice();
        let at = state.locals.iter().position(|local| {
            let endpoint = &endpoints[local.endpoint];
            let may = state.is_idempotent || endpoint.health.has_passed_probe();
            may && open(endpoint) && endpoint.availability(now, on) == Availability::Trial
        })?;
        on.has(Safeguard::Ejection)
            .then(|| target_at(state, endpoints, at, false))
    }

    /// Whether a target in use is left that the request wasn't sent to.
    pub(super) fn has_open_target(&self, now: Time, service: usize, job: &Job) -> bool {
        let on = self.tuning.safeguards;
        let other = on.has(Safeguard::OtherPlace);
        let endpoints = self.endpoints.as_slice();
        let mut locals = self.services[service]
            .locals
            .iter()
            .map(|l| &endpoints[l.endpoint]);
        locals.any(|endpoint| {
            let used = matches!(
                endpoint.availability(now, on),
                Availability::Free | Availability::Busy
            );
            used && !(other && job.was_sent_to(endpoint))
        })
    }

    /// A target that a suspect can have for itself. If none is empty, one is
    /// kept from new work until it is.
    fn pick_empty_target(&mut self, now: Time, service: usize, job: &Job) -> Option<Pick> {
        let on = self.tuning.safeguards;
        let fingerprint = job.arrival.fingerprint;
        let is_running =
            |r: &super::Running| r.is_exclusive && r.job.arrival.fingerprint == fingerprint;
        if self.running.iter().any(is_running) {
            return None;
        }
        let state = &self.services[service];
        let endpoints = self.endpoints.as_mut_slice();
        let usable = |endpoint: &Endpoint| {
            !job.was_sent_to(endpoint)
                && (endpoint.is_reserved
                    || matches!(
                        endpoint.availability(now, on),
                        Availability::Free | Availability::Busy
                    ))
        };
        let ready = |endpoint: &Endpoint| endpoint.in_flight == 0 && usable(endpoint);
        if let Some(at) = state
            .locals
            .iter()
            .position(|l| ready(&endpoints[l.endpoint]))
        {
            return Some(target_at(state, endpoints, at, true));
        }
        if state
            .locals
            .iter()
            .all(|l| !endpoints[l.endpoint].is_reserved)
        {
            let least = state
                .locals
                .iter()
                .filter(|l| usable(&endpoints[l.endpoint]))
                .min_by_key(|l| endpoints[l.endpoint].in_flight);
            if let Some(local) = least {
                endpoints[local.endpoint].is_reserved = true;
            }
        }
        None
    }

    /// A peer that can take the request within `patience` and answer within
    /// `left`.
    ///
    /// # Errors
    /// Only caps stood against one: when they may allow it.
    pub(super) fn pick_peer(
        &mut self,
        now: Time,
        service: usize,
        job: &Job,
        patience: Duration,
        left: Duration,
    ) -> Result<Option<Pick>, Duration> {
        let state = &self.services[service];
        // A suspect is held where its strikes are known, as long as it can be.
        if job.arrival.origin == Origin::Peer || (self.is_suspect(job) && state.limit > 0) {
            return Ok(None);
        }
        let run = state.outlook().run();
        let tiers = [
            (SAME_REGION_HOP, 0..state.same_region),
            (CROSS_REGION_HOP, state.same_region..state.remotes.len()),
        ];
        let mut capped: Option<Duration> = None;
        let mut closed = Vec::new();
        for (cost, tier) in tiers {
            if cost > patience || cost + run > left {
                continue;
            }
            while let Some(at) = self.choose_peer(now, service, job, tier.clone(), &closed) {
                let to = self.services[service].remotes[at].clone();
                match self.admit_shift(now, &job.arrival, to.member) {
                    Ok(()) => return Ok(Some(self.peer_at(&to))),
                    Err(after) => capped = Some(capped.map_or(after, |c| c.min(after))),
                }
                // Caps are between regions: another one may still be open.
                closed.push(to.region);
            }
        }
        capped.map_or(Ok(None), Err)
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
        closed: &[Region],
    ) -> Option<usize> {
        let on = self.tuning.safeguards;
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
        let places = (0..count.min(PEER_CANDIDATES_MAX))
            .map(|i| tier.start + (start + i) % count)
            .filter(|&at| !closed.contains(&state.remotes[at].region))
            .map(|at| (at, &endpoints[state.remotes[at].endpoint]))
            .filter(|(_, endpoint)| !job.was_sent_to(endpoint))
            .filter(|(_, endpoint)| {
                matches!(
                    endpoint.availability(now, on),
                    Availability::Free | Availability::Trial
                )
            })
            .map(|(at, endpoint)| (at, u64::from(endpoint.in_flight)));
        choose::Policy::LowestScore.choose(places, &mut self.rng)
    }

    /// An ejected target, for a request that has no other place. When all are
    /// ejected the evidence may be at fault, and trying costs nothing; one
    /// request at a time keeps a target that is really ill from more.
    pub(super) fn pick_ejected(&self, now: Time, service: usize, job: &Job) -> Option<Pick> {
        let on = self.tuning.safeguards;
        let state = &self.services[service];
        let endpoints = self.endpoints.as_slice();
        let at = state.locals.iter().position(|local| {
            let endpoint = &endpoints[local.endpoint];
            let ejected = matches!(
                endpoint.availability(now, on),
                Availability::Ejected | Availability::Trial
            );
            ejected && endpoint.in_flight == 0 && !job.was_sent_to(endpoint)
        })?;
        Some(target_at(state, endpoints, at, false))
    }

    /// Time given to an attempt. An idempotent request that could be tried
    /// elsewhere doesn't spend all its time on a target that hangs.
    ///
    /// Before any answer has told how long one takes, the first attempt gets
    /// half of the time, so that a target that hangs leaves the other half for
    /// another. A service that is as slow as that would then never be answered:
    /// once as many such attempts have timed out as there are targets, the
    /// service is taken to be slow, and attempts get all the time.
    pub(super) fn attempt_budget(
        &self,
        service: usize,
        pick: &Pick,
        job: &Job,
        left: Duration,
    ) -> Duration {
        let on = self.tuning.safeguards;
        let state = &self.services[service];
        let others = state.locals.len() + state.remotes.len() > 1;
        let bound = on.has(Safeguard::AttemptBound)
            && state.is_idempotent
            && others
            && pick.is_local()
            && self.budget.any();
        match state.latency.high().filter(|_| bound) {
            Some(high) => left.min((high * 2).max(retry::ATTEMPT_MIN)),
            None if bound && is_first_unmeasured(state, job) => left / 2,
            None => left,
        }
    }

    /// Strikes at which the job's request is refused for good.
    pub(super) fn is_poisoned(&self, job: &Job) -> bool {
        self.tuning.safeguards.has(Safeguard::Poison)
            && self.suspects.strikes(job.arrival.fingerprint) >= poison::STRIKES
    }
}

fn is_first_unmeasured(state: &ServiceState, job: &Job) -> bool {
    let known = state.latency.high().is_some();
    !known && job.tried.is_empty() && state.early_timeouts < state.locals.len()
}

/// Whether the service has room for work from peers: the first class may fill
/// the targets, the others leave a quarter to this instance's own callers.
///
/// Failure: all targets of the service were ejected, and only peers ask for it.
/// Symptom: with a limit of nothing no work of theirs is taken, so no target is
/// ever tried again and the service stays refused. One request at a time is
/// enough: it is the trial.
fn has_spare_capacity(state: &ServiceState) -> bool {
    let most = if state.class == 0 {
        state.limit
    } else {
        state.limit - state.limit / 4
    };
    state.queue.is_empty() && state.local_running < most.max(1)
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
