//! Switches for the single mechanisms of steering, so that a simulation can
//! measure the effect of each by running without it.
//!
//! Invariant: an instance in production runs with [`Mechanisms::ALL`], but for the parts
//! that its settings switch off.

use thiserror::Error;

/// A set of enabled mechanisms, one bit each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms(u32);

/// The given name belongs to no mechanism.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("no mechanism is called \"{0}\"; known are {names}", names = Mechanisms::NAMES.join(", "))]
pub struct Unknown(pub String);

/// A single mechanism; its position is its bit in [`Mechanisms`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Prefer targets where the request's object is warm.
    Affinity,
    /// Give each object preferred targets in a region, by rendezvous hashing.
    PreferredTargets,
    /// Weigh the extra work of a cold object more than its cost to the request.
    WastedWork,
    /// Count requests of other instances at a target, from its reports and from
    /// heartbeats.
    PeerLoad,
    /// Estimate latencies from answers; without it the route's latency objective
    /// stands for them.
    Learning,
    /// Add the slowness of a target to its cost.
    Slowness,
    /// Add the failure and refusal rates of a target to its cost.
    FailureRate,
    /// Use other instances' health observations, and move objects away from
    /// degraded targets.
    SharedHealth,
    /// Send a share of a service's requests to other regions.
    Spillover,
    /// Start that share at the region's lack of slots; without it at zero.
    InitialShare,
    /// Queue requests at the instance instead of at targets.
    LocalQueue,
    /// Reject a request as soon as it can't be answered in time.
    EarlyReject,
    /// Send a request again after a failed attempt, where that is allowed.
    Retry,
    /// Decide on more urgent requests first.
    Priority,
    /// Name as many instances of a region to callers as its load needs, the largest first.
    SizedReferral,
    /// Tell other instances the requests in flight at targets while a service is short.
    TargetLoads,
    /// Keep room for urgent requests, and order by who can still be in time, while a
    /// service is short.
    Urgency,
    /// Weigh the utilization that regions tell each other before a request runs elsewhere.
    RegionLoads,
}

impl Mechanisms {
    /// Names by which a command line selects mechanisms, in the order of
    /// [`Mechanism`].
    pub const NAMES: [&'static str; 18] = [
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
        "referral",
        "loads",
        "urgency",
        "regions",
    ];

    /// Every mechanism enabled.
    pub const ALL: Self = Self(u32::MAX);

    /// Returns the set without the named mechanism.
    ///
    /// # Errors
    /// Returns [`Unknown`] if no mechanism has that name.
    pub fn without(self, name: &str) -> Result<Self, Unknown> {
        let at = Self::NAMES.iter().position(|n| *n == name);
        let at = at.ok_or_else(|| Unknown(name.to_owned()))?;
        Ok(Self(self.0 & !(1 << at)))
    }

    /// Returns the set without a mechanism.
    #[must_use]
    pub const fn without_one(self, mechanism: Mechanism) -> Self {
        Self(self.0 & !(1 << mechanism as u32))
    }

    /// Whether a mechanism is enabled.
    #[must_use]
    pub const fn has(self, mechanism: Mechanism) -> bool {
        self.0 & (1 << mechanism as u32) != 0
    }
}
