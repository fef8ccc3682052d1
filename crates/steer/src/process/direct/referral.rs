//! Choice of the instances that a caller is told to connect to.
//!
//! All callers of a region are told the same ones. An instance learns from the requests
//! it gets how long they take and where their objects are; a few requests a second for
//! each of many instances would teach none of them. So one answer names 64 at most, and
//! where the instances of a region differ much in size, only as many as its load needs,
//! the largest first.
//!
//! Invariants: the named instances are spread evenly over failure domains, so that the
//! loss of one leaves callers the others; all instances that know the same members name
//! the same ones, and go on naming them for as long as they are there, as callers close
//! connections to those that a new answer doesn't name. Where a size is unknown, or sizes
//! are similar, all are named, 64 at most.

pub mod count;
pub mod demand;
pub mod ranking;
pub mod size;

use core::cmp::Reverse;
use core::net::SocketAddr;
use core::time::Duration;

use std::sync::Arc;

use super::Direct;
use super::hash::{hash, rendezvous_weight};
use super::mechanisms::Mechanism;
use super::members::{Registration, Sizing};
use crate::clock::Time;
use count::Count;
use demand::{CallerRate, RateMeter, Reports};
use ranking::{Instance, Ranking};
use size::Size;

/// Instance that may be named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// Its address for callers.
    pub callers: SocketAddr,
}

/// Addresses of at most `max` candidates for callers of a region; all in the given order
/// if they are that few.
#[must_use]
pub fn select(region: &str, candidates: &[Candidate<'_>], max: usize) -> Vec<SocketAddr> {
    if candidates.len() <= max {
        return candidates.iter().map(|c| c.callers).collect();
    }
    let region = hash(region.as_bytes());
    let weight = |c: &Candidate<'_>| rendezvous_weight(hash(c.name.as_bytes()), region);
    let mut ranked: Vec<(&str, Reverse<u64>, SocketAddr)> = candidates
        .iter()
        .map(|c| (c.domain, Reverse(weight(c)), c.callers))
        .collect();
    ranked.sort_unstable();
    // One candidate of each domain in turn, each domain's in the order of their weights.
    let mut in_turn: Vec<(usize, Reverse<u64>, SocketAddr)> = ranked
        .chunk_by(|a, b| a.0 == b.0)
        .flat_map(|domain| domain.iter().enumerate())
        .map(|(turn, (_, weight, addr))| (turn, *weight, *addr))
        .collect();
    in_turn.sort_unstable();
    in_turn.truncate(max);
    in_turn.into_iter().map(|(_, _, addr)| addr).collect()
}

/// Largest number of instances that one answer names.
pub const REFERRED_MAX: usize = 64;

/// Least time between two steps of the number of named instances, and between two reports
/// of this instance's rate: a step shows in the reports that follow it.
pub const RATE_INTERVAL: Duration = Duration::from_secs(1);

/// An instance and its registration.
type Listed<'a> = (&'a Arc<str>, &'a Registration);

/// State of the choice at one instance.
#[derive(Clone, Debug, Default)]
pub(super) struct Referral {
    own_size: Option<Size>,
    meter: RateMeter,
    reports: Reports,
    count: Count,
    /// Reports sent by this process.
    seq: u64,
    updated_at: Option<Time>,
    /// Names that sizes have decided on, sorted; `None` if they don't decide.
    named: Option<Vec<Arc<str>>>,
    has_changed: bool,
}

/// Instances that callers of this instance's region are told, and the load they bear.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// Their names.
    pub named: Vec<Arc<str>>,
    /// Number of instances of the region that could be named.
    pub of: usize,
    /// The region's requests a second, if sizes decide and any rate is known.
    pub demand: Option<f64>,
    /// Requests a second that the named instances sustain without the failure domain with
    /// the most of their capacity; `None` if sizes don't decide.
    pub capacity: Option<f64>,
}

