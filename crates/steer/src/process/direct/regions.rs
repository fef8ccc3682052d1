//! Loads that regions report to each other, and what follows for the choice of a region.
//!
//! Answers the load in which all regions are full. An instance knows little of the targets
//! of other regions, so that these look emptier than its own; two full regions then send
//! each other a part of their requests, each of which takes longer and costs bytes.
//!
//! Invariants: a reported value is used for [`REPORT_TTL`]; a datagram that isn't newer
//! than the last one of its sender changes nothing; reports say whether the spillover share
//! rises or falls, and where to, but never move it faster than [`Spillover`] does.
//!
//! [`Spillover`]: super::spillover::Spillover

mod exchange;

use core::time::Duration;
use std::sync::Arc;

use super::job::{Job, State};
use super::mechanisms::Mechanism;
use super::members::name_hash;
use super::shortness::UTILIZATION_SHORT;
use super::spillover::Outlook;
use super::{Direct, place::Pool};
use crate::clock::Time;

/// Time for which reported values are used: several datagrams in a row may be lost.
const REPORT_TTL: Duration = Duration::from_millis(1200);

/// Time for which a sender's last sequence number is remembered, so that a delayed datagram
/// doesn't count as news once the values have ended.
const SENDER_RETENTION: Duration = Duration::from_secs(30);

/// Difference in utilization from which another region is better off. Smaller ones are
/// within the error of estimates, and the way there costs more than they gain.
const UTILIZATION_GAP_MIN: f64 = 0.15;

/// Utilization from which a region is full.
const FULL_UTILIZATION: f64 = 1.0;

/// Largest part of a region's slots that waiting requests add to its utilization. They tell
/// a region that has just filled up from one that has more than it can serve. Whole queues
/// would make two full regions send each other requests in turn, in swings of 20 s: a queue
/// goes on growing while the share follows its length.
const WAITING_RATIO_MAX: f64 = 0.25;

/// Load of one service in one region, as one instance there knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Hash of the service's name.
    pub service_hash: u32,
    /// Requests at the region's targets, by the sender's estimate.
    pub at_targets: u32,
    /// Requests that wait at the sender for the region's targets.
    pub waiting: u32,
    /// Slots of the region's targets.
    pub slots: u32,
}

/// Report of one instance on its region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionReport {
    /// Name of the sender.
    pub name: Arc<str>,
    /// Distinguishes processes of the same name.
    pub incarnation: u64,
    /// Counts the reports of this incarnation.
    pub seq: u64,
    /// Region of the sender.
    pub region: Arc<str>,
    /// Loads of the services that are short there.
    pub loads: Vec<ServiceLoad>,
}

/// An instance of another region and its last report.
#[derive(Clone, Debug)]
struct Sender {
    report: RegionReport,
    /// Incarnation before the present one, of which datagrams may still be on the way.
    previous: Option<u64>,
    received_at: Time,
}

/// Load of one service in another region, by all that reported on it lately.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionLoad {
    /// Name of the region.
    pub region: Arc<str>,
    /// Hash of the service's name.
    pub service_hash: u32,
    /// Requests at the region's targets; mean of the reports.
    pub at_targets: f64,
    /// Requests that wait at all senders.
    pub waiting: f64,
    /// Slots of the region's targets; mean of the reports.
    pub slots: f64,
    /// Number of reports.
    pub senders: u32,
}

impl RegionLoad {
    /// Requests at targets, and some of those that wait, over slots.
    #[must_use]
    pub fn utilization(&self) -> f64 {
        self.demand() / self.slots
    }

    fn demand(&self) -> f64 {
        demand(self.at_targets, self.waiting, self.slots)
    }

    /// Adds one more report to the means and sums.
    fn add(&mut self, load: &ServiceLoad) {
        self.senders += 1;
        let weight = 1.0 / f64::from(self.senders);
        self.at_targets += (f64::from(load.at_targets) - self.at_targets) * weight;
        self.slots += (f64::from(load.slots) - self.slots) * weight;
        self.waiting += f64::from(load.waiting);
    }
}

/// Requests that count in the utilization of slots.
fn demand(at_targets: f64, waiting: f64, slots: f64) -> f64 {
    at_targets + waiting.min(slots * WAITING_RATIO_MAX)
}

/// Whether a region has room for a service, by its reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegionState {
    /// It reports nothing.
    Unreported,
    /// It is short of slots, and not full.
    Room,
    /// It is full.
    Full,
}

impl RegionState {
    /// Name in log lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unreported => "unreported",
            Self::Room => "room",
            Self::Full => "full",
        }
    }

    /// The state that follows at a utilization. A full region counts as such until it is
    /// clearly below, as the value varies from report to report.
    fn next(self, utilization: f64) -> Self {
        let full_from = if self == Self::Full {
            FULL_UTILIZATION - UTILIZATION_GAP_MIN
        } else {
            FULL_UTILIZATION
        };
        if utilization >= full_from {
            Self::Full
        } else {
            Self::Room
        }
    }
}

/// A region's state for a service has changed.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionChange {
    /// Name of the region.
    pub region: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Its state now.
    pub state: RegionState,
    /// Its last known utilization.
    pub utilization: f64,
}

