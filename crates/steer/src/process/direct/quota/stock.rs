//! Tokens that this instance holds, by team.
//!
//! Tokens are held for about a second of what was asked lately, so that most
//! requests are admitted without a word to anyone and go on for a while when the
//! pool is lost.
//!
//! Invariant: a request is admitted against a token that this instance was given
//! or, while it hears no pool, has filled itself at its part of the rate.

use core::time::Duration;
use std::sync::Arc;

use super::message::{Grant, Level, Need, PARTS, Report, team_hash, whole};
use super::pool;
use crate::clock::Time;

/// Seconds of requests that tokens are held for.
const HORIZON: f64 = 1.5;

/// Time over which the rate of requests is averaged, in seconds.
const AVERAGE: f64 = 4.0;

/// Requests a second below which no tokens are held.
const IDLE: f64 = 0.05;

/// Time without a word of a pool after which an instance fills its own part.
const ALONE: Duration = Duration::from_secs(1);

/// Longest time that a request waits for a token: a few times what a question
/// across regions takes.
const WAIT: Duration = Duration::from_millis(300);

/// Seconds until the next token up to which a request waits for it though none are
/// left.
const SOON: f64 = 0.05;

/// Time for which "none left" is believed.
const DRY: Duration = Duration::from_millis(300);

/// Age up to which a request that didn't run gives its token back. Later ones
/// count for another window.
const RETURN: Duration = Duration::from_secs(1);

/// What is held or wanted is told when it has changed by more than one part in so
/// many.
const DRIFT: u32 = 3;

/// Every how many reports tell of all teams.
const WHOLE: u64 = 8;

/// Teams named in one report: what fits a datagram.
pub const TEAMS_MOST: usize = 60;

/// Shortest and longest time after which a caller over its quota may return.
const AFTER_LEAST: f64 = 0.2;
const AFTER_MOST: f64 = 2.0;

/// This instance's part of a bucket while it hears no pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Tokens.
    pub capacity: f64,
    /// Tokens a second.
    pub rate: f64,
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has taken a token.
    Admitted,
    /// It waits for one.
    Wait,
    /// Its team is over its quota; a token may be there after this time.
    Refused(Duration),
}

/// What has come of a team's tokens.
#[derive(Clone, Copy, Debug)]
pub struct Drained {
    /// Tokens.
    pub tokens: f64,
    /// Tokens that come in a second.
    pub rate: f64,
    /// Whether none are left where they come from.
    pub dry: bool,
}

#[derive(Clone, Debug, Default)]
struct Account {
    team: u64,
    tokens: f64,
    /// Tokens that came from the present pool in all.
    received: u32,
    /// Requests since the last report.
    arrived: u32,
    /// Requests a second.
    rate: f64,
    /// Requests refused in a row.
    refused: u32,
    /// When the pool last said that it has none left.
    dry: Option<Time>,
    /// Tokens a second that come from the pool.
    share: f64,
    /// When this instance last filled its own part.
    filled: Option<Time>,
    /// Tokens held and wanted as last told in this session.
    told: Option<(u32, u32)>,
}

/// All tokens of an instance.
#[derive(Clone, Debug, Default)]
pub struct Stock {
    /// Sorted by mark.
    accounts: Vec<Account>,
    /// Incarnation of the pool that tokens come from; 0 while none is known.
    pool: u64,
    session: u64,
    /// When another pool was last chosen in place of one that was heard.
    changed: Option<Time>,
    /// When a pool was last heard.
    heard: Option<Time>,
    /// Last report.
    told: Option<Time>,
    count: u64,
    /// Where the next report begins.
    next: usize,
}

