//! All files of one configuration, checked together.

mod table;

use std::sync::Arc;

use jsonc::fault::{Fault, Kind, Place};
use jsonc::nearest;
use jsonc::node::{Node, Value};

use crate::draft::{self, Draft};
use crate::merge;
use crate::plan::{Plan, build};
use crate::verify;

/// A file's name and text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct File {
    /// Name, as faults show it.
    pub name: Arc<str>,
    /// Text.
    pub text: Arc<str>,
}

/// All files of one configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bundle {
    /// The base file.
    pub base: File,
    /// Overlays, in any order.
    pub overlays: Vec<File>,
    /// Files of client blocks, or the chunks that they were cut to.
    pub blocks: Vec<File>,
}

/// A site's overlay.
#[derive(Clone, Debug)]
pub struct Overlay {
    /// Name of the site.
    pub site: Arc<str>,
    /// The overlay's own tree.
    pub own: Node,
}

impl Overlay {
    /// Whether it states anything that traffic moves by: sites or caps.
    #[must_use]
    pub fn steers(&self) -> bool {
        let services = self.own.get("services").map(|node| &node.value);
        let sites = match services {
            Some(Value::Object(fields)) => fields.iter().any(|f| f.node.get("sites").is_some()),
            _ => false,
        };
        let shifts = self.own.get("shifts").map(|node| &node.value);
        let caps = match shifts {
            Some(Value::List(items)) => items.iter().any(|i| i.get("cap_per_s").is_some()),
            _ => false,
        };
        sites || caps
    }
}

/// A configuration without a fault.
///
/// Holds overlays as they were written: merged, a few hundred sites would be a
/// few hundred copies of the base.
#[derive(Clone, Debug)]
pub struct Checked {
    /// The base's tree with its defaults.
    pub root: Node,
    /// What holds where no overlay says otherwise.
    pub base: Arc<Plan>,
    /// Overlays, sorted by their sites' names.
    pub overlays: Vec<Overlay>,
}

impl Checked {
    /// The merged tree of a site; each value's place says which file it comes
    /// from.
    #[must_use]
    pub fn root_at(&self, site: &str) -> Node {
        let merged = self.overlay(site).and_then(|overlay| {
            // The check found no fault in it.
            merge::merge(&self.root, &overlay.own, &mut Vec::new())
        });
        merged.map_or_else(|| self.root.clone(), |merged| merged.root)
    }

    /// What holds at a site.
    #[must_use]
    pub fn plan_at(&self, site: &str) -> Arc<Plan> {
        if self.overlay(site).is_none() {
            return Arc::clone(&self.base);
        }
        let draft = draft::read::draft(&self.root_at(site), &mut Vec::new());
        let plan = build::plan(&draft, Arc::clone(&self.base.blocks));
        plan.map_or_else(|| Arc::clone(&self.base), Arc::new)
    }

    /// What holds at the entry instances of a failure domain: the overlay of
    /// its first site is theirs.
    #[must_use]
    pub fn plan_in(&self, domain: &str) -> Arc<Plan> {
        match home(&self.root, domain) {
            Some(site) => self.plan_at(&site),
            None => Arc::clone(&self.base),
        }
    }

    /// The overlay of a site, if it has one.
    #[must_use]
    pub fn overlay(&self, site: &str) -> Option<&Overlay> {
        let found = self.overlays.binary_search_by(|o| (*o.site).cmp(site));
        found.ok().map(|i| &self.overlays[i])
    }
}

/// The site whose overlay holds at the entry instances of a failure domain: the
/// first that the base names there.
#[must_use]
pub fn home(base: &Node, domain: &str) -> Option<Arc<str>> {
    let mut faults = Vec::new();
    let draft = draft::read::draft(base, &mut faults);
    let mut domains = draft.regions.iter().flat_map(|r| &r.domains);
    let domain = domains.find(|d| &*d.name.value == domain)?;
    let site = domain.sites.first()?;
    Some(Arc::clone(&site.value))
}

