//! Checks on services, links, drains and client blocks.

use std::net::Ipv4Addr;

use jsonc::fault::{Fault, Kind};

use super::{names, places};
use crate::draft::{Block, Draft, Link, Name};

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
    for link in &draft.links {
        for region in link.from.iter().chain(&link.to) {
            names::known("region", region, &regions, faults);
        }
        if let Some((from, to)) = link.ends()
            && from.value == to.value
        {
            faults.push(Fault::new(
                &to.place,
                Kind::Conflict,
                format!("link from \"{}\" to itself", from.value),
                "name two regions; traffic within a region has no link",
            ));
        }
    }
    let ends = draft.links.iter().filter_map(Link::ends);
    let keys = ends.map(|(from, to)| ([&*from.value, &*to.value], &from.place));
    names::unique_keys(keys.collect(), faults, |[from, to]| {
        format!("link {from} -> {to} stands twice")
    });
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
