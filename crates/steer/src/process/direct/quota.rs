//! How many requests of a team are admitted, as a sum over all instances.
//!
//! A team may send many times its usual, by all instances or by two of them,
//! while instances are cut off, killed and started, and what is refused below its
//! quota is lost to it. So a team has one token bucket for the whole fleet. One
//! instance fills it and hands tokens out to one instance of each region, and that
//! one to the others there, ahead of need ([`pool`]); all are found by a hash of
//! names. Each admits against the tokens that it holds ([`stock`]), and asks in
//! its region at once where it holds none. Who hears nothing of whom it asks fills
//! an equal part of the bucket by itself.
//!
//! Invariant: tokens at all instances, in the pool and on the way never exceed
//! the bucket, and are added at its rate at most. Messages may be lost,
//! late, doubled or out of order: what was handed out is told as a sum.

mod link;
mod message;
mod pool;
mod rule;
mod stock;

use core::time::Duration;
use std::sync::Arc;

pub use message::{Due, Given, Grant, Level, Need, Report, team_hash};
pub use rule::Rule;

use super::members::Registration;
use super::message::{Admission, Rejection};
use super::{Direct, allotment, members};
use crate::clock::Time;
use crate::version::teams::{Quota, Team};

/// Time between reports. The same in a fleet of any size: an instance that reports
/// less often than [`pool::HEARD`] counts as silent.
const PACE: Duration = Duration::from_millis(250);

/// Time between reports while a request waits.
const PACE_WAITING: Duration = Duration::from_millis(40);

/// Shortest time between two reports of a region. What crosses regions is paid by
/// the byte, and a large region always lacks some team's tokens.
const PRESS: Duration = Duration::from_millis(100);

/// The terms of all teams' buckets, sorted by mark.
fn all_terms(teams: &[Arc<Team>], rule: Rule) -> Vec<(u64, pool::Terms)> {
    let of = |team: &Arc<Team>| {
        let quota = team.quota?;
        let bucket = pool::Terms {
            rate: rule.rate(&quota),
            capacity: rule.capacity(&quota),
        };
        Some((team_hash(&team.name), bucket))
    };
    let mut all: Vec<_> = teams.iter().filter_map(of).collect();
    all.sort_unstable_by_key(|(team, _)| *team);
    all
}

/// Quotas as one instance keeps them.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    /// Sorted by team's mark.
    terms: Vec<(u64, pool::Terms)>,
    /// Tokens that it holds, and whom it asks for more in its region.
    stock: stock::Stock,
    near: link::Link,
    /// Tokens of its region while it hands them out there, those on their way to
    /// it, and whom it asks for more in the fleet.
    region: pool::Pool,
    upper: stock::Stock,
    far: link::Link,
    /// The fleet's tokens while it hands them out to regions.
    fleet: pool::Pool,
    /// Whether a request has begun to wait for a token.
    urgent: bool,
    /// When it last asked for more for its region.
    pressed: Time,
}

impl Direct {
    /// Whether any team has a quota.
    #[must_use]
    pub fn has_quotas(&self) -> bool {
        !self.quotas.terms.is_empty()
    }

    /// Whether a request has begun to wait for a token since this was asked.
    pub const fn take_urgent(&mut self) -> bool {
        core::mem::replace(&mut self.quotas.urgent, false)
    }

    /// Time until the next report: soon where requests wait for tokens that have
    /// a way to go.
    #[must_use]
    pub fn report_pace(&self) -> Duration {
        if self.jobs.iter().any(|j| j.admission == Admission::Waiting) {
            PACE_WAITING
        } else {
            PACE
        }
    }

    /// Takes a token for the request at `at`. `Some` if it may not go on now.
    pub(super) fn admit(&mut self, now: Time, at: usize) -> Option<Held> {
        let job = &self.jobs[at];
        let team = Arc::clone(&job.request.authorized.as_ref()?.team);
        let (Some(quota), Admission::New | Admission::Waiting) = (team.quota, job.admission) else {
            return None;
        };
        let first = job.admission == Admission::New;
        let arrived = job.arrived;
        let alone = self.quotas.stock.is_alone(now);
        let share = alone.then(|| self.share(&team, &quota));
        let stock = &mut self.quotas.stock;
        let verdict = stock.take(now, &team.name, first, arrived, share);
        let job = &mut self.jobs[at];
        match verdict {
            stock::Verdict::Admitted => {
                job.admission = Admission::Admitted;
                None
            }
            stock::Verdict::Wait => {
                job.admission = Admission::Waiting;
                self.quotas.urgent |= first;
                Some(Held::Waits)
            }
            stock::Verdict::Refused(after) => Some(Held::Refused(after)),
        }
    }

