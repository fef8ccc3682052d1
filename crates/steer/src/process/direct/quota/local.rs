//! Tokens that this instance holds for each team.
//!
//! It holds tokens for the requests of about a second ahead, so most requests are
//! admitted without a message, and admission continues for a while when the pool is
//! lost.
//!
//! Invariant: a request is admitted only against a token that a pool granted or, while
//! no pool answers, that this instance filled at its own fraction of the rate.

use core::time::Duration;
use std::sync::Arc;

use super::message::{
    Grant, Level, Need, Report, WANTED_UNITS_PER_TOKEN, saturating_u32, team_hash,
};
use super::pool;
use crate::clock::Time;

/// Seconds of expected requests that tokens are held for.
const PREFETCH_SECONDS: f64 = 1.5;

/// Time constant of the average rate of requests, in seconds.
const RATE_AVERAGE_SECONDS: f64 = 4.0;

/// Requests a second below which a team counts as idle and no tokens are held for it.
const IDLE_RATE_MAX: f64 = 0.05;

/// Time without a grant after which an instance fills its own fraction.
const POOL_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait of a request for a token; a few round trips between regions.
const WAIT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait until the next token, in seconds, that is worth waiting for while the
/// pool has none.
const NEXT_TOKEN_WAIT_SECONDS: f64 = 0.05;

/// Time for which a pool's report that it has no tokens left is believed.
const EXHAUSTED_TTL: Duration = Duration::from_millis(300);

/// Age up to which a request that did not run returns its token. A later token would
/// count in another window.
const REFUND_AGE_MAX: Duration = Duration::from_secs(1);

/// A change of tokens held or wanted by more than one part in this many is reported.
const REPORT_CHANGE_DIVISOR: u32 = 3;

/// One report in this many names every team with any change.
const FULL_REPORT_PERIOD: u64 = 8;

/// Teams named in one report; limited by the size of a datagram.
pub const REPORT_TEAMS_MAX: usize = 60;

/// Shortest and longest time after which a caller over its quota may retry, in seconds.
const RETRY_AFTER_MIN_SECONDS: f64 = 0.2;
const RETRY_AFTER_MAX_SECONDS: f64 = 2.0;

/// This instance's fraction of a bucket while no pool answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalShare {
    /// Capacity in tokens.
    pub capacity: f64,
    /// Refill rate in tokens a second.
    pub rate: f64,
}

/// Result of asking for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A token was taken.
    Admitted,
    /// The request waits for a token.
    Wait,
    /// The team is over its quota; a token may be available after this time.
    Refused(Duration),
}

/// Tokens taken out of a cache to be handed on.
#[derive(Clone, Copy, Debug)]
pub struct DrainedTokens {
    /// Number of whole tokens.
    pub tokens: f64,
    /// Supply in tokens a second.
    pub rate: f64,
    /// Whether the pool that supplies them reported that it has none left.
    pub is_exhausted: bool,
}

#[derive(Clone, Debug, Default)]
struct Account {
    team: u64,
    tokens: f64,
    /// Tokens received in this session.
    received: u32,
    /// Requests since the last report.
    arrived: u32,
    /// Average rate of requests a second.
    rate: f64,
    /// Requests refused since the last one admitted.
    refusals: u32,
    /// Time at which the pool last reported that it has none left.
    exhausted_at: Option<Time>,
    /// Supply from the pool, in tokens a second.
    supply_rate: f64,
    /// Time at which this instance last filled its own fraction.
    filled_at: Option<Time>,
    /// Tokens held and wanted as last reported in this session.
    reported: Option<(u32, u32)>,
}

/// Tokens of all teams at this instance.
#[derive(Clone, Debug, Default)]
pub struct TokenCache {
    /// Sorted by team hash.
    accounts: Vec<Account>,
    /// Incarnation of the pool that supplies tokens; 0 until it has answered.
    pool_incarnation: u64,
    session: u64,
    /// Time at which a pool that had answered was last replaced by another.
    switched_at: Option<Time>,
    /// Time of the last grant.
    last_grant: Option<Time>,
    /// Time of the last report.
    last_report: Option<Time>,
    report_seq: u64,
    /// Index of the team at which the next report begins.
    report_cursor: usize,
}

