//! What instances know: what the store lists, and what heartbeats tell.
//!
//! Invariant: an instance that is cut off from the store and from all others
//! learns nothing.

use core::time::Duration;
use std::sync::Arc;

use steer::clock::Time;
use steer::process::direct::StoreContact;
use steer::process::direct::members::{Heartbeat, Registration};
use steer::process::direct::notice::TargetNotice;
use steer::process::direct::reach::Probe;
use steer::process::direct::target::Entry;
use steer::version::routes::{Limits, Route, Routes, Service, WeightedService};

use super::super::target::Target;
use super::super::{Event, Micros, World, micros};
use super::{BEAT, anywhere, path};
use crate::plan::{Plan, What};

/// Time until one that the store doesn't answer has asked another instance.
const ASK: Micros = 700_000;

/// Every how many heartbeats goes to further instances, as the process sends
/// them.
const AFAR: u64 = 3;

/// Part of the heartbeats that are lost.
const LOST: f64 = 0.01;

/// Changes gather before they are read, at most so long.
const GATHER: Micros = 300_000;

/// Time after which an instance that has ended is no longer listed.
pub(in crate::world) const LAPSE: Micros = 3_000_000;

impl World<'_> {
    /// Others learn of an instance as the store lists it.
    pub(in crate::world) fn tell_members(&mut self, number: usize) {
        if self.is_store_away(self.instances[number].region) {
            return;
        }
        let row = self.row(number);
        let name = Arc::clone(&self.instances[number].name);
        for other in 0..self.instances.len() {
            let now = self.clock_or_zero(other);
            if other != number
                && let Some(direct) = &mut self.instances[other].direct
            {
                direct.set_member(now, &name, Some(row.clone()));
            }
        }
    }

    pub(in crate::world) fn clock_or_zero(&self, instance: usize) -> Time {
        Time::from_micros(self.now.saturating_sub(self.instances[instance].boot))
    }

    /// All instances hear of changes of targets, some time after `late`.
    pub(in crate::world) fn tell_all(&mut self, late: Micros) {
        let delay = micros(self.plan.delays.store);
        for number in 0..self.instances.len() {
            let gather = self.rng.u64(0..GATHER);
            let life = self.instances[number].life;
            let event = Event::Learn {
                instance: number,
                life,
            };
            self.after(late + delay + gather, event);
        }
    }

    /// An instance reads the store, or asks another that has.
    pub(in crate::world) fn learn(&mut self, number: usize, life: u64) {
        if self.instances[number].life != life {
            return;
        }
        let region = self.instances[number].region;
        if self.is_store_away(region) && !self.knows_peer(number) {
            // Tried again until something answers.
            self.after(
                ASK,
                Event::Learn {
                    instance: number,
                    life,
                },
            );
            return;
        }
        let entries = self.entries();
        let evacuated = self.evacuated();
        let routes = Arc::new(routes(self.plan));
        let rows: Vec<(Arc<str>, Registration)> = (0..self.instances.len())
            .filter(|n| *n != number && self.is_listed(*n))
            .map(|n| (Arc::clone(&self.instances[n].name), self.row(n)))
            .collect();
        let now = self.clock(number);
        let away = self.is_store_away(region);
        let Some(direct) = &mut self.instances[number].direct else {
            return;
        };
        direct.install(routes);
        let known: Vec<Arc<str>> = direct
            .roster
            .all()
            .iter()
            .filter(|t| !t.is_gone)
            .map(|t| Arc::clone(&t.entry.id))
            .collect();
        for id in known {
            if !entries.iter().any(|e| e.id == id) {
                direct.unlist(now, &id);
            }
        }
        direct.roster.put_all(now, entries);
        direct.evacuate(now, evacuated);
        for (name, row) in rows {
            direct.set_member(now, &name, Some(row));
        }
        if away {
            direct.peer_answered(now, StoreContact::default(), 1);
        } else {
            direct.store_answered(now, 1);
        }
        self.pump(number);
    }

    /// Whether an instance is listed: it runs, or did until lately.
    fn is_listed(&self, number: usize) -> bool {
        self.instances[number].direct.is_some()
    }

    /// Whether another instance that knows something can be asked.
    fn knows_peer(&self, number: usize) -> bool {
        let own = self.instances[number].region;
        let mut others = self.instances.iter().enumerate();
        others.any(|(at, other)| {
            at != number
                && other.direct.as_ref().is_some_and(|d| d.routes().is_some())
                && !self.is_cut(own, other.region)
                && !self.is_cut(other.region, own)
        })
    }

    /// Targets as the store lists them.
    fn entries(&self) -> Vec<Entry> {
        let listed = self.targets.iter().filter(|t| t.up);
        let entry = |t: &Target| Entry {
            id: Arc::clone(&t.name),
            service: Arc::clone(&self.plan.services[t.service].name),
            addr: anywhere(),
            domain: Arc::clone(&self.plan.domains[t.domain].name),
            slots: u32::try_from(t.slots).unwrap_or(u32::MAX),
            draining: false,
            seq: self.now,
            cold: Duration::from_micros(t.cold_until.saturating_sub(self.now)),
            incarnation: t.born,
        };
        listed.map(entry).collect()
    }

    fn evacuated(&self) -> Vec<Arc<str>> {
        let faults = self.plan.faults.iter().enumerate();
        let domains = faults.filter_map(|(number, trouble)| match trouble.what {
            What::Evacuate { domain } if self.active[number] => {
                Some(Arc::clone(&self.plan.domains[domain].name))
            }
            _ => None,
        });
        domains.collect()
    }

    /// An instance probes targets, if its steering asks for it.
    fn probe(&mut self, number: usize) {
        let now = self.clock(number);
        let Some(direct) = &mut self.instances[number].direct else {
            return;
        };
        let probes = direct.begin_probes(now);
        let region = self.instances[number].region;
        let is_reached = |probe: &&Probe| {
            let target = self.targets.iter().find(|t| t.name == probe.target);
            target.is_some_and(|t| t.is_up() && !self.is_cut(region, t.region))
        };
        let reached = if self.is_unlinked(number) {
            0
        } else {
            probes.iter().filter(is_reached).count()
        };
        if let Some(direct) = &mut self.instances[number].direct {
            direct.finish_probes(now, reached, probes.len());
        }
    }

    /// An instance sends its heartbeat.
    pub(in crate::world) fn beat(&mut self, number: usize) {
        self.probe(number);
        let now = self.clock(number);
        let region = self.instances[number].region;
        let away = self.is_store_away(region);
        let instance = &mut self.instances[number];
        let life = instance.life;
        let Some(direct) = &mut instance.direct else {
            return;
        };
        instance.beats += 1;
        if !away && direct.revision() > 0 && instance.beats.is_multiple_of(4) {
            direct.store_answered(now, 1);
        }
        if instance.beats.is_multiple_of(8) {
            direct.sweep(now);
        }
        let beat = direct.heartbeat(now, instance.beats.is_multiple_of(6));
        let notices = direct.target_notices(now);
        let afar = instance.beats.is_multiple_of(AFAR);
        let far = Heartbeat {
            in_flight: Vec::new(),
            warm_objects: Vec::new(),
            observations: Vec::new(),
            ..beat.clone()
        };
        let to = direct.recipients(now);
        let region = to.region.into_iter().filter(|_| afar);
        let near = to.local.into_iter().chain(region);
        for other in near.filter_map(super::number) {
            self.send_beat(number, other, &beat, &notices);
        }
        let distant = to.remote.into_iter().filter(|_| afar);
        for other in distant.filter_map(super::number) {
            self.send_beat(number, other, &far, &notices);
        }
        let wait = BEAT;
        if self.instances[number].life == life {
            self.after(wait, Event::Beat(number));
        }
    }

    fn send_beat(&mut self, from: usize, to: usize, beat: &Heartbeat, notices: &[TargetNotice]) {
        let (own, other) = (&self.instances[from], &self.instances[to]);
        if self.is_cut(own.region, other.region) || self.rng.f64() < LOST {
            return;
        }
        let way = self.way(own.domain, other.domain);
        let life = other.life;
        let event = Event::Hear {
            instance: to,
            life,
            beat: Box::new(beat.clone()),
            notices: notices.to_vec(),
        };
        self.after(way, event);
    }

    pub(in crate::world) fn hear(
        &mut self,
        number: usize,
        life: u64,
        beat: Heartbeat,
        notices: &[TargetNotice],
    ) {
        let now = self.clock_or_zero(number);
        let instance = &mut self.instances[number];
        if instance.life == life
            && let Some(direct) = &mut instance.direct
        {
            direct.receive_heartbeat(now, beat);
            direct.receive_target_notices(now, notices);
        }
    }

    /// An instance that doesn't run is no longer listed.
    pub(in crate::world) fn unlist_members(&mut self, number: usize) {
        let name = Arc::clone(&self.instances[number].name);
        if self.instances[number].direct.is_some() {
            return;
        }
        for other in 0..self.instances.len() {
            let region = self.instances[other].region;
            if other == number || self.is_store_away(region) {
                continue;
            }
            let now = self.clock_or_zero(other);
            if let Some(direct) = &mut self.instances[other].direct {
                direct.set_member(now, &name, None);
            }
        }
    }
}

fn routes(plan: &Plan) -> Routes {
    let route = |kind: &crate::plan::Kind| Route {
        name: Arc::clone(&kind.name),
        host: "host".into(),
        prefix: path(&kind.name).into(),
        is_idempotent: kind.idempotent,
        timeout: kind.timeout,
        latency_goal: kind.goal,
        attempts_max: kind.attempts,
        priority: kind.priority,
        services: vec![WeightedService {
            service: Arc::clone(&plan.services[kind.service].name),
            weight: 1.0,
        }],
        has_affinity: kind.gain > 0.0,
        home_regions: Vec::new(),
        is_public: false,
    };
    let service = |s: &crate::plan::Service| Service {
        name: Arc::clone(&s.name),
        health_path: "/health".into(),
        connections_max: 1000,
        warmup: s.cold,
        cold_rate: s.cold_rate,
    };
    let limits = Limits {
        head_bytes: 16 * 1024,
        body_bytes: 64 * 1024,
        head_timeout: Duration::from_secs(5),
        idle_timeout: Duration::from_secs(15),
    };
    let routes = plan.kinds.iter().map(route).collect();
    let services = plan.services.iter().map(service).collect();
    let found = Routes::new(1, routes, services, limits);
    found.expect("kinds have names of their own")
}
