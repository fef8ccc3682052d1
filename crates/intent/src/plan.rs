//! One verified configuration, typed, in the terms of decisions.
//!
//! Invariant: a [`Plan`] is made from a verified draft only, so that every name
//! in it leads somewhere. References are valid for this plan and its views.

pub mod build;
pub mod print;
pub mod view;

use std::sync::Arc;

use entity::PrimaryMap;
use steer::version::blocks::BlockTable;
use steer::version::view::{
    Class, ClassData, Domain, DomainData, Entry, EntryData, Link, Region, RegionData, Service,
    ServiceData, Shift, Site, SiteData,
};

/// The configuration as one place sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
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
    /// All entry instances, sorted by name.
    pub entries: PrimaryMap<Entry, EntryData>,
    /// Limits between regions, sorted by `(from, to)`.
    pub links: Vec<Link>,
    /// Intents to shift, sorted by `(service, from, to)`.
    pub shifts: Vec<Shift>,
    /// Names of the targets that are leaving, sorted.
    pub leaving: Vec<Arc<str>>,
    /// Client blocks.
    pub blocks: Arc<BlockTable>,
    /// Share of a region's callers that one change may move, in percent.
    pub move_percent: u64,
}
