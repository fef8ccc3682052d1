//! Messages between instances about the tokens of teams.

use core::net::SocketAddr;
use std::sync::Arc;

use super::super::hash;

/// Hash that messages identify a team by.
#[must_use]
pub fn team_hash(team: &str) -> u64 {
    hash(team.as_bytes())
}

/// Units per token in which wanted tokens are reported.
pub const WANTED_UNITS_PER_TOKEN: f64 = 8.0;

/// Level of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Pool of a region, run by one instance for the instances there.
    Region,
    /// Pool of the fleet, run by one instance for the pools of the regions.
    Fleet,
}

/// Holdings and needs of an instance, or of a region's pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Name of the reporting instance.
    pub name: Arc<str>,
    /// Incarnation of the reporting instance.
    pub incarnation: u64,
    /// Counts the reports of this incarnation.
    pub seq: u64,
    /// Level of the pool that the report goes to.
    pub level: Level,
    /// Incarnation of the pool whose grants are counted; 0 before the first answer.
    pub pool_incarnation: u64,
    /// Distinguishes sessions with pools; late grants of an earlier session are
    /// ignored.
    pub session: u64,
    /// Instances for which the pool is to fill its bucket. They don't fill their own
    /// fraction, and no former pool may fill it either.
    pub represented: u32,
    /// Teams whose tokens have changed here, or are needed.
    pub needs: Vec<Need>,
}

/// Tokens of one team at an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// Team hash.
    pub team: u64,
    /// Tokens held.
    pub held: u32,
    /// Tokens received in this session.
    pub received: u32,
    /// Tokens to hold ahead of need, in eighths. Fractions of many instances add up to
    /// whole tokens at their region's pool.
    pub wanted: u32,
    /// Requests that wait for a token.
    pub waiting: u32,
}

/// Answer of a pool to a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Name of the instance that runs the pool.
    pub name: Arc<str>,
    /// Incarnation of the instance that runs the pool.
    pub incarnation: u64,
    /// Level of the pool.
    pub level: Level,
    /// Incarnation of the instance that the grant is for.
    pub recipient: u64,
    /// Session that the grant belongs to; 0 acknowledges a final report.
    pub session: u64,
    /// Tokens by team.
    pub grants: Vec<TeamGrant>,
}

/// Tokens of one team granted by a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamGrant {
    /// Team hash.
    pub team: u64,
    /// Tokens granted in this session so far.
    pub total: u32,
    /// Tokens that the instance may hold; it drops the rest, which others need.
    pub held_max: u32,
    /// Rate at which the instance is supplied, in thousandths of a token a second.
    pub rate_milli: u32,
    /// Whether requests that wait there got fewer tokens than they need.
    pub is_exhausted: bool,
}

/// Report and the address to send it to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingReport {
    /// Address where the pool's instance receives heartbeats.
    pub addr: SocketAddr,
    /// Report to send.
    pub report: Report,
}

impl Report {
    /// Returns the report with another level.
    pub(super) fn with_level(self, level: Level) -> Self {
        Self { level, ..self }
    }
}

/// Converts a number of tokens for a message, without its fraction.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "saturates"
)]
pub(super) fn saturating_u32(number: f64) -> u32 {
    number as u32
}
