//! Mechanisms that can be taken out, to measure what each is worth.
//!
//! Invariant: a process in service has all of them.

use thiserror::Error;

/// Which mechanisms are in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms(u32);

/// There is no such mechanism.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("no mechanism is called \"{0}\"; known are {names}", names = Mechanisms::NAMES.join(", "))]
pub struct Unknown(pub String);

/// One mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Objects are sent where they were handled lately.
    Affinity,
    /// An object belongs to one target of a region first, by hash.
    First,
    /// Work in vain counts more than it costs the request itself.
    Vain,
    /// Others' requests at targets count: reports and heartbeats.
    Counts,
    /// Times are learnt; without, the objective stands for them.
    Learning,
    /// Slow targets cost more.
    Slowness,
    /// Targets that fail cost more.
    Illness,
    /// Instances tell each other how targets do, and objects of those that do
    /// poorly move.
    Health,
    /// Requests run in other regions.
    Elsewhere,
    /// The share elsewhere starts by slots; without, at nothing.
    Start,
    /// Requests wait here rather than at targets.
    Hold,
    /// What can't be answered in time is rejected at once.
    Reject,
    /// What wasn't run is sent again.
    Again,
    /// The more urgent is looked at first.
    Priority,
}

impl Mechanisms {
    /// Names of all, in the order of [`Mechanism`].
    pub const NAMES: [&'static str; 14] = [
        "affinity",
        "first",
        "vain",
        "counts",
        "learning",
        "slowness",
        "illness",
        "health",
        "elsewhere",
        "start",
        "hold",
        "reject",
        "again",
        "priority",
    ];

    /// All of them.
    pub const ALL: Self = Self(u32::MAX);

    /// Takes one out by its name.
    ///
    /// # Errors
    /// If there is none of that name.
    pub fn without(self, name: &str) -> Result<Self, Unknown> {
        let at = Self::NAMES.iter().position(|n| *n == name);
        let at = at.ok_or_else(|| Unknown(name.to_owned()))?;
        Ok(Self(self.0 & !(1 << at)))
    }

    /// Whether one is in.
    #[must_use]
    pub const fn has(self, mechanism: Mechanism) -> bool {
        self.0 & (1 << mechanism as u32) != 0
    }
}
