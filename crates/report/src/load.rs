//! Requests in flight against slots, over time.
//!
//! Invariant: a target counts from when the first instance lists it until the
//! first says that it leaves or is gone; what is in flight at it counts always.

use std::sync::Arc;

use crate::line::Target;

#[derive(Clone, Debug)]
struct Known {
    name: Arc<str>,
    service: Arc<str>,
    region: Arc<str>,
    slots: u32,
    from: f64,
    to: f64,
    /// Times at which requests were sent there, and those at which they ended.
    sent: Vec<f64>,
    ended: Vec<f64>,
}

/// The load of all targets.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Sorted by name.
    targets: Vec<Known>,
}

/// What a service has in a region at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Use {
    /// Requests in flight.
    pub flying: usize,
    /// Slots of targets that may be used.
    pub slots: usize,
    /// Slots of them that are free: a target's queue uses no other's slot.
    pub free: usize,
}

impl Load {
    /// A target is listed.
    pub(crate) fn list(&mut self, at: f64, target: &Target) {
        let place = self
            .targets
            .binary_search_by(|t| t.name.cmp(&target.target));
        match place {
            Ok(place) => {
                let known = &mut self.targets[place];
                // It may have come back under its name.
                if at > known.to {
                    known.to = f64::INFINITY;
                }
            }
            Err(place) => self.targets.insert(
                place,
                Known {
                    name: Arc::clone(&target.target),
                    service: Arc::clone(&target.service),
                    region: Arc::clone(&target.region),
                    slots: target.slots,
                    from: at,
                    to: f64::INFINITY,
                    sent: Vec::new(),
                    ended: Vec::new(),
                },
            ),
        }
    }

    /// A target leaves or is gone.
    pub(crate) fn unlist(&mut self, at: f64, name: &str) {
        if let Some(known) = self.find_mut(name) {
            known.to = known.to.min(at);
        }
    }

    /// A request was at a target.
    pub(crate) fn flight(&mut self, name: &str, sent: f64, ended: f64) {
        if let Some(known) = self.find_mut(name) {
            known.sent.push(sent);
            known.ended.push(ended);
        }
    }

    /// Sorts what was taken.
    pub(crate) fn settle(&mut self) {
        for target in &mut self.targets {
            target.sent.sort_by(f64::total_cmp);
            target.ended.sort_by(f64::total_cmp);
        }
    }

    /// A target's region.
    pub(crate) fn region(&self, name: &str) -> Option<&Arc<str>> {
        let at = self.targets.binary_search_by(|t| (*t.name).cmp(name));
        at.ok().map(|at| &self.targets[at].region)
    }

    /// Regions in which a service has a free slot, each once.
    pub(crate) fn free(&self, service: &str, at: f64) -> Vec<Arc<str>> {
        let mut found: Vec<Arc<str>> = Vec::new();
        for target in self.targets.iter().filter(|t| *t.service == *service) {
            // Asked for each late request: one target of a region is enough.
            if found.contains(&target.region) {
                continue;
            }
            if target.is_usable(at) && target.flying(at) < target.slots as usize {
                found.push(Arc::clone(&target.region));
            }
        }
        found
    }

    /// Services and regions that there are, in order.
    #[must_use]
    pub fn places(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let place = |t: &Known| (Arc::clone(&t.service), Arc::clone(&t.region));
        let mut places: Vec<_> = self.targets.iter().map(place).collect();
        places.sort();
        places.dedup();
        places
    }

    /// What a service uses in a region at a moment.
    #[must_use]
    pub fn usage(&self, service: &str, region: &str, at: f64) -> Use {
        let mut usage = Use::default();
        for target in &self.targets {
            if *target.service != *service || *target.region != *region {
                continue;
            }
            let flying = target.flying(at);
            usage.flying += flying;
            if target.is_usable(at) {
                usage.slots += target.slots as usize;
                usage.free += (target.slots as usize).saturating_sub(flying);
            }
        }
        usage
    }

    fn find_mut(&mut self, name: &str) -> Option<&mut Known> {
        let at = self.targets.binary_search_by(|t| (*t.name).cmp(name));
        at.ok().map(|at| &mut self.targets[at])
    }
}

impl Known {
    fn is_usable(&self, at: f64) -> bool {
        (self.from..self.to).contains(&at)
    }

    fn flying(&self, at: f64) -> usize {
        let sent = self.sent.partition_point(|s| *s <= at);
        let ended = self.ended.partition_point(|e| *e <= at);
        sent.saturating_sub(ended)
    }
}
