//! From a verified draft to a [`Plan`].

use core::time::Duration;
use std::sync::Arc;

use entity::EntityRef;
use steer::version::blocks::{Block, BlockTable};
use steer::version::view::{
    Class, ClassData, Domain, DomainData, EntryData, Link, RegionData, Service, ServiceData, Shift,
    Site, SiteData, State,
};

use super::Plan;
use crate::draft::{self, Draft, Name};

/// Bits in a megabit.
const MEGABIT: u64 = 1_000_000;

/// Builds the plan of a draft in which the verifier found no fault, with the
/// client blocks of all its files; `None` if a name leads nowhere after all.
#[must_use]
pub fn plan(draft: &Draft, table: Arc<BlockTable>) -> Option<Plan> {
    let mut plan = Plan {
        blocks: table,
        move_percent: draft.move_percent,
        ..Plan::default()
    };
    places(&mut plan, draft);
    plan.classes = draft.classes.iter().map(class).collect::<Option<_>>()?;
    services(&mut plan, draft)?;
    plan.links = links(&plan, draft)?;
    plan.shifts = shifts(&plan, draft)?;
    plan.leaving = sorted(&draft.drain.targets);
    Some(plan)
}

fn places(plan: &mut Plan, draft: &Draft) {
    let mut regions: Vec<&draft::Region> = draft.regions.iter().collect();
    regions.sort_by(|a, b| a.name.value.cmp(&b.name.value));
    let mut domains: Vec<(&draft::Domain, DomainData)> = Vec::new();
    for region in regions {
        let name = Arc::clone(&region.name.value);
        let reference = plan.regions.push(RegionData { name });
        domains.extend(region.domains.iter().map(|domain| {
            let data = DomainData {
                name: Arc::clone(&domain.name.value),
                region: reference,
            };
            (domain, data)
        }));
    }
    domains.sort_by(|a, b| a.1.name.cmp(&b.1.name));
    let mut sites = Vec::new();
    let mut entries = Vec::new();
    for (written, data) in domains {
        let domain = plan.domains.push(data);
        sites.extend(written.sites.iter().map(|name| site(name, domain, draft)));
        entries.extend(
            written
                .entries
                .iter()
                .map(|name| entry(name, domain, draft)),
        );
    }
    sites.sort_by(|a, b| a.name.cmp(&b.name));
    entries.sort_by(|a, b| a.name.cmp(&b.name));
    plan.sites = sites.into_iter().collect();
    plan.entries = entries.into_iter().collect();
}

fn site(name: &Name, domain: Domain, draft: &Draft) -> SiteData {
    SiteData {
        name: Arc::clone(&name.value),
        domain,
        state: state(&draft.drain.sites, name),
    }
}

fn entry(name: &Name, domain: Domain, draft: &Draft) -> EntryData {
    EntryData {
        name: Arc::clone(&name.value),
        domain,
        state: state(&draft.drain.entries, name),
    }
}

fn state(drained: &[Name], name: &Name) -> State {
    if drained.iter().any(|other| other.value == name.value) {
        return State::Leaving;
    }
    State::Live
}

fn class(written: &draft::Class) -> Option<ClassData> {
    Some(ClassData {
        name: Arc::clone(&written.name.value),
        queue_percent: u8::try_from(written.queue.as_ref()?.value).ok()?,
    })
}

fn services(plan: &mut Plan, draft: &Draft) -> Option<()> {
    let mut services = draft
        .services
        .iter()
        .map(|written| service(plan, written))
        .collect::<Option<Vec<ServiceData>>>()?;
    services.sort_by(|a, b| a.name.cmp(&b.name));
    plan.services = services.into_iter().collect();
    Some(())
}

fn service(plan: &Plan, written: &draft::Service) -> Option<ServiceData> {
    let name = &written.class.as_ref()?.value;
    let class = plan.classes.values().position(|c| c.name == *name)?;
    let mut sites = written
        .sites
        .as_ref()?
        .value
        .iter()
        .map(|name| plan.site(&name.value))
        .collect::<Option<Vec<Site>>>()?;
    sites.sort();
    Some(ServiceData {
        name: Arc::clone(&written.name.value),
        class: Class::new(class),
        is_idempotent: written.idempotent?,
        deadline: Duration::from_millis(written.deadline),
        sites,
    })
}

fn links(plan: &Plan, draft: &Draft) -> Option<Vec<Link>> {
    let mut links = Vec::new();
    for written in &draft.links {
        links.push(Link {
            from: plan.region(&written.from.as_ref()?.value)?,
            to: plan.region(&written.to.as_ref()?.value)?,
            bits_per_s: written.mbit? * MEGABIT,
        });
    }
    links.sort_by_key(|link| (link.from, link.to));
    Some(links)
}

fn shifts(plan: &Plan, draft: &Draft) -> Option<Vec<Shift>> {
    let mut shifts = Vec::new();
    for written in &draft.shifts {
        shifts.push(Shift {
            service: plan.service(&written.service.as_ref()?.value)?,
            from: plan.region(&written.from.as_ref()?.value)?,
            to: plan.region(&written.to.as_ref()?.value)?,
            cap: written.cap?,
            ramp: Duration::from_secs(written.ramp),
        });
    }
    shifts.sort_by_key(|shift| (shift.service, shift.from, shift.to));
    Some(shifts)
}

fn sorted(names: &[Name]) -> Vec<Arc<str>> {
    let mut names: Vec<Arc<str>> = names.iter().map(|n| Arc::clone(&n.value)).collect();
    names.sort();
    names.dedup();
    names
}

/// Region names with the references that [`plan`] will give them.
#[must_use]
pub fn region_names(draft: &Draft) -> Vec<(Arc<str>, steer::version::view::Region)> {
    let mut names: Vec<Arc<str>> = draft
        .regions
        .iter()
        .map(|region| Arc::clone(&region.name.value))
        .collect();
    names.sort();
    let references = (0..).map(EntityRef::new);
    names.into_iter().zip(references).collect()
}

/// The draft's own blocks; those of unknown regions have been reported.
#[must_use]
pub fn own_blocks(draft: &Draft, names: &crate::blocks::Names) -> Vec<Block> {
    let known = draft.blocks.iter().filter_map(|written| {
        let (base, len) = written.prefix?;
        Some(Block {
            base,
            len,
            region: crate::blocks::region(names, &written.region.as_ref()?.value)?,
        })
    });
    known.collect()
}

impl Plan {
    /// Region of this name.
    #[must_use]
    pub fn region(&self, name: &str) -> Option<steer::version::view::Region> {
        self.regions.find_name(name, |data| &data.name)
    }

    /// Failure domain of this name.
    #[must_use]
    pub fn domain(&self, name: &str) -> Option<Domain> {
        self.domains.find_name(name, |data| &data.name)
    }

    /// Site of this name.
    #[must_use]
    pub fn site(&self, name: &str) -> Option<Site> {
        self.sites.find_name(name, |data| &data.name)
    }

    /// Service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<Service> {
        self.services.find_name(name, |data| &data.name)
    }

    /// Region that a site lies in.
    #[must_use]
    pub fn site_region(&self, site: Site) -> steer::version::view::Region {
        self.domains[self.sites[site].domain].region
    }
}
