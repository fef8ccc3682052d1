//! Tokens of the teams' quotas at this instance: who is admitted, and what is asked and
//! granted.
//!
//! Invariant: a request is admitted by one token, which it gives back if it hasn't run.

use super::super::job::Job;
use super::super::members::Registration;
use super::super::message::Admission;
use super::super::{Direct, allotment, members};
use super::local;
use super::message::{Grant, Level, OutgoingReport, Report, TeamGrant, team_hash};
use super::{
    Blocked, Quotas, REGION_REPORT_INTERVAL_MIN, REPORT_INTERVAL, REPORT_INTERVAL_WAITING,
    bucket_terms,
};
use crate::clock::Time;
use crate::version::teams::{Quota, Team};
use core::time::Duration;
use std::sync::Arc;

impl Direct {
    /// Returns whether any team has a quota.
    #[must_use]
    pub fn has_quotas(&self) -> bool {
        !self.quotas.terms.is_empty()
    }

    /// Returns whether a report became due at once since the last call.
    pub const fn take_report_due(&mut self) -> bool {
        core::mem::replace(&mut self.quotas.is_report_due, false)
    }

    /// Time until the next regular report; shorter while a request waits for a token.
    #[must_use]
    pub fn report_interval(&self) -> Duration {
        if self.jobs.iter().any(|j| j.admission == Admission::Waiting) {
            REPORT_INTERVAL_WAITING
        } else {
            REPORT_INTERVAL
        }
    }

    /// Takes a token for the request at index `at`; returns `Some` if it may not go on
    /// now.
    pub(in crate::process::direct) fn admit(&mut self, now: Time, at: usize) -> Option<Blocked> {
        let job = &self.jobs[at];
        let team = Arc::clone(&job.request.authorized.as_ref()?.team);
        let (Some(quota), Admission::New | Admission::Waiting) = (team.quota, job.admission) else {
            return None;
        };
        let first = job.admission == Admission::New;
        let arrived = job.arrived;
        let is_without_pool = self.quotas.cache.is_without_pool(now);
        let share = is_without_pool.then(|| self.local_share(&team, &quota));
        let cache = &mut self.quotas.cache;
        let verdict = cache.take(now, &team.name, first, arrived, share);
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

    /// Returns the token of a request that has not run and will not.
    pub(in crate::process::direct) fn refund_token(&mut self, now: Time, job: &Job) {
        let unused = job.admission == Admission::Admitted && !job.may_have_run;
        if let Some(authorized) = job.request.authorized.as_ref().filter(|_| unused) {
            let since = now.since(job.arrived);
            self.quotas.cache.put_back(&authorized.team.name, since);
        }
    }

    /// Fraction of a team's bucket that this instance fills while it reaches no pool.
    fn local_share(&self, team: &Team, quota: &Quota) -> local::LocalShare {
        let count = self.participants.len() + 1;
        let capacity = self.bounds.quota.capacity(quota);
        #[allow(clippy::cast_precision_loss, reason = "instances are few")]
        let equal = capacity / count as f64;
        let part = if equal < 1.0 {
            // Below one token each, some of the instances get a whole one.
            let own = allotment::Participant {
                region: Arc::clone(&self.identity.region),
                name_hash: members::name_hash(&self.identity.name),
            };
            let hash = members::name_hash(&team.name);
            #[allow(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "at least 1 and below the number of instances"
            )]
            let whole = capacity as usize;
            #[allow(clippy::cast_precision_loss, reason = "instances are few")]
            let part = allotment::equal_allotment(whole, &own, &self.participants, hash) as f64;
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

    /// Adapts tokens and buckets to the configuration in force; `before` are the teams
    /// of the previous one.
    pub(in crate::process::direct) fn apply_quotas(&mut self, before: &[Arc<Team>]) {
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
        let hashes: Vec<u64> = terms.iter().map(|(team, _)| *team).collect();
        self.quotas.cache.keep_teams(&hashes);
        self.quotas.terms = terms;
    }

    /// Reports that are due now. Those to a pool on this instance are handled at once.
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
        let (name, incarnation) = (Arc::clone(&self.identity.name), self.identity.incarnation);
        let quotas = &mut self.quotas;
        let own = quotas
            .cache
            .report(now, Arc::clone(&name), incarnation, &waiting);
        let mut due: Vec<OutgoingReport> = self.deliver(now, own).into_iter().collect();
        let quotas = &mut self.quotas;
        if quotas.region_pool.is_active(now)
            && now.since(quotas.region_asked_at) >= REGION_REPORT_INTERVAL_MIN
        {
            quotas.region_asked_at = now;
            let teams = quotas.terms.iter().map(|(team, _)| *team);
            let needs = quotas.region_pool.needs(now, teams);
            let count = quotas.region_pool.represented(now);
            let report = quotas
                .region_cache
                .report_for(now, name, incarnation, &needs, count);
            due.extend(self.deliver(now, report.with_level(Level::Fleet)));
        }
        due.extend(self.final_reports(now));
        due
    }

