//! From a plan and what is running to the view that decisions are made from.

use std::sync::Arc;

use steer::version::view::{EntryData, MemberData, Site, State, TargetData, Version, View};

use super::Plan;
use crate::instance::{Instance, Member, Role, Stranger};

impl Plan {
    /// Joins the plan with the instances and members known now. Instances that
    /// the plan has no place for are left out; [`Plan::strangers`] names them.
    #[must_use]
    pub fn view(&self, version: Version, instances: &[Instance], members: &[Member]) -> View {
        let mut targets: Vec<TargetData> = instances
            .iter()
            .filter_map(|instance| self.target(instance).ok().flatten())
            .collect();
        targets.sort_by(|a, b| a.name.cmp(&b.name));
        targets.dedup_by(|later, first| later.name == first.name);
        let mut members: Vec<MemberData> = members
            .iter()
            .filter_map(|member| self.member(member))
            .collect();
        members.sort_by(|a, b| (&a.name, a.incarnation).cmp(&(&b.name, b.incarnation)));
        View {
            version,
            regions: self.regions.clone(),
            domains: self.domains.clone(),
            sites: self.sites.clone(),
            classes: self.classes.clone(),
            services: self.services.clone(),
            targets: targets.into_iter().collect(),
            entries: self.entries.clone(),
            members: members.into_iter().collect(),
            links: self.links.clone(),
            shifts: self.shifts.clone(),
            blocks: Arc::clone(&self.blocks),
        }
    }

    /// Instances that the plan has no place for, with the reason.
    #[must_use]
    pub fn strangers(&self, instances: &[Instance]) -> Vec<Stranger> {
        let mut strangers: Vec<Stranger> = instances
            .iter()
            .filter_map(|instance| self.target(instance).err())
            .collect();
        let mut names: Vec<&Arc<str>> = instances.iter().map(|i| &i.name).collect();
        names.sort();
        let twice = names.windows(2).filter(|pair| pair[0] == pair[1]);
        strangers.extend(twice.map(|pair| Stranger::Twice {
            name: Arc::clone(pair[0]),
        }));
        strangers
    }

    /// The target that an instance is; `None` for an entry instance.
    fn target(&self, instance: &Instance) -> Result<Option<TargetData>, Stranger> {
        let Some(domain) = self.domain(&instance.domain) else {
            return Err(Stranger::Domain {
                name: Arc::clone(&instance.name),
                domain: Arc::clone(&instance.domain),
            });
        };
        let Role::Target {
            addr,
            service,
            site,
            slots,
        } = &instance.role
        else {
            return Ok(None);
        };
        let name = Arc::clone(&instance.name);
        let Some(place) = self.site(site) else {
            let site = Arc::clone(site);
            return Err(Stranger::Site { name, site });
        };
        if self.sites[place].domain != domain {
            return Err(Stranger::Elsewhere {
                name,
                site: Arc::clone(site),
                domain: Arc::clone(&instance.domain),
            });
        }
        let Some(work) = self.service(service) else {
            let service = Arc::clone(service);
            return Err(Stranger::Service { name, service });
        };
        if self.services[work].sites.binary_search(&place).is_err() {
            return Err(Stranger::NotServed {
                name,
                site: Arc::clone(site),
                service: Arc::clone(service),
            });
        }
        Ok(Some(TargetData {
            state: self.target_state(instance, place),
            name,
            addr: *addr,
            site: place,
            service: work,
            slots: *slots,
        }))
    }

    /// A target leaves when the list says so, or an operator drains it or its
    /// site: any one word is enough, since work sent to it could be cut off.
    fn target_state(&self, instance: &Instance, site: Site) -> State {
        let drained = self.leaving.binary_search(&instance.name).is_ok();
        let listed = instance.state == State::Leaving;
        if drained || listed || self.sites[site].state == State::Leaving {
            return State::Leaving;
        }
        State::Live
    }

    /// A member of an unknown domain can't be placed and is left out.
    fn member(&self, member: &Member) -> Option<MemberData> {
        let domain = self.domain(&member.domain)?;
        let drained =
            |entry: &EntryData| entry.name == member.name && entry.state == State::Leaving;
        let leaving = member.state == State::Leaving || self.entries.values().any(drained);
        Some(MemberData {
            name: Arc::clone(&member.name),
            incarnation: member.incarnation,
            domain,
            addr: member.addr,
            peer: member.peer,
            state: if leaving { State::Leaving } else { State::Live },
        })
    }
}
