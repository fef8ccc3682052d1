//! Configuration of the scenarios.
//!
//! The dispatcher is in failure domain `a1` of region `a` (`home`); `a2` is in
//! the same region (`near`), `b1` in another one (`far`). There are three
//! services: `look` (first class, idempotent), `book` (second, not idempotent)
//! and `archive` (last, idempotent). The name of a target begins with that of
//! its service: `look-1`.

use core::time::Duration;
use std::net::SocketAddr;
use std::sync::Arc;

use entity::EntityRef;
use steer::version::view::{
    Class, ClassData, Domain, DomainData, Incarnation, MemberData, Region, RegionData, Service,
    ServiceData, Site, SiteData, State, TargetData, Version, View,
};

const SERVICES: [(&str, usize, bool, u64); 3] = [
    ("archive", 2, true, 5000),
    ("book", 1, false, 1000),
    ("look", 0, true, 500),
];
const CLASSES: [(&str, u8); 3] = [("first", 100), ("second", 50), ("last", 25)];
const DOMAINS: [(&str, usize); 3] = [("a1", 0), ("a2", 0), ("b1", 1)];

/// Builds a view with the targets and instances in `words`: `look-1`,
/// `look-2:leaving`, `e4:home`, `e2:near`, `e3:far`. `slots=N` sets the slots of
/// all targets; default 3.
pub fn view(version: u64, words: &[&str]) -> View {
    let mut view = View {
        version: Version(version),
        regions: ["a", "b"]
            .iter()
            .map(|n| RegionData {
                name: Arc::from(*n),
            })
            .collect(),
        domains: DOMAINS.iter().map(domain).collect(),
        sites: DOMAINS.iter().enumerate().map(site).collect(),
        classes: CLASSES.iter().map(class).collect(),
        services: SERVICES.iter().map(service).collect(),
        ..View::default()
    };
    let mut slots = 3;
    let mut words = words.to_vec();
    words.sort_by_key(|w| !w.starts_with("slots="));
    for word in words {
        if let Some(count) = word.strip_prefix("slots=") {
            slots = count.parse().expect("a number of slots");
            continue;
        }
        let (name, kind) = word.split_once(':').unwrap_or((word, "live"));
        match kind {
            "home" => {
                view.members.push(member(name, 0));
            }
            "near" => {
                view.members.push(member(name, 1));
            }
            "far" => {
                view.members.push(member(name, 2));
            }
            _ => {
                view.targets.push(target(name, kind, slots));
            }
        }
    }
    view
}

fn domain(&(name, region): &(&str, usize)) -> DomainData {
    DomainData {
        name: Arc::from(name),
        region: Region::new(region),
    }
}

fn site((at, &(name, _)): (usize, &(&str, usize))) -> SiteData {
    SiteData {
        name: Arc::from(name),
        domain: Domain::new(at),
        state: State::Live,
    }
}

fn class(&(name, queue_percent): &(&str, u8)) -> ClassData {
    ClassData {
        name: Arc::from(name),
        queue_percent,
    }
}

fn service(&(name, class, is_idempotent, deadline): &(&str, usize, bool, u64)) -> ServiceData {
    ServiceData {
        name: Arc::from(name),
        class: Class::new(class),
        is_idempotent,
        deadline: Duration::from_millis(deadline),
        sites: (0..DOMAINS.len()).map(Site::new).collect(),
    }
}

fn target(name: &str, kind: &str, slots: u32) -> TargetData {
    let service = name.split_once('-').map_or(name, |n| n.0);
    let service = SERVICES.iter().position(|s| s.0 == service);
    TargetData {
        name: Arc::from(name),
        addr: addr(),
        site: Site::new(0),
        service: Service::new(service.expect("the name of a target begins with its service")),
        slots,
        state: if kind == "leaving" {
            State::Leaving
        } else {
            State::Live
        },
    }
}

fn member(name: &str, domain: usize) -> MemberData {
    MemberData {
        name: Arc::from(name),
        incarnation: Incarnation(1),
        domain: Domain::new(domain),
        addr: addr(),
        peer: addr(),
        state: State::Live,
    }
}

fn addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}
