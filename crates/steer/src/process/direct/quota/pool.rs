//! The tokens of all teams, as the instance keeps them that hands them out.
//!
//! Everything is learnt from the reports of those that ask, so a pool that takes
//! over from another needs nothing from it, and one that restarts loses nothing but
//! the tokens not yet handed out.
//!
//! Invariant: a bucket is filled for the part of instances that report here only,
//! and what they hold, by their last report and with what is on its way to them,
//! counts against it.

use core::time::Duration;
use std::sync::Arc;

use super::message::{Level, Need, Report, TeamGrant, WANTED_UNITS_PER_TOKEN, saturating_u32};
use crate::clock::Time;

/// Time without a report after which an instance fills its own part, or asks
/// another pool.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(1250);

/// Time for which what was handed out to a silent instance is remembered.
const CLIENT_RETENTION: Duration = Duration::from_secs(30);

/// Part of what a region holds that stays with the instance that hands it out, for
/// requests that wait: it is a millisecond away from all of them.
const REGION_RESERVE_RATIO: f64 = 0.4;

/// The same of the fleet's.
const FLEET_RESERVE_RATIO: f64 = 0.1;

/// Tokens that a region holds of a team that sends nothing.
const IDLE_TOKENS_WANTED: f64 = 2.0;

/// Tokens that sums of fractions may be short of a whole one.
const ROUNDING_SLACK: f64 = 1e-6;

/// Terms of a team's bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Tokens a second.
    pub rate: f64,
    /// Tokens at most.
    pub capacity: f64,
}

#[derive(Clone, Debug)]
struct Client {
    name: Arc<str>,
    incarnation: u64,
    seq: u64,
    session: u64,
    last_seen: Time,
    represented: u32,
    /// Sorted by team.
    held: Vec<Holding>,
}

/// One team's tokens at one instance.
#[derive(Clone, Copy, Debug, Default)]
struct Holding {
    team: u64,
    /// Tokens there, and on the way there.
    tokens: f64,
    /// Handed out in this session.
    granted: u32,
    wanted: f64,
    /// Tokens that requests wait for.
    waiting: f64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    team: u64,
    tokens: f64,
    filled_at: Time,
    /// Part of the instances for which it was filled last.
    fraction: f64,
}

/// All buckets.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Since when instances report here.
    active_since: Option<Time>,
    last_report: Time,
    /// Sorted by name.
    clients: Vec<Client>,
    /// Sorted by team.
    buckets: Vec<Bucket>,
}

impl Pool {
    /// Whether instances report here.
    pub fn is_active(&self, now: Time) -> bool {
        self.active_since.is_some() && now.since(self.last_report) < REPORT_TIMEOUT
    }

