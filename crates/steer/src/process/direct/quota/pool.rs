//! Pool that hands out tokens of all teams to instances, or to the pools of regions.
//!
//! Its state is rebuilt from the reports of its clients, so a pool that takes over
//! needs nothing from its predecessor, and a restart loses only the tokens not yet
//! handed out.
//!
//! Invariant: a bucket is filled only for the fraction of instances that report here.
//! Tokens that clients hold by their last report, and those in transit to them, count
//! against its capacity.

use core::time::Duration;
use std::sync::Arc;

use super::message::{Level, Need, Report, TeamGrant, WANTED_UNITS_PER_TOKEN, saturating_u32};
use crate::clock::Time;

/// Time without a report after which a client counts as silent, and with it a pool as
/// unused.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(1250);

/// Time for which the tokens granted to a silent client are remembered.
const CLIENT_RETENTION: Duration = Duration::from_secs(30);

/// Fraction of a region's tokens that its pool keeps for requests that wait; it is a
/// millisecond away from all instances there.
const REGION_RESERVE_RATIO: f64 = 0.4;

/// Fraction of the fleet's tokens that its pool keeps for requests that wait.
const FLEET_RESERVE_RATIO: f64 = 0.1;

/// Tokens that a region wants for a team that sends nothing.
const IDLE_TOKENS_WANTED: f64 = 2.0;

/// Shortfall of a sum of fractions that still counts as a whole token.
const ROUNDING_SLACK: f64 = 1e-6;

/// Rate and capacity of a team's bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Refill rate in tokens a second.
    pub rate: f64,
    /// Capacity in tokens.
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
    /// Sorted by team hash.
    held: Vec<Holding>,
}

/// Tokens of one team at one client.
#[derive(Clone, Copy, Debug, Default)]
struct Holding {
    team: u64,
    /// Tokens held there and in transit to it.
    tokens: f64,
    /// Tokens granted in this session.
    granted: u32,
    wanted: f64,
    /// Requests that wait for a token.
    waiting: f64,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    team: u64,
    tokens: f64,
    filled_at: Time,
    /// Fraction of the instances that it was last filled for.
    fraction: f64,
}

/// Buckets of all teams, and the clients that draw from them.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Start of the time in which clients have reported without a gap.
    active_since: Option<Time>,
    last_report: Time,
    /// Sorted by name.
    clients: Vec<Client>,
    /// Sorted by team hash.
    buckets: Vec<Bucket>,
}

impl Pool {
    /// Returns whether clients report here.
    pub fn is_active(&self, now: Time) -> bool {
        self.active_since.is_some() && now.since(self.last_report) < REPORT_TIMEOUT
    }

    /// Records a report and returns the client's index; `None` if nothing may be
    /// granted for it, because it is older than the last one or its counts refer to an
    /// incarnation of the pool other than `incarnation`.
    pub fn note_report(&mut self, now: Time, report: &Report, incarnation: u64) -> Option<usize> {
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
        (report.pool_incarnation == incarnation).then_some(at)
    }

    /// Number of instances for which buckets are filled here.
    pub fn represented(&self, now: Time) -> u32 {
        let live = self.clients.iter().filter(|c| c.is_live(now));
        live.map(|c| c.represented).sum()
    }

    /// Fraction of all `count` instances for which buckets are filled here.
    #[allow(clippy::cast_precision_loss, reason = "instances are few")]
    pub fn fraction(&self, now: Time, count: usize) -> f64 {
        let live = f64::from(self.represented(now));
        live / (count as f64).max(live).max(1.0)
    }

    /// Sums what the clients and this pool hold and need of these teams' tokens. At
    /// least a few are wanted for each team; otherwise the first request of an idle
    /// team would wait for another region.
    pub fn needs(&self, now: Time, teams: impl Iterator<Item = u64>) -> Vec<Need> {
        let need = |team: u64| {
            let mut sum = Holding::default();
            for held in self.holdings(now, team) {
                sum.tokens += held.tokens;
                sum.wanted += held.wanted;
                sum.waiting += held.waiting;
            }
            let available = self.tokens(team);
            Need {
                team,
                held: saturating_u32((sum.tokens + available).ceil()),
                received: 0,
                wanted: saturating_u32(
                    (sum.wanted.max(IDLE_TOKENS_WANTED) * WANTED_UNITS_PER_TOKEN).ceil(),
                ),
                waiting: saturating_u32((sum.waiting - available).max(0.0).ceil()),
            }
        };
        teams.map(need).collect()
    }