/// Utilization of a short service in this region and in those that report on it, as one
/// step uses it.
#[derive(Clone, Debug)]
pub(super) struct View {
    service: Arc<str>,
    own: f64,
    /// Other regions and their utilization, sorted by name; never empty.
    others: Vec<(Arc<str>, f64)>,
    /// Lowest utilization of another region. One that reports nothing counts as just not
    /// short: a region with room is silent.
    lowest: f64,
}

impl View {
    fn utilization(&self, region: &str) -> Option<f64> {
        let found = self.others.binary_search_by(|o| (*o.0).cmp(region));
        found.ok().map(|at| self.others[at].1)
    }

    /// Whether a region is lower than this one by enough to gain from it; so is one that
    /// reports nothing, as far as is known.
    pub(super) fn may_gain(&self, region: &str) -> bool {
        let utilization = self.utilization(region);
        utilization.is_none_or(|u| self.own - u >= UTILIZATION_GAP_MIN)
    }

    /// Whether a region is to be used only if no other one is left.
    pub(super) fn is_avoided(&self, region: &str) -> bool {
        let is_full = self
            .utilization(region)
            .is_some_and(|u| u >= FULL_UTILIZATION);
        is_full && !self.may_gain(region)
    }

    /// Seconds by which a request waits longer in a region than in the one with the lowest
    /// utilization, at a mean service time of `mean` seconds.
    pub(super) fn wait(&self, region: &str, mean: f64) -> f64 {
        let utilization = self.utilization(region).unwrap_or(self.lowest);
        (utilization - self.lowest) * mean
    }
}

/// Reports of other regions.
#[derive(Clone, Debug, Default)]
pub(super) struct Regions {
    /// Sorted by name.
    senders: Vec<Sender>,
    /// Sequence number of this instance's last report.
    seq: u64,
    /// Number of instances of this region that callers are told, when it last reported.
    own_senders: u32,
    /// Views of the present step, sorted by service.
    views: Vec<View>,
    /// Last logged states, sorted by region and service.
    logged: Vec<RegionChange>,
}

impl Regions {
    /// Takes a report unless it isn't newer than the last one of its sender.
    fn receive(&mut self, now: Time, report: RegionReport) {
        let found = self
            .senders
            .binary_search_by(|s| s.report.name.cmp(&report.name));
        match found {
            Ok(at) => {
                let sender = &mut self.senders[at];
                if sender.report.incarnation != report.incarnation {
                    if sender.previous == Some(report.incarnation) {
                        return;
                    }
                    sender.previous = Some(sender.report.incarnation);
                } else if report.seq <= sender.report.seq {
                    return;
                }
                sender.report = report;
                sender.received_at = now;
            }
            Err(at) => {
                let sender = Sender {
                    report,
                    previous: None,
                    received_at: now,
                };
                self.senders.insert(at, sender);
            }
        }
    }

    /// Loads of all services in other regions, sorted by region and service hash.
    fn loads(&self, now: Time) -> Vec<RegionLoad> {
        let mut all: Vec<RegionLoad> = Vec::new();
        let fresh = self
            .senders
            .iter()
            .filter(|s| now.since(s.received_at) < REPORT_TTL);
        for Sender { report, .. } in fresh {
            for load in report.loads.iter().filter(|l| l.slots > 0) {
                let key = (&report.region, load.service_hash);
                match all.binary_search_by(|l| (&l.region, l.service_hash).cmp(&key)) {
                    Ok(at) => all[at].add(load),
                    Err(at) => {
                        let mut first = RegionLoad {
                            region: Arc::clone(&report.region),
                            service_hash: load.service_hash,
                            at_targets: 0.0,
                            waiting: 0.0,
                            slots: 0.0,
                            senders: 0,
                        };
                        first.add(load);
                        all.insert(at, first);
                    }
                }
            }
        }
        all
    }

    /// Drops senders that have been silent for long.
    fn sweep(&mut self, now: Time) {
        self.senders
            .retain(|s| now.since(s.received_at) < SENDER_RETENTION);
    }
}

impl Direct {
    /// Updates what this step uses of the reports: utilizations of short services only, and
    /// only where another region reports on them.
    pub(super) fn update_region_views(&mut self, now: Time) {
        self.regions.views.clear();
        let is_used = self.mechanisms.has(Mechanism::RegionLoads);
        if !is_used || self.regions.senders.is_empty() {
            return;
        }
        let short: Vec<Arc<str>> = self.short_services(now).map(Arc::clone).collect();
        if short.is_empty() {
            return;
        }
        let loads = self.regions.loads(now);
        for service in short {
            let hash = name_hash(&service);
            let reported = loads.iter().filter(|l| l.service_hash == hash);
            let others: Vec<(Arc<str>, f64)> = reported
                .map(|l| (Arc::clone(&l.region), l.utilization()))
                .collect();
            if others.is_empty() {
                continue;
            }
            let own_region = &*self.identity.region;
            let is_silent = |r: &str| r != own_region && others.iter().all(|o| *o.0 != *r);
            let silent = self.roster.regions().any(is_silent);
            let silent = if silent {
                UTILIZATION_SHORT
            } else {
                f64::INFINITY
            };
            let view = View {
                own: self.own_utilization(now, &service),
                lowest: others.iter().map(|o| o.1).fold(silent, f64::min),
                service,
                others,
            };
            self.regions.views.push(view);
        }
    }