    /// Notes a report; `None` if nothing can be given for it: it is older than one
    /// that was here, or doesn't count from this incarnation, `life`.
    pub fn note_report(&mut self, now: Time, report: &Report, life: u64) -> Option<usize> {
        if !self.is_active(now) {
            self.active_since = Some(now);
            self.buckets.clear();
        }
        self.last_report = now;
        self.clients
            .retain(|c| now.since(c.last_seen) < CLIENT_RETENTION);
        let found = self.clients.binary_search_by(|c| c.name.cmp(&report.name));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let client = Client {
                    name: Arc::clone(&report.name),
                    incarnation: report.incarnation,
                    seq: 0,
                    session: report.session,
                    last_seen: now,
                    represented: 0,
                    held: Vec::new(),
                };
                self.clients.insert(at, client);
                at
            }
        };
        let client = &mut self.clients[at];
        if client.incarnation != report.incarnation {
            client.incarnation = report.incarnation;
            client.held.clear();
            client.seq = 0;
        }
        if report.seq <= client.seq {
            return None;
        }
        if client.session != report.session {
            client.session = report.session;
            client.held.clear();
        }
        client.seq = report.seq;
        client.last_seen = now;
        client.represented = report.represented;
        for need in &report.needs {
            client.update(need);
        }
        (report.pool_incarnation == life).then_some(at)
    }

    /// Instances whose parts are filled here.
    pub fn represented(&self, now: Time) -> u32 {
        let here = self.clients.iter().filter(|c| c.is_live(now));
        here.map(|c| c.represented).sum()
    }

    /// The same as a part of all.
    #[allow(clippy::cast_precision_loss, reason = "instances are few")]
    pub fn fraction(&self, now: Time, count: usize) -> f64 {
        let here = f64::from(self.represented(now));
        here / (count as f64).max(here).max(1.0)
    }

    /// What all that report here hold and need together of these teams' tokens.
    /// Some are wanted of each, or the first request of an idle team would have to
    /// wait for one from another region.
    pub fn needs(&self, now: Time, teams: impl Iterator<Item = u64>) -> Vec<Need> {
        let need = |team: u64| {
            let mut sum = Holding::default();
            for held in self.holdings(now, team) {
                sum.tokens += held.tokens;
                sum.wanted += held.wanted;
                sum.waiting += held.waiting;
            }
            let here = self.tokens(team);
            Need {
                team,
                held: saturating_u32((sum.tokens + here).ceil()),
                received: 0,
                wanted: saturating_u32(
                    (sum.wanted.max(IDLE_TOKENS_WANTED) * WANTED_UNITS_PER_TOKEN).ceil(),
                ),
                waiting: saturating_u32((sum.waiting - here).max(0.0).ceil()),
            }
        };
        teams.map(need).collect()
    }

    /// Fills a team's bucket by its rate, for this part of the instances.
    pub fn refill(&mut self, now: Time, team: u64, part: f64, terms: &Terms) {
        let out = self.outstanding(now, team);
        let began = self.active_since.unwrap_or(now);
        let bucket = self.bucket(team, began, part);
        let span = now.since(bucket.filled_at).as_secs_f64();
        let filled = bucket.tokens + terms.rate * bucket.fraction.min(part) * span;
        bucket.tokens = filled.min((terms.capacity * part - out).max(0.0));
        bucket.filled_at = now;
        bucket.fraction = part;
    }

    /// Adds tokens to a team's bucket. All that are here and at those who report.
    pub fn deposit(&mut self, now: Time, team: u64, tokens: f64) -> f64 {
        let out = self.outstanding(now, team);
        let bucket = self.bucket(team, now, 0.0);
        bucket.tokens += tokens;
        bucket.filled_at = now;
        bucket.tokens + out
    }

    /// Hands out tokens for what is needed, of `capacity` in all; `rate` come in a
    /// second.
    pub fn grant(
        &mut self,
        now: Time,
        at: usize,
        need: &Need,
        (level, capacity, rate): (Level, f64, f64),
    ) -> TeamGrant {
        let wanted: f64 = self.holdings(now, need.team).map(|held| held.wanted).sum();
        let want = f64::from(need.wanted) / WANTED_UNITS_PER_TOKEN;
        let reserve = capacity * reserve_ratio(level);
        // Where less is there than all want, each gets its part of it; what nobody
        // wants is spread over all, or the first requests of a team that was idle
        // would have to wait.
        let rest = (capacity - reserve - wanted).max(0.0);
        let spread = rest / f64::from(self.represented(now).max(1))
            * f64::from(self.clients[at].represented);
        let fair = want * ((capacity - reserve) / wanted.max(1.0)).min(1.0) + spread;
        let here = self.tokens(need.team);
        let held = self.clients[at].ensure(need.team);
        let ahead = (fair - held.tokens).min(here - reserve);
        let new = ahead.max(held.waiting.min(here)).max(0.0);
        let new = (new + ROUNDING_SLACK).floor();
        held.tokens += new;
        held.waiting = (held.waiting - new).max(0.0);
        held.granted = held.granted.saturating_add(saturating_u32(new));
        let (total, unmet) = (held.granted, held.waiting);
        if let Ok(at) = self.find(need.team) {
            self.buckets[at].tokens -= new;
        }
        let share = rate * want / wanted.max(want).max(1.0);
        TeamGrant {
            team: need.team,
            total,
            held_max: saturating_u32(fair.ceil()).saturating_add(1),
            rate_milli: saturating_u32(share * 1000.0),
            is_exhausted: unmet >= 1.0,
        }
    }

    /// Drops what is here of a team's tokens beyond what may be held in all.
    pub fn trim(&mut self, now: Time, team: u64, keep: u32) {
        let room = (f64::from(keep) - self.outstanding(now, team)).max(0.0);
        if let Ok(at) = self.find(team) {
            let bucket = &mut self.buckets[at];
            bucket.tokens = bucket.tokens.min(room);
        }
    }

    /// Whether less is left here than is kept for requests that wait.
    pub fn is_low(&self, team: u64, capacity: f64) -> bool {
        self.tokens(team) < capacity * REGION_RESERVE_RATIO
    }

    /// Tokens at those who report, and on the way there.
    fn outstanding(&self, now: Time, team: u64) -> f64 {
        self.holdings(now, team).map(|held| held.tokens).sum()
    }

    fn holdings(&self, now: Time, team: u64) -> impl Iterator<Item = &Holding> {
        let here = move |c: &&Client| c.is_live(now);
        self.clients.iter().filter(here).filter_map(move |c| {
            let found = c.held.binary_search_by_key(&team, |held| held.team);
            found.ok().map(|at| &c.held[at])
        })
    }

    fn tokens(&self, team: u64) -> f64 {
        self.find(team).map_or(0.0, |at| self.buckets[at].tokens)
    }

    fn find(&self, team: u64) -> Result<usize, usize> {
        self.buckets.binary_search_by_key(&team, |b| b.team)
    }

    fn bucket(&mut self, team: u64, filled: Time, part: f64) -> &mut Bucket {
        let at = match self.find(team) {
            Ok(at) => at,
            Err(at) => {
                let bucket = Bucket {
                    team,
                    tokens: 0.0,
                    filled_at: filled,
                    fraction: part,
                };
                self.buckets.insert(at, bucket);
                at
            }
        };
        &mut self.buckets[at]
    }
}

const fn reserve_ratio(level: Level) -> f64 {
    match level {
        Level::Region => REGION_RESERVE_RATIO,
        Level::Fleet => FLEET_RESERVE_RATIO,
    }
}

impl Client {
    fn is_live(&self, now: Time) -> bool {
        now.since(self.last_seen) < REPORT_TIMEOUT
    }

    /// Notes what it says it holds.
    fn update(&mut self, need: &Need) {
        let held = self.ensure(need.team);
        let coming = held.granted.saturating_sub(need.received);
        held.tokens = f64::from(need.held) + f64::from(coming);
        held.wanted = f64::from(need.wanted) / WANTED_UNITS_PER_TOKEN;
        held.waiting = f64::from(need.waiting.saturating_sub(coming));
    }

    fn ensure(&mut self, team: u64) -> &mut Holding {
        let at = match self.held.binary_search_by_key(&team, |held| held.team) {
            Ok(at) => at,
            Err(at) => {
                let held = Holding {
                    team,
                    ..Holding::default()
                };
                self.held.insert(at, held);
                at
            }
        };
        &mut self.held[at]
    }
}
