//! Checks on regions, failure domains, sites, entry instances and classes.

use jsonc::fault::{Fault, Kind};
use steer::version::blocks::REGIONS_MAX;

use super::names;
use crate::draft::{Draft, Name};

pub(super) fn verify(draft: &Draft, faults: &mut Vec<Fault>) {
    names::unique("region", draft.regions.iter().map(|r| &r.name), faults);
    names::unique("domain", domains(draft), faults);
    names::unique("site", sites(draft), faults);
    names::unique("entry instance", entries(draft), faults);
    names::unique("class", draft.classes.iter().map(|c| &c.name), faults);
    for domain in draft.regions.iter().flat_map(|r| &r.domains) {
        if domain.entries.is_empty() {
            faults.push(Fault::new(
                &domain.name.place,
                Kind::Conflict,
                format!("domain \"{}\" has no entry instance", domain.name.value),
                "name at least one in \"entries\": cut off, it must serve by itself",
            ));
        }
    }
    shares(draft, faults);
    if let Some(region) = draft.regions.get(REGIONS_MAX) {
        faults.push(Fault::new(
            &region.name.place,
            Kind::OutOfRange,
            format!("more than {REGIONS_MAX} regions"),
            "join some of them",
        ));
    }
}

/// A class served later that may fill more of the queue than one served first
/// would hold its places while the first is refused.
fn shares(draft: &Draft, faults: &mut Vec<Fault>) {
    for pair in draft.classes.windows(2) {
        let (first, later) = (&pair[0], &pair[1]);
        let (Some(share), Some(bound)) = (&later.queue, &first.queue) else {
            continue;
        };
        if share.value > bound.value {
            faults.push(Fault::new(
                &share.place,
                Kind::Conflict,
                format!(
                    "class \"{}\" may fill {}% of a queue, but \"{}\" before it only {}%",
                    later.name.value, share.value, first.name.value, bound.value
                ),
                format!("use at most {}", bound.value),
            ));
        }
    }
}

pub(super) fn domains(draft: &Draft) -> impl Iterator<Item = &Name> {
    let domains = draft.regions.iter().flat_map(|r| &r.domains);
    domains.map(|d| &d.name)
}

pub(super) fn sites(draft: &Draft) -> impl Iterator<Item = &Name> {
    let domains = draft.regions.iter().flat_map(|r| &r.domains);
    domains.flat_map(|d| &d.sites)
}

pub(super) fn entries(draft: &Draft) -> impl Iterator<Item = &Name> {
    let domains = draft.regions.iter().flat_map(|r| &r.domains);
    domains.flat_map(|d| &d.entries)
}
