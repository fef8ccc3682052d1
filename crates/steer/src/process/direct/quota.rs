//! Quotas: how many requests of a team all instances together admit.
//!
//! A team may send many times its usual rate, through all instances or through two of
//! them, while instances are partitioned, killed and started; requests refused below
//! the quota are a loss to the team. Each team therefore has one token bucket for the
//! whole fleet. One instance fills it and hands out tokens to one instance of each
//! region, which hands them to the others there, ahead of need ([`pool`]). Both are
//! chosen by a hash of names. Each instance admits against its own tokens ([`local`])
//! and asks its region's pool at once when it has none. An instance that gets no answer
//! from any pool fills an equal fraction of the bucket itself.
//!
//! Invariant: the tokens at all instances, in the pool and in transit never exceed the
//! bucket, and are added at most at its rate. Messages may be lost, delayed, duplicated
//! or reordered, so grants are reported as running totals.

mod admit;

mod link;
mod local;
mod message;
mod pool;
mod rule;

use core::time::Duration;
use std::sync::Arc;

pub use message::{Grant, Level, Need, OutgoingReport, Report, TeamGrant, team_hash};
pub use rule::Rule;

use super::message::Rejection;
use crate::clock::Time;
use crate::version::teams::Team;

/// Time between reports. Independent of the fleet's size: an instance that reports less
/// often than [`pool::REPORT_TIMEOUT`] counts as silent.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Time between reports while a request waits for a token.
const REPORT_INTERVAL_WAITING: Duration = Duration::from_millis(40);

/// Shortest time between two reports of a region. Bytes between regions are paid for,
/// and a large region is always short of some team's tokens.
const REGION_REPORT_INTERVAL_MIN: Duration = Duration::from_millis(100);

/// Rate and capacity of every team's bucket, sorted by team hash.
fn bucket_terms(teams: &[Arc<Team>], rule: Rule) -> Vec<(u64, pool::Terms)> {
    let terms_of = |team: &Arc<Team>| {
        let quota = team.quota?;
        let bucket = pool::Terms {
            rate: rule.rate(&quota),
            capacity: rule.capacity(&quota),
        };
        Some((team_hash(&team.name), bucket))
    };
    let mut all: Vec<_> = teams.iter().filter_map(terms_of).collect();
    all.sort_unstable_by_key(|(team, _)| *team);
    all
}

/// Quota state of one instance.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    /// Sorted by team hash.
    terms: Vec<(u64, pool::Terms)>,
    /// Tokens of this instance, and the region's pool that supplies them.
    cache: local::TokenCache,
    region_link: link::Link,
    /// The region's pool while this instance runs it, the tokens in transit to it, and
    /// the fleet's pool that supplies them.
    region_pool: pool::Pool,
    region_cache: local::TokenCache,
    fleet_link: link::Link,
    /// The fleet's pool while this instance runs it.
    fleet_pool: pool::Pool,
    /// Whether a report is due at once, such as when a request has begun to wait.
    is_report_due: bool,
    /// Time of the last report for the region.
    region_asked_at: Time,
}

/// Reason why a request may not go on now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Blocked {
    /// It waits for a token.
    Waiting,
    /// Its team is over its quota; a token may be available after this time.
    Refused(Duration),
}

impl Blocked {
    /// Converts it into a rejection; `None` if the request keeps waiting.
    pub(super) const fn verdict(self) -> Option<(Rejection, Duration)> {
        match self {
            Self::Waiting => None,
            Self::Refused(after) => Some((Rejection::Quota, after)),
        }
    }
}
