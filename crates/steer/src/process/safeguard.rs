//! Switches that disable single safeguards in tests and measurements.
//!
//! Invariant: every safeguard is enabled by default. The switches exist to show
//! that a scenario fails without the safeguard it is about.

use core::fmt;
use core::str::FromStr;

/// A safeguard that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// Bounds the load of each target by this instance's own in-flight count,
    /// which outranks what the target reports.
    OwnCount,
    /// Gives instances that share targets different preferred subsets of them.
    Subset,
    /// Bounds the size and age of targets' reports, and lowers the trust in
    /// reports that prove wrong.
    ReportBound,
    /// Ejects targets and remote instances that fail.
    Ejection,
    /// Keeps failed attempts from ejecting a target if fewer than half of its
    /// service would stay usable.
    LastTarget,
    /// Skips a target that is so slow that waiting for another one is faster.
    SlowTarget,
    /// Raises the load of a cold target step by step.
    Ramp,
    /// Treats a target as leaving once its reports or refusals say so.
    Leaving,
    /// Rejects requests at once that can't be answered before their deadline.
    Admission,
    /// Keeps a queue short that doesn't empty.
    ShortQueue,
    /// Bounds the part of the queue that one priority class may fill.
    ClassShare,
    /// Guarantees the lowest priority class a small share of the dequeued
    /// requests.
    Guarantee,
    /// Bounds the part of the instance that one caller may use.
    CallerLimit,
    /// Bounds the part of the instance that one service may use.
    ServiceLimit,
    /// Accepts work from peers only while there is room.
    PeerGate,
    /// Bounds retries by a retry budget.
    Budget,
    /// Sends a retry to another target or instance than the attempts before.
    OtherPlace,
    /// Bounds the time of an attempt so that another one is still possible.
    AttemptBound,
    /// Recognises requests that crash their targets.
    Poison,
    /// Runs a request suspected of crashing targets on an otherwise empty target.
    Quarantine,
    /// Caps the traffic between regions.
    Caps,
}

impl Safeguard {
    const NAMES: [(Self, &'static str); 21] = [
        (Self::OwnCount, "own-count"),
        (Self::Subset, "subset"),
        (Self::ReportBound, "report-bound"),
        (Self::Ejection, "ejection"),
        (Self::LastTarget, "last-target"),
        (Self::SlowTarget, "slow-target"),
        (Self::Ramp, "ramp"),
        (Self::Leaving, "leaving"),
        (Self::Admission, "admission"),
        (Self::ShortQueue, "short-queue"),
        (Self::ClassShare, "class-share"),
        (Self::Guarantee, "guarantee"),
        (Self::CallerLimit, "caller-limit"),
        (Self::ServiceLimit, "service-limit"),
        (Self::PeerGate, "peer-gate"),
        (Self::Budget, "budget"),
        (Self::OtherPlace, "other-place"),
        (Self::AttemptBound, "attempt-bound"),
        (Self::Poison, "poison"),
        (Self::Quarantine, "quarantine"),
        (Self::Caps, "caps"),
    ];
}

impl fmt::Display for Safeguard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entry = Self::NAMES.iter().find(|n| n.0 == *self);
        f.write_str(entry.map_or("", |n| n.1))
    }
}

/// Error for a name that is none of the safeguards' names.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no safeguard is called {0:?}; use one of the names in process/safeguard.rs")]
pub struct UnknownSafeguard(String);

impl FromStr for Safeguard {
    type Err = UnknownSafeguard;

    fn from_str(name: &str) -> Result<Self, UnknownSafeguard> {
        let entry = Self::NAMES.iter().find(|n| n.1 == name);
        entry
            .map(|n| n.0)
            .ok_or_else(|| UnknownSafeguard(name.to_owned()))
    }
}

/// The set of enabled safeguards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    disabled: u32,
}

impl Safeguards {
    /// Every safeguard.
    pub const ALL: Self = Self { disabled: 0 };

    /// Disables one more safeguard.
    #[must_use]
    pub const fn without(self, safeguard: Safeguard) -> Self {
        Self {
            disabled: self.disabled | 1 << safeguard as u32,
        }
    }

    /// Whether a safeguard is enabled.
    #[must_use]
    pub const fn has(self, safeguard: Safeguard) -> bool {
        self.disabled & (1 << safeguard as u32) == 0
    }
}

impl Default for Safeguards {
    fn default() -> Self {
        Self::ALL
    }
}
