//! The fleet: what there is, what the list shows of it, what happens to it.

use core::time::Duration;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use entity::EntityRef;
use steer::clock::Time;
use steer::connection::pool::Pool;
use steer::process::dispatch::{self, AttemptOutcome, Dispatch};
use steer::version::view::{
    Class, ClassData, Domain, DomainData, EntryData, Incarnation, Link, MemberData, Region,
    RegionData, Service, ServiceData, Shift, Site, SiteData, State, TargetData, Version, View,
};

use super::{
    CHANGE_LAG, Entry, FAR, Fault, Happening, Kind, LIST_LAG, Model, Setup, Sign, Target, Work,
};
use crate::hedge::Hedge;
use crate::robin::{Engine, Robin};

impl Model {
    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Slow(target, factor) => self.targets[target].slow = factor,
            Fault::Lie(target, load) => self.targets[target].lie = Some(load),
            Fault::Crash(target) => self.crash(target),
            Fault::Restart(target) => {
                self.targets[target].dead = false;
                self.targets[target].born = Some(self.now);
            }
            Fault::LoseDomain(domain) => self.lose(domain),
            Fault::LoseRegion(region) => {
                for domain in 0..self.setup.layout.domains.len() {
                    if self.setup.layout.domains[domain] == region {
                        self.lose(domain);
                    }
                }
            }
            Fault::Leave(target, sign) => {
                self.targets[target].sign = Some(sign);
                self.outcomes.drain[0] = Some(self.now);
                let lag = match sign {
                    Sign::Operator => CHANGE_LAG,
                    _ => LIST_LAG,
                };
                let view = self.view();
                self.after(lag, Happening::View(view));
            }
        }
    }

    pub(super) fn lose(&mut self, domain: usize) {
        for target in 0..self.targets.len() {
            if self.targets[target].domain == domain {
                self.targets[target].dead = true;
                self.targets[target].running.clear();
                self.targets[target].backlog.clear();
            }
        }
        for at in 0..self.entries.len() {
            self.entries[at].dead |= self.entries[at].domain == domain;
        }
        // What peers had running there breaks.
        let broken: Vec<Work> = self
            .requests
            .iter()
            .filter(|r| !r.done && self.entries[r.entry].dead)
            .filter_map(|r| r.hop)
            .map(|(entry, id, attempt)| Work { entry, id, attempt })
            .collect();
        for work in broken {
            self.after(FAR, Happening::Back(work, AttemptOutcome::Broken, None));
        }
        let view = self.view();
        self.after(LIST_LAG, Happening::View(view));
    }

    pub(super) fn view(&mut self) -> Arc<View> {
        self.version += 1;
        let layout = &self.setup.layout;
        let mut view = View {
            version: Version(self.version),
            ..View::default()
        };
        for region in 0..self.regions() {
            let name = region_name(region);
            view.regions.push(RegionData { name });
        }
        for (domain, region) in layout.domains.iter().enumerate() {
            view.domains.push(DomainData {
                name: domain_name(domain),
                region: Region::new(*region),
            });
            view.sites.push(SiteData {
                name: domain_name(domain),
                domain: Domain::new(domain),
                state: State::Live,
            });
        }
        for (name, queue_percent) in [("urgent", 100), ("normal", 70), ("archive", 30)] {
            let name = Arc::from(name);
            view.classes.push(ClassData {
                name,
                queue_percent,
            });
        }
        for spec in &self.setup.deployment.services {
            view.services.push(ServiceData {
                name: Arc::from(spec.name),
                class: Class::new(spec.class),
                is_idempotent: spec.idempotent,
                deadline: Duration::from_secs(spec.deadline),
                sites: (0..layout.domains.len()).map(Site::new).collect(),
            });
        }
        self.allow(&mut view);
        for target in self.targets.iter().filter(|t| self.listed(t)) {
            let said = matches!(target.sign, Some(Sign::List | Sign::Operator));
            view.targets.push(TargetData {
                name: Arc::clone(&target.name),
                addr: addr(),
                site: Site::new(target.domain),
                service: Service::new(target.service),
                slots: 3,
                state: if said { State::Leaving } else { State::Live },
            });
        }
        for entry in &self.entries {
            view.entries.push(EntryData {
                name: Arc::clone(&entry.name),
                domain: Domain::new(entry.domain),
                state: State::Live,
            });
        }
        for (at, entry) in self.entries.iter().enumerate().filter(|(_, e)| !e.dead) {
            let port = u16::try_from(at).unwrap_or(u16::MAX);
            view.members.push(MemberData {
                name: Arc::clone(&entry.name),
                incarnation: Incarnation(at as u64 + 1),
                domain: Domain::new(entry.domain),
                addr: addr(),
                peer: SocketAddr::from(([127, 0, 0, 1], port)),
                state: State::Live,
            });
        }
        Arc::new(view)
    }

    /// Writes what operators allow between regions.
    fn allow(&self, view: &mut View) {
        let pairs = (0..self.regions()).flat_map(|a| (0..self.regions()).map(move |b| (a, b)));
        let pairs: Vec<_> = pairs.filter(|(a, b)| a != b).collect();
        for &(from, to) in &pairs {
            view.links.push(Link {
                from: Region::new(from),
                to: Region::new(to),
                bits_per_s: self.setup.deployment.link * 1_000_000,
            });
        }
        for (service, spec) in self.setup.deployment.services.iter().enumerate() {
            for &(from, to) in &pairs {
                view.shifts.push(Shift {
                    service: Service::new(service),
                    from: Region::new(from),
                    to: Region::new(to),
                    cap: spec.cap,
                    ramp: Duration::from_secs(spec.ramp),
                });
            }
        }
    }

    /// Whether the list has a target: those of a lost domain drop out.
    pub(super) fn listed(&self, target: &Target) -> bool {
        let here = |e: &&Entry| e.domain == target.domain;
        let mut entries = self.entries.iter().filter(here);
        entries.any(|e| !e.dead)
    }
}

