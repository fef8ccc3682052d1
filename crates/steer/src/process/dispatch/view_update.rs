//! Replacement of the view in force.
//!
//! Invariant: the state of an endpoint is kept by its name, and no request is
//! lost: those waiting for a service that is gone are refused.

use core::mem;
use std::collections::VecDeque;
use std::sync::Arc;

use entity::EntityRef;

use crate::clock::Time;
use crate::process::dispatch::Dispatch;
use crate::process::dispatch::message::Action;
use crate::process::dispatch::service::{Local, Remote, ServiceState};
use crate::process::safeguard::Safeguard;
use crate::process::target::window::{self, Window};
use crate::process::target::{Endpoint, Kind, latency};
use crate::request::outcome::Reason;
use crate::version::view::{Domain, MemberData, Service, State, TargetData, View};

/// Initial and maximum requests in flight at a peer for one service. Large
/// shifts thus ramp up, and a peer limits them by refusals.
const PEER_WINDOW: (u32, u32) = (2, 64);

/// Minimum number of targets that an instance prefers. With a single one, its
/// failure or a burst would always send requests outside the subset.
const SUBSET_MIN: usize = 2;

impl Dispatch {
    pub(super) fn apply_view(&mut self, now: Time, view: Arc<View>, out: &mut Vec<Action>) {
        let is_first = self.view.version.0 == 0;
        let own_domain = view.domain(&self.identity.domain);
        self.region = own_domain.map(|d| view.domains[d].region);
        let has_joined = has_new_member(&self.view, &view);
        self.view = view;
        if has_joined {
            self.announce_poisoned(out);
        }
        self.shares.configure(now, &self.view, &self.identity.name);
        self.update_endpoints(now, own_domain, is_first);
        let mut old = mem::take(&mut self.services);
        for service in self.view.services.keys() {
            let state = self.build_service(service, own_domain, &mut old);
            self.services.push(state);
        }
        self.class_order = (0..self.services.len()).collect();
        self.class_order.sort_by_key(|&s| self.services[s].class);
        for state in old {
            for job in state.queue {
                let refusal = job.refusal(Reason::UnknownService, None);
                self.finish_job(&job, refusal, out);
            }
        }
        self.refresh(now);
        self.send_queued(now, out);
    }

    /// Reports again to all peers which requests are always refused. An instance
    /// that joined after they were found would let each break two more targets.
    fn announce_poisoned(&self, out: &mut Vec<Action>) {
        out.extend(
            self.suspects
                .rejected()
                .map(super::completion::suspect_action),
        );
    }

    /// Recomputes the fields of all services that are derived from endpoints.
    pub(super) fn refresh(&mut self, now: Time) {
        let enabled = self.tuning.safeguards;
        for state in &mut self.services {
            state.refresh(now, &self.endpoints, enabled);
        }
    }

    fn update_endpoints(&mut self, now: Time, own_domain: Option<Domain>, is_first: bool) {
        for endpoint in self.endpoints.as_mut_slice() {
            endpoint.in_view = false;
        }
        let view = Arc::clone(&self.view);
        let mut added = Vec::new();
        for (key, data) in view.targets.iter() {
            if Some(view.target_domain(key)) == own_domain {
                added.extend(self.update_target(now, &view, data, is_first));
            }
        }
        for service in view.services.keys() {
            let domains = serving(&view, service);
            for data in view.members.values() {
                let is_serving = domains.binary_search(&data.domain).is_ok();
                if is_serving && Some(data.domain) != own_domain {
                    added.extend(self.update_peer(now, &view, service, data));
                }
            }
        }
        self.endpoints.retain(|t| t.in_view || t.in_flight > 0);
        self.endpoints.merge(added);
    }

    /// Updates the endpoint of a target; returns a new one if there is none.
    fn update_target(
        &mut self,
        now: Time,
        view: &View,
        data: &TargetData,
        is_first: bool,
    ) -> Option<Endpoint> {
        let service = &view.services[data.service];
        let is_drained = view.sites[data.site].state == State::Leaving
            || service.sites.binary_search(&data.site).is_err();
        let state = if is_drained {
            State::Leaving
        } else {
            data.state
        };
        if let Ok(at) = self.endpoints.find(Kind::Target, &data.name, &service.name) {
            let endpoint = &mut self.endpoints.as_mut_slice()[at];
            endpoint.in_view = true;
            endpoint.slots = data.slots;
            endpoint.window.set_max(data.slots);
            endpoint.set_view_state(now, state);
            return None;
        }
        let (name, service) = (Arc::clone(&data.name), Arc::clone(&service.name));
        let window = Window::new(data.slots, data.slots, window::TARGET_ADJUSTMENT);
        let mut endpoint = Endpoint::new(Kind::Target, name, service, data.slots, window, now);
        endpoint.state = state;
        // To a process that has just started all targets are new, but that does
        // not mean that their caches are cold.
        if !is_first {
            endpoint.mark_cold(now);
        }
        Some(endpoint)
    }

