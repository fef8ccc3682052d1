//! Checks on intents to shift.

use jsonc::fault::{Fault, Kind};

use super::names;
use crate::draft::{Draft, Link, Name, Shift};

/// What shifts are checked against, sorted once: a large fleet has thousands of
/// shifts, hundreds of links and hundreds of sites a service.
struct Facts<'a> {
    regions: Vec<&'a str>,
    services: Vec<&'a str>,
    /// Pairs of regions with a link.
    links: Vec<(&'a str, &'a str)>,
    /// Services with the regions of their sites.
    served: Vec<(&'a str, &'a str)>,
    /// Services whose sites could not be read.
    unread: Vec<&'a str>,
}

impl<'a> Facts<'a> {
    fn new(draft: &'a Draft) -> Self {
        let ends = draft.links.iter().filter_map(Link::ends);
        let mut links: Vec<_> = ends.map(|(from, to)| (&*from.value, &*to.value)).collect();
        links.sort_unstable();
        let unread = draft.services.iter().filter(|s| s.sites.is_none());
        Self {
            regions: names::sorted(draft.regions.iter().map(|r| &r.name)),
            services: names::sorted(draft.services.iter().map(|s| &s.name)),
            links,
            served: served(draft),
            unread: names::sorted(unread.map(|s| &s.name)),
        }
    }

    fn serves(&self, service: &Name, region: &Name) -> bool {
        let key = (&*service.value, &*region.value);
        let unread = self.unread.binary_search(&key.0).is_ok();
        unread || self.served.binary_search(&key).is_ok()
    }
}

fn served(draft: &Draft) -> Vec<(&str, &str)> {
    let mut regions: Vec<(&str, &str)> = Vec::new();
    for region in &draft.regions {
        let sites = region.domains.iter().flat_map(|d| &d.sites);
        regions.extend(sites.map(|site| (&*site.value, &*region.name.value)));
    }
    regions.sort_unstable();
    let mut served = Vec::new();
    for service in &draft.services {
        let sites = service.sites.iter().flat_map(|list| &list.value);
        for site in sites {
            let found = regions.binary_search_by(|(name, _)| (*name).cmp(&site.value));
            served.extend(found.map(|i| (&*service.name.value, regions[i].1)));
        }
    }
    served.sort_unstable();
    served.dedup();
    served
}

pub(super) fn verify(draft: &Draft, faults: &mut Vec<Fault>) {
    let facts = Facts::new(draft);
    for shift in &draft.shifts {
        let named = shift.service.as_ref();
        let named = named.filter(|s| names::known("service", s, &facts.services, faults));
        let from = shift.from.as_ref();
        let from = from.filter(|r| names::known("region", r, &facts.regions, faults));
        let to = shift.to.as_ref();
        let to = to.filter(|r| names::known("region", r, &facts.regions, faults));
        let (Some(from), Some(to)) = (from, to) else {
            continue;
        };
        if from.value == to.value {
            faults.push(Fault::new(
                &to.place,
                Kind::Conflict,
                format!("shift from \"{}\" to itself", from.value),
                "name another region, or remove the shift",
            ));
            continue;
        }
        report_unlinked(&facts, from, to, faults);
        report_unserved(&facts, named, to, faults);
    }
    let keys = draft.shifts.iter().filter_map(key);
    names::unique_keys(keys.collect(), faults, |[name, from, to]| {
        format!("shift of \"{name}\" {from} -> {to} stands twice")
    });
}

/// What tells shifts apart, if all of it could be read, and its place.
fn key(shift: &Shift) -> Option<([&str; 3], &jsonc::Place)> {
    let service = shift.service.as_ref()?;
    let (from, to) = shift.ends()?;
    Some(([&service.value, &from.value, &to.value], &service.place))
}

fn report_unlinked(facts: &Facts<'_>, from: &Name, to: &Name, faults: &mut Vec<Fault>) {
    let place = &to.place;
    let (from, to) = (&*from.value, &*to.value);
    if facts.links.binary_search(&(from, to)).is_ok() {
        return;
    }
    faults.push(Fault::new(
        place,
        Kind::Conflict,
        format!("no link {from} -> {to} for this shift"),
        format!("add {{\"from\": \"{from}\", \"to\": \"{to}\", \"mbit\": …}} to \"links\""),
    ));
}

fn report_unserved(facts: &Facts<'_>, named: Option<&Name>, to: &Name, faults: &mut Vec<Fault>) {
    let Some(service) = named.filter(|service| !facts.serves(service, to)) else {
        return;
    };
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