impl Direct {
    /// Instances, this one included, that callers of a region are told to connect to, as
    /// long as the region has any. The number for other regions is the smallest, as their
    /// load is unknown here.
    #[must_use]
    pub fn referred<'a>(
        &'a self,
        now: Time,
        region: &str,
    ) -> Vec<(&'a Arc<str>, &'a Registration)> {
        let all = self.referable(now, self.is_referable(now));
        self.choose(now, region, of_region(&all, region))
    }

    /// Callers' addresses of the instances in the caller's region; if it has none, of
    /// those in the host's home regions, else of all. Instances whose view of keys may be
    /// out of date, or that are cut off from targets, are named only if there is no other:
    /// they still serve requests that need no key, and by other instances.
    #[must_use]
    pub fn directory(&self, now: Time, region: &str, host: &str) -> Vec<SocketAddr> {
        let is_serving = self.is_serving();
        let mut all = self.referable(now, is_serving && self.is_referable(now));
        if all.is_empty() && is_serving {
            all.extend(self.others(now));
            all.push(self.own());
        }
        let mut found = of_region(&all, region);
        if found.is_empty() {
            let homes = self.routes().map(|r| r.home_regions(host));
            let homes = homes.unwrap_or_default();
            let at_home = all.iter().filter(|(_, r)| homes.contains(&r.region));
            found = at_home.copied().collect();
        }
        if found.is_empty() {
            found = all;
        }
        let chosen = self.choose(now, region, found);
        chosen.into_iter().map(|(_, r)| r.callers).collect()
    }

    /// Whether this instance can serve requests that need no key: it isn't stopping and
    /// knows a configuration and targets.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        !self.is_stopping() && self.routes.is_some() && !self.roster.all().is_empty()
    }

    /// Sets the size of this instance; `None` if it is unknown.
    pub const fn set_own_size(&mut self, size: Option<Size>) {
        self.referral.own_size = size;
    }

    /// Sets the sizes in the rows of other instances; `None` for a row without one.
    pub fn set_sizes(&mut self, sizes: &[(&str, Option<Size>)]) {
        for (name, size) in sizes {
            self.members.set_size(name, *size);
        }
    }

    /// Whether an instance of this region is among those that sizes have decided on.
    pub(super) fn is_named_by_size(&self, name: &Arc<str>) -> bool {
        let named = self.referral.named.as_ref();
        named.is_some_and(|named| named.binary_search(name).is_ok())
    }

    /// Takes another instance's rate of callers' requests. Only members of the region
    /// are heard.
    pub fn receive_caller_rate(&mut self, now: Time, rate: CallerRate) {
        let sender = self.members.registration(&rate.name);
        if sender.is_some_and(|r| r.region == self.identity.region) {
            self.referral.reports.receive(now, rate);
        }
    }

    /// Next report of this instance's rate, with its recipients: all instances of the
    /// region, as those that hear some of the others only find different loads. `None` if
    /// nobody needs it, as where the region has more instances than one answer names and
    /// the largest are named, whatever the load.
    pub fn caller_rate(&mut self, now: Time) -> Option<(CallerRate, Vec<SocketAddr>)> {
        let own = &self.identity.name;
        let named = self.referral.named.as_ref()?;
        named.binary_search(own).ok()?;
        let candidates = self.region_instances(now);
        if candidates.len() > REFERRED_MAX {
            return None;
        }
        let others = candidates.iter().filter(|(name, _)| *name != own);
        let recipients = others.map(|(_, r)| r.heartbeats).collect();
        self.referral.seq += 1;
        let rate = CallerRate {
            name: Arc::clone(&self.identity.name),
            incarnation: self.identity.incarnation,
            seq: self.referral.seq,
            rate: self.referral.meter.rate(now),
        };
        Some((rate, recipients))
    }

    /// Instances that callers of this region are told, and the load they bear.
    #[must_use]
    pub fn referral_status(&self, now: Time) -> Status {
        let region = &self.identity.region;
        let candidates = self.region_instances(now);
        let of = candidates.len();
        let ranking = self.ranking(now, region, &candidates);
        let ranking = ranking.as_ref();
        let demand = ranking.and_then(|r| self.region_demand(now, r));
        let capacity = ranking.map(|r| r.sustained(self.number(region, r)));
        let chosen = self.choose(now, region, candidates);
        Status {
            named: chosen.iter().map(|(name, _)| Arc::clone(name)).collect(),
            of,
            demand,
            capacity,
        }
    }

    /// Status after a change of the instances that sizes decide on, once for each change.
    pub fn take_referral_change(&mut self, now: Time) -> Option<Status> {
        let has_changed = core::mem::take(&mut self.referral.has_changed);
        has_changed.then(|| self.referral_status(now))
    }

    /// Adapts the number of named instances to the load, at most once in
    /// [`RATE_INTERVAL`], and drops what is no longer used.
    pub(super) fn update_referral(&mut self, now: Time) {
        let is_due = |at| now.since(at) >= RATE_INTERVAL;
        if !self.referral.updated_at.is_none_or(is_due) {
            return;
        }
        self.referral.updated_at = Some(now);
        let members = &self.members;
        let is_known = |name: &str| members.registration(name).is_some();
        self.referral.reports.retain(is_known);
        let required = self.requirement(now);
        if let Some((min, max, required)) = required {
            self.referral.count.update(now, min, max, required);
        }
        let named = required.map(|_| {
            let chosen = self.referred(now, &self.identity.region);
            let mut names: Vec<Arc<str>> = chosen.iter().map(|c| Arc::clone(c.0)).collect();
            names.sort_unstable();
            names
        });
        if named != self.referral.named {
            self.referral.named = named;
            self.referral.has_changed = true;
        }
    }

    /// Counts a caller's request.
    pub(super) fn record_caller(&mut self, now: Time) {
        self.referral.meter.record(now);
    }

    /// Bounds of the number of named instances in this region, and the number that the
    /// demand requires if that is known; `None` if sizes don't decide.
    fn requirement(&self, now: Time) -> Option<(usize, usize, Option<usize>)> {
        let candidates = self.region_instances(now);
        let ranking = self.ranking(now, &self.identity.region, &candidates)?;
        let demand = self.region_demand(now, &ranking);
        let required = demand.map(|demand| ranking.required(demand));
        Some((ranking.min(), ranking.max(), required))
    }

    /// Requests a second of this region's callers: the mean rate of the referred instances
    /// that are known, times their number; `None` if none is known.
    ///
    /// Referred is, by the rates, who gets callers, and all that rank before; instances that
    /// are known by nothing, as behind a partition, so count as the others. An instance that
    /// used its own number would take the load for larger, the more it names, and name
    /// still more, and one that names few would never catch up.
    fn region_demand(&self, now: Time, ranking: &Ranking<'_>) -> Option<f64> {
        let number = self.number(&self.identity.region, ranking);
        let rate = |(at, instance): (usize, &Instance<'_>)| {
            let rate = if *instance.name == *self.identity.name {
                (at < number).then(|| self.referral.meter.rate(now))
            } else {
                self.referral.reports.rate(now, instance.name)
            };
            rate.map(|rate| (at, rate))
        };
        let all = ranking.first(ranking.max()).iter().enumerate();
        let known: Vec<(usize, f64)> = all.filter_map(rate).collect();
        if known.is_empty() {
            return None;
        }
        let last = known.iter().rfind(|(_, rate)| *rate > 0.0);
        let referred = last.map_or(0, |(at, _)| at + 1);
        let rates = known.iter().filter(|(at, _)| *at < referred);
        let (count, sum) = rates.fold((0, 0.0), |(count, sum), (_, r)| (count + 1, sum + r));
        Some(sum / f64::from(count.max(1)) * float(referred))
    }

    /// Candidates of this region.
    fn region_instances(&self, now: Time) -> Vec<Listed<'_>> {
        let all = self.referable(now, self.is_referable(now));
        of_region(&all, &self.identity.region)
    }

    /// Instances that callers may be told; `with_own` adds this one, as the first.
    fn referable(&self, now: Time, with_own: bool) -> Vec<Listed<'_>> {
        let own = with_own.then(|| self.own());
        own.into_iter().chain(self.serving(now)).collect()
    }

    /// Whether this instance's heartbeats let others name it.
    fn is_referable(&self, now: Time) -> bool {
        !self.is_stopping() && self.is_fit_for_callers(now) && !self.is_cut_off()
    }

    const fn own(&self) -> Listed<'_> {
        (&self.identity.name, &self.identity.registration)
    }

    /// The candidates that callers of a region are told, each region's as its sizes
    /// decide, in the given order.
    fn choose<'a>(&self, now: Time, region: &str, candidates: Vec<Listed<'a>>) -> Vec<Listed<'a>> {
        let mut chosen = Vec::new();
        let mut left = candidates;
        while let Some((_, first)) = left.first() {
            let of = Arc::clone(&first.region);
            let (group, others) = left.into_iter().partition(|(_, r)| r.region == of);
            chosen.extend(self.choose_sized(now, &of, group));
            left = others;
        }
        if chosen.len() <= REFERRED_MAX {
            return chosen;
        }
        let candidates: Vec<Candidate<'_>> = chosen.iter().map(candidate).collect();
        let addrs = select(region, &candidates, REFERRED_MAX);
        chosen.retain(|(_, r)| addrs.contains(&r.callers));
        chosen
    }

    /// The candidates of one region that are named by their sizes; all if sizes don't
    /// decide.
    fn choose_sized<'a>(
        &self,
        now: Time,
        region: &str,
        mut candidates: Vec<Listed<'a>>,
    ) -> Vec<Listed<'a>> {
        let Some(ranking) = self.ranking(now, region, &candidates) else {
            return candidates;
        };
        let mut names: Vec<Arc<str>> = Vec::new();
        for instance in ranking.first(self.number(region, &ranking)) {
            names.push(instance.name.into());
        }
        names.sort_unstable();
        candidates.retain(|(name, _)| names.binary_search(name).is_ok());
        candidates
    }

    /// Number of instances of a region that are named in the order of `ranking`.
    fn number(&self, region: &str, ranking: &Ranking<'_>) -> usize {
        if ranking.len() > REFERRED_MAX {
            ranking.max()
        } else if *region == *self.identity.region {
            self.referral.count.get(ranking.min(), ranking.max())
        } else {
            ranking.min()
        }
    }

    /// Order of a region's candidates; `None` if the size of one is unknown or sizes are
    /// similar. Instances whose rows are yet to be read are left out.
    fn ranking<'a>(
        &self,
        now: Time,
        region: &str,
        candidates: &[Listed<'a>],
    ) -> Option<Ranking<'a>> {
        if !self.mechanisms.has(Mechanism::SizedReferral) {
            return None;
        }
        let mut sized = Vec::with_capacity(candidates.len());
        for (name, registration) in candidates {
            let size = match self.sizing(now, name) {
                Sizing::Known(size) => size,
                Sizing::Pending => continue,
                Sizing::Unknown => return None,
            };
            sized.push(Instance {
                name,
                domain: &registration.domain,
                size,
            });
        }
        Ranking::new(region, sized)
    }

    fn sizing(&self, now: Time, name: &Arc<str>) -> Sizing {
        if *name == self.identity.name {
            return self
                .referral
                .own_size
                .map_or(Sizing::Unknown, Sizing::Known);
        }
        self.members.sizing(now, name, self.is_store_reachable(now))
    }
}

/// Converts a count.
fn float(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}

/// The instances of a region among others.
fn of_region<'a>(all: &[Listed<'a>], region: &str) -> Vec<Listed<'a>> {
    let of_region = all.iter().filter(|(_, r)| *r.region == *region);
    of_region.copied().collect()
}

fn candidate<'a>((name, registration): &Listed<'a>) -> Candidate<'a> {
    Candidate {
        name,
        domain: &registration.domain,
        callers: registration.callers,
    }
}
