//! The immutable picture of the world that one decision is made from.
//!
//! A [`View`] joins one accepted version of the configuration with the newest
//! list of instances. Invariant: once built it never changes; references are
//! valid for this view only, names stay valid across views.

use core::fmt;
use core::time::Duration;
use std::net::SocketAddr;
use std::sync::Arc;

use entity::{PrimaryMap, entity_ref};
use serde::{Deserialize, Serialize};

use super::blocks::BlockTable;

entity_ref! {
    /// A region: failure domains that share links to other regions.
    Region, "region"
}
entity_ref! {
    /// A failure domain.
    Domain, "domain"
}
entity_ref! {
    /// A site: the targets of one data centre, within one failure domain.
    Site, "site"
}
entity_ref! {
    /// A service that sites serve.
    Service, "service"
}
entity_ref! {
    /// A class of services; a lower index is served first.
    Class, "class"
}
entity_ref! {
    /// An instance that runs a service.
    Target, "target"
}
entity_ref! {
    /// An entry instance of this system, by its configured name.
    Entry, "entry"
}
entity_ref! {
    /// A process of this system that is believed alive.
    Member, "member"
}

/// The number of an accepted configuration. Zero is "none yet".
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.0)
    }
}

/// Identity of one process: random at each start, never reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Whether an instance takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Takes new work.
    Live,
    /// Finishes what it has; gets nothing new.
    Leaving,
}

/// A region's facts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionData {
    /// Name, unique among regions.
    pub name: Arc<str>,
}

/// A failure domain's facts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainData {
    /// Name, unique among domains.
    pub name: Arc<str>,
    /// Region the domain lies in.
    pub region: Region,
}

/// A site's facts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteData {
    /// Name, unique among sites.
    pub name: Arc<str>,
    /// Failure domain the site lies in.
    pub domain: Domain,
    /// Whether an operator is draining the site.
    pub state: State,
}

/// A class's facts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassData {
    /// Name, unique among classes.
    pub name: Arc<str>,
    /// Share of an instance's queue that the class may fill, 1 to 100 percent.
    pub queue_percent: u8,
}

/// A service's facts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceData {
    /// Name, unique among services.
    pub name: Arc<str>,
    /// Class that decides who yields first.
    pub class: Class,
    /// Whether running a request twice does no harm.
    pub is_idempotent: bool,
    /// Time a request has when its caller states no deadline.
    pub deadline: Duration,
    /// Sites that serve it, sorted.
    pub sites: Vec<Site>,
}

/// A target's facts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetData {
    /// Name, unique among targets.
    pub name: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Site it belongs to.
    pub site: Site,
    /// Service it runs.
    pub service: Service,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Whether the list or an operator says it is leaving.
    pub state: State,
}

/// An entry instance's facts, as configured. Static shares of a cap are counted
/// by these, not by the processes that happen to be alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryData {
    /// Name, unique among entry instances; a replacement takes it over.
    pub name: Arc<str>,
    /// Failure domain it runs in.
    pub domain: Domain,
    /// Whether an operator is draining it.
    pub state: State,
}

/// A process of this system that is believed alive, as it spoke of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberData {
    /// Name of the entry instance that the process is.
    pub name: Arc<str>,
    /// Which process it is.
    pub incarnation: Incarnation,
    /// Failure domain it runs in.
    pub domain: Domain,
    /// Where callers reach it.
    pub addr: SocketAddr,
    /// Where its peers reach it.
    pub peer: SocketAddr,
    /// Whether it takes new callers.
    pub state: State,
}

/// What one pair of regions can carry in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Link {
    /// Sending region.
    pub from: Region,
    /// Receiving region.
    pub to: Region,
    /// Limit in bits per second, over all instances.
    pub bits_per_s: u64,
}

/// How far one service's traffic may shift from one region to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shift {
    /// Service the intent is for.
    pub service: Service,
    /// Region whose callers are moved.
    pub from: Region,
    /// Region that takes them.
    pub to: Region,
    /// Cap in requests per second, over all instances.
    pub cap: u64,
    /// Time over which a shift grows from nothing to its cap, for cold caches.
    pub ramp: Duration,
}

/// One version of the configuration joined with the list of instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Version of the configuration behind this view.
    pub version: Version,
    /// All regions, sorted by name.
    pub regions: PrimaryMap<Region, RegionData>,
    /// All failure domains, sorted by name.
    pub domains: PrimaryMap<Domain, DomainData>,
    /// All sites, sorted by name.
    pub sites: PrimaryMap<Site, SiteData>,
    /// All classes, the one served first in front.
    pub classes: PrimaryMap<Class, ClassData>,
    /// All services, sorted by name.
    pub services: PrimaryMap<Service, ServiceData>,
    /// All targets, sorted by name.
    pub targets: PrimaryMap<Target, TargetData>,
    /// All configured entry instances, sorted by name.
    pub entries: PrimaryMap<Entry, EntryData>,
    /// All processes of this system believed alive, sorted by name.
    pub members: PrimaryMap<Member, MemberData>,
    /// Limits between regions, sorted by `(from, to)`.
    pub links: Vec<Link>,
    /// Intents to shift, sorted by `(service, from, to)`.
    pub shifts: Vec<Shift>,
    /// Client blocks; shared by the versions that leave them unchanged.
    pub blocks: Arc<BlockTable>,
}

impl View {
    /// Region of this name.
    #[must_use]
    pub fn region(&self, name: &str) -> Option<Region> {
        self.regions.find_name(name, |data| &data.name)
    }

    /// Failure domain of this name.
    #[must_use]
    pub fn domain(&self, name: &str) -> Option<Domain> {
        self.domains.find_name(name, |data| &data.name)
    }

    /// Site of this name.
    #[must_use]
    pub fn site(&self, name: &str) -> Option<Site> {
        self.sites.find_name(name, |data| &data.name)
    }

    /// Service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<Service> {
        self.services.find_name(name, |data| &data.name)
    }

    /// Target of this name.
    #[must_use]
    pub fn target(&self, name: &str) -> Option<Target> {
        self.targets.find_name(name, |data| &data.name)
    }

    /// Configured entry instance of this name.
    #[must_use]
    pub fn entry(&self, name: &str) -> Option<Entry> {
        self.entries.find_name(name, |data| &data.name)
    }

    /// Process believed alive under this name.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<Member> {
        self.members.find_name(name, |data| &data.name)
    }

    /// Failure domain that a target runs in.
    #[must_use]
    pub fn target_domain(&self, target: Target) -> Domain {
        self.sites[self.targets[target].site].domain
    }
}