pub(super) fn targets(setup: &Setup) -> Vec<Target> {
    let mut targets = Vec::new();
    for domain in 0..setup.layout.domains.len() {
        for (service, spec) in setup.deployment.services.iter().enumerate() {
            for number in 0..setup.layout.targets {
                targets.push(Target {
                    name: Arc::from(format!("{}-{domain}-{number:02}", spec.name)),
                    domain,
                    service,
                    running: Vec::new(),
                    backlog: VecDeque::new(),
                    dead: false,
                    slow: 1.0,
                    lie: None,
                    born: None,
                    sign: None,
                    sampled: (Time::ZERO, 0),
                });
            }
        }
    }
    targets.sort_by(|a, b| a.name.cmp(&b.name));
    targets
}

pub(super) fn entries(setup: &Setup, targets: usize, rng: &mut fastrand::Rng) -> Vec<Entry> {
    let layout = &setup.layout;
    let bound = Pool::<()>::per_instance(330, layout.entries.len());
    let make = |(at, &domain): (usize, &usize)| {
        let name: Arc<str> = Arc::from(format!("entry-{at:02}"));
        let home = dispatch::Identity {
            name: Arc::clone(&name),
            domain: domain_name(domain),
        };
        let engine: Box<dyn Engine> = match setup.kind {
            Kind::Robin => Box::new(Robin::new(domain_name(domain))),
            Kind::Hedge(tuning, delay) => {
                let inner = Dispatch::with_tuning(home, tuning, rng.fork());
                let service = Duration::from_secs(setup.deployment.services[3].deadline);
                Box::new(Hedge::new(inner, service, delay))
            }
            Kind::Steer(tuning) => Box::new(Dispatch::with_tuning(home, tuning, rng.fork())),
        };
        Entry {
            name,
            domain,
            dead: false,
            engine,
            out: Vec::new(),
            pools: (0..targets).map(|_| Pool::new(bound, 0)).collect(),
        }
    };
    layout.entries.iter().enumerate().map(make).collect()
}

/// Name of a region.
pub(super) fn region_name(region: usize) -> Arc<str> {
    Arc::from(format!("region-{region}"))
}

fn domain_name(domain: usize) -> Arc<str> {
    Arc::from(format!("domain-{domain}"))
}

fn addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}
