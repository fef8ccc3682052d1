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

use super::message::{
    Grant, Level, Need, Report, WANTED_UNITS_PER_TOKEN, saturating_u32, team_hash,
};
use super::pool;
use crate::clock::Time;

/// Seconds of requests that tokens are held for.
const PREFETCH_SECONDS: f64 = 1.5;

/// Time over which the rate of requests is averaged, in seconds.
const RATE_AVERAGE_SECONDS: f64 = 4.0;

/// Requests a second below which no tokens are held.
const IDLE_RATE_MAX: f64 = 0.05;

/// Time without a word of a pool after which an instance fills its own part.
const POOL_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time that a request waits for a token: a few times what a question
/// across regions takes.
const WAIT_TIMEOUT: Duration = Duration::from_millis(300);

/// Seconds until the next token up to which a request waits for it though none are
/// left.
const NEXT_TOKEN_WAIT_SECONDS: f64 = 0.05;

/// Time for which "none left" is believed.
const EXHAUSTED_TTL: Duration = Duration::from_millis(300);

/// Age up to which a request that didn't run gives its token back. Later ones
/// count for another window.
const REFUND_AGE_MAX: Duration = Duration::from_secs(1);

/// What is held or wanted is told when it has changed by more than one part in so
/// many.
const REPORT_CHANGE_DIVISOR: u32 = 3;

/// Every how many reports tell of all teams.
const FULL_REPORT_PERIOD: u64 = 8;

/// Teams named in one report: what fits a datagram.
pub const REPORT_TEAMS_MAX: usize = 60;

/// Shortest and longest time after which a caller over its quota may return.
const RETRY_AFTER_MIN_SECONDS: f64 = 0.2;
const RETRY_AFTER_MAX_SECONDS: f64 = 2.0;

/// This instance's part of a bucket while it hears no pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalShare {
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
pub struct DrainedTokens {
    /// Tokens.
    pub tokens: f64,
    /// Tokens that come in a second.
    pub rate: f64,
    /// Whether none are left where they come from.
    pub is_exhausted: bool,
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
    refusals: u32,
    /// When the pool last said that it has none left.
    exhausted_at: Option<Time>,
    /// Tokens a second that come from the pool.
    supply_rate: f64,
    /// When this instance last filled its own part.
    filled_at: Option<Time>,
    /// Tokens held and wanted as last told in this session.
    reported: Option<(u32, u32)>,
}

/// All tokens of an instance.
#[derive(Clone, Debug, Default)]
pub struct TokenCache {
    /// Sorted by mark.
    accounts: Vec<Account>,
    /// Incarnation of the pool that tokens come from; 0 while none is known.
    pool_incarnation: u64,
    session: u64,
    /// When another pool was last chosen in place of one that was heard.
    switched_at: Option<Time>,
    /// When a pool was last heard.
    last_grant: Option<Time>,
    /// Last report.
    last_report: Option<Time>,
    report_seq: u64,
    /// Where the next report begins.
    report_cursor: usize,
}

impl TokenCache {
    /// Takes a token for a request of this team; `first`: whether it has just
    /// come. It arrived at `arrived`. Without a pool, tokens come by this instance's
    /// own `share`.
    pub fn take(
        &mut self,
        now: Time,
        team: &str,
        first: bool,
        arrived: Time,
        share: Option<LocalShare>,
    ) -> Verdict {
        let account = self.account(team_hash(team));
        account.arrived += u32::from(first);
        match share {
            Some(share) => account.fill(now, share),
            None => account.filled_at = None,
        }
        if account.tokens >= 1.0 {
            account.tokens -= 1.0;
            account.refusals = 0;
            return Verdict::Admitted;
        }
        let dry = account.is_exhausted(now);
        let rate = share.map_or(account.supply_rate, |share| share.rate);
        let next = f64::from(account.refusals + 1) / rate.max(f64::EPSILON);
        let patient = now.since(arrived) < WAIT_TIMEOUT;
        if patient && share.is_none() && (!dry || next < NEXT_TOKEN_WAIT_SECONDS) {
            return Verdict::Wait;
        }
        account.refusals += 1;
        let after = next.clamp(RETRY_AFTER_MIN_SECONDS, RETRY_AFTER_MAX_SECONDS);
        Verdict::Refused(Duration::from_secs_f64(after))
    }

    /// A token of a request that arrived `since` ago and hasn't run.
    pub fn put_back(&mut self, team: &str, since: Duration) {
        if since < REFUND_AGE_MAX {
            self.account(team_hash(team)).tokens += 1.0;
        }
    }

    /// Keeps this part of a team's tokens: its quota was lowered.
    pub fn scale(&mut self, team: &str, part: f64) {
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
        if self.last_grant.is_some() {
            self.switched_at = Some(now);
        }
        self.begin_session(0);
    }

    /// The pool that was asked before no longer counts this instance.
    pub const fn note_release(&mut self) {
        self.switched_at = None;
    }

    /// Tells a pool that it is no longer asked.
    pub fn final_report(&mut self, name: Arc<str>, life: u64, level: Level) -> Report {
        self.report_seq += 1;
        Report {
            name,
            incarnation: life,
            seq: self.report_seq,
            level,
            pool_incarnation: 0,
            session: 0,
            represented: 0,
            needs: Vec::new(),
        }
    }

