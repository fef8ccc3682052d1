//! Checks on what flows: services, links, shifts, drains, client blocks.

use std::net::Ipv4Addr;

use jsonc::fault::{Fault, Kind};

use super::{names, places};
use crate::draft::{Block, Draft, Link, Name, Service, Shift};

pub(super) fn services(draft: &Draft, faults: &mut Vec<Fault>) {
    let sites = names::sorted(places::sites(draft));
    let classes = names::sorted(draft.classes.iter().map(|c| &c.name));
    let drained = names::sorted(draft.drain.sites.iter());
    names::unique("service", draft.services.iter().map(|s| &s.name), faults);
    for service in &draft.services {
        if let Some(class) = &service.class {
            names::known("class", class, &classes, faults);
        }
        let Some(list) = &service.sites else {
            continue;
        };
        names::unique("site", list.value.iter(), faults);
        for site in &list.value {
            names::known("site", site, &sites, faults);
        }
        let live = |site: &Name| drained.binary_search(&&*site.value).is_err();
        if !list.value.iter().any(live) {
            faults.push(Fault::new(
                &list.place,
                Kind::Conflict,
                format!("service \"{}\" has no live site", service.name.value),
                "add a site, or take one out of \"drain\"",
            ));
        }
    }
}

pub(super) fn links(draft: &Draft, faults: &mut Vec<Fault>) {
    let regions = names::sorted(draft.regions.iter().map(|r| &r.name));
    for (i, link) in draft.links.iter().enumerate() {
        for region in link.from.iter().chain(&link.to) {
            names::known("region", region, &regions, faults);
        }
        let Some((from, to)) = link.ends() else {
            continue;
        };
        if from.value == to.value {
            faults.push(Fault::new(
                &to.place,
                Kind::Conflict,
                format!("link from \"{}\" to itself", from.value),
                "name two regions; traffic within a region has no link",
            ));
        }
        let first = draft.links[..i].iter().find(|other| joins(other, from, to));
        if let Some(first) = first.and_then(|first| first.from.as_ref()) {
            faults.push(Fault::new(
                &from.place,
                Kind::Duplicate,
                format!("link {} -> {} stands twice", from.value, to.value),
                format!("keep this one or the one at {}", first.place),
            ));
        }
    }
}

fn joins(link: &Link, from: &Name, to: &Name) -> bool {
    link.ends()
        .is_some_and(|own| own.0.value == from.value && own.1.value == to.value)
}

pub(super) fn shifts(draft: &Draft, faults: &mut Vec<Fault>) {
    let regions = names::sorted(draft.regions.iter().map(|r| &r.name));
    let services = names::sorted(draft.services.iter().map(|s| &s.name));
    for (i, shift) in draft.shifts.iter().enumerate() {
        if let Some(service) = &shift.service {
            names::known("service", service, &services, faults);
        }
        for region in shift.from.iter().chain(&shift.to) {
            names::known("region", region, &regions, faults);
        }
        report_twice(shift, &draft.shifts[..i], faults);
        let Some((from, to)) = shift.ends() else {
            continue;
        };
        let known = |name: &Name| regions.binary_search(&&*name.value).is_ok();
        if !known(from) || !known(to) {
            continue;
        }
        if from.value == to.value {
            faults.push(Fault::new(
                &to.place,
                Kind::Conflict,
                format!("shift from \"{}\" to itself", from.value),
                "name another region, or remove the shift",
            ));
            continue;
        }
        report_unlinked(from, to, draft, faults);
        if let Some(service) = &shift.service {
            report_unserved(service, to, draft, faults);
        }
    }
}

/// What tells shifts apart, if all of it could be read.
fn key(shift: &Shift) -> Option<[&str; 3]> {
    let (from, to) = shift.ends()?;
    Some([&shift.service.as_ref()?.value, &from.value, &to.value])
}