    /// Refills a team's bucket at its rate, for this fraction of the instances.
    pub fn refill(&mut self, now: Time, team: u64, fraction: f64, terms: &Terms) {
        let outstanding = self.outstanding(now, team);
        let active_since = self.active_since.unwrap_or(now);
        let bucket = self.bucket(team, active_since, fraction);
        let span = now.since(bucket.filled_at).as_secs_f64();
        let filled = bucket.tokens + terms.rate * bucket.fraction.min(fraction) * span;
        bucket.tokens = filled.min((terms.capacity * fraction - outstanding).max(0.0));
        bucket.filled_at = now;
        bucket.fraction = fraction;
    }

    /// Adds tokens to a team's bucket; returns the tokens here and at the clients
    /// together.
    pub fn deposit(&mut self, now: Time, team: u64, tokens: f64) -> f64 {
        let outstanding = self.outstanding(now, team);
        let bucket = self.bucket(team, now, 0.0);
        bucket.tokens += tokens;
        bucket.filled_at = now;
        bucket.tokens + outstanding
    }

    /// Grants tokens for `need`. `capacity` is the most that may be held in all, `rate`
    /// the supply in tokens a second.
    pub fn grant(
        &mut self,
        now: Time,
        at: usize,
        need: &Need,
        (level, capacity, rate): (Level, f64, f64),
    ) -> TeamGrant {
        let total_wanted: f64 = self.holdings(now, need.team).map(|held| held.wanted).sum();
        let client_wanted = f64::from(need.wanted) / WANTED_UNITS_PER_TOKEN;
        let reserve = capacity * reserve_ratio(level);
        // If clients want more than there is, each gets a proportional part. Tokens
        // that no client wants are spread over all; otherwise the first requests of an
        // idle team would wait.
        let unwanted = (capacity - reserve - total_wanted).max(0.0);
        let extra = unwanted / f64::from(self.represented(now).max(1))
            * f64::from(self.clients[at].represented);
        let fair_share =
            client_wanted * ((capacity - reserve) / total_wanted.max(1.0)).min(1.0) + extra;
        let available = self.tokens(need.team);
        let held = self.clients[at].ensure(need.team);
        let ahead = (fair_share - held.tokens).min(available - reserve);
        let granted = ahead.max(held.waiting.min(available)).max(0.0);
        let granted = (granted + ROUNDING_SLACK).floor();
        held.tokens += granted;
        held.waiting = (held.waiting - granted).max(0.0);
        held.granted = held.granted.saturating_add(saturating_u32(granted));
        let (total, unmet) = (held.granted, held.waiting);
        if let Ok(at) = self.find(need.team) {
            self.buckets[at].tokens -= granted;
        }
        let supply_rate = rate * client_wanted / total_wanted.max(client_wanted).max(1.0);
        TeamGrant {
            team: need.team,
            total,
            held_max: saturating_u32(fair_share.ceil()).saturating_add(1),
            rate_milli: saturating_u32(supply_rate * 1000.0),
            is_exhausted: unmet >= 1.0,
        }
    }

    /// Drops tokens of a team here that exceed the total that may be held.
    pub fn trim(&mut self, now: Time, team: u64, held_max: u32) {
        let room = (f64::from(held_max) - self.outstanding(now, team)).max(0.0);
        if let Ok(at) = self.find(team) {
            let bucket = &mut self.buckets[at];
            bucket.tokens = bucket.tokens.min(room);
        }
    }

    /// Returns whether fewer tokens are left here than are kept for requests that wait.
    pub fn is_low(&self, team: u64, capacity: f64) -> bool {
        self.tokens(team) < capacity * REGION_RESERVE_RATIO
    }

    /// Tokens at the clients and in transit to them.
    fn outstanding(&self, now: Time, team: u64) -> f64 {
        self.holdings(now, team).map(|held| held.tokens).sum()
    }

    fn holdings(&self, now: Time, team: u64) -> impl Iterator<Item = &Holding> {
        let live = move |c: &&Client| c.is_live(now);
        self.clients.iter().filter(live).filter_map(move |c| {
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

    fn bucket(&mut self, team: u64, filled_at: Time, fraction: f64) -> &mut Bucket {
        let at = match self.find(team) {
            Ok(at) => at,
            Err(at) => {
                let bucket = Bucket {
                    team,
                    tokens: 0.0,
                    filled_at,
                    fraction,
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

    /// Updates the tokens of a team by the client's report.
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