    fn update_peer(
        &mut self,
        now: Time,
        view: &View,
        service: Service,
        data: &MemberData,
    ) -> Option<Endpoint> {
        let service = &view.services[service].name;
        let make = || {
            let (name, service) = (Arc::clone(&data.name), Arc::clone(service));
            let window = Window::new(PEER_WINDOW.0, PEER_WINDOW.1, window::PEER_ADJUSTMENT);
            let mut endpoint = Endpoint::new(Kind::Peer, name, service, PEER_WINDOW.1, window, now);
            endpoint.incarnation = data.incarnation;
            endpoint.state = data.state;
            endpoint
        };
        let Ok(at) = self.endpoints.find(Kind::Peer, &data.name, service) else {
            return Some(make());
        };
        let endpoint = &mut self.endpoints.as_mut_slice()[at];
        if endpoint.incarnation != data.incarnation {
            // A replacement shares only the name with its predecessor.
            let in_flight = endpoint.in_flight;
            *endpoint = make();
            endpoint.in_flight = in_flight;
        }
        endpoint.in_view = true;
        endpoint.set_view_state(now, data.state);
        None
    }

    fn build_service(
        &self,
        service: Service,
        own_domain: Option<Domain>,
        old: &mut Vec<ServiceState>,
    ) -> ServiceState {
        let view = &self.view;
        let data = &view.services[service];
        let class = &view.classes[data.class];
        let kept = old.iter().position(|s| s.name == data.name);
        let kept = kept.map(|at| old.swap_remove(at));
        let early_timeouts = kept.as_ref().map_or(0, |k| k.early_timeouts);
        let mut remotes = self.remotes(service, own_domain);
        remotes.sort_by_key(|r| !r.is_same_region);
        let same_region = remotes.partition_point(|r| r.is_same_region);
        let (queue, queued_since, latency, best_mean) = match kept {
            Some(kept) => (kept.queue, kept.queued_since, kept.latency, kept.best_mean),
            None => (VecDeque::new(), Time::ZERO, latency::Latency::default(), 0),
        };
        let is_of_service = |r: &&super::Running| r.job.arrival.service == data.name;
        let is_on_target =
            |r: &&super::Running| matches!(r.destination, super::Destination::Target { .. });
        let running: Vec<_> = self.running.iter().filter(is_of_service).collect();
        let mut locals = self.locals(service, own_domain);
        let subset = self.subset(own_domain, &mut locals);
        ServiceState {
            name: Arc::clone(&data.name),
            class: data.class.index(),
            queue_share: usize::from(class.queue_percent),
            is_idempotent: data.is_idempotent,
            deadline: data.deadline,
            subset,
            locals,
            remotes,
            same_region,
            queue,
            queued_since,
            latency,
            early_timeouts,
            best_mean,
            limit: 0,
            ejected: 0,
            local_running: u32::try_from(running.iter().filter(|r| is_on_target(r)).count())
                .unwrap_or(u32::MAX),
            in_flight: running.len(),
        }
    }

    /// Rotates the targets so that this instance's subset is in front; returns
    /// the size of the subset.
    ///
    /// If each instance used every target, it would know little of each: few
    /// requests there, and old reports. Each instance of the domain therefore
    /// prefers a subset, by its position among them, and uses other targets
    /// when those have no room.
    fn subset(&self, own_domain: Option<Domain>, locals: &mut [Local]) -> usize {
        let count = locals.len();
        if count == 0 || !self.tuning.safeguards.has(Safeguard::Subset) {
            return count;
        }
        let is_local = |m: &&MemberData| Some(m.domain) == own_domain && m.state == State::Live;
        let members = self.view.members.values().filter(is_local);
        let names: Vec<&Arc<str>> = members.map(|m| &m.name).collect();
        let position = names.binary_search(&&self.identity.name).unwrap_or(0);
        let subset = count
            .div_ceil(names.len().max(1))
            .max(SUBSET_MIN)
            .min(count);
        locals.rotate_left(position * subset % count);
        subset
    }

    fn locals(&self, service: Service, own_domain: Option<Domain>) -> Vec<Local> {
        let view = &self.view;
        let name = &view.services[service].name;
        let served = view.targets.iter().filter(|(key, data)| {
            data.service == service && Some(view.target_domain(*key)) == own_domain
        });
        served
            .filter_map(|(_, data)| {
                let endpoint = self.endpoints.find(Kind::Target, &data.name, name).ok()?;
                Some(Local {
                    endpoint,
                    addr: data.addr,
                })
            })
            .collect()
    }

    fn remotes(&self, service: Service, own_domain: Option<Domain>) -> Vec<Remote> {
        let view = &self.view;
        let name = &view.services[service].name;
        let domains = serving(view, service);
        let peers = view.members.iter().filter(|(_, data)| {
            Some(data.domain) != own_domain && domains.binary_search(&data.domain).is_ok()
        });
        peers
            .filter_map(|(member, data)| {
                let region = view.domains[data.domain].region;
                Some(Remote {
                    endpoint: self.endpoints.find(Kind::Peer, &data.name, name).ok()?,
                    incarnation: data.incarnation,
                    peer: data.peer,
                    member,
                    region,
                    is_same_region: Some(region) == self.region,
                })
            })
            .collect()
    }
}

/// Failure domains with a live site that serves a service, sorted.
fn serving(view: &View, service: Service) -> Vec<Domain> {
    let sites = view.services[service].sites.iter();
    let live = sites.filter(|&&s| view.sites[s].state == State::Live);
    let mut domains: Vec<Domain> = live.map(|&s| view.sites[s].domain).collect();
    domains.sort_unstable();
    domains.dedup();
    domains
}

/// Returns whether a process is a member in `now` that was none in `before`.
fn has_new_member(before: &View, now: &View) -> bool {
    let is_known = |data: &MemberData| {
        let member = before.member(&data.name);
        member.is_some_and(|m| before.members[m].incarnation == data.incarnation)
    };
    !now.members.values().all(is_known)
}
