//! Switches that take single safeguards out.
//!
//! Invariant: by default every safeguard is on; switches exist so that each
//! scenario can be shown to fail without its safeguard.

use core::fmt;
use core::str::FromStr;

/// A safeguard that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// The own in-flight count outranks reports and bounds each target.
    OwnCount,
    /// Instances that share targets prefer different ones.
    Subset,
    /// Reports are bounded in size and age, and lose trust.
    ReportBound,
    /// Failing places are ejected.
    Ejection,
    /// Soft evidence never ejects all targets of a service.
    LastTarget,
    /// A target so slow that waiting for another is faster gets nothing.
    SlowTarget,
    /// Cold targets ramp.
    Ramp,
    /// Reports and refusals say that a target is leaving.
    Leaving,
    /// What can't be answered in time is refused at once.
    Admission,
    /// A queue that never empties is kept short.
    ShortQueue,
    /// A class fills no more than its share of the queue.
    ClassShare,
    /// The lowest class keeps a small share of what is picked.
    Guarantee,
    /// A caller's share of the instance is bounded.
    CallerLimit,
    /// A service's share of the instance is bounded.
    ServiceLimit,
    /// Work from peers is taken only while there is room.
    PeerGate,
    /// Repeats are bounded.
    Budget,
    /// A repeat goes to another place.
    OtherPlace,
    /// An attempt gives up early enough for another.
    AttemptBound,
    /// Requests that crash targets are recognised.
    Poison,
    /// Suspects run alone.
    Quarantine,
    /// Traffic between regions is capped.
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
        let named = Self::NAMES.iter().find(|n| n.0 == *self);
        f.write_str(named.map_or("", |n| n.1))
    }
}

/// The name is not a safeguard's.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no safeguard is called {0:?}; use one of the names in process/safeguard.rs")]
pub struct UnknownSafeguard(String);

impl FromStr for Safeguard {
    type Err = UnknownSafeguard;

    fn from_str(name: &str) -> Result<Self, UnknownSafeguard> {
        let named = Self::NAMES.iter().find(|n| n.1 == name);
        named
            .map(|n| n.0)
            .ok_or_else(|| UnknownSafeguard(name.to_owned()))
    }
}

/// The safeguards that are on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    off: u32,
}

impl Safeguards {
    /// All of them.
    pub const ALL: Self = Self { off: 0 };

    /// These without one.
    #[must_use]
    pub const fn without(self, safeguard: Safeguard) -> Self {
        Self {
            off: self.off | 1 << safeguard as u32,
        }
    }

    /// Whether one is on.
    #[must_use]
    pub const fn has(self, safeguard: Safeguard) -> bool {
        self.off & (1 << safeguard as u32) == 0
    }
}

impl Default for Safeguards {
    fn default() -> Self {
        Self::ALL
    }
}
