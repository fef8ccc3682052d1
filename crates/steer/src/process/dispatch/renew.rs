//! A new view comes into force.
//!
//! Invariant: what was learned of a place is kept by its name, and no request
//! is lost: those of a service that is gone get their final answer.

use core::mem;
use std::collections::VecDeque;
use std::sync::Arc;

use entity::EntityRef;

use crate::clock::Time;
use crate::process::dispatch::Dispatch;
use crate::process::dispatch::group::{Group, Local, Remote};
use crate::process::dispatch::message::Action;
use crate::process::safeguard::Safeguard;
use crate::process::target::window::{self, Window};
use crate::process::target::{Kind, Track, latency};
use crate::request::outcome::Reason;
use crate::version::view::{Domain, MemberData, Service, State, TargetData, View};

/// Requests outstanding at a peer for one service, at first and at most. Large
/// moves thus ramp, and a peer says by its refusals when it has enough.
const PEER: (u32, u32) = (2, 64);

/// Targets that an instance prefers at least: with one alone its failure or a
/// burst would always lead elsewhere.
const SUBSET: usize = 2;

impl Dispatch {
    pub(super) fn renew(&mut self, now: Time, view: Arc<View>, out: &mut Vec<Action>) {
        let first = self.view.version.0 == 0;
        let home = view.domain(&self.identity.domain);
        self.region = home.map(|h| view.domains[h].region);
        let newcomers = has_newcomers(&self.view, &view);
        self.view = view;
        if newcomers {
            self.tell_culprits(out);
        }
        self.shares.configure(now, &self.view, &self.identity.name);
        self.renew_tracks(now, home, first);
        let mut old = mem::take(&mut self.groups);
        for service in self.view.services.keys() {
            let group = self.build(service, home, &mut old);
            self.groups.push(group);
        }
        self.order = (0..self.groups.len()).collect();
        self.order.sort_by_key(|&g| self.groups[g].class);
        for group in old {
            for job in group.queue {
                let refusal = job.refusal(Reason::UnknownService, None);
                self.finish(&job, refusal, out);
            }
        }
        self.refresh(now);
        self.pump(now, out);
    }

    /// Tells the peers again which requests are refused for good. An instance
    /// that wasn't there when they were found would let each take two more
    /// targets.
    fn tell_culprits(&self, out: &mut Vec<Action>) {
        out.extend(self.suspects.culprits().map(super::settle::tell));
    }

    /// Renews what the groups derive from the tracks.
    pub(super) fn refresh(&mut self, now: Time) {
        let on = self.tuning.safeguards;
        for group in &mut self.groups {
            group.refresh(now, &self.tracks, on);
        }
    }

    fn renew_tracks(&mut self, now: Time, home: Option<Domain>, first: bool) {
        for track in self.tracks.slice_mut() {
            track.present = false;
        }
        let view = Arc::clone(&self.view);
        let mut fresh = Vec::new();
        for (key, data) in view.targets.iter() {
            if Some(view.target_domain(key)) == home {
                fresh.extend(self.follow_target(now, &view, data, first));
            }
        }
        for service in view.services.keys() {
            let domains = serving(&view, service);
            for data in view.members.values() {
                let serves = domains.binary_search(&data.domain).is_ok();
                if serves && Some(data.domain) != home {
                    fresh.extend(self.follow_member(now, &view, service, data));
                }
            }
        }
        self.tracks.retain(|t| t.present || t.flight > 0);
        self.tracks.merge(fresh);
    }

    /// Brings a target's track up to date; returns a new one if there is none.
    fn follow_target(
        &mut self,
        now: Time,
        view: &View,
        data: &TargetData,
        first: bool,
    ) -> Option<Track> {
        let service = &view.services[data.service];
        let drained = view.sites[data.site].state == State::Leaving
            || service.sites.binary_search(&data.site).is_err();
        let state = if drained { State::Leaving } else { data.state };
        if let Ok(at) = self.tracks.find(Kind::Target, &data.name, &service.name) {
            let track = &mut self.tracks.slice_mut()[at];
            track.present = true;
            track.slots = data.slots;
            track.window.cap(data.slots);
            track.follow(now, state);
            return None;
        }
        let (name, service) = (Arc::clone(&data.name), Arc::clone(&service.name));
        let window = Window::new(data.slots, data.slots, window::TARGET);
        let mut track = Track::new(Kind::Target, name, service, data.slots, window, now);
        track.state = state;
        // A process that has just started knows none of the targets, which are
        // no colder for that.
        if !first {
            track.chill(now);
        }
        Some(track)
    }

