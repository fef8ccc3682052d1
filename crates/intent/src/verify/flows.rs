//! Checks on what flows: services, links, shifts, drains, client blocks.

use std::net::Ipv4Addr;

use jsonc::fault::{Fault, Kind};

use super::{names, places};
use crate::draft::{Draft, Name, Service, Shift};

pub(super) fn services(draft: &Draft, faults: &mut Vec<Fault>) {
    let sites = names::sorted(places::sites(draft));
    let classes = names::sorted(draft.classes.iter().map(|c| &c.name));
    let drained = names::sorted(draft.drain.sites.iter());
    names::unique("service", draft.services.iter().map(|s| &s.name), faults);
    for service in &draft.services {
        names::known("class", &service.class, &classes, faults);
        names::unique("site", service.sites.value.iter(), faults);
        for site in &service.sites.value {
            names::known("site", site, &sites, faults);
        }
        let live = |site: &Name| drained.binary_search(&&*site.value).is_err();
        if !service.sites.value.iter().any(live) {
            faults.push(Fault::new(
                &service.sites.place,
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
        names::known("region", &link.from, &regions, faults);
        names::known("region", &link.to, &regions, faults);
        if link.from.value == link.to.value {
            faults.push(Fault::new(
                &link.to.place,
                Kind::Conflict,
                format!("link from \"{}\" to itself", link.from.value),
                "name two regions; traffic within a region has no link",
            ));
        }
        let same = |other: &&crate::draft::Link| {
            (&other.from.value, &other.to.value) == (&link.from.value, &link.to.value)
        };
        if let Some(first) = draft.links[..i].iter().find(same) {
            faults.push(Fault::new(
                &link.from.place,
                Kind::Duplicate,
                format!("link {} -> {} stands twice", link.from.value, link.to.value),
                format!("keep this one or the one at {}", first.from.place),
            ));
        }
    }
}

pub(super) fn shifts(draft: &Draft, faults: &mut Vec<Fault>) {
    let regions = names::sorted(draft.regions.iter().map(|r| &r.name));
    let services = names::sorted(draft.services.iter().map(|s| &s.name));
    for (i, shift) in draft.shifts.iter().enumerate() {
        let named = names::known("service", &shift.service, &services, faults);
        let left = names::known("region", &shift.from, &regions, faults);
        let taken = names::known("region", &shift.to, &regions, faults);
        report_twice(shift, &draft.shifts[..i], faults);
        if !(left && taken) {
            continue;
        }
        if shift.from.value == shift.to.value {
            faults.push(Fault::new(
                &shift.to.place,
                Kind::Conflict,
                format!("shift from \"{}\" to itself", shift.from.value),
                "name another region, or remove the shift",
            ));
            continue;
        }
        report_unlinked(shift, draft, faults);
        if named {
            report_unserved(shift, draft, faults);
        }
    }
}

fn report_twice(shift: &Shift, before: &[Shift], faults: &mut Vec<Fault>) {
    let same = |other: &&Shift| {
        other.service.value == shift.service.value
            && other.from.value == shift.from.value
            && other.to.value == shift.to.value
    };
    if let Some(first) = before.iter().find(same) {
        faults.push(Fault::new(
            &shift.service.place,
            Kind::Duplicate,
            format!(
                "shift of \"{}\" {} -> {} stands twice",
                shift.service.value, shift.from.value, shift.to.value
            ),
            format!("keep this one or the one at {}", first.service.place),
        ));
    }
}

fn report_unlinked(shift: &Shift, draft: &Draft, faults: &mut Vec<Fault>) {
    let (from, to) = (&shift.from.value, &shift.to.value);
    let linked = |link: &crate::draft::Link| &link.from.value == from && &link.to.value == to;
    if !draft.links.iter().any(linked) {
        faults.push(Fault::new(
            &shift.to.place,
            Kind::Conflict,
            format!("no link {from} -> {to} for this shift"),
            format!("add {{\"from\": \"{from}\", \"to\": \"{to}\", \"mbit\": …}} to \"links\""),
        ));
    }
}

fn report_unserved(shift: &Shift, draft: &Draft, faults: &mut Vec<Fault>) {
    let service = draft
        .services
        .iter()
        .find(|s| s.name.value == shift.service.value);
    if service.is_some_and(|s| !serves(s, &shift.to, draft)) {
        faults.push(Fault::new(
            &shift.to.place,
            Kind::Conflict,
            format!(
                "region \"{}\" has no site that serves \"{}\"",
                shift.to.value, shift.service.value
            ),
            "add a site there to the service, or remove the shift",
        ));
    }
}

fn serves(service: &Service, region: &Name, draft: &Draft) -> bool {
    let region = draft
        .regions
        .iter()
        .filter(|r| r.name.value == region.value);
    let mut sites = region.flat_map(|r| &r.domains).flat_map(|d| &d.sites);
    sites.any(|site| {
        service
            .sites
            .value
            .iter()
            .any(|own| own.value == site.value)
    })
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
    for block in &draft.blocks {
        names::known("region", &block.region, &regions, faults);
    }
    let mut sorted: Vec<&crate::draft::Block> = draft.blocks.iter().collect();
    sorted.sort_by_key(|b| (b.base, b.len));
    for pair in sorted.windows(2) {
        if (pair[0].base, pair[0].len) == (pair[1].base, pair[1].len) {
            let addr = Ipv4Addr::from(pair[1].base);
            faults.push(Fault::new(
                &pair[1].place,
                Kind::Duplicate,
                format!("block {addr}/{} stands twice", pair[1].len),
                format!("keep this one or the one at {}", pair[0].place),
            ));
        }
    }
}
