//! Records of the entry instances, each written by the process that it
//! describes.
//!
//! Invariant: of two records of one name the one with the higher [`Stamp`]
//! wins, whatever order they arrive in. Within one process the higher serial
//! wins, and at the same serial a tombstone replaces a live record. Only the
//! process itself raises its serial, so only it can refute a tombstone of its
//! own.

pub mod hash;
pub mod table;

use core::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::version::view::{Incarnation, State, Version};

/// Orders the processes that ran under one name.
///
/// The generation is the wall clock at start. A starting process raises it
/// above any other of its name that it learns of, so that a clock that went
/// back doesn't make the new process the older one. The incarnation breaks
/// ties.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// Rises from one process of a name to the next; milliseconds since 1970 at
    /// first.
    pub generation: u64,
    /// Random number of the process.
    pub incarnation: Incarnation,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.generation, self.incarnation)
    }
}

/// Identity of a process, from its settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Configured name; a replacement process takes it over.
    pub name: Arc<str>,
    /// Name of its failure domain.
    pub domain: Arc<str>,
    /// Address for callers.
    pub addr: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
}

/// State of a process between its start and its end. At the same serial a later
/// variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lifecycle {
    /// Accepts new work.
    Live,
    /// Finishes the work that it has.
    Leaving,
    /// Stopped, and gave up its share of every cap for good.
    Released,
    /// Stopped answering, or stopped without a share to give up.
    Dead,
}

impl Lifecycle {
    /// Whether the process may still answer; false for tombstones.
    #[must_use]
    pub const fn is_alive(self) -> bool {
        matches!(self, Self::Live | Self::Leaving)
    }

    /// The state for look-ups; `None` for a tombstone.
    #[must_use]
    pub const fn state(self) -> Option<State> {
        match self {
            Self::Live => Some(State::Live),
            Self::Leaving => Some(State::Leaving),
            Self::Released | Self::Dead => None,
        }
    }

    /// The name in dumps.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Released => "released",
            Self::Dead => "dead",
        }
    }
}

/// State of one process, as peers exchange it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Identity of the process.
    pub identity: Identity,
    /// Orders the process among those of its name.
    pub stamp: Stamp,
    /// Raised by the process whenever its lifecycle changes, and to refute a
    /// tombstone.
    pub serial: u32,
    /// Lifecycle as of this serial.
    pub lifecycle: Lifecycle,
}

impl Record {
    /// Whether this record replaces `other`, which has the same name.
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        (self.stamp, self.serial, self.lifecycle) > (other.stamp, other.serial, other.lifecycle)
    }

    /// A copy with another lifecycle at the same serial, as peers write
    /// tombstones.
    #[must_use]
    pub fn with_lifecycle(&self, lifecycle: Lifecycle) -> Self {
        Self {
            lifecycle,
            ..self.clone()
        }
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Identity { name, domain, .. } = &self.identity;
        let lifecycle = self.lifecycle.as_str();
        write!(
            f,
            "{domain}/{name} {} #{} {lifecycle}",
            self.stamp, self.serial
        )
    }
}

/// Load and health of a process. It changes all the time, and is exchanged
/// within a failure domain only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthSummary {
    /// Version in force; zero if none.
    pub version: Version,
    /// Load in 1/255 of the process's capacity.
    pub load: u8,
    /// Whether the process reaches the store.
    pub store: bool,
}

/// Summary of one failure domain, sent to other domains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Number of live processes.
    pub count: u32,
    /// Lowest version in force.
    pub oldest: Version,
    /// Highest version in force.
    pub newest: Version,
    /// Mean load in 1/255.
    pub load: u8,
}

/// A process in the published list of members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its record.
    pub record: Arc<Record>,
    /// Its own health in the local domain. Elsewhere derived from its domain's
    /// summary: the lowest version in force there and the mean load.
    pub health: HealthSummary,
}

/// An address at which an entry instance may answer, from the settings or the
/// platform's list. It is only tried: a hint neither adds nor removes a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hint {
    /// Configured name.
    pub name: Arc<str>,
    /// Name of its failure domain.
    pub domain: Arc<str>,
    /// Address for peers.
    pub peer: SocketAddr,
}
