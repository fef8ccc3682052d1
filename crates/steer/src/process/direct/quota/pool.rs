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

use super::message::{Given, Level, Need, PARTS, Report, whole};
use crate::clock::Time;

/// Time without a report after which an instance fills its own part, or asks
/// another pool.
pub const HEARD: Duration = Duration::from_millis(1250);

/// Time for which what was handed out to a silent instance is remembered.
const KEPT: Duration = Duration::from_secs(30);

/// Part of what a region holds that stays with the instance that hands it out, for
/// requests that wait: it is a millisecond away from all of them.
const RESERVE_REGION: f64 = 0.4;

/// The same of the fleet's.
const RESERVE_FLEET: f64 = 0.1;

/// Tokens that a region holds of a team that sends nothing.
const IDLE: f64 = 2.0;

/// Tokens that sums of fractions may be short of a whole one.
const ROUNDING: f64 = 1e-6;

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
    life: u64,
    seq: u64,
    session: u64,
    heard: Time,
    counted: u32,
    /// Sorted by team.
    held: Vec<Held>,
}

/// One team's tokens at one instance.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    team: u64,
    /// Tokens there, and on the way there.
    tokens: f64,
    /// Handed out in this session.
    given: u32,
    want: f64,
    /// Tokens that requests wait for.
    urgent: f64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    team: u64,
    tokens: f64,
    filled: Time,
    /// Part of the instances for which it was filled last.
    part: f64,
}

/// All buckets.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Since when instances report here.
    began: Option<Time>,
    last: Time,
    /// Sorted by name.
    clients: Vec<Client>,
    /// Sorted by team.
    buckets: Vec<Bucket>,
}

impl Pool {
    /// Whether instances report here.
    pub fn is_asked(&self, now: Time) -> bool {
        self.began.is_some() && now.since(self.last) < HEARD
    }

