//! Immutable snapshot of the configuration and the known instances.
//!
//! A [`View`] joins one accepted version of the configuration with the newest list
//! of instances. Invariant: a view never changes once built. Entity references are
//! valid for one view only; names stay valid across views.

use core::fmt;
use core::time::Duration;
use std::net::SocketAddr;
use std::sync::Arc;

use entity::{PrimaryMap, entity_ref};
use serde::{Deserialize, Serialize};

use super::blocks::BlockTable;

entity_ref! {
    /// Region: failure domains that share links to other regions.
    Region, "region"
}
entity_ref! {
    /// Failure domain.
    Domain, "domain"
}
entity_ref! {
    /// Site: the targets of one data centre, within one failure domain.
    Site, "site"
}
entity_ref! {
    /// Service that sites serve.
    Service, "service"
}
entity_ref! {
    /// Priority class of services. Classes with a lower index are served first.
    Class, "class"
}
entity_ref! {
    /// Target: an instance that runs a service.
    Target, "target"
}
entity_ref! {
    /// Configured entry instance of this system.
    Entry, "entry"
}
entity_ref! {
    /// Process of this system that is considered alive.
    Member, "member"
}

/// Version number of an accepted configuration. Zero stands for none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.0)
    }
}

/// Identity of one process, drawn at random at each start and never reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Whether an instance accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Accepts new requests.
    Live,
    /// Draining: finishes its requests and gets no new ones.
    Leaving,
}

/// Properties of a region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionData {
    /// Name, unique among regions.
    pub name: Arc<str>,
}

/// Properties of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainData {
    /// Name, unique among domains.
    pub name: Arc<str>,
    /// Region the domain lies in.
    pub region: Region,
}

/// Properties of a site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteData {
    /// Name, unique among sites.
    pub name: Arc<str>,
    /// Failure domain the site lies in.
    pub domain: Domain,
    /// Whether an operator is draining the site.
    pub state: State,
}

/// Properties of a class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassData {
    /// Name, unique among classes.
    pub name: Arc<str>,
    /// Share of an instance's queue that the class may use, from 1 to 100 percent.
    pub queue_percent: u8,
}

/// Properties of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceData {
    /// Name, unique among services.
    pub name: Arc<str>,
    /// Priority class.
    pub class: Class,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Default deadline of requests whose callers give none.
    pub deadline: Duration,
    /// Sites that serve it, in ascending order.
    pub sites: Vec<Site>,
}

/// Properties of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetData {
    /// Name, unique among targets.
    pub name: Arc<str>,
    /// Address on which it accepts requests.
    pub addr: SocketAddr,
    /// Site it belongs to.
    pub site: Site,
    /// Service it runs.
    pub service: Service,
    /// Number of requests that it runs at a time.
    pub slots: u32,
    /// [`State::Leaving`] if the list of instances or an operator says so.
    pub state: State,
}

/// Properties of a configured entry instance. Static shares of a cap are computed from
/// these, not from the processes that are currently alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryData {
    /// Name, unique among entry instances. A replacement has the same name.
    pub name: Arc<str>,
    /// Failure domain it runs in.
    pub domain: Domain,
    /// Whether an operator is draining it.
    pub state: State,
}

/// Properties of a process of this system that is considered alive, as it reported
/// them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberData {
    /// Name of its entry instance.
    pub name: Arc<str>,
    /// Identity of the process.
    pub incarnation: Incarnation,
    /// Failure domain it runs in.
    pub domain: Domain,
    /// Address for callers.
    pub addr: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Whether it accepts new callers.
    pub state: State,
}

/// Capacity between two regions in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Link {
    /// Sending region.
    pub from: Region,
    /// Receiving region.
    pub to: Region,
    /// Limit in bits per second over all instances.
    pub bits_per_s: u64,
}

/// Bound on the traffic of a service that is shifted from one region to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shift {
    /// Service whose traffic may be shifted.
    pub service: Service,
    /// Region of the callers.
    pub from: Region,
    /// Region that serves them instead.
    pub to: Region,
    /// Maximum rate in requests per second over all instances.
    pub cap: u64,
    /// Time over which the rate grows from zero to the cap, so that caches can warm up.
    pub ramp: Duration,
}

/// Snapshot of one version of the configuration and the list of instances.
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
    /// All classes, in the order in which they are served.
    pub classes: PrimaryMap<Class, ClassData>,
    /// All services, sorted by name.
    pub services: PrimaryMap<Service, ServiceData>,
    /// All targets, sorted by name.
    pub targets: PrimaryMap<Target, TargetData>,
    /// All configured entry instances, sorted by name.
    pub entries: PrimaryMap<Entry, EntryData>,
    /// All processes of this system that are considered alive, sorted by name.
    pub members: PrimaryMap<Member, MemberData>,
    /// Links between regions, sorted by `(from, to)`.
    pub links: Vec<Link>,
    /// Permitted shifts, sorted by `(service, from, to)`.
    pub shifts: Vec<Shift>,
    /// Client blocks. Versions that don't change them share the table.
    pub blocks: Arc<BlockTable>,
}

impl View {
    /// Finds a region by name.
    #[must_use]
    pub fn region(&self, name: &str) -> Option<Region> {
        self.regions.find_name(name, |data| &data.name)
    }

    /// Finds a failure domain by name.
    #[must_use]
    pub fn domain(&self, name: &str) -> Option<Domain> {
        self.domains.find_name(name, |data| &data.name)
    }

    /// Finds a site by name.
    #[must_use]
    pub fn site(&self, name: &str) -> Option<Site> {
        self.sites.find_name(name, |data| &data.name)
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<Service> {
        self.services.find_name(name, |data| &data.name)
    }

    /// Finds a target by name.
    #[must_use]
    pub fn target(&self, name: &str) -> Option<Target> {
        self.targets.find_name(name, |data| &data.name)
    }

    /// Finds a configured entry instance by name.
    #[must_use]
    pub fn entry(&self, name: &str) -> Option<Entry> {
        self.entries.find_name(name, |data| &data.name)
    }

    /// Finds the process that is considered alive under a name.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<Member> {
        self.members.find_name(name, |data| &data.name)
    }

    /// Returns the failure domain of a target.
    #[must_use]
    pub fn target_domain(&self, target: Target) -> Domain {
        self.sites[self.targets[target].site].domain
    }
}
