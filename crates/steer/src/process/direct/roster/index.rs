//! Indexes into the roster's targets, by service and region and by name hash, and the
//! lists of the few targets that are visited often.
//!
//! Invariant: [`Index::build`] runs after each change of the targets' order, services or
//! regions, so that every position refers to the target that it was entered for.

use std::sync::Arc;

use super::super::target::Target;

/// Positions of targets in the roster.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    /// Sorted by service.
    services: Vec<ServiceIndex>,
    /// Short name hashes with positions, sorted.
    hashes: Vec<(u32, usize)>,
    /// Targets that this instance has contacted, in ascending order.
    contacted: Vec<usize>,
    /// Targets for which requests wait since the last step.
    reserved: Vec<usize>,
}

/// Targets of one service, in the order of the roster.
#[derive(Clone, Debug)]
struct ServiceIndex {
    service: Arc<str>,
    all: Vec<usize>,
    /// The same by region, sorted by region.
    regions: Vec<(Arc<str>, Vec<usize>)>,
}

impl ServiceIndex {
    fn new(service: &Arc<str>) -> Self {
        Self {
            service: Arc::clone(service),
            all: Vec::new(),
            regions: Vec::new(),
        }
    }

    fn add(&mut self, region: &Arc<str>, position: usize) {
        self.all.push(position);
        match self.regions.binary_search_by(|r| r.0.cmp(region)) {
            Ok(at) => self.regions[at].1.push(position),
            Err(at) => self
                .regions
                .insert(at, (Arc::clone(region), vec![position])),
        }
    }
}

impl Index {
    /// Builds all indexes anew.
    pub(super) fn build(&mut self, targets: &[Target]) {
        self.services.clear();
        for (position, target) in targets.iter().enumerate() {
            let service = &target.entry.service;
            let at = match self.services.binary_search_by(|s| s.service.cmp(service)) {
                Ok(at) => at,
                Err(at) => {
                    self.services.insert(at, ServiceIndex::new(service));
                    at
                }
            };
            self.services[at].add(&target.region, position);
        }
        let positions = |is_listed: fn(&Target) -> bool| {
            let all = targets.iter().enumerate();
            all.filter(move |(_, t)| is_listed(t))
                .map(|(position, _)| position)
        };
        self.contacted = positions(|t| t.is_contacted).collect();
        self.reserved = positions(|t| t.reserved > 0).collect();
        self.hashes.clear();
        let hashes = targets.iter().map(Target::short_hash);
        self.hashes
            .extend(hashes.enumerate().map(|(at, hash)| (hash, at)));
        self.hashes.sort_unstable();
    }

    /// Targets of a service.
    pub(super) fn of_service(&self, service: &str) -> &[usize] {
        self.service(service).map_or(&[], |s| &s.all)
    }

    /// Targets of a service in a region.
    pub(super) fn of_region(&self, service: &str, region: &str) -> &[usize] {
        let Some(index) = self.service(service) else {
            return &[];
        };
        let found = index.regions.binary_search_by(|r| (*r.0).cmp(region));
        found.map_or(&[], |at| &index.regions[at].1)
    }

    /// The target of a short name hash.
    pub(super) fn by_hash(&self, short_hash: u32) -> Option<usize> {
        let found = self.hashes.binary_search_by_key(&short_hash, |h| h.0);
        found.ok().map(|at| self.hashes[at].1)
    }

    /// Targets that this instance has contacted, in ascending order.
    pub(super) fn contacted(&self) -> &[usize] {
        &self.contacted
    }

    /// Enters a target among the contacted ones.
    pub(super) fn add_contacted(&mut self, position: usize) {
        if let Err(at) = self.contacted.binary_search(&position) {
            self.contacted.insert(at, position);
        }
    }

    /// Keeps only some of the contacted targets.
    pub(super) fn retain_contacted(&mut self, keep: impl FnMut(&usize) -> bool) {
        self.contacted.retain(keep);
    }

    /// Enters a target among those for which requests wait.
    pub(super) fn add_reserved(&mut self, position: usize) {
        self.reserved.push(position);
    }

    /// Takes the targets for which requests wait.
    pub(super) fn take_reserved(&mut self) -> Vec<usize> {
        core::mem::take(&mut self.reserved)
    }

    fn service(&self, service: &str) -> Option<&ServiceIndex> {
        let found = self
            .services
            .binary_search_by(|s| (*s.service).cmp(service));
        found.ok().map(|at| &self.services[at])
    }
}