    /// What this step uses of the reports on a service; `None` if there are none, or it
    /// isn't short here.
    pub(super) fn region_view(&self, service: &str) -> Option<&View> {
        let views = &self.regions.views;
        let found = views.binary_search_by(|v| (*v.service).cmp(service));
        found.ok().map(|at| &views[at])
    }

    /// What the regions that could serve a request report.
    pub(super) fn outlook(&self, now: Time, job: &Job) -> Outlook {
        let Some(view) = self.region_view(&job.service) else {
            return Outlook::Unknown;
        };
        let mut lowest: Option<f64> = None;
        for (_, target) in self.pool_of(&job.service, Pool::Remote) {
            if !self.is_usable(now, job, target, Pool::Remote) {
                continue;
            }
            let Some(utilization) = view.utilization(&target.region) else {
                return Outlook::Unknown;
            };
            lowest = Some(lowest.map_or(utilization, |l| l.min(utilization)));
        }
        let Some(lowest) = lowest else {
            return Outlook::Unknown;
        };
        let gap = view.own - lowest;
        if gap >= UTILIZATION_GAP_MIN {
            Outlook::Better
        } else {
            let fall = (1.0 - gap / UTILIZATION_GAP_MIN).clamp(0.0, 1.0);
            Outlook::Balanced { fall }
        }
    }

    /// Utilization of a service in this region, waiting requests included. Those of the
    /// other instances of the region are taken to be as many as here.
    fn own_utilization(&self, now: Time, service: &str) -> f64 {
        let (at_targets, slots) = self.own_load(now, service);
        let senders = f64::from(self.regions.own_senders.max(1));
        let waiting = f64::from(self.waiting_here(service)) * senders;
        if slots > 0.0 {
            demand(at_targets, waiting, slots) / slots
        } else {
            FULL_UTILIZATION
        }
    }

    /// Requests at the targets of a service in this region, without those that only wait
    /// for them here, and the slots of these targets.
    fn own_load(&self, now: Time, service: &str) -> (f64, f64) {
        let region = Some(&*self.identity.region);
        let (mut load, mut slots) = (0.0, 0.0);
        for (_, target) in self.roster.of(service, region) {
            let is_usable = target.is_available()
                && !self.roster.is_evacuated(&target.entry.domain)
                && !target.backs_off(now);
            if is_usable {
                load += self.load(now, target) - f64::from(target.reserved);
                slots += f64::from(target.entry.slots);
            }
        }
        (load, slots)
    }

    /// Requests that wait here for the targets of a service in this region.
    fn waiting_here(&self, service: &str) -> u32 {
        let region = &self.identity.region;
        let waits = |job: &&Job| {
            matches!(job.state, State::Waiting)
                && job.is_remote == Some(false)
                && *job.service == *service
                && job.request.allows(region)
        };
        let count = self.jobs.iter().filter(waits).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// The share of a service's requests that this region has too few slots for, by what
    /// other regions report; `None` if they report nothing. `slots` are those of each
    /// region with available targets.
    ///
    /// It is the share at which all regions are equally utilized, but no more than the others
    /// have room for: in full regions it would gain nothing. Where the demand of a
    /// region isn't known, it is taken to be the mean of the reported ones; this region's is
    /// known in part, by what other instances have told of its targets.
    pub(super) fn reported_deficit(
        &self,
        now: Time,
        service: &str,
        slots: &[(&str, f64)],
    ) -> Option<f64> {
        if !self.mechanisms.has(Mechanism::RegionLoads) || self.regions.senders.is_empty() {
            return None;
        }
        let hash = name_hash(service);
        let mut loads = self.regions.loads(now);
        loads.retain(|l| l.service_hash == hash && slots.iter().any(|s| *s.0 == *l.region));
        let reported: f64 = loads.iter().map(RegionLoad::demand).sum();
        if reported <= 0.0 {
            return None;
        }
        #[allow(clippy::cast_precision_loss, reason = "regions are few")]
        let mean = reported / loads.len() as f64;
        let local_region = &*self.identity.region;
        let local_demand = self.own_load(now, service).0.max(mean);
        let (mut all_demand, mut all_slots, mut local_slots) = (local_demand, 0.0, 0.0);
        let mut room = 0.0;
        for (region, count) in slots {
            let load = loads.iter().find(|l| *l.region == **region);
            let count = load.map_or(*count, |l| l.slots);
            if *region == local_region {
                local_slots = count;
            } else {
                let demand = load.map_or(mean, RegionLoad::demand);
                all_demand += demand;
                room += (count - demand).max(0.0);
            }
            all_slots += count;
        }
        let utilization = all_demand / all_slots;
        let excess = (local_demand - utilization * local_slots).clamp(0.0, room);
        Some(excess / local_demand)
    }
}
