//! What happens to a fleet.
//!
//! Invariant: a plan says which faults there are, the seed says when.

/// What happens to a fleet.
#[allow(clippy::struct_excessive_bools, reason = "each is a fault of its own")]
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Callers come in waves.
    pub bursts: bool,
    /// Short waves of many callers come a little less than a retry window apart, and targets
    /// turn nearly everything away from the first on.
    pub turned_away: bool,
    /// Targets of a region turn cold now and then.
    pub cold: bool,
    /// A quarter of the attempts fail and may be repeated.
    pub failing: bool,
    /// Instances are killed and replaced, one after the other.
    pub replaced: bool,
    /// All are killed at once, twice, and return within a second or so.
    pub herd: bool,
    /// Some are cut off from the others and from the store.
    pub cut: bool,
    /// The store is away for seconds, and rows run out meanwhile.
    pub store: bool,
    /// Half as many instances again are added.
    pub added: bool,
    /// Some targets name a limit for a while, in requests a second.
    pub limit: Option<f64>,
    /// Some targets turn everything away for a while, and ask for so many milliseconds
    /// without requests each time.
    pub backoff_ms: Option<u32>,
    /// Some targets announce in their answers that they are about to stop; the store
    /// goes on listing them as ready.
    pub leaving: bool,
    /// One in so many of them.
    pub each: usize,
}

impl Plan {
    /// Nothing fails.
    pub const CALM: Self = Self {
        bursts: false,
        turned_away: false,
        cold: false,
        failing: false,
        replaced: false,
        herd: false,
        cut: false,
        store: false,
        added: false,
        limit: None,
        backoff_ms: None,
        leaving: false,
        each: 3,
    };

    /// Whether instances and targets all stay what they are.
    #[must_use]
    pub const fn is_steady(self) -> bool {
        !(self.turned_away
            || self.cold
            || self.failing
            || self.replaced
            || self.herd
            || self.cut
            || self.added)
            && self.limit.is_none()
            && self.backoff_ms.is_none()
            && !self.leaving
    }
}