impl Stock {
    /// Takes a token for a request of this team; `first`: whether it has just
    /// come. It arrived at `arrived`. Without a pool, tokens come by this instance's
    /// own `share`.
    pub fn take(
        &mut self,
        now: Time,
        team: &str,
        first: bool,
        arrived: Time,
        share: Option<Share>,
    ) -> Verdict {
        let account = self.account(team_hash(team));
        account.arrived += u32::from(first);
        match share {
            Some(share) => account.fill(now, share),
            None => account.filled = None,
        }
        if account.tokens >= 1.0 {
            account.tokens -= 1.0;
            account.refused = 0;
            return Verdict::Admitted;
        }
        let dry = account.is_dry(now);
        let rate = share.map_or(account.share, |share| share.rate);
        let next = f64::from(account.refused + 1) / rate.max(f64::EPSILON);
        let patient = now.since(arrived) < WAIT;
        if patient && share.is_none() && (!dry || next < SOON) {
            return Verdict::Wait;
        }
        account.refused += 1;
        let after = next.clamp(AFTER_LEAST, AFTER_MOST);
        Verdict::Refused(Duration::from_secs_f64(after))
    }

    /// A token of a request that arrived `since` ago and hasn't run.
    pub fn give_back(&mut self, team: &str, since: Duration) {
        if since < RETURN {
            self.account(team_hash(team)).tokens += 1.0;
        }
    }

    /// Keeps this part of a team's tokens: its quota was lowered.
    pub fn shrink(&mut self, team: &str, part: f64) {
        self.account(team_hash(team)).tokens *= part;
    }

    /// Keeps accounts of these teams, which are sorted, and no others.
    pub fn keep_teams(&mut self, teams: &[u64]) {
        self.accounts
            .retain(|a| teams.binary_search(&a.team).is_ok());
        for team in teams {
            self.account(*team);
        }
    }

    /// Another pool is asked from now on.
    pub fn change_pool(&mut self, now: Time) {
        if self.heard.is_some() {
            self.changed = Some(now);
        }
        self.begin_session(0);
    }

    /// The pool that was asked before no longer counts this instance.
    pub const fn released(&mut self) {
        self.changed = None;
    }

    /// Tells a pool that it is no longer asked.
    pub fn farewell(&mut self, name: Arc<str>, life: u64, level: Level) -> Report {
        self.count += 1;
        Report {
            name,
            life,
            seq: self.count,
            level,
            pool: 0,
            session: 0,
            counted: 0,
            needs: Vec::new(),
        }
    }

    /// Begins to count what comes from this incarnation of a pool.
    fn begin_session(&mut self, pool: u64) {
        self.pool = pool;
        self.session += 1;
        for account in &mut self.accounts {
            account.received = 0;
            account.dry = None;
            account.told = None;
        }
    }

    /// What to tell the pool; `waiting` are the teams of requests that wait for a
    /// token.
    pub fn report(&mut self, now: Time, name: Arc<str>, life: u64, waiting: &[u64]) -> Report {
        let span = self.told.map_or(AVERAGE, |at| now.since(at).as_secs_f64());
        self.told = Some(now);
        let need = |account: &mut Account| {
            let urgent = waiting.iter().filter(|team| **team == account.team).count();
            account.need(span, u32::try_from(urgent).unwrap_or(u32::MAX))
        };
        let needs: Vec<Need> = self.accounts.iter_mut().map(need).collect();
        self.report_for(now, name, life, &needs, 1)
    }

    /// The same for `count` instances that together need this, with what is held
    /// by all of them.
    pub fn report_for(
        &mut self,
        now: Time,
        name: Arc<str>,
        life: u64,
        all: &[Need],
        count: u32,
    ) -> Report {
        self.count += 1;
        let settled = self.changed.is_none_or(|at| now.since(at) >= pool::HEARD);
        let counted = !self.is_alone(now) && settled;
        let whole = self.count.is_multiple_of(WHOLE);
        // In turn, so that all are told where a report can't name them all.
        let start = self.next.min(all.len());
        let mut left_out = None;
        let mut needs = Vec::new();
        for (at, need) in all
            .iter()
            .enumerate()
            .skip(start)
            .chain(all.iter().enumerate().take(start))
        {
            let account = self.account(need.team);
            let due = need.urgent > 0 || account.is_news(need, whole);
            if due && needs.len() < TEAMS_MOST {
                account.told = Some((need.held, need.want));
                needs.push(Need {
                    received: account.received,
                    ..*need
                });
            } else if due {
                left_out.get_or_insert(at);
            }
        }
        self.next = left_out.unwrap_or_default();
        Report {
            name,
            life,
            seq: self.count,
            level: Level::Region,
            pool: self.pool,
            session: self.session,
            counted: if counted { count } else { 0 },
            needs,
        }
    }

