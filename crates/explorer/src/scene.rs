//! The places that explored processes live in, and how they are numbered.
//!
//! Invariant: process `i` runs in failure domain `i`, listens at the same
//! address after each restart, and has a target beside it.

use core::net::{IpAddr, Ipv4Addr, SocketAddr};
use core::time::Duration;
use std::sync::Arc;

use steer::process::dispatch::Home;
use steer::process::gate::Limits;
use steer::version::view::{
    Class, ClassData, Domain, DomainData, EntryData, Incarnation, MemberData, Region, RegionData,
    Service, ServiceData, Site, SiteData, State, TargetData, Version, View,
};

/// The service that all explored requests are for; it is not idempotent.
pub const SERVICE: &str = "lodgement";

/// Time that a caller waits.
pub const DEADLINE: Duration = Duration::from_secs(2);

/// First port of the processes' peer addresses.
const PEER_PORT: u16 = 7000;

/// First port of the targets.
const TARGET_PORT: u16 = 8000;

/// Bounds as in the product, but small enough that a run reaches them.
#[must_use]
pub fn limits() -> Limits {
    Limits {
        accept: 2,
        keep: 4,
        records: 16,
        held: 16,
        waiters: 2,
        ..Limits::default()
    }
}

/// Where process `index` stands.
#[must_use]
pub fn home(index: usize) -> Home {
    Home {
        name: name("entry", index),
        domain: name("domain", index),
    }
}

/// The process that listens at a peer address.
#[must_use]
pub fn process_at(addr: SocketAddr) -> usize {
    usize::from(addr.port() - PEER_PORT)
}

/// The view of a process that believes these to be alive: `(process,
/// incarnation)`. The last of `count` failure domains lies in a region of its
/// own.
#[must_use]
pub fn view(count: usize, alive: &[(usize, Incarnation)]) -> Arc<View> {
    let mut view = View {
        version: Version(1),
        ..View::default()
    };
    let regions: [Region; 2] =
        ["region0", "region1"].map(|name| view.regions.push(RegionData { name: name.into() }));
    let class: Class = view.classes.push(ClassData {
        name: "work".into(),
        queue: 100,
    });
    let domains: Vec<Domain> = (0..count)
        .map(|i| {
            let region = regions[usize::from(i + 1 == count)];
            view.domains.push(DomainData {
                name: name("domain", i),
                region,
            })
        })
        .collect();
    let sites: Vec<Site> = (0..count)
        .map(|i| {
            view.sites.push(SiteData {
                name: name("site", i),
                domain: domains[i],
                state: State::Live,
            })
        })
        .collect();
    let service: Service = view.services.push(ServiceData {
        name: SERVICE.into(),
        class,
        idempotent: false,
        deadline: DEADLINE,
        sites: sites.clone(),
    });
    for (i, &site) in sites.iter().enumerate() {
        view.targets.push(TargetData {
            name: name("target", i),
            addr: address(TARGET_PORT, i),
            site,
            service,
            slots: 3,
            state: State::Live,
        });
        view.entries.push(EntryData {
            name: name("entry", i),
            domain: domains[i],
            state: State::Live,
        });
    }
    for &(i, incarnation) in alive {
        view.members.push(MemberData {
            name: name("entry", i),
            incarnation,
            domain: domains[i],
            addr: address(PEER_PORT, i),
            peer: address(PEER_PORT, i),
            state: State::Live,
        });
    }
    Arc::new(view)
}

fn name(kind: &str, index: usize) -> Arc<str> {
    format!("{kind}{index}").into()
}

fn address(port: u16, index: usize) -> SocketAddr {
    let index = u16::try_from(index).expect("a scene has few processes");
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port + index)
}
