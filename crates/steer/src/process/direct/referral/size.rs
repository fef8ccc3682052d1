//! Size of an instance: its share of a processor and its link.
//!
//! Answers deployments whose instances differ: the largest serve many times what the
//! smallest can.
//!
//! Invariant: sizes are whole numbers, so that every instance reads the same ones from a
//! row of the store and ranks instances alike.

/// Requests a second that an instance serves for each core: about half of what the
/// processor time of a request, some 0.3 ms, allows.
const REQUESTS_PER_CORE: f64 = 1500.0;

/// Requests a second that an instance's link carries for each Mbit/s.
const REQUESTS_PER_MBPS: f64 = 10.0;

/// Units of [`Size`] in a core and in a Mbit/s.
const UNITS: f64 = 1000.0;

/// Size of an instance. Larger ones compare greater, by processor first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size {
    /// Processor share in thousandths of a core; not 0.
    millicores: u32,
    /// Link in kbit/s; not 0.
    link_kbps: u32,
}

impl Size {
    /// A size; `None` if it is 0, which no instance that serves can have.
    #[must_use]
    pub const fn new(millicores: u32, link_kbps: u32) -> Option<Self> {
        if millicores == 0 || link_kbps == 0 {
            return None;
        }
        Some(Self {
            millicores,
            link_kbps,
        })
    }

    /// Size by cores and Mbit/s, rounded.
    #[must_use]
    pub fn from_settings(cores: f64, mbps: f64) -> Option<Self> {
        Self::new(units(cores), units(mbps))
    }

    /// Processor share in thousandths of a core.
    #[must_use]
    pub const fn millicores(self) -> u32 {
        self.millicores
    }

    /// Link in kbit/s.
    #[must_use]
    pub const fn link_kbps(self) -> u32 {
        self.link_kbps
    }

    /// Requests a second that the instance can serve.
    #[must_use]
    pub fn capacity(self) -> f64 {
        let processor = f64::from(self.millicores) / UNITS * REQUESTS_PER_CORE;
        let link = f64::from(self.link_kbps) / UNITS * REQUESTS_PER_MBPS;
        processor.min(link)
    }
}

/// Converts to the units of [`Size`]; 0 for what is not a number.
fn units(amount: f64) -> u32 {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "saturates"
    )]
    let units = (amount * UNITS).round() as u32;
    units
}