    fn follow_member(
        &mut self,
        now: Time,
        view: &View,
        service: Service,
        data: &MemberData,
    ) -> Option<Track> {
        let service = &view.services[service].name;
        let make = || {
            let (name, service) = (Arc::clone(&data.name), Arc::clone(service));
            let window = Window::new(PEER.0, PEER.1, window::PEER);
            let mut track = Track::new(Kind::Peer, name, service, PEER.1, window, now);
            track.incarnation = data.incarnation;
            track.state = data.state;
            track
        };
        let Ok(at) = self.tracks.find(Kind::Peer, &data.name, service) else {
            return Some(make());
        };
        let track = &mut self.tracks.slice_mut()[at];
        if track.incarnation != data.incarnation {
            // A replacement has nothing of its predecessor but the name.
            let flight = track.flight;
            *track = make();
            track.flight = flight;
        }
        track.present = true;
        track.follow(now, data.state);
        None
    }

    fn build(&self, service: Service, home: Option<Domain>, old: &mut Vec<Group>) -> Group {
        let view = &self.view;
        let data = &view.services[service];
        let class = &view.classes[data.class];
        let kept = old.iter().position(|g| g.name == data.name);
        let kept = kept.map(|at| old.swap_remove(at));
        let blind = kept.as_ref().map_or(0, |k| k.blind);
        let mut remotes = self.remotes(service, home);
        remotes.sort_by_key(|r| !r.near);
        let near = remotes.partition_point(|r| r.near);
        let (queue, since, latency, best) = match kept {
            Some(kept) => (kept.queue, kept.since, kept.latency, kept.best),
            None => (VecDeque::new(), Time::ZERO, latency::Latency::default(), 0),
        };
        let here = |r: &&super::Running| r.job.arrival.service == data.name;
        let on_target =
            |r: &&super::Running| matches!(r.destination, super::Destination::Target { .. });
        let running: Vec<_> = self.flight.iter().filter(here).collect();
        let mut locals = self.locals(service, home);
        let subset = self.subset(home, &mut locals);
        Group {
            name: Arc::clone(&data.name),
            class: data.class.index(),
            share: usize::from(class.queue),
            idempotent: data.idempotent,
            deadline: data.deadline,
            subset,
            locals,
            remotes,
            near,
            queue,
            since,
            latency,
            blind,
            best,
            limit: 0,
            ejected: 0,
            flight: u32::try_from(running.iter().filter(|r| on_target(r)).count())
                .unwrap_or(u32::MAX),
            running: running.len(),
        }
    }

    /// Turns the targets so that this instance's part is in front; returns how
    /// many that are.
    ///
    /// With each instance using every target, each knows little of any: its
    /// requests there are few, its reports old. Each instance of the domain
    /// therefore prefers a part, by its place among them, and takes another
    /// target when its own have no room.
    fn subset(&self, home: Option<Domain>, locals: &mut [Local]) -> usize {
        let count = locals.len();
        if count == 0 || !self.tuning.safeguards.has(Safeguard::Subset) {
            return count;
        }
        let here = |m: &&MemberData| Some(m.domain) == home && m.state == State::Live;
        let members = self.view.members.values().filter(here);
        let names: Vec<&Arc<str>> = members.map(|m| &m.name).collect();
        let place = names.binary_search(&&self.identity.name).unwrap_or(0);
        let subset = count.div_ceil(names.len().max(1)).max(SUBSET).min(count);
        locals.rotate_left(place * subset % count);
        subset
    }

    fn locals(&self, service: Service, home: Option<Domain>) -> Vec<Local> {
        let view = &self.view;
        let name = &view.services[service].name;
        let here = view.targets.iter().filter(|(key, data)| {
            data.service == service && Some(view.target_domain(*key)) == home
        });
        here.filter_map(|(_, data)| {
            let track = self.tracks.find(Kind::Target, &data.name, name).ok()?;
            Some(Local {
                track,
                addr: data.addr,
            })
        })
        .collect()
    }

    fn remotes(&self, service: Service, home: Option<Domain>) -> Vec<Remote> {
        let view = &self.view;
        let name = &view.services[service].name;
        let domains = serving(view, service);
        let there = view.members.iter().filter(|(_, data)| {
            Some(data.domain) != home && domains.binary_search(&data.domain).is_ok()
        });
        there
            .filter_map(|(member, data)| {
                let region = view.domains[data.domain].region;
                Some(Remote {
                    track: self.tracks.find(Kind::Peer, &data.name, name).ok()?,
                    incarnation: data.incarnation,
                    peer: data.peer,
                    member,
                    region,
                    near: Some(region) == self.region,
                })
            })
            .collect()
    }
}

/// Failure domains with a site that serves a service, sorted.
fn serving(view: &View, service: Service) -> Vec<Domain> {
    let sites = view.services[service].sites.iter();
    let live = sites.filter(|&&s| view.sites[s].state == State::Live);
    let mut domains: Vec<Domain> = live.map(|&s| view.sites[s].domain).collect();
    domains.sort_unstable();
    domains.dedup();
    domains
}

/// Whether a process is a member now that wasn't before.
fn has_newcomers(before: &View, now: &View) -> bool {
    let known = |data: &MemberData| {
        let member = before.member(&data.name);
        member.is_some_and(|m| before.members[m].incarnation == data.incarnation)
    };
    !now.members.values().all(known)
}
