//! Whether a change moves more than its operator allowed.
//!
//! A raised cap is itself the operator's statement and passes; so does traffic
//! that comes home or stays within its region. What remains are callers that a
//! change takes to another region: by their blocks, or because their region has
//! no live site left. Where the rate is known, the shift's cap bounds it; where
//! it is not, `move_percent` bounds the share of a region's callers.

use core::fmt;
use core::str::FromStr;
use std::sync::Arc;

use super::{Cause, Move, Permille};

/// Name that stands for "no region" in a stated cap.
pub const NOWHERE: &str = "none";

/// A cap that the operator states with the change, `SERVICE:FROM:TO=CAP`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stated {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the region whose callers move.
    pub from: Arc<str>,
    /// Name of the region that takes them, or [`NOWHERE`].
    pub to: Arc<str>,
    /// Requests a second.
    pub cap: u64,
}

/// A text that states no cap.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("\"{0}\" states no cap; write it like sheetview:seq:cq=300")]
pub struct StatedError(String);

impl FromStr for Stated {
    type Err = StatedError;

    fn from_str(text: &str) -> Result<Self, StatedError> {
        let error = || StatedError(text.escape_debug().to_string());
        let (key, cap) = text.split_once('=').ok_or_else(error)?;
        let mut words = key.split(':');
        let mut word = || words.next().filter(|w| !w.is_empty()).ok_or_else(error);
        let (service, from, to) = (word()?, word()?, word()?);
        if words.next().is_some() {
            return Err(error());
        }
        Ok(Self {
            service: service.into(),
            from: from.into(),
            to: to.into(),
            cap: cap.parse().map_err(|_| error())?,
        })
    }
}

impl fmt::Display for Stated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            service,
            from,
            to,
            cap,
        } = self;
        write!(f, "{service}:{from}:{to}={cap}")
    }
}

/// A measured rate: what one region's callers ask of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the callers' region.
    pub region: Arc<str>,
    /// Requests a second.
    pub per_s: u64,
}

/// A move that its operator did not allow.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The rate is known and above the cap.
    #[error(
        "{moved}: about {rate}/s, more than the cap of {cap}/s; raise the shift's cap, or state it with the change: --cap {remedy}"
    )]
    Rate {
        /// The move.
        moved: Move,
        /// Requests a second that would move.
        rate: u64,
        /// Requests a second that may.
        cap: u64,
        /// The cap that would do.
        remedy: Stated,
    },
    /// The rate is unknown and the share above the bound.
    #[error(
        "{moved}: more than the {percent}% that one change may move; move less at a time, raise \"move_percent\", or state a cap with the change: --cap {remedy}"
    )]
    Share {
        /// The move.
        moved: Move,
        /// The bound.
        percent: u64,
        /// The form of a cap that would do.
        remedy: String,
    },
}

/// The moves that their operator did not allow.
#[must_use]
pub fn refusals(moves: &[Move], percent: u64, rates: &[Rate], stated: &[Stated]) -> Vec<Refusal> {
    let judged = moves
        .iter()
        .filter(|m| matches!(m.cause, Cause::Blocks | Cause::Left));
    judged
        .filter_map(|moved| refusal(moved, moves, percent, rates, stated))
        .collect()
}

fn refusal(
    moved: &Move,
    all: &[Move],
    percent: u64,
    rates: &[Rate],
    stated: &[Stated],
) -> Option<Refusal> {
    let to = moved.to.as_deref().unwrap_or(NOWHERE);
    let own = |s: &&Stated| s.service == moved.service && s.from == moved.from && &*s.to == to;
    let allowed = stated.iter().find(own).map(|s| s.cap);
    let rate = rates
        .iter()
        .find(|r| r.service == moved.service && r.region == moved.from);
    let Some(rate) = rate else {
        return share_refusal(moved, to, percent, allowed);
    };
    let rate = moved.share.rate(rate.per_s);
    let cap = allowed.or(moved.cap).unwrap_or(0);
    let others = other_caps(moved, all, stated);
    (rate > cap.saturating_add(others)).then(|| Refusal::Rate {
        moved: moved.clone(),
        rate,
        cap,
        remedy: Stated {
            service: Arc::clone(&moved.service),
            from: Arc::clone(&moved.from),
            to: to.into(),
            cap: rate - others,
        },
    })
}

/// Callers whose region has no live site left move by shifts only, and their
/// caps are enforced request by request. A re-assigned block is enforced by
/// nothing: look-ups send its callers elsewhere at once.
fn share_refusal(moved: &Move, to: &str, percent: u64, allowed: Option<u64>) -> Option<Refusal> {
    let bound = Permille(u16::try_from(percent.saturating_mul(10)).unwrap_or(u16::MAX));
    let enforced = moved.cause == Cause::Left && moved.cap.is_some();
    if enforced || allowed.is_some() || moved.share <= bound {
        return None;
    }
    Some(Refusal::Share {
        moved: moved.clone(),
        percent,
        remedy: format!("{}:{}:{to}=CAP", moved.service, moved.from),
    })
}

/// Where a region has no live site left, its callers spread over all regions
/// that shifts take them to, and each takes no more than its cap.
fn other_caps(moved: &Move, all: &[Move], stated: &[Stated]) -> u64 {
    if moved.cause != Cause::Left {
        return 0;
    }
    let others = all.iter().filter(|m| {
        m.cause == Cause::Left
            && m.service == moved.service
            && m.from == moved.from
            && m.to != moved.to
    });
    others
        .map(|m| {
            let own = |s: &&Stated| {
                s.service == m.service && s.from == m.from && Some(&s.to) == m.to.as_ref()
            };
            let allowed = stated.iter().find(own).map(|s| s.cap);
            allowed.or(m.cap).unwrap_or(0)
        })
        .fold(0, u64::saturating_add)
}
