//! Builds views with regions, entry instances and caps for the tests of shares.
//!
//! Each region has one failure domain with its name. The only service is `look`.

use core::time::Duration;
use std::net::SocketAddr;
use std::sync::Arc;

use entity::EntityRef;
use steer::process::share::Route;
use steer::version::view::{
    Class, ClassData, Domain, DomainData, EntryData, Incarnation, Link, MemberData, Region,
    RegionData, Service, ServiceData, Shift, Site, SiteData, State, TargetData, Version, View,
};

/// Description of a view. The builder sorts the lists.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    pub regions: Vec<String>,
    /// Name and index of the region.
    pub entries: Vec<(String, usize)>,
    /// From, to, requests per second, ramp time.
    pub shifts: Vec<(usize, usize, u64, Duration)>,
    /// From, to, bits per second.
    pub links: Vec<(usize, usize, u64)>,
    /// Number of targets in each region.
    pub targets: usize,
}

impl Plan {
    /// Regions `a`, `b`, ... and one instance in the region of each index in
    /// `entries`.
    pub fn new(regions: usize, entries: &[usize]) -> Self {
        let name = |at: usize| {
            let letter = u8::try_from(at).expect("few regions");
            char::from(b'a' + letter).to_string()
        };
        let entries = entries.iter().enumerate();
        Self {
            regions: (0..regions).map(name).collect(),
            entries: entries.map(|(at, &r)| (format!("e{at:03}"), r)).collect(),
            ..Self::default()
        }
    }

    pub fn shift(mut self, from: usize, to: usize, cap: u64) -> Self {
        self.shifts.push((from, to, cap, Duration::ZERO));
        self
    }

    /// Adds a link by its usable bytes per second, without the reserve for control
    /// messages.
    pub fn link(mut self, from: usize, to: usize, bytes: u64) -> Self {
        self.links.push((from, to, (bytes * 100).div_ceil(95) * 8));
        self
    }

    pub fn build(&self, version: u64) -> Arc<View> {
        let mut view = View {
            version: Version(version),
            ..View::default()
        };
        for (at, name) in self.regions.iter().enumerate() {
            let name: Arc<str> = name.as_str().into();
            let region = Region::new(at);
            let state = State::Live;
            view.regions.push(RegionData {
                name: Arc::clone(&name),
            });
            view.domains.push(DomainData {
                name: Arc::clone(&name),
                region,
            });
            let domain = Domain::new(at);
            view.sites.push(SiteData {
                name,
                domain,
                state,
            });
        }
        view.classes.push(ClassData {
            name: "first".into(),
            queue_percent: 100,
        });
        view.services.push(ServiceData {
            name: "look".into(),
            class: Class::new(0),
            is_idempotent: true,
            deadline: Duration::from_secs(2),
            sites: (0..self.regions.len()).map(Site::new).collect(),
        });
        for at in 0..self.regions.len() * self.targets {
            view.targets.push(TargetData {
                name: format!("t{at:03}").into(),
                addr: addr(),
                site: Site::new(at / self.targets),
                service: Service::new(0),
                slots: 3,
                state: State::Live,
            });
        }
        let mut entries = self.entries.clone();
        entries.sort();
        for (at, (name, region)) in entries.iter().enumerate() {
            let name: Arc<str> = name.as_str().into();
            let domain = Domain::new(*region);
            view.entries.push(EntryData {
                name: Arc::clone(&name),
                domain,
                state: State::Live,
            });
            view.members.push(MemberData {
                name,
                incarnation: Incarnation(at as u64 + 1),
                domain,
                addr: addr(),
                peer: addr(),
                state: State::Live,
            });
        }
        self.caps(&mut view);
        Arc::new(view)
    }

    fn caps(&self, view: &mut View) {
        for &(from, to, cap, ramp) in &self.shifts {
            view.shifts.push(Shift {
                service: Service::new(0),
                from: Region::new(from),
                to: Region::new(to),
                cap,
                ramp,
            });
        }
        for &(from, to, bits_per_s) in &self.links {
            view.links.push(Link {
                from: Region::new(from),
                to: Region::new(to),
                bits_per_s,
            });
        }
        view.shifts.sort_by_key(|s| (s.service, s.from, s.to));
        view.links.sort_by_key(|l| (l.from, l.to));
    }

    /// The route of a shift.
    pub fn route(&self, from: usize, to: usize) -> Route {
        Route::Shift {
            service: "look".into(),
            from: self.regions[from].as_str().into(),
            to: self.regions[to].as_str().into(),
        }
    }

    /// The route of a link.
    pub fn link_route(&self, from: usize, to: usize) -> Route {
        Route::Link {
            from: self.regions[from].as_str().into(),
            to: self.regions[to].as_str().into(),
        }
    }
}

fn addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}