    /// Notes a report; `None` if nothing can be given for it: it is older than one
    /// that was here, or doesn't count from this incarnation, `life`.
    pub fn hear(&mut self, now: Time, report: &Report, life: u64) -> Option<usize> {
        if !self.is_asked(now) {
            self.began = Some(now);
            self.buckets.clear();
        }
        self.last = now;
        self.clients.retain(|c| now.since(c.heard) < KEPT);
        let found = self.clients.binary_search_by(|c| c.name.cmp(&report.name));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let client = Client {
                    name: Arc::clone(&report.name),
                    life: report.life,
                    seq: 0,
                    session: report.session,
                    heard: now,
                    counted: 0,
                    held: Vec::new(),
                };
                self.clients.insert(at, client);
                at
            }
        };
        let client = &mut self.clients[at];
        if client.life != report.life {
            client.life = report.life;
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
        client.heard = now;
        client.counted = report.counted;
        for need in &report.needs {
            client.note(need);
        }
        (report.pool == life).then_some(at)
    }

    /// Instances whose parts are filled here.
    pub fn count(&self, now: Time) -> u32 {
        let here = self.clients.iter().filter(|c| c.is_here(now));
        here.map(|c| c.counted).sum()
    }

    /// The same as a part of all.
    #[allow(clippy::cast_precision_loss, reason = "instances are few")]
    pub fn part(&self, now: Time, count: usize) -> f64 {
        let here = f64::from(self.count(now));
        here / (count as f64).max(here).max(1.0)
    }

    /// What all that report here hold and need together of these teams' tokens.
    /// Some are wanted of each, or the first request of an idle team would have to
    /// wait for one from another region.
    pub fn needs(&self, now: Time, teams: impl Iterator<Item = u64>) -> Vec<Need> {
        let need = |team: u64| {
            let mut sum = Held::default();
            for held in self.held(now, team) {
                sum.tokens += held.tokens;
                sum.want += held.want;
                sum.urgent += held.urgent;
            }
            let here = self.tokens(team);
            Need {
                team,
                held: whole((sum.tokens + here).ceil()),
                received: 0,
                want: whole((sum.want.max(IDLE) * PARTS).ceil()),
                urgent: whole((sum.urgent - here).max(0.0).ceil()),
            }
        };
        teams.map(need).collect()
    }

    /// Fills a team's bucket by its rate, for this part of the instances.
    pub fn accrue(&mut self, now: Time, team: u64, part: f64, terms: &Terms) {
        let out = self.out(now, team);
        let began = self.began.unwrap_or(now);
        let bucket = self.bucket(team, began, part);
        let span = now.since(bucket.filled).as_secs_f64();
        let filled = bucket.tokens + terms.rate * bucket.part.min(part) * span;
        bucket.tokens = filled.min((terms.capacity * part - out).max(0.0));
        bucket.filled = now;
        bucket.part = part;
    }

    /// Adds tokens to a team's bucket. All that are here and at those who report.
    pub fn add(&mut self, now: Time, team: u64, tokens: f64) -> f64 {
        let out = self.out(now, team);
        let bucket = self.bucket(team, now, 0.0);
        bucket.tokens += tokens;
        bucket.filled = now;
        bucket.tokens + out
    }

    /// Hands out tokens for what is needed, of `capacity` in all; `rate` come in a
    /// second.
    pub fn give(
        &mut self,
        now: Time,
        at: usize,
        need: &Need,
        (level, capacity, rate): (Level, f64, f64),
    ) -> Given {
        let wanted: f64 = self.held(now, need.team).map(|held| held.want).sum();
        let want = f64::from(need.want) / PARTS;
        let reserve = capacity * reserve(level);
        // Where less is there than all want, each gets its part of it; what nobody
        // wants is spread over all, or the first requests of a team that was idle
        // would have to wait.
        let rest = (capacity - reserve - wanted).max(0.0);
        let spread = rest / f64::from(self.count(now).max(1)) * f64::from(self.clients[at].counted);
        let fair = want * ((capacity - reserve) / wanted.max(1.0)).min(1.0) + spread;
        let here = self.tokens(need.team);
        let held = self.clients[at].ensure(need.team);
        let ahead = (fair - held.tokens).min(here - reserve);
        let new = ahead.max(held.urgent.min(here)).max(0.0);
        let new = (new + ROUNDING).floor();
        held.tokens += new;
        held.urgent = (held.urgent - new).max(0.0);
        held.given = held.given.saturating_add(whole(new));
        let (total, unmet) = (held.given, held.urgent);
        if let Ok(at) = self.find(need.team) {
            self.buckets[at].tokens -= new;
        }
        let share = rate * want / wanted.max(want).max(1.0);
        Given {
            team: need.team,
            total,
            keep: whole(fair.ceil()).saturating_add(1),
            share: whole(share * 1000.0),
            dry: unmet >= 1.0,
        }
    }

    /// Drops what is here of a team's tokens beyond what may be held in all.
    pub fn trim(&mut self, now: Time, team: u64, keep: u32) {
        let room = (f64::from(keep) - self.out(now, team)).max(0.0);
        if let Ok(at) = self.find(team) {
            let bucket = &mut self.buckets[at];
            bucket.tokens = bucket.tokens.min(room);
        }
    }

    /// Whether less is left here than is kept for requests that wait.
    pub fn is_low(&self, team: u64, capacity: f64) -> bool {
        self.tokens(team) < capacity * RESERVE_REGION
    }

    /// Tokens at those who report, and on the way there.
    fn out(&self, now: Time, team: u64) -> f64 {
        self.held(now, team).map(|held| held.tokens).sum()
    }

    fn held(&self, now: Time, team: u64) -> impl Iterator<Item = &Held> {
        let here = move |c: &&Client| c.is_here(now);
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
                    filled,
                    part,
                };
                self.buckets.insert(at, bucket);
                at
            }
        };
        &mut self.buckets[at]
    }
}

const fn reserve(level: Level) -> f64 {
    match level {
        Level::Region => RESERVE_REGION,
        Level::Fleet => RESERVE_FLEET,
    }
}

impl Client {
    fn is_here(&self, now: Time) -> bool {
        now.since(self.heard) < HEARD
    }

    /// Notes what it says it holds.
    fn note(&mut self, need: &Need) {
        let held = self.ensure(need.team);
        let coming = held.given.saturating_sub(need.received);
        held.tokens = f64::from(need.held) + f64::from(coming);
        held.want = f64::from(need.want) / PARTS;
        held.urgent = f64::from(need.urgent.saturating_sub(coming));
    }

    fn ensure(&mut self, team: u64) -> &mut Held {
        let at = match self.held.binary_search_by_key(&team, |held| held.team) {
            Ok(at) => at,
            Err(at) => {
                let held = Held {
                    team,
                    ..Held::default()
                };
                self.held.insert(at, held);
                at
            }
        };
        &mut self.held[at]
    }
}
