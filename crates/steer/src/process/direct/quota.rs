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
mod local;
mod message;
mod pool;
mod rule;

use core::time::Duration;
use std::sync::Arc;

pub use message::{Grant, Level, Need, OutgoingReport, Report, TeamGrant, team_hash};
pub use rule::Rule;

use super::members::Registration;
use super::message::{Admission, Rejection};
use super::{Direct, allotment, members};
use crate::clock::Time;
use crate::version::teams::{Quota, Team};

/// Time between reports. The same in a fleet of any size: an instance that reports
/// less often than [`pool::REPORT_TIMEOUT`] counts as silent.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Time between reports while a request waits.
const REPORT_INTERVAL_WAITING: Duration = Duration::from_millis(40);

/// Shortest time between two reports of a region. What crosses regions is paid by
/// the byte, and a large region always lacks some team's tokens.
const REGION_REPORT_INTERVAL_MIN: Duration = Duration::from_millis(100);

/// The terms of all teams' buckets, sorted by mark.
fn bucket_terms(teams: &[Arc<Team>], rule: Rule) -> Vec<(u64, pool::Terms)> {
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
    cache: local::TokenCache,
    region_link: link::Link,
    /// Tokens of its region while it hands them out there, those on their way to
    /// it, and whom it asks for more in the fleet.
    region_pool: pool::Pool,
    region_cache: local::TokenCache,
    fleet_link: link::Link,
    /// The fleet's tokens while it hands them out to regions.
    fleet_pool: pool::Pool,
    /// Whether a request has begun to wait for a token.
    is_report_due: bool,
    /// When it last asked for more for its region.
    region_asked_at: Time,
}

impl Direct {
    /// Whether any team has a quota.
    #[must_use]
    pub fn has_quotas(&self) -> bool {
        !self.quotas.terms.is_empty()
    }

    /// Whether a request has begun to wait for a token since this was asked.
    pub const fn take_report_due(&mut self) -> bool {
        core::mem::replace(&mut self.quotas.is_report_due, false)
    }

    /// Time until the next report: soon where requests wait for tokens that have
    /// a way to go.
    #[must_use]
    pub fn report_interval(&self) -> Duration {
        if self.jobs.iter().any(|j| j.admission == Admission::Waiting) {
            REPORT_INTERVAL_WAITING
        } else {
            REPORT_INTERVAL
        }
    }

    /// Takes a token for the request at `at`. `Some` if it may not go on now.
    pub(super) fn admit(&mut self, now: Time, at: usize) -> Option<Blocked> {
        let job = &self.jobs[at];
        let team = Arc::clone(&job.request.authorized.as_ref()?.team);
        let (Some(quota), Admission::New | Admission::Waiting) = (team.quota, job.admission) else {
            return None;
        };
        let first = job.admission == Admission::New;
        let arrived = job.arrived;
        let alone = self.quotas.cache.is_without_pool(now);
        let share = alone.then(|| self.local_share(&team, &quota));
        let stock = &mut self.quotas.cache;
        let verdict = stock.take(now, &team.name, first, arrived, share);
        let job = &mut self.jobs[at];
        match verdict {
            local::Verdict::Admitted => {
                job.admission = Admission::Admitted;
                None
            }
            local::Verdict::Wait => {
                job.admission = Admission::Waiting;
                self.quotas.is_report_due |= first;
                Some(Blocked::Waiting)
            }
            local::Verdict::Refused(after) => Some(Blocked::Refused(after)),
        }
    }

    /// Gives a token back for a request that hasn't run and will not.
    pub(super) fn refund_token(&mut self, now: Time, job: &super::job::Job) {
        let unused = job.admission == Admission::Admitted && !job.may_have_run;
        if let Some(pass) = job.request.authorized.as_ref().filter(|_| unused) {
            let since = now.since(job.arrived);
            self.quotas.cache.put_back(&pass.team.name, since);
        }
    }

    /// This instance's part of a team's bucket while it is alone with it.
    fn local_share(&self, team: &Team, quota: &Quota) -> local::LocalShare {
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
        local::LocalShare {
            capacity: part,
            rate,
        }
    }

