//! Exchange of reports with the other regions, and what operators are shown of them.
//!
//! Invariant: nothing is sent while no service is short, by an instance that callers aren't
//! told, or to more than [`RECIPIENTS_MAX`] instances.

use core::net::SocketAddr;
use std::sync::Arc;

use super::{RegionChange, RegionLoad, RegionReport, RegionState, ServiceLoad};
use crate::clock::Time;
use crate::process::direct::Direct;
use crate::process::direct::mechanisms::Mechanism;
use crate::process::direct::members::name_hash;

/// Largest number of recipients. Bytes between regions are paid for; a larger deployment
/// sends nothing, so that its bytes don't grow with it.
const RECIPIENTS_MAX: usize = 24;

impl Direct {
    /// Whether reports may be due: a service is short.
    #[must_use]
    pub fn reports_region_loads(&self, now: Time) -> bool {
        self.mechanisms.has(Mechanism::RegionLoads) && self.short_services(now).next().is_some()
    }

    /// The next report on this region, and its recipients; `None` if there is none to send.
    pub fn region_report(&mut self, now: Time) -> Option<(RegionReport, Vec<SocketAddr>)> {
        if !self.reports_region_loads(now) {
            return None;
        }
        let own_region = Arc::clone(&self.identity.region);
        let own = self.referred(now, &own_region);
        let is_referred = own.iter().any(|(name, _)| **name == self.identity.name);
        let own_senders = u32::try_from(own.len()).unwrap_or(u32::MAX);
        let recipients = self.report_recipients(now);
        self.regions.own_senders = own_senders;
        // An instance that reaches no target knows nothing recent of their load.
        if !is_referred || self.is_cut_off() || recipients.is_empty() {
            return None;
        }
        let loads = self.short_services(now);
        let loads = loads.map(|s| self.service_load(now, s)).collect();
        self.regions.seq += 1;
        let report = RegionReport {
            name: Arc::clone(&self.identity.name),
            incarnation: self.identity.incarnation,
            seq: self.regions.seq,
            region: own_region,
            loads,
        };
        Some((report, recipients))
    }

    /// Instances of other regions that callers are told; none if they are too many.
    fn report_recipients(&self, now: Time) -> Vec<SocketAddr> {
        let mut regions: Vec<&str> = self.roster.regions().collect();
        regions.sort_unstable();
        regions.dedup();
        let mut recipients = Vec::new();
        for region in regions {
            if *region == *self.identity.region {
                continue;
            }
            let referred = self.referred(now, region);
            let others = referred
                .iter()
                .filter(|(_, r)| *r.region == *region)
                .map(|(_, r)| r.heartbeats);
            recipients.extend(others);
            if recipients.len() > RECIPIENTS_MAX {
                return Vec::new();
            }
        }
        recipients
    }

    fn service_load(&self, now: Time, service: &str) -> ServiceLoad {
        let (at_targets, slots) = self.own_load(now, service);
        ServiceLoad {
            service_hash: name_hash(service),
            at_targets: rounded(at_targets),
            waiting: self.waiting_here(service),
            slots: rounded(slots),
        }
    }

    /// Takes a report of an instance of another region. One on a region that isn't known,
    /// or on this one, is ignored.
    pub fn receive_region_report(&mut self, now: Time, report: RegionReport) {
        let is_other = *report.region != *self.identity.region;
        let is_known = self.roster.regions().any(|r| *r == *report.region);
        // The registration of a sender that has just started may not be known yet.
        let registration = self.members.registration(&report.name);
        let is_its_own = registration.is_none_or(|r| r.region == report.region);
        if is_other && is_known && is_its_own {
            self.regions.receive(now, report);
        }
    }

    /// Loads that other regions report, each with the name of the service, sorted by region.
    #[must_use]
    pub fn region_loads(&self, now: Time) -> Vec<(Arc<str>, RegionLoad)> {
        let services: Vec<&Arc<str>> = self
            .routes
            .iter()
            .flat_map(|r| r.services())
            .map(|s| &s.name)
            .collect();
        let named = |load: RegionLoad| {
            let hash = load.service_hash;
            let service = services.iter().find(|s| name_hash(s) == hash)?;
            Some((Arc::clone(service), load))
        };
        let loads = self.regions.loads(now).into_iter();
        loads.filter_map(named).collect()
    }

    /// States of other regions that have changed since the last call.
    pub fn take_region_changes(&mut self, now: Time) -> Vec<RegionChange> {
        self.regions.sweep(now);
        if self.regions.senders.is_empty() && self.regions.logged.is_empty() {
            return Vec::new();
        }
        let loads = self.region_loads(now);
        let mut changes = Vec::new();
        let ended = self.regions.logged.extract_if(.., |known| {
            let is_reported = |(service, load): &(Arc<str>, RegionLoad)| {
                *service == known.service && load.region == known.region
            };
            !loads.iter().any(is_reported)
        });
        changes.extend(ended.map(|known| RegionChange {
            state: RegionState::Unreported,
            ..known
        }));
        for (service, load) in loads {
            let utilization = load.utilization();
            let key = (&load.region, &service);
            let logged = &mut self.regions.logged;
            let found = logged.binary_search_by(|c| (&c.region, &c.service).cmp(&key));
            let before = found.map_or(RegionState::Unreported, |at| logged[at].state);
            let change = RegionChange {
                region: Arc::clone(&load.region),
                service,
                state: before.next(utilization),
                utilization,
            };
            match found {
                Ok(at) => logged[at] = change.clone(),
                Err(at) => logged.insert(at, change.clone()),
            }
            if change.state != before {
                changes.push(change);
            }
        }
        changes
    }
}

/// Rounds a count, saturating.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "saturates"
)]
fn rounded(count: f64) -> u32 {
    count.round() as u32
}