    /// Takes out a team's whole tokens.
    pub fn drain(&mut self, now: Time, team: u64) -> Drained {
        let account = self.account(team);
        let tokens = account.tokens.floor();
        account.tokens -= tokens;
        Drained {
            tokens,
            rate: account.share,
            dry: account.is_dry(now),
        }
    }

    /// Takes what the pool hands out. Says whether it has to be asked anew: this
    /// incarnation of it wasn't known.
    pub fn receive(&mut self, now: Time, grant: &Grant) -> bool {
        if self.session != grant.session {
            return false;
        }
        self.heard = Some(now);
        if self.pool != grant.life {
            self.begin_session(grant.life);
            return true;
        }
        for given in &grant.given {
            let account = self.account(given.team);
            let new = given.total.saturating_sub(account.received);
            account.received += new;
            account.tokens += f64::from(new);
            account.tokens = account.tokens.min(f64::from(given.keep.max(new)));
            account.share = f64::from(given.share) / 1000.0;
            account.dry = given.dry.then_some(now);
        }
        false
    }

    /// A team's tokens, and requests a second.
    #[must_use]
    pub fn get(&self, team: u64) -> Option<(f64, f64)> {
        let found = self.accounts.binary_search_by_key(&team, |a| a.team);
        found
            .ok()
            .map(|at| (self.accounts[at].tokens, self.accounts[at].rate))
    }

    /// Whether no pool has been heard for a while.
    pub fn is_alone(&self, now: Time) -> bool {
        now.since(self.heard.unwrap_or(Time::ZERO)) >= ALONE
    }

    fn account(&mut self, team: u64) -> &mut Account {
        let at = match self.accounts.binary_search_by_key(&team, |a| a.team) {
            Ok(at) => at,
            Err(at) => {
                let new = Account {
                    team,
                    ..Account::default()
                };
                self.accounts.insert(at, new);
                at
            }
        };
        &mut self.accounts[at]
    }
}

impl Account {
    /// Whether the pool has said lately that none are left.
    fn is_dry(&self, now: Time) -> bool {
        self.dry.is_some_and(|at| now.since(at) < DRY)
    }

    /// Whether what is held or wanted differs from what was told by enough to tell
    /// it; `whole`: whether by anything.
    fn is_news(&self, need: &Need, whole: bool) -> bool {
        let Some((held, want)) = self.told else {
            return true;
        };
        let drift = |new: u32, old: u32| new.abs_diff(old) * DRIFT > new.max(old);
        let low = f64::from(need.held) * PARTS * 2.0 < f64::from(need.want);
        let changed = need.held != held || need.want != want;
        changed && (whole || low || drift(need.held, held) || drift(need.want, want))
    }

    /// Fills this instance's own part of the bucket.
    fn fill(&mut self, now: Time, share: Share) {
        let span = self.filled.map_or(Duration::ZERO, |at| now.since(at));
        self.filled = Some(now);
        let filled = self.tokens + share.rate * span.as_secs_f64();
        self.tokens = filled.min(share.capacity);
    }

    /// What is told of it after `span` seconds; tokens beyond what is wanted are
    /// dropped, so that the pool can hand out others.
    fn need(&mut self, span: f64, urgent: u32) -> Need {
        let weight = (span / AVERAGE).min(1.0);
        let rate = f64::from(self.arrived) / span.max(0.001);
        self.rate += (rate - self.rate) * weight;
        self.arrived = 0;
        let expected = if self.rate < IDLE {
            0.0
        } else {
            self.rate * HORIZON
        };
        // Requests come by chance, so some more than are expected.
        let want = expected + expected.sqrt();
        Need {
            team: self.team,
            held: whole(self.tokens.ceil()),
            received: 0,
            want: whole((want * PARTS).ceil()),
            urgent,
        }
    }
}