impl TokenCache {
    /// Takes a token for a request that arrived at `arrived`; `is_first` is set the first
    /// time a request asks. `share` is given while no pool answers: the account is then
    /// filled from it.
    pub fn take(
        &mut self,
        now: Time,
        team: &str,
        is_first: bool,
        arrived: Time,
        share: Option<LocalShare>,
    ) -> Verdict {
        let account = self.account(team_hash(team));
        account.arrived += u32::from(is_first);
        match share {
            Some(share) => account.fill(now, share),
            None => account.filled_at = None,
        }
        if account.tokens >= 1.0 {
            account.tokens -= 1.0;
            account.refusals = 0;
            return Verdict::Admitted;
        }
        let is_exhausted = account.is_exhausted(now);
        let rate = share.map_or(account.supply_rate, |share| share.rate);
        let next_token = f64::from(account.refusals + 1) / rate.max(f64::EPSILON);
        let may_wait = now.since(arrived) < WAIT_TIMEOUT;
        if may_wait && share.is_none() && (!is_exhausted || next_token < NEXT_TOKEN_WAIT_SECONDS) {
            return Verdict::Wait;
        }
        account.refusals += 1;
        let after = next_token.clamp(RETRY_AFTER_MIN_SECONDS, RETRY_AFTER_MAX_SECONDS);
        Verdict::Refused(Duration::from_secs_f64(after))
    }

    /// Returns the token of a request that arrived `since` ago and did not run.
    pub fn put_back(&mut self, team: &str, since: Duration) {
        if since < REFUND_AGE_MAX {
            self.account(team_hash(team)).tokens += 1.0;
        }
    }

    /// Scales a team's tokens to this fraction, as its quota was lowered.
    pub fn scale(&mut self, team: &str, fraction: f64) {
        self.account(team_hash(team)).tokens *= fraction;
    }

    /// Keeps the accounts of these teams, given sorted, and drops all others.
    pub fn keep_teams(&mut self, teams: &[u64]) {
        self.accounts
            .retain(|a| teams.binary_search(&a.team).is_ok());
        for team in teams {
            self.account(*team);
        }
    }

    /// Starts a session with another pool, whose incarnation is not known yet.
    pub fn change_pool(&mut self, now: Time) {
        if self.last_grant.is_some() {
            self.switched_at = Some(now);
        }
        self.begin_session(0);
    }

    /// Records that the former pool no longer counts this instance.
    pub const fn note_release(&mut self) {
        self.switched_at = None;
    }

    /// Report that tells a former pool that it is no longer used.
    pub fn final_report(&mut self, name: Arc<str>, incarnation: u64, level: Level) -> Report {
        self.report_seq += 1;
        Report {
            name,
            incarnation,
            seq: self.report_seq,
            level,
            pool_incarnation: 0,
            session: 0,
            represented: 0,
            needs: Vec::new(),
        }
    }

    /// Starts a new session with this incarnation of a pool.
    fn begin_session(&mut self, pool: u64) {
        self.pool_incarnation = pool;
        self.session += 1;
        for account in &mut self.accounts {
            account.received = 0;
            account.exhausted_at = None;
            account.reported = None;
        }
    }

    /// Report of this instance; `waiting` holds the teams of requests that wait for a
    /// token.
    pub fn report(
        &mut self,
        now: Time,
        name: Arc<str>,
        incarnation: u64,
        waiting: &[u64],
    ) -> Report {
        let span = self
            .last_report
            .map_or(RATE_AVERAGE_SECONDS, |at| now.since(at).as_secs_f64());
        self.last_report = Some(now);
        let need = |account: &mut Account| {
            let count = waiting.iter().filter(|team| **team == account.team).count();
            account.need(span, u32::try_from(count).unwrap_or(u32::MAX))
        };
        let needs: Vec<Need> = self.accounts.iter_mut().map(need).collect();
        self.report_for(now, name, incarnation, &needs, 1)
    }