    /// Begins to count what comes from this incarnation of a pool.
    fn begin_session(&mut self, pool: u64) {
        self.pool_incarnation = pool;
        self.session += 1;
        for account in &mut self.accounts {
            account.received = 0;
            account.exhausted_at = None;
            account.reported = None;
        }
    }

    /// What to tell the pool; `waiting` are the teams of requests that wait for a
    /// token.
    pub fn report(&mut self, now: Time, name: Arc<str>, life: u64, waiting: &[u64]) -> Report {
        let span = self
            .last_report
            .map_or(RATE_AVERAGE_SECONDS, |at| now.since(at).as_secs_f64());
        self.last_report = Some(now);
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
        self.report_seq += 1;
        let settled = self
            .switched_at
            .is_none_or(|at| now.since(at) >= pool::REPORT_TIMEOUT);
        let counted = !self.is_without_pool(now) && settled;
        let whole = self.report_seq.is_multiple_of(FULL_REPORT_PERIOD);
        // In turn, so that all are told where a report can't name them all.
        let start = self.report_cursor.min(all.len());
        let mut left_out = None;
        let mut needs = Vec::new();
        for (at, need) in all
            .iter()
            .enumerate()
            .skip(start)
            .chain(all.iter().enumerate().take(start))
        {
            let account = self.account(need.team);
            let due = need.waiting > 0 || account.is_changed(need, whole);
            if due && needs.len() < REPORT_TEAMS_MAX {
                account.reported = Some((need.held, need.wanted));
                needs.push(Need {
                    received: account.received,
                    ..*need
                });
            } else if due {
                left_out.get_or_insert(at);
            }
        }
        self.report_cursor = left_out.unwrap_or_default();
        Report {
            name,
            incarnation: life,
            seq: self.report_seq,
            level: Level::Region,
            pool_incarnation: self.pool_incarnation,
            session: self.session,
            represented: if counted { count } else { 0 },
            needs,
        }
    }

    /// Takes out a team's whole tokens.
    pub fn drain(&mut self, now: Time, team: u64) -> DrainedTokens {
        let account = self.account(team);
        let tokens = account.tokens.floor();
        account.tokens -= tokens;
        DrainedTokens {
            tokens,
            rate: account.supply_rate,
            is_exhausted: account.is_exhausted(now),
        }
    }

    /// Takes what the pool hands out. Says whether it has to be asked anew: this
    /// incarnation of it wasn't known.
    pub fn receive(&mut self, now: Time, grant: &Grant) -> bool {
        if self.session != grant.session {
            return false;
        }
        self.last_grant = Some(now);
        if self.pool_incarnation != grant.incarnation {
            self.begin_session(grant.incarnation);
            return true;
        }
        for given in &grant.grants {
            let account = self.account(given.team);
            let new = given.total.saturating_sub(account.received);
            account.received += new;
            account.tokens += f64::from(new);
            account.tokens = account.tokens.min(f64::from(given.held_max.max(new)));
            account.supply_rate = f64::from(given.rate_milli) / 1000.0;
            account.exhausted_at = given.is_exhausted.then_some(now);
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
    pub fn is_without_pool(&self, now: Time) -> bool {
        now.since(self.last_grant.unwrap_or(Time::ZERO)) >= POOL_SILENCE_TIMEOUT
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
    fn is_exhausted(&self, now: Time) -> bool {
        self.exhausted_at
            .is_some_and(|at| now.since(at) < EXHAUSTED_TTL)
    }

    /// Whether what is held or wanted differs from what was told by enough to tell
    /// it; `whole`: whether by anything.
    fn is_changed(&self, need: &Need, whole: bool) -> bool {
        let Some((held, want)) = self.reported else {
            return true;
        };
        let drift = |new: u32, old: u32| new.abs_diff(old) * REPORT_CHANGE_DIVISOR > new.max(old);
        let low = f64::from(need.held) * WANTED_UNITS_PER_TOKEN * 2.0 < f64::from(need.wanted);
        let changed = need.held != held || need.wanted != want;
        changed && (whole || low || drift(need.held, held) || drift(need.wanted, want))
    }

    /// Fills this instance's own part of the bucket.
    fn fill(&mut self, now: Time, share: LocalShare) {
        let span = self.filled_at.map_or(Duration::ZERO, |at| now.since(at));
        self.filled_at = Some(now);
        let filled = self.tokens + share.rate * span.as_secs_f64();
        self.tokens = filled.min(share.capacity);
    }

    /// What is told of it after `span` seconds; tokens beyond what is wanted are
    /// dropped, so that the pool can hand out others.
    fn need(&mut self, span: f64, urgent: u32) -> Need {
        let weight = (span / RATE_AVERAGE_SECONDS).min(1.0);
        let rate = f64::from(self.arrived) / span.max(0.001);
        self.rate += (rate - self.rate) * weight;
        self.arrived = 0;
        let expected = if self.rate < IDLE_RATE_MAX {
            0.0
        } else {
            self.rate * PREFETCH_SECONDS
        };
        // Requests come by chance, so some more than are expected.
        let want = expected + expected.sqrt();
        Need {
            team: self.team,
            held: saturating_u32(self.tokens.ceil()),
            received: 0,
            wanted: saturating_u32((want * WANTED_UNITS_PER_TOKEN).ceil()),
            waiting: urgent,
        }
    }
}
