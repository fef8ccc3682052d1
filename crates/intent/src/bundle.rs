//! All files of one configuration, checked together.

mod table;

use std::sync::Arc;

use jsonc::fault::{Fault, Kind};
use jsonc::nearest;
use jsonc::node::Node;
use steer::version::blocks::BlockTable;

use crate::draft::{self, Draft};
use crate::merge::{self, Merged};
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

/// What holds at one site that has an overlay.
#[derive(Clone, Debug)]
pub struct SitePlan {
    /// Name of the site.
    pub site: Arc<str>,
    /// The merged tree; each value's place says which file it comes from.
    pub root: Node,
    /// The plan.
    pub plan: Plan,
}

/// A configuration without a fault.
#[derive(Clone, Debug)]
pub struct Checked {
    /// The base's tree with its defaults.
    pub root: Node,
    /// What holds where no overlay says otherwise.
    pub base: Plan,
    /// Sites with an overlay, sorted by name.
    pub sites: Vec<SitePlan>,
}

impl Checked {
    /// What holds at a site.
    #[must_use]
    pub fn plan_at(&self, site: &str) -> &Plan {
        let found = self.sites.binary_search_by(|s| (*s.site).cmp(site));
        found.map_or(&self.base, |i| &self.sites[i].plan)
    }

    /// What holds at the entry instances of a failure domain: the overlay of
    /// its first site is theirs.
    #[must_use]
    pub fn plan_in(&self, domain: &str) -> &Plan {
        let Some(home) = home(&self.root, domain) else {
            return &self.base;
        };
        self.plan_at(&home)
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
        let merged: Vec<Merged> = overlays
            .iter()
            .filter_map(|overlay| merge::merge(&root, overlay, faults))
            .collect();
        report_homeless(&draft, &merged, faults);
        let drafts: Vec<Draft> = merged.iter().map(|m| redraft(m, faults)).collect();
        if !faults.is_empty() {
            return None;
        }
        let base = build::plan(&draft, Arc::clone(&table))?;
        let sites = merged.into_iter().zip(&drafts);
        let sites = sites.map(|(merged, draft)| site_plan(merged, draft, &table));
        let mut sites = sites.collect::<Option<Vec<SitePlan>>>()?;
        sites.sort_by(|a, b| a.site.cmp(&b.site));
        Some(Checked { root, base, sites })
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

/// Reads and verifies a merged tree. Faults of the base are found once more at
/// the same places; the caller drops doubles.
fn redraft(merged: &Merged, faults: &mut Vec<Fault>) -> Draft {
    let draft = draft::read::draft(&merged.root, faults);
    verify::overlaid(&draft, faults);
    draft
}

fn site_plan(merged: Merged, draft: &Draft, table: &Arc<BlockTable>) -> Option<SitePlan> {
    Some(SitePlan {
        plan: build::plan(draft, Arc::clone(table))?,
        site: merged.site,
        root: merged.root,
    })
}

/// An overlay that no entry instance reads, or that another one hides, would
/// be accepted and never be in force.
fn report_homeless(draft: &Draft, merged: &[Merged], faults: &mut Vec<Fault>) {
    let domains: Vec<&draft::Domain> = draft.regions.iter().flat_map(|r| &r.domains).collect();
    for (i, overlay) in merged.iter().enumerate() {
        let site = &overlay.site;
        if let Some(first) = merged[..i].iter().find(|m| m.site == *site) {
            faults.push(Fault::new(
                &overlay.place,
                Kind::Duplicate,
                format!("site \"{site}\" has two overlays"),
                format!("join this one with {}", first.place.file),
            ));
        }
        let own = |d: &&&draft::Domain| d.sites.iter().any(|s| s.value == *site);
        let Some(domain) = domains.iter().find(own) else {
            let names = domains.iter().flat_map(|d| &d.sites);
            let names: Vec<&str> = names.map(|s| &*s.value).collect();
            faults.push(Fault::new(
                &overlay.place,
                Kind::Unknown,
                format!("site \"{site}\" is not in the base"),
                nearest::remedy(site, names.iter().copied()),
            ));
            continue;
        };
        let home = &domain.sites[0].value;
        if home != site {
            faults.push(Fault::new(
                &overlay.place,
                Kind::Redundant,
                format!(
                    "no entry instance reads the overlay of \"{site}\"; those of \"{}\" read that of \"{home}\"",
                    domain.name.value
                ),
                format!("state it for \"{home}\""),
            ));
        }
    }
}