    /// Reports that tell former pools that they are no longer used.
    fn final_reports(&mut self, now: Time) -> Vec<OutgoingReport> {
        let own = Arc::clone(&self.identity.name);
        let incarnation = self.identity.incarnation;
        let quotas = &mut self.quotas;
        let links = [
            (Level::Region, &mut quotas.region_link, &mut quotas.cache),
            (
                Level::Fleet,
                &mut quotas.fleet_link,
                &mut quotas.region_cache,
            ),
        ];
        let mut reports = Vec::new();
        for (level, link, cache) in links {
            for to in link.previous(now) {
                let report = cache.final_report(Arc::clone(&own), incarnation, level);
                reports.push((to, report));
            }
        }
        let mut due = Vec::new();
        for (to, report) in reports {
            if to == own {
                let grant = self.receive_report(now, report);
                self.receive_grant(now, &grant);
            } else if let Some(registration) = self.members.registration(&to) {
                let addr = registration.heartbeats;
                due.push(OutgoingReport { addr, report });
            }
        }
        due
    }

    /// Addresses a report to its pool; handles it here and returns `None` if this
    /// instance runs the pool.
    fn deliver(&mut self, now: Time, report: Report) -> Option<OutgoingReport> {
        let link = match report.level {
            Level::Region => &self.quotas.region_link,
            Level::Fleet => &self.quotas.fleet_link,
        };
        let pool = Arc::clone(link.pool()?);
        if pool == self.identity.name {
            let grant = self.receive_report(now, report);
            self.receive_grant(now, &grant);
            return None;
        }
        let registration = self.others(now).find(|(name, _)| **name == pool);
        let addr = registration.map(|(_, registration)| registration.heartbeats)?;
        Some(OutgoingReport { addr, report })
    }

    /// Handles a report to a pool on this instance and returns what is granted.
    pub fn receive_report(&mut self, now: Time, report: Report) -> Grant {
        let (recipient, session, level) = (report.incarnation, report.session, report.level);
        let grants = self.answer_report(now, report);
        Grant {
            name: Arc::clone(&self.identity.name),
            incarnation: self.identity.incarnation,
            level,
            recipient,
            session,
            grants,
        }
    }

    fn answer_report(&mut self, now: Time, report: Report) -> Vec<TeamGrant> {
        let count = self.participants.len() + 1;
        let level = report.level;
        let is_fleet = level == Level::Fleet;
        let Quotas {
            region_pool,
            region_cache,
            fleet_pool,
            terms,
            is_report_due,
            region_asked_at,
            ..
        } = &mut self.quotas;
        let pool = if is_fleet { fleet_pool } else { region_pool };
        let Some(at) = pool.note_report(now, &report, self.identity.incarnation) else {
            return Vec::new();
        };
        let is_without_pool = is_fleet || region_cache.is_without_pool(now);
        let fraction = pool.fraction(now, count);
        let mut grants = Vec::new();
        for need in report.needs {
            let Ok(found) = terms.binary_search_by_key(&need.team, |(team, _)| *team) else {
                continue;
            };
            let terms = terms[found].1;
            if is_without_pool {
                pool.refill(now, need.team, fraction, &terms);
                let (capacity, rate) = (terms.capacity * fraction, terms.rate * fraction);
                grants.push(pool.grant(now, at, &need, (level, capacity, rate)));
                continue;
            }
            let drained = region_cache.drain(now, need.team);
            let capacity = pool.deposit(now, need.team, drained.tokens);
            let mut grant = pool.grant(now, at, &need, (level, capacity, drained.rate));
            // A shortage in the region is reported to the fleet's pool at once.
            let is_short = grant.is_exhausted || pool.is_low(need.team, capacity);
            *is_report_due |= is_short && now.since(*region_asked_at) >= REGION_REPORT_INTERVAL_MIN;
            grant.is_exhausted &= drained.is_exhausted;
            grants.push(grant);
        }
        grants
    }

    /// Takes a grant from a pool, which may run on this instance.
    pub fn receive_grant(&mut self, now: Time, grant: &Grant) {
        let quotas = &mut self.quotas;
        let (link, cache) = match grant.level {
            Level::Region => (&mut quotas.region_link, &mut quotas.cache),
            Level::Fleet => (&mut quotas.fleet_link, &mut quotas.region_cache),
        };
        if grant.recipient != self.identity.incarnation {
            return;
        }
        if grant.session == 0 {
            if link.note_release(&grant.name) {
                cache.note_release();
            }
            return;
        }
        if !link.note_answer(now, &grant.name) {
            return;
        }
        // The pool's incarnation was unknown, so the needs must be reported again.
        quotas.is_report_due |= cache.receive(now, grant);
        if grant.level == Level::Fleet {
            for given in &grant.grants {
                quotas.region_pool.trim(now, given.team, given.held_max);
            }
        }
    }

    /// Chooses the pools of the region and of the fleet: of the members that respond,
    /// the one with the highest rank. Members that have just appeared are left out.
    fn choose_pools(&mut self, now: Time) {
        let own = &self.identity.name;
        let own_region = &self.identity.registration.region;
        let others: Vec<(Arc<str>, bool)> = self
            .others(now)
            .filter(|(name, _)| !self.members.is_new(now, name))
            .map(|(name, registration): (_, &Registration)| {
                (Arc::clone(name), registration.region == *own_region)
            })
            .chain([(Arc::clone(own), true)])
            .collect();
        let in_region = others.iter().filter(|o| o.1).map(|o| &o.0);
        if self.quotas.region_link.choose(now, own, in_region) {
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

    /// Tokens held here and requests a second, for each team with a quota.
    pub fn held_tokens(&self) -> impl Iterator<Item = (&Arc<str>, f64, f64)> {
        let teams = self.routes.iter().flat_map(|r| r.teams.all());
        teams.filter_map(|team| {
            let account = self.quotas.cache.get(team_hash(&team.name))?;
            team.quota?;
            Some((&team.name, account.0, account.1))
        })
    }
}