    /// Report on behalf of `count` instances, with their tokens and needs summed in
    /// `all`.
    pub fn report_for(
        &mut self,
        now: Time,
        name: Arc<str>,
        incarnation: u64,
        all: &[Need],
        count: u32,
    ) -> Report {
        self.report_seq += 1;
        let is_settled = self
            .switched_at
            .is_none_or(|at| now.since(at) >= pool::REPORT_TIMEOUT);
        let is_represented = !self.is_without_pool(now) && is_settled;
        let is_full = self.report_seq.is_multiple_of(FULL_REPORT_PERIOD);
        // Round robin, so that every team is reported in time if a report can't name
        // them all.
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
            let is_due = need.waiting > 0 || account.is_changed(need, is_full);
            if is_due && needs.len() < REPORT_TEAMS_MAX {
                account.reported = Some((need.held, need.wanted));
                needs.push(Need {
                    received: account.received,
                    ..*need
                });
            } else if is_due {
                left_out.get_or_insert(at);
            }
        }
        self.report_cursor = left_out.unwrap_or_default();
        Report {
            name,
            incarnation,
            seq: self.report_seq,
            level: Level::Region,
            pool_incarnation: self.pool_incarnation,
            session: self.session,
            represented: if is_represented { count } else { 0 },
            needs,
        }
    }

    /// Takes out the whole tokens of a team.
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

    /// Takes a grant; returns whether the needs must be reported again because this
    /// incarnation of the pool was unknown.
    pub fn receive(&mut self, now: Time, grant: &Grant) -> bool {
        if self.session != grant.session {
            return false;
        }
        self.last_grant = Some(now);
        if self.pool_incarnation != grant.incarnation {
            self.begin_session(grant.incarnation);
            return true;
        }
        for team_grant in &grant.grants {
            let account = self.account(team_grant.team);
            let new = team_grant.total.saturating_sub(account.received);
            account.received += new;
            account.tokens += f64::from(new);
            account.tokens = account.tokens.min(f64::from(team_grant.held_max.max(new)));
            account.supply_rate = f64::from(team_grant.rate_milli) / 1000.0;
            account.exhausted_at = team_grant.is_exhausted.then_some(now);
        }
        false
    }

    /// Tokens of a team, and its requests a second.
    #[must_use]
    pub fn get(&self, team: u64) -> Option<(f64, f64)> {
        let found = self.accounts.binary_search_by_key(&team, |a| a.team);
        found
            .ok()
            .map(|at| (self.accounts[at].tokens, self.accounts[at].rate))
    }

    /// Returns whether no pool has answered for [`POOL_SILENCE_TIMEOUT`].
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
    /// Returns whether the pool has recently reported that it has no tokens left.
    fn is_exhausted(&self, now: Time) -> bool {
        self.exhausted_at
            .is_some_and(|at| now.since(at) < EXHAUSTED_TTL)
    }

    /// Returns whether the tokens held or wanted differ enough from the last report;
    /// with `is_full`, any difference counts.
    fn is_changed(&self, need: &Need, is_full: bool) -> bool {
        let Some((held, wanted)) = self.reported else {
            return true;
        };
        let drift = |new: u32, old: u32| new.abs_diff(old) * REPORT_CHANGE_DIVISOR > new.max(old);
        let is_low = f64::from(need.held) * WANTED_UNITS_PER_TOKEN * 2.0 < f64::from(need.wanted);
        let changed = need.held != held || need.wanted != wanted;
        changed && (is_full || is_low || drift(need.held, held) || drift(need.wanted, wanted))
    }

    /// Refills the account from this instance's own fraction of the bucket.
    fn fill(&mut self, now: Time, share: LocalShare) {
        let span = self.filled_at.map_or(Duration::ZERO, |at| now.since(at));
        self.filled_at = Some(now);
        let filled = self.tokens + share.rate * span.as_secs_f64();
        self.tokens = filled.min(share.capacity);
    }

    /// Needs of the team, `span` seconds after the last report. Tokens beyond those
    /// wanted are dropped by the next grant, so that the pool can hand out others.
    fn need(&mut self, span: f64, waiting: u32) -> Need {
        let weight = (span / RATE_AVERAGE_SECONDS).min(1.0);
        let rate = f64::from(self.arrived) / span.max(0.001);
        self.rate += (rate - self.rate) * weight;
        self.arrived = 0;
        let expected = if self.rate < IDLE_RATE_MAX {
            0.0
        } else {
            self.rate * PREFETCH_SECONDS
        };
        // Arrivals are random, so one standard deviation above the expected number is
        // wanted.
        let wanted = expected + expected.sqrt();
        Need {
            team: self.team,
            held: saturating_u32(self.tokens.ceil()),
            received: 0,
            wanted: saturating_u32((wanted * WANTED_UNITS_PER_TOKEN).ceil()),
            waiting,
        }
    }
}
