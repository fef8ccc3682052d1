//! What instances tell each other of teams' tokens.

use core::net::SocketAddr;
use std::sync::Arc;

use super::super::hash;

/// By which messages name a team.
#[must_use]
pub fn team_hash(team: &str) -> u64 {
    hash(team.as_bytes())
}

/// Parts of a token that wants are told in.
pub const WANTED_UNITS_PER_TOKEN: f64 = 8.0;

/// Who hands tokens out, and to whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// One instance of each region, to the instances there.
    Region,
    /// One of all, to those.
    Fleet,
}

/// What an instance asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Who asks.
    pub name: Arc<str>,
    /// Tells its incarnations apart.
    pub incarnation: u64,
    /// Counts its reports.
    pub seq: u64,
    /// Whom it asks.
    pub level: Level,
    /// Incarnation of the pool that it counts from; 0 before it has heard one.
    pub pool_incarnation: u64,
    /// Tells its sessions with a pool apart; what was handed out in an earlier one
    /// and comes late is passed over.
    pub session: u64,
    /// Instances whose part of the buckets is to be filled by the pool: they don't
    /// do so themselves, nor may an earlier pool.
    pub represented: u32,
    /// Teams whose tokens have changed here, or are needed.
    pub needs: Vec<Need>,
}

/// One team's tokens at an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// The team's mark.
    pub team: u64,
    /// Tokens held.
    pub held: u32,
    /// Tokens that it has got in this session.
    pub received: u32,
    /// Eighths of a token that it would hold ahead of need. Many instances that
    /// would each hold a part of one are worth whole ones to their region.
    pub wanted: u32,
    /// Requests that wait for one.
    pub waiting: u32,
}

/// What a pool hands out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Whose pool it is.
    pub name: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// In which role it hands out.
    pub level: Level,
    /// Incarnation of the instance that it is for.
    pub recipient: u64,
    /// The session that it belongs to.
    pub session: u64,
    /// By team.
    pub grants: Vec<TeamGrant>,
}

/// One team's tokens from a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamGrant {
    /// The team's mark.
    pub team: u64,
    /// Tokens handed out to this instance in this session.
    pub total: u32,
    /// Tokens that it may hold; those beyond are dropped, as others need them.
    pub held_max: u32,
    /// Tokens that come to this instance in a thousand seconds.
    pub rate_milli: u32,
    /// Whether there are none left for it.
    pub is_exhausted: bool,
}

/// A message that is due, and where to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingReport {
    /// Where the instance takes it.
    pub addr: SocketAddr,
    /// The report.
    pub report: Report,
}

impl Report {
    /// The same for another level.
    pub(super) fn with_level(self, level: Level) -> Self {
        Self { level, ..self }
    }
}

/// A number of tokens as messages tell it, the fraction left out.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "saturates"
)]
pub(super) fn saturating_u32(number: f64) -> u32 {
    number as u32
}