fn report_twice(shift: &Shift, before: &[Shift], faults: &mut Vec<Fault>) {
    let Some(own) = key(shift) else {
        return;
    };
    let first = before.iter().find(|other| key(other) == Some(own));
    let first = first.and_then(|first| first.service.as_ref());
    let Some((service, first)) = shift.service.as_ref().zip(first) else {
        return;
    };
    let [name, from, to] = own;
    faults.push(Fault::new(
        &service.place,
        Kind::Duplicate,
        format!("shift of \"{name}\" {from} -> {to} stands twice"),
        format!("keep this one or the one at {}", first.place),
    ));
}

fn report_unlinked(from: &Name, to: &Name, draft: &Draft, faults: &mut Vec<Fault>) {
    if draft.links.iter().any(|link| joins(link, from, to)) {
        return;
    }
    let place = &to.place;
    let (from, to) = (&from.value, &to.value);
    faults.push(Fault::new(
        place,
        Kind::Conflict,
        format!("no link {from} -> {to} for this shift"),
        format!("add {{\"from\": \"{from}\", \"to\": \"{to}\", \"mbit\": …}} to \"links\""),
    ));
}

fn report_unserved(service: &Name, to: &Name, draft: &Draft, faults: &mut Vec<Fault>) {
    let own = |s: &&Service| s.name.value == service.value;
    let served = draft.services.iter().find(own);
    let sites = served.and_then(|s| s.sites.as_ref());
    if sites.is_some_and(|sites| !reach(&sites.value, to, draft)) {
        faults.push(Fault::new(
            &to.place,
            Kind::Conflict,
            format!(
                "region \"{}\" has no site that serves \"{}\"",
                to.value, service.value
            ),
            "add a site there to the service, or remove the shift",
        ));
    }
}

/// Whether one of the sites lies in the region.
fn reach(sites: &[Name], region: &Name, draft: &Draft) -> bool {
    let own = draft
        .regions
        .iter()
        .filter(|r| r.name.value == region.value);
    let mut places = own.flat_map(|r| &r.domains).flat_map(|d| &d.sites);
    places.any(|place| sites.iter().any(|site| site.value == place.value))
}

pub(super) fn drain(draft: &Draft, faults: &mut Vec<Fault>) {
    let sites = names::sorted(places::sites(draft));
    let entries = names::sorted(places::entries(draft));
    for site in &draft.drain.sites {
        names::known("site", site, &sites, faults);
    }
    for entry in &draft.drain.entries {
        names::known("entry instance", entry, &entries, faults);
    }
    names::unique("drained site", draft.drain.sites.iter(), faults);
    names::unique("drained target", draft.drain.targets.iter(), faults);
    names::unique("drained entry instance", draft.drain.entries.iter(), faults);
    if !entries.is_empty() && entries.len() == names::sorted(draft.drain.entries.iter()).len() {
        faults.push(Fault::new(
            &draft.drain.entries[0].place,
            Kind::Conflict,
            "every entry instance is drained",
            "leave at least one, or callers have none to use",
        ));
    }
}

pub(super) fn blocks(draft: &Draft, faults: &mut Vec<Fault>) {
    let regions = names::sorted(draft.regions.iter().map(|r| &r.name));
    for region in draft.blocks.iter().filter_map(|b| b.region.as_ref()) {
        names::known("region", region, &regions, faults);
    }
    let mut sorted: Vec<&Block> = draft.blocks.iter().collect();
    sorted.sort_by_key(|block| block.prefix);
    for pair in sorted.windows(2) {
        let Some((base, len)) = pair[1].prefix.filter(|_| pair[0].prefix == pair[1].prefix) else {
            continue;
        };
        faults.push(Fault::new(
            &pair[1].place,
            Kind::Duplicate,
            format!("block {}/{len} stands twice", Ipv4Addr::from(base)),
            format!("keep this one or the one at {}", pair[0].place),
        ));
    }
}
