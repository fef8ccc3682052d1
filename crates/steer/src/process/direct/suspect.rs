//! What instances tell each other of requests that crash the targets that run them, and
//! what they log of it.
//!
//! Such a request comes again at any instance, for minutes. So verdicts are told for as
//! long as they hold: news at once to the nearest instances and to some at random, who
//! pass it on, and everything in turn to an instance at random and to neighbours that
//! have just started. Heartbeats alone wouldn't do, as each instance sends them to the
//! same few; they tell which requests are under suspicion.
//!
//! Invariants: at most [`REPORTS_MAX`] reports in one message, the newest in each, the
//! others in turn; at most [`CHANGES_MAX`] changes wait to be logged, further ones are
//! dropped.

mod judge;

use core::net::SocketAddr;
use core::time::Duration;
use std::sync::Arc;

use crate::clock::Time;
use crate::request::arrival::Fingerprint;
use crate::request::poison::Report;

/// Number of strikes at which a request is always refused. A suspect runs beside other
/// requests, one copy at a time, so two breaks may be chance.
pub const STRIKES_MAX: u8 = 3;

/// Number of strikes at which a request is always refused though this instance has had an
/// answer to it lately. Popular requests are under way in many breaks, and each of those
/// answers comes from a target that has survived it.
pub const ANSWERED_STRIKES_MAX: u8 = 5;

/// Largest number of reports in one message, so that it fits a datagram.
pub const REPORTS_MAX: usize = 32;

/// Of these, the number of reports with the latest changes.
const NEWEST_REPORTS: usize = 16;

/// Time for which a change is told at each turn.
const NEWS_SPAN: Duration = Duration::from_secs(2);

/// Age up to which changes are told at once.
const URGENT_SPAN: Duration = Duration::from_millis(100);

/// Instances at random that are told news at each turn. With four, news reaches a
/// thousand instances in about five turns.
const NEWS_FANOUT: usize = 4;

/// Permits between messages without news.
const QUIET_TURNS: u64 = 8;

/// Time after a break from which a target that the store still lists has not crashed: the
/// entry of one that has is removed within three intervals of the targets' reports, which
/// are some seconds apart.
const LISTED_SPAN: Duration = Duration::from_secs(15);

/// Largest number of breaks that are remembered until then.
const BREAKS_MAX: usize = 256;

/// Time in which further breaks at a target are remembered as one.
const BREAK_SPAN: Duration = Duration::from_secs(1);

/// Largest number of changes that wait to be logged.
const CHANGES_MAX: usize = 256;

/// Breaks of connections to a target, in [`BREAK_SPAN`] from the first.
#[derive(Clone, Debug)]
pub(super) struct TargetBreak {
    target: Arc<str>,
    incarnation: u64,
    first: Time,
}

impl TargetBreak {
    /// Whether it was at this target.
    pub(super) fn is_at(&self, target: &str) -> bool {
        *self.target == *target
    }
}

/// Whether others are to be told of changed strikes at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum NewsDue {
    /// There is no change.
    #[default]
    None,
    /// Another instance has told of one.
    Heard,
    /// This instance has found one.
    Found,
}

/// Whether a request may be sent, as far as it is suspected of crashing targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Suspicion {
    /// Nothing is held against it, or no copy of it is in flight.
    None,
    /// A copy is in flight here or at another instance, whose outcome decides.
    Waits,
    /// It is always refused.
    Refused,
}

/// Reports for other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectMessage {
    /// What this instance holds against requests.
    pub reports: Vec<Report>,
    /// Addresses for heartbeats of those that get it.
    pub recipients: Vec<SocketAddr>,
}

/// Cause of a change of strikes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The connection to this target broke while the request was in flight there.
    Broken(Arc<str>),
    /// This target answered a request that was sent before its connection broke, or is
    /// still listed long after.
    Survived(Arc<str>),
    /// This instance was cut off from all targets when the connection to this one broke.
    CutOff(Arc<str>),
    /// The request was answered.
    Answered,
    /// Another instance reported it.
    Told(Arc<str>),
    /// It is in the platform's store.
    Stored,
}

impl Cause {
    /// Name in log lines.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Broken(_) => "broken",
            Self::Survived(_) => "survived",
            Self::CutOff(_) => "cut-off",
            Self::Answered => "answered",
            Self::Told(_) => "told",
            Self::Stored => "stored",
        }
    }

    /// Name of the target or instance that it came from, if there is one.
    #[must_use]
    pub const fn source(&self) -> Option<&Arc<str>> {
        match self {
            Self::Broken(name) | Self::Survived(name) | Self::CutOff(name) | Self::Told(name) => {
                Some(name)
            }
            Self::Answered | Self::Stored => None,
        }
    }
}

/// Change of the strikes against a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Strikes before.
    pub before: u8,
    /// Strikes since.
    pub strikes: u8,
    /// Cause of the change.
    pub cause: Cause,
}
