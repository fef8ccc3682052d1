//! Who the entry instances are, as each process speaks of itself.
//!
//! Invariant: of two records of one name the one with the higher [`Stamp`]
//! counts, whatever order they arrive in; within one process the higher serial
//! counts; at the same serial a tombstone beats a live record. Only the process
//! itself raises its serial, so only it can refute its own death.

pub mod hash;
pub mod table;

use core::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::version::view::{Incarnation, State, Version};

/// Orders the processes that ran under one name.
///
/// The generation comes from the wall clock at start, and is raised by a
/// starting process above any that it hears of, so that a clock that went back
/// doesn't make the newcomer the older one. The incarnation settles ties.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// Grows from one process of a name to the next.
    pub generation: u64,
    /// Which process.
    pub incarnation: Incarnation,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.generation, self.incarnation)
    }
}

/// What a process is, as its settings say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Configured name; a replacement takes it over.
    pub name: Arc<str>,
    /// Name of its failure domain.
    pub domain: Arc<str>,
    /// Where callers reach it.
    pub addr: SocketAddr,
    /// Where its peers reach it.
    pub peer: SocketAddr,
}

/// Where a process is in its life. A later one wins at the same serial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lifecycle {
    /// Takes new work.
    Live,
    /// Finishes what it has.
    Leaving,
    /// Stopped, and gave up its share of every cap: it will use none again.
    Released,
    /// Stopped answering, or stopped without a share to give up.
    Dead,
}

impl Lifecycle {
    /// Whether the process may still answer.
    #[must_use]
    pub const fn is_alive(self) -> bool {
        matches!(self, Self::Live | Self::Leaving)
    }

    /// What look-ups make of it; `None` for a tombstone.
    #[must_use]
    pub const fn state(self) -> Option<State> {
        match self {
            Self::Live => Some(State::Live),
            Self::Leaving => Some(State::Leaving),
            Self::Released | Self::Dead => None,
        }
    }

    /// The word in dumps.
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

/// What is known of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// What it is.
    pub identity: Identity,
    /// Which process of that name.
    pub stamp: Stamp,
    /// Raised by the process with each change of its life, and to refute.
    pub serial: u32,
    /// Where it is in its life.
    pub lifecycle: Lifecycle,
}

impl Record {
    /// Whether this record replaces `other`, which has the same name.
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        (self.stamp, self.serial, self.lifecycle) > (other.stamp, other.serial, other.lifecycle)
    }

    /// The same process with a life put down by somebody else.
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

/// What changes all the time, and is exchanged within a failure domain only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthSummary {
    /// Version in force; zero if none.
    pub version: Version,
    /// Load in 1/255 of what the process can carry.
    pub load: u8,
    /// Whether it reaches the store.
    pub store: bool,
}

/// What one failure domain tells another about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Processes alive.
    pub count: u32,
    /// Lowest version in force.
    pub oldest: Version,
    /// Highest version in force.
    pub newest: Version,
    /// Mean load in 1/255.
    pub load: u8,
}

/// A process in the published list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// What it says of itself.
    pub record: Arc<Record>,
    /// Its own vitals in the home domain, elsewhere its domain's summary: the
    /// lowest version in force there and the mean load.
    pub health: HealthSummary,
}

/// An address where an entry instance may answer: from the settings or from the
/// platform's list. A hint is tried; it never makes or ends a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hint {
    /// Configured name.
    pub name: Arc<str>,
    /// Name of its failure domain.
    pub domain: Arc<str>,
    /// Where its peers reach it.
    pub peer: SocketAddr,
}
