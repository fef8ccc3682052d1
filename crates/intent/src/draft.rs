//! What a base file says, typed, before anyone asked whether it makes sense.
//!
//! Invariant: every name and number keeps its place, so that the verifier can
//! point at it. Reading checks types and ranges of single values; how values
//! fit together is the verifier's matter. A part that can't be read is `None`, and
//! the rest of its object stays, so that one fault hides no other.

pub mod read;

use std::sync::Arc;

use jsonc::fault::Place;

/// A value and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spot<T> {
    /// The value.
    pub value: T,
    /// Its place.
    pub place: Place,
}

/// A name and where it stands.
pub type Name = Spot<Arc<str>>;

/// A region as written.
#[derive(Clone, Debug)]
pub struct Region {
    /// Its name.
    pub name: Name,
    /// Its failure domains.
    pub domains: Vec<Domain>,
}

/// A failure domain as written.
#[derive(Clone, Debug)]
pub struct Domain {
    /// Its name.
    pub name: Name,
    /// Names of its entry instances.
    pub entries: Vec<Name>,
    /// Names of its sites.
    pub sites: Vec<Name>,
}

/// A class as written.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: Name,
    /// Share of an instance's queue that it may fill, in percent.
    pub queue: Option<Spot<u64>>,
}

/// A service as written.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Name of its class.
    pub class: Option<Name>,
    /// Whether running a request twice does no harm.
    pub idempotent: Option<bool>,
    /// Time of a request whose caller states none, in milliseconds.
    pub deadline: u64,
    /// Names of the sites that serve it, and where the list stands.
    pub sites: Option<Spot<Vec<Name>>>,
}

/// A link as written.
#[derive(Clone, Debug)]
pub struct Link {
    /// Name of the sending region.
    pub from: Option<Name>,
    /// Name of the receiving region.
    pub to: Option<Name>,
    /// Megabits a second.
    pub mbit: Option<u64>,
}

/// A shift as written.
#[derive(Clone, Debug)]
pub struct Shift {
    /// Name of the service.
    pub service: Option<Name>,
    /// Name of the region whose callers move.
    pub from: Option<Name>,
    /// Name of the region that takes them.
    pub to: Option<Name>,
    /// Requests a second.
    pub cap: Option<u64>,
    /// Seconds until the cap is reached.
    pub ramp: u64,
}

/// What is leaving, as written.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    /// Names of sites.
    pub sites: Vec<Name>,
    /// Names of targets; the files don't declare targets, so any name goes.
    pub targets: Vec<Name>,
    /// Names of entry instances.
    pub entries: Vec<Name>,
}

/// A client block as written.
#[derive(Clone, Debug)]
pub struct Block {
    /// First address and prefix length.
    pub prefix: Option<(u32, u8)>,
    /// Where the block stands.
    pub place: Place,
    /// Name of its region.
    pub region: Option<Name>,
}

/// A whole base file, or one merged with an overlay.
#[derive(Clone, Debug, Default)]
pub struct Draft {
    /// Regions.
    pub regions: Vec<Region>,
    /// Classes, the one served first in front.
    pub classes: Vec<Class>,
    /// Services.
    pub services: Vec<Service>,
    /// Links between regions.
    pub links: Vec<Link>,
    /// Intents to shift.
    pub shifts: Vec<Shift>,
    /// What is leaving.
    pub drain: Drain,
    /// Client blocks in the base file itself.
    pub blocks: Vec<Block>,
    /// Share of a region's callers that one change may move, in percent.
    pub move_percent: u64,
}

impl Link {
    /// Both ends, if both could be read.
    #[must_use]
    pub fn ends(&self) -> Option<(&Name, &Name)> {
        self.from.as_ref().zip(self.to.as_ref())
    }
}

impl Shift {
    /// Both ends, if both could be read.
    #[must_use]
    pub fn ends(&self) -> Option<(&Name, &Name)> {
        self.from.as_ref().zip(self.to.as_ref())
    }
}