    /// A new configuration is in force in place of `before`.
    pub(super) fn apply_quotas(&mut self, before: &[Arc<Team>]) {
        let Some(routes) = &self.routes else { return };
        let rule = self.bounds.quota;
        let capacity = |team: &Team| team.quota.map(|q| rule.capacity(&q));
        for team in routes.teams.all() {
            let old = before.binary_search_by(|t| t.name.cmp(&team.name));
            let old = old.ok().and_then(|at| capacity(&before[at]));
            match (old, capacity(team)) {
                (Some(old), Some(new)) if new < old => {
                    self.quotas.cache.scale(&team.name, new / old);
                }
                (None, Some(_)) => self.quotas.cache.scale(&team.name, 0.0),
                _ => {}
            }
        }
        let terms = bucket_terms(routes.teams.all(), rule);
        let marks: Vec<u64> = terms.iter().map(|(team, _)| *team).collect();
        self.quotas.cache.keep_teams(&marks);
        self.quotas.terms = terms;
    }

    /// What is to be told about tokens now, and to whom. What this instance itself
    /// hands out is taken at once.
    pub fn quota_reports(&mut self, now: Time) -> Vec<OutgoingReport> {
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
        self.choose_pools(now);
        let (name, life) = (Arc::clone(&self.identity.name), self.identity.incarnation);
        let quotas = &mut self.quotas;
        let own = quotas.cache.report(now, Arc::clone(&name), life, &waiting);
        let mut due: Vec<OutgoingReport> = self.deliver(now, own).into_iter().collect();
        let quotas = &mut self.quotas;
        if quotas.region_pool.is_active(now)
            && now.since(quotas.region_asked_at) >= REGION_REPORT_INTERVAL_MIN
        {
            quotas.region_asked_at = now;
            let teams = quotas.terms.iter().map(|(team, _)| *team);
            let needs = quotas.region_pool.needs(now, teams);
            let count = quotas.region_pool.represented(now);
            let upper = quotas
                .region_cache
                .report_for(now, name, life, &needs, count);
            due.extend(self.deliver(now, upper.with_level(Level::Fleet)));
        }
        due.extend(self.final_reports(now));
        due
    }

    /// Tells whoever was asked before that it no longer is.
    fn final_reports(&mut self, now: Time) -> Vec<OutgoingReport> {
        let own = Arc::clone(&self.identity.name);
        let life = self.identity.incarnation;
        let quotas = &mut self.quotas;
        let links = [
            (Level::Region, &mut quotas.region_link, &mut quotas.cache),
            (
                Level::Fleet,
                &mut quotas.fleet_link,
                &mut quotas.region_cache,
            ),
        ];
        let mut told = Vec::new();
        for (level, link, stock) in links {
            for to in link.previous(now) {
                let report = stock.final_report(Arc::clone(&own), life, level);
                told.push((to, report));
            }
        }
        let mut due = Vec::new();
        for (to, report) in told {
            if to == own {
                let grant = self.receive_report(now, report);
                self.receive_grant(now, &grant);
            } else if let Some(row) = self.members.registration(&to) {
                let addr = row.heartbeats;
                due.push(OutgoingReport { addr, report });
            }
        }
        due
    }

    /// Where a report goes; `None` if it goes to this instance, which takes it.
    fn deliver(&mut self, now: Time, report: Report) -> Option<OutgoingReport> {
        let link = match report.level {
            Level::Region => &self.quotas.region_link,
            Level::Fleet => &self.quotas.fleet_link,
        };
        let asked = Arc::clone(link.asked()?);
        if asked == self.identity.name {
            let grant = self.receive_report(now, report);
            self.receive_grant(now, &grant);
            return None;
        }
        let row = self.others(now).find(|(name, _)| **name == asked);
        let addr = row.map(|(_, row)| row.heartbeats)?;
        Some(OutgoingReport { addr, report })
    }

    /// A report of an instance, this one among them; says what it is given.
    pub fn receive_report(&mut self, now: Time, report: Report) -> Grant {
        let (to, session, level) = (report.incarnation, report.session, report.level);
        let given = self.answer_report(now, report);
        Grant {
            name: Arc::clone(&self.identity.name),
            incarnation: self.identity.incarnation,
            level,
            recipient: to,
            session,
            grants: given,
        }
    }

