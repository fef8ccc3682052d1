//! The places that explored processes live in, and how they are numbered.
//!
//! Invariant: process `i` runs in failure domain `i`, listens at the same
//! address after each restart, and has a target beside it.

use core::net::{IpAddr, Ipv4Addr, SocketAddr};
use core::time::Duration;
use std::sync::Arc;

use steer::process::{dispatch, gate};
use steer::version::view;

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
pub fn limits() -> gate::Limits {
    gate::Limits {
        accept_epochs: 2,
        keep_epochs: 4,
        records_max: 16,
        held_max: 16,
        waiters_max: 2,
        ..gate::Limits::default()
    }
}

/// Where process `index` stands.
#[must_use]
pub fn identity(index: usize) -> dispatch::Identity {
    dispatch::Identity {
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
pub fn view(count: usize, alive: &[(usize, view::Incarnation)]) -> Arc<view::View> {
    let mut view = view::View {
        version: view::Version(1),
        ..view::View::default()
    };
    let regions: [view::Region; 2] = ["region0", "region1"]
        .map(|name| view.regions.push(view::RegionData { name: name.into() }));
    let class: view::Class = view.classes.push(view::ClassData {
        name: "work".into(),
        queue_percent: 100,
    });
    let domains: Vec<view::Domain> = (0..count)
        .map(|i| {
            let region = regions[usize::from(i + 1 == count)];
            view.domains.push(view::DomainData {
                name: name("domain", i),
                region,
            })
        })
        .collect();
    let sites: Vec<view::Site> = (0..count)
        .map(|i| {
            view.sites.push(view::SiteData {
                name: name("site", i),
                domain: domains[i],
                state: view::State::Live,
            })
        })
        .collect();
    let service: view::Service = view.services.push(view::ServiceData {
        name: SERVICE.into(),
        class,
        is_idempotent: false,
        deadline: DEADLINE,
        sites: sites.clone(),
    });
    for (i, &site) in sites.iter().enumerate() {
        view.targets.push(view::TargetData {
            name: name("target", i),
            addr: address(TARGET_PORT, i),
            site,
            service,
            slots: 3,
            state: view::State::Live,
        });
        view.entries.push(view::EntryData {
            name: name("entry", i),
            domain: domains[i],
            state: view::State::Live,
        });
    }
    for &(i, incarnation) in alive {
        view.members.push(view::MemberData {
            name: name("entry", i),
            incarnation,
            domain: domains[i],
            addr: address(PEER_PORT, i),
            peer: address(PEER_PORT, i),
            state: view::State::Live,
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