impl Bundle {
    /// Parses, merges and verifies every file. A name that stands twice in one
    /// object is found by the reader and by the verifier; one of them is told.
    ///
    /// # Errors
    /// Every fault of every file, in the order of their places.
    pub fn check(&self) -> Result<Checked, Vec<Fault>> {
        let mut faults = Vec::new();
        let checked = self.try_check(&mut faults);
        faults.sort();
        faults.dedup_by(|later, first| {
            let twice = later.kind == Kind::Duplicate && first.kind == Kind::Duplicate;
            later == first || (twice && later.place == first.place)
        });
        match checked {
            Some(checked) if faults.is_empty() => Ok(checked),
            _ => Err(faults),
        }
    }

    /// `None` leaves at least one fault.
    fn try_check(&self, faults: &mut Vec<Fault>) -> Option<Checked> {
        let root = parse(&self.base, faults);
        let overlays: Vec<Node> = self
            .overlays
            .iter()
            .filter_map(|file| parse(file, faults))
            .collect();
        let root = merge::with_defaults(&root?);
        let draft = draft::read::draft(&root, faults);
        verify::verify(&draft, faults);
        let table = table::build(&draft, &self.blocks, faults);
        let mut kept: Vec<(Overlay, Place)> = Vec::new();
        for own in overlays {
            let Some(merged) = merge::merge(&root, &own, faults) else {
                continue;
            };
            let overlaid = draft::read::draft(&merged.root, faults);
            verify::overlaid(&overlaid, faults);
            let site = merged.site;
            kept.push((Overlay { site, own }, merged.place));
        }
        report_homeless(&draft, &kept, faults);
        if !faults.is_empty() {
            return None;
        }
        let base = Arc::new(build::plan(&draft, table)?);
        let mut overlays: Vec<Overlay> = kept.into_iter().map(|(overlay, _)| overlay).collect();
        overlays.sort_by(|a, b| a.site.cmp(&b.site));
        Some(Checked {
            root,
            base,
            overlays,
        })
    }
}

fn parse(file: &File, faults: &mut Vec<Fault>) -> Option<Node> {
    match jsonc::parse(&file.name, &file.text) {
        Ok(root) => Some(root),
        Err(fault) => {
            faults.push(fault);
            None
        }
    }
}

/// An overlay that no entry instance reads, or that another one hides, would
/// be accepted and never be in force.
fn report_homeless(draft: &Draft, overlays: &[(Overlay, Place)], faults: &mut Vec<Fault>) {
    let domains: Vec<&draft::Domain> = draft.regions.iter().flat_map(|r| &r.domains).collect();
    for (i, (overlay, place)) in overlays.iter().enumerate() {
        let site = &overlay.site;
        let same = |other: &&(Overlay, Place)| other.0.site == *site;
        if let Some((_, first)) = overlays[..i].iter().find(same) {
            faults.push(Fault::new(
                place,
                Kind::Duplicate,
                format!("site \"{site}\" has two overlays"),
                format!("join this one with {}", first.file),
            ));
        }
        let own = |d: &&&draft::Domain| d.sites.iter().any(|s| s.value == *site);
        let Some(domain) = domains.iter().find(own) else {
            let names = domains.iter().flat_map(|d| &d.sites);
            let names: Vec<&str> = names.map(|s| &*s.value).collect();
            faults.push(Fault::new(
                place,
                Kind::Unknown,
                format!("site \"{site}\" is not in the base"),
                nearest::remedy(site, names.iter().copied()),
            ));
            continue;
        };
        let home = &domain.sites[0].value;
        if home != site {
            faults.push(Fault::new(
                place,
                Kind::Redundant,
                format!(
                    "no entry instance reads the overlay of \"{site}\", those in domain \"{}\" read that of \"{home}\"",
                    domain.name.value
                ),
                format!("state it for \"{home}\""),
            ));
        }
    }
}