    fn answer_report(&mut self, now: Time, report: Report) -> Vec<TeamGrant> {
        let count = self.participants.len() + 1;
        let level = report.level;
        let fleet = level == Level::Fleet;
        let Quotas {
            region_pool: region,
            region_cache: upper,
            fleet_pool: all,
            terms,
            is_report_due: urgent,
            region_asked_at: pressed,
            ..
        } = &mut self.quotas;
        let pool = if fleet { all } else { region };
        let Some(at) = pool.note_report(now, &report, self.identity.incarnation) else {
            return Vec::new();
        };
        let alone = fleet || upper.is_without_pool(now);
        let part = pool.fraction(now, count);
        let mut given = Vec::new();
        for need in report.needs {
            let Ok(found) = terms.binary_search_by_key(&need.team, |(team, _)| *team) else {
                continue;
            };
            let terms = terms[found].1;
            if alone {
                pool.refill(now, need.team, part, &terms);
                let (capacity, rate) = (terms.capacity * part, terms.rate * part);
                given.push(pool.grant(now, at, &need, (level, capacity, rate)));
                continue;
            }
            let new = upper.drain(now, need.team);
            let capacity = pool.deposit(now, need.team, new.tokens);
            let mut part = pool.grant(now, at, &need, (level, capacity, new.rate));
            // What a region can't give is asked for at once.
            let lacks = part.is_exhausted || pool.is_low(need.team, capacity);
            *urgent |= lacks && now.since(*pressed) >= REGION_REPORT_INTERVAL_MIN;
            part.is_exhausted &= new.is_exhausted;
            given.push(part);
        }
        given
    }

    /// What another instance, or this one, hands out.
    pub fn receive_grant(&mut self, now: Time, grant: &Grant) {
        let quotas = &mut self.quotas;
        let (link, stock) = match grant.level {
            Level::Region => (&mut quotas.region_link, &mut quotas.cache),
            Level::Fleet => (&mut quotas.fleet_link, &mut quotas.region_cache),
        };
        if grant.recipient != self.identity.incarnation {
            return;
        }
        if grant.session == 0 {
            if link.note_release(&grant.name) {
                stock.note_release();
            }
            return;
        }
        if !link.note_answer(now, &grant.name) {
            return;
        }
        // What was asked for before this incarnation was known has to be asked for
        // again.
        quotas.is_report_due |= stock.receive(now, grant);
        if grant.level == Level::Fleet {
            for given in &grant.grants {
                quotas.region_pool.trim(now, given.team, given.held_max);
            }
        }
    }

    /// Finds whom to ask: the first by hash of the region and of the fleet, of
    /// those that are there and answer.
    fn choose_pools(&mut self, now: Time) {
        let own = &self.identity.name;
        let home = &self.identity.registration.region;
        let others: Vec<(Arc<str>, bool)> = self
            .others(now)
            .filter(|(name, _)| !self.members.is_new(now, name))
            .map(|(name, row): (_, &Registration)| (Arc::clone(name), row.region == *home))
            .chain([(Arc::clone(own), true)])
            .collect();
        let near = others.iter().filter(|o| o.1).map(|o| &o.0);
        if self.quotas.region_link.choose(now, own, near) {
            self.quotas.cache.change_pool(now);
        }
        if self
            .quotas
            .fleet_link
            .choose(now, own, others.iter().map(|o| &o.0))
        {
            self.quotas.region_cache.change_pool(now);
        }
    }

    /// Tokens held of each team with a quota, and its requests a second.
    pub fn held_tokens(&self) -> impl Iterator<Item = (&Arc<str>, f64, f64)> {
        let teams = self.routes.iter().flat_map(|r| r.teams.all());
        teams.filter_map(|team| {
            let account = self.quotas.cache.get(team_hash(&team.name))?;
            team.quota?;
            Some((&team.name, account.0, account.1))
        })
    }
}

/// Why a request doesn't go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Blocked {
    /// It waits for a token.
    Waiting,
    /// Its team is over its quota; a token is there after this time.
    Refused(Duration),
}

impl Blocked {
    /// What it means for a request, `None` if it stays.
    pub(super) const fn verdict(self) -> Option<(Rejection, Duration)> {
        match self {
            Self::Waiting => None,
            Self::Refused(after) => Some((Rejection::Quota, after)),
        }
    }
}
