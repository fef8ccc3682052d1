//! Processes and targets of the scenarios: entry0 in domain0 and entry1 in domain1,
//! both in region0, and entry2 in domain2 of region1, with the incarnations a0, b0
//! and c0. Each domain has a target of `lodgement`, which is not idempotent, and
//! of `sheetview`, which is.

use core::time::Duration;
use std::sync::Arc;

use steer::version::view;

pub const ENTRY_INCARNATIONS: [view::Incarnation; 3] = [
    view::Incarnation(0xa0),
    view::Incarnation(0xb0),
    view::Incarnation(0xc0),
];

/// Builds a view in which the numbered entries are alive. Targets are listed only
/// if `targets` is set.
pub fn view(alive: &[usize], targets: bool) -> Arc<view::View> {
    let mut view = view::View {
        version: view::Version(1),
        ..view::View::default()
    };
    let regions =
        ["region0", "region1"].map(|n| view.regions.push(view::RegionData { name: n.into() }));
    let class = view.classes.push(view::ClassData {
        name: "work".into(),
        queue_percent: 100,
    });
    let mut sites = Vec::new();
    let mut domains = Vec::new();
    for i in 0..3 {
        let domain = view.domains.push(view::DomainData {
            name: format!("domain{i}").into(),
            region: regions[i / 2],
        });
        domains.push(domain);
        sites.push(view.sites.push(view::SiteData {
            name: format!("site{i}").into(),
            domain,
            state: view::State::Live,
        }));
    }
    for (name, is_idempotent) in [("lodgement", false), ("sheetview", true)] {
        let service = view.services.push(view::ServiceData {
            name: name.into(),
            class,
            is_idempotent,
            deadline: Duration::from_secs(2),
            sites: sites.clone(),
        });
        let listed = if targets { sites.as_slice() } else { &[] };
        for (i, &site) in listed.iter().enumerate() {
            view.targets.push(view::TargetData {
                name: format!("{name}{i}").into(),
                addr: ([127, 0, 0, 1], 8000).into(),
                site,
                service,
                slots: 3,
                state: view::State::Live,
            });
        }
    }
    for (i, &domain) in domains.iter().enumerate() {
        view.entries.push(view::EntryData {
            name: format!("entry{i}").into(),
            domain,
            state: view::State::Live,
        });
    }
    allow_shifts(&mut view, regions);
    for &i in alive {
        view.members.push(view::MemberData {
            name: format!("entry{i}").into(),
            incarnation: ENTRY_INCARNATIONS[i],
            domain: domains[i],
            addr: ([127, 0, 0, 1], 7000).into(),
            peer: ([127, 0, 0, 1], 7000).into(),
            state: view::State::Live,
        });
    }
    Arc::new(view)
}

/// Adds caps that are too high to affect the scenarios.
fn allow_shifts(view: &mut view::View, [a, b]: [view::Region; 2]) {
    for (from, to) in [(a, b), (b, a)] {
        view.links.push(view::Link {
            from,
            to,
            bits_per_s: 1 << 40,
        });
        view.shifts
            .extend(view.services.keys().map(|service| view::Shift {
                service,
                from,
                to,
                cap: 1 << 20,
                ramp: Duration::ZERO,
            }));
    }
    view.shifts.sort_by_key(|s| (s.service, s.from, s.to));
}