    /// Gives a token back for a request that hasn't run and will not.
    pub(super) fn give_back(&mut self, now: Time, job: &super::job::Job) {
        let unused = job.admission == Admission::Admitted && !job.may_have_run;
        if let Some(pass) = job.request.authorized.as_ref().filter(|_| unused) {
            let since = now.since(job.arrived);
            self.quotas.stock.give_back(&pass.team.name, since);
        }
    }

    /// This instance's part of a team's bucket while it is alone with it.
    fn share(&self, team: &Team, quota: &Quota) -> stock::Share {
        let count = self.participants.len() + 1;
        let capacity = self.bounds.quota.capacity(quota);
        #[allow(clippy::cast_precision_loss, reason = "instances are few")]
        let equal = capacity / count as f64;
        let part = if equal < 1.0 {
            // Whole tokens for some of the instances.
            let own = allotment::Participant {
                region: Arc::clone(&self.identity.region),
                name_hash: members::name_hash(&self.identity.name),
            };
            let mark = members::name_hash(&team.name);
            #[allow(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "at least 1 and below the number of instances"
            )]
            let whole = capacity as usize;
            #[allow(clippy::cast_precision_loss, reason = "instances are few")]
            let part = allotment::equal_allotment(whole, &own, &self.participants, mark) as f64;
            part
        } else {
            equal
        };
        #[allow(clippy::cast_precision_loss, reason = "instances are few")]
        let rate = self.bounds.quota.rate(quota) / count as f64;
        stock::Share {
            capacity: part,
            rate,
        }
    }

    /// A new configuration is in force in place of `before`.
    pub(super) fn quotas_changed(&mut self, before: &[Arc<Team>]) {
        let Some(routes) = &self.routes else { return };
        let rule = self.bounds.quota;
        let capacity = |team: &Team| team.quota.map(|q| rule.capacity(&q));
        for team in routes.teams.all() {
            let old = before.binary_search_by(|t| t.name.cmp(&team.name));
            let old = old.ok().and_then(|at| capacity(&before[at]));
            match (old, capacity(team)) {
                (Some(old), Some(new)) if new < old => {
                    self.quotas.stock.shrink(&team.name, new / old);
                }
                (None, Some(_)) => self.quotas.stock.shrink(&team.name, 0.0),
                _ => {}
            }
        }
        let terms = all_terms(routes.teams.all(), rule);
        let marks: Vec<u64> = terms.iter().map(|(team, _)| *team).collect();
        self.quotas.stock.keep_teams(&marks);
        self.quotas.terms = terms;
    }

    /// What is to be told about tokens now, and to whom. What this instance itself
    /// hands out is taken at once.
    pub fn report_quotas(&mut self, now: Time) -> Vec<Due> {
        if !self.has_quotas() {
            return Vec::new();
        }
        let waiting: Vec<u64> = self
            .jobs
            .iter()
            .filter(|j| j.admission == Admission::Waiting)
            .filter_map(|j| {
                j.request
                    .authorized
                    .as_ref()
                    .map(|p| team_hash(&p.team.name))
            })
            .collect();
        self.settle_links(now);
        let (name, life) = (Arc::clone(&self.identity.name), self.identity.incarnation);
        let quotas = &mut self.quotas;
        let own = quotas.stock.report(now, Arc::clone(&name), life, &waiting);
        let mut due: Vec<Due> = self.address(now, own).into_iter().collect();
        let quotas = &mut self.quotas;
        if quotas.region.is_asked(now) && now.since(quotas.pressed) >= PRESS {
            quotas.pressed = now;
            let teams = quotas.terms.iter().map(|(team, _)| *team);
            let needs = quotas.region.needs(now, teams);
            let count = quotas.region.count(now);
            let upper = quotas.upper.report_for(now, name, life, &needs, count);
            due.extend(self.address(now, upper.to(Level::Fleet)));
        }
        due.extend(self.farewells(now));
        due
    }

    /// Tells whoever was asked before that it no longer is.
    fn farewells(&mut self, now: Time) -> Vec<Due> {
        let own = Arc::clone(&self.identity.name);
        let life = self.identity.incarnation;
        let quotas = &mut self.quotas;
        let links = [
            (Level::Region, &mut quotas.near, &mut quotas.stock),
            (Level::Fleet, &mut quotas.far, &mut quotas.upper),
        ];
        let mut told = Vec::new();
        for (level, link, stock) in links {
            for to in link.previous(now) {
                let report = stock.farewell(Arc::clone(&own), life, level);
                told.push((to, report));
            }
        }
        let mut due = Vec::new();
        for (to, report) in told {
            if to == own {
                let grant = self.take_report(now, report);
                self.take_grant(now, &grant);
            } else if let Some(row) = self.members.registration(&to) {
                let addr = row.heartbeats;
                due.push(Due { addr, report });
            }
        }
        due
    }

    /// Where a report goes; `None` if it goes to this instance, which takes it.
    fn address(&mut self, now: Time, report: Report) -> Option<Due> {
        let link = match report.level {
            Level::Region => &self.quotas.near,
            Level::Fleet => &self.quotas.far,
        };
        let asked = Arc::clone(link.asked()?);
        if asked == self.identity.name {
            let grant = self.take_report(now, report);
            self.take_grant(now, &grant);
            return None;
        }
        let row = self.others(now).find(|(name, _)| **name == asked);
        let addr = row.map(|(_, row)| row.heartbeats)?;
        Some(Due { addr, report })
    }

    /// A report of an instance, this one among them; says what it is given.
    pub fn take_report(&mut self, now: Time, report: Report) -> Grant {
        let (to, session, level) = (report.life, report.session, report.level);
        let given = self.give(now, report);
        Grant {
            name: Arc::clone(&self.identity.name),
            life: self.identity.incarnation,
            level,
            to,
            session,
            given,
        }
    }

    fn give(&mut self, now: Time, report: Report) -> Vec<Given> {
        let count = self.participants.len() + 1;
        let level = report.level;
        let fleet = level == Level::Fleet;
        let Quotas {
            region,
            upper,
            fleet: all,
            terms,
            urgent,
            pressed,
            ..
        } = &mut self.quotas;
        let pool = if fleet { all } else { region };
        let Some(at) = pool.hear(now, &report, self.identity.incarnation) else {
            return Vec::new();
        };
        let alone = fleet || upper.is_alone(now);
        let part = pool.part(now, count);
        let mut given = Vec::new();
        for need in report.needs {
            let Ok(found) = terms.binary_search_by_key(&need.team, |(team, _)| *team) else {
                continue;
            };
            let terms = terms[found].1;
            if alone {
                pool.accrue(now, need.team, part, &terms);
                let (capacity, rate) = (terms.capacity * part, terms.rate * part);
                given.push(pool.give(now, at, &need, (level, capacity, rate)));
                continue;
            }
            let new = upper.drain(now, need.team);
            let capacity = pool.add(now, need.team, new.tokens);
            let mut part = pool.give(now, at, &need, (level, capacity, new.rate));
            // What a region can't give is asked for at once.
            let lacks = part.dry || pool.is_low(need.team, capacity);
            *urgent |= lacks && now.since(*pressed) >= PRESS;
            part.dry &= new.dry;
            given.push(part);
        }
        given
    }

    /// What another instance, or this one, hands out.
    pub fn take_grant(&mut self, now: Time, grant: &Grant) {
        let quotas = &mut self.quotas;
        let (link, stock) = match grant.level {
            Level::Region => (&mut quotas.near, &mut quotas.stock),
            Level::Fleet => (&mut quotas.far, &mut quotas.upper),
        };
        if grant.to != self.identity.incarnation {
            return;
        }
        if grant.session == 0 {
            if link.released(&grant.name) {
                stock.released();
            }
            return;
        }
        if !link.answered(now, &grant.name) {
            return;
        }
        // What was asked for before this incarnation was known has to be asked for
        // again.
        quotas.urgent |= stock.receive(now, grant);
        if grant.level == Level::Fleet {
            for given in &grant.given {
                quotas.region.trim(now, given.team, given.keep);
            }
        }
    }

    /// Finds whom to ask: the first by hash of the region and of the fleet, of
    /// those that are there and answer.
    fn settle_links(&mut self, now: Time) {
        let own = &self.identity.name;
        let home = &self.identity.registration.region;
        let others: Vec<(Arc<str>, bool)> = self
            .others(now)
            .filter(|(name, _)| !self.members.is_new(now, name))
            .map(|(name, row): (_, &Registration)| (Arc::clone(name), row.region == *home))
            .chain([(Arc::clone(own), true)])
            .collect();
        let near = others.iter().filter(|o| o.1).map(|o| &o.0);
        if self.quotas.near.settle(now, own, near) {
            self.quotas.stock.change_pool(now);
        }
        if self
            .quotas
            .far
            .settle(now, own, others.iter().map(|o| &o.0))
        {
            self.quotas.upper.change_pool(now);
        }
    }

    /// Tokens held of each team with a quota, and its requests a second.
    pub fn quota_stocks(&self) -> impl Iterator<Item = (&Arc<str>, f64, f64)> {
        let teams = self.routes.iter().flat_map(|r| r.teams.all());
        teams.filter_map(|team| {
            let account = self.quotas.stock.get(team_hash(&team.name))?;
            team.quota?;
            Some((&team.name, account.0, account.1))
        })
    }
}

/// Why a request doesn't go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Held {
    /// It waits for a token.
    Waits,
    /// Its team is over its quota; a token is there after this time.
    Refused(Duration),
}

impl Held {
    /// What it means for a request, `None` if it stays.
    pub(super) const fn verdict(self) -> Option<(Rejection, Duration)> {
        match self {
            Self::Waits => None,
            Self::Refused(after) => Some((Rejection::Quota, after)),
        }
    }
}
