//! What a change changes, setting by setting, and what it would move.

use core::fmt;
use std::sync::Arc;

use steer::version::view::Region;

use crate::bundle::Checked;
use crate::listing::{self, Setting};
use crate::moves::{self, Move};
use crate::plan::Plan;

/// Field of an overlay that says whose it is.
const SITE: &str = "site";

/// One setting that a change adds, removes or alters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changed {
    /// Site whose overlay's result it is; `None` for the base.
    pub site: Option<String>,
    /// The way to the setting.
    pub path: String,
    /// Its value before.
    pub old: Option<String>,
    /// Its value after.
    pub new: Option<String>,
}

impl fmt::Display for Changed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(site) = &self.site {
            write!(f, "at {site}: ")?;
        }
        let old = self.old.as_deref().unwrap_or("(none)");
        let new = self.new.as_deref().unwrap_or("(none)");
        write!(f, "{}: {old} -> {new}", self.path)
    }
}

/// A whole change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diff {
    /// Settings, sorted by path; the base's first.
    pub changed: Vec<Changed>,
    /// Ranges of client blocks before and after, if any block differs.
    pub ranges: Option<(usize, usize)>,
    /// Traffic that may move, sorted.
    pub moves: Vec<Move>,
}

/// Compares two configurations.
#[must_use]
pub fn diff(old: &Checked, new: &Checked) -> Diff {
    let before = sorted(listing::settings(&old.root));
    let after = sorted(listing::settings(&new.root));
    let mut changed = changes(&before, &after);
    for site in sites(old, new) {
        let old = Stated::new(old, &site, &before);
        let new = Stated::new(new, &site, &after);
        changed.extend(changes_at(&site, &old, &new));
    }
    Diff {
        changed,
        ranges: (!same_blocks(&old.base, &new.base))
            .then(|| (old.base.blocks.len(), new.base.blocks.len())),
        moves: moves::moves(old, new),
    }
}

/// References of two versions differ once a region comes or goes; names don't.
fn same_blocks(old: &Plan, new: &Plan) -> bool {
    if Arc::ptr_eq(&old.blocks, &new.blocks) {
        return true;
    }
    let name = |plan: &'_ Plan, region: Option<Region>| {
        region.map(|region| Arc::clone(&plan.regions[region].name))
    };
    let before = old.blocks.ranges().map(|(start, r)| (start, name(old, r)));
    let after = new.blocks.ranges().map(|(start, r)| (start, name(new, r)));
    before.eq(after)
}

/// What one version states for a site. Only what an overlay states can differ
/// from the base, so that no site's whole result need be listed.
struct Stated<'a> {
    own: Vec<Setting>,
    base: &'a [Setting],
}

impl<'a> Stated<'a> {
    fn new(checked: &Checked, site: &str, base: &'a [Setting]) -> Self {
        let own = checked.overlay(site);
        let own = own.map_or(Vec::new(), |overlay| listing::settings(&overlay.own));
        Self {
            own: sorted(own),
            base,
        }
    }

    fn value(&self, path: &str) -> Option<&String> {
        find(&self.own, path).or_else(|| find(self.base, path))
    }

    /// Whether the value at the site is the base's.
    fn inherits(&self, path: &str) -> bool {
        self.value(path) == find(self.base, path)
    }
}

fn find<'a>(settings: &'a [Setting], path: &str) -> Option<&'a String> {
    let found = settings.binary_search_by(|s| (*s.path).cmp(path));
    found.ok().map(|i| &settings[i].value)
}

fn changes_at(site: &str, old: &Stated<'_>, new: &Stated<'_>) -> Vec<Changed> {
    let both = old.own.iter().chain(&new.own);
    let mut paths: Vec<&str> = both.map(|s| &*s.path).collect();
    paths.sort_unstable();
    paths.dedup();
    let differing = paths.into_iter().filter(|path| {
        let followed = old.inherits(path) && new.inherits(path);
        *path != SITE && !followed && old.value(path) != new.value(path)
    });
    differing
        .map(|path| Changed {
            site: Some(site.to_owned()),
            path: path.to_owned(),
            old: old.value(path).cloned(),
            new: new.value(path).cloned(),
        })
        .collect()
}

fn sites(old: &Checked, new: &Checked) -> Vec<String> {
    let both = old.overlays.iter().chain(&new.overlays);
    let mut names: Vec<String> = both.map(|s| s.site.to_string()).collect();
    names.sort();
    names.dedup();
    names
}

/// Settings whose value differs, by a merge of the two sorted lists.
fn changes(old: &[Setting], new: &[Setting]) -> Vec<Changed> {
    let mut changed = Vec::new();
    let (mut i, mut j) = (0, 0);
    while i < old.len() || j < new.len() {
        let before = old
            .get(i)
            .filter(|a| new.get(j).is_none_or(|b| a.path <= b.path));
        let after = new
            .get(j)
            .filter(|b| old.get(i).is_none_or(|a| b.path <= a.path));
        i += usize::from(before.is_some());
        j += usize::from(after.is_some());
        let values = (before.map(|s| &s.value), after.map(|s| &s.value));
        let Some(path) = before.or(after).map(|s| &s.path) else {
            break;
        };
        if values.0 != values.1 {
            changed.push(Changed {
                site: None,
                path: path.clone(),
                old: values.0.cloned(),
                new: values.1.cloned(),
            });
        }
    }
    changed
}

fn sorted(mut settings: Vec<Setting>) -> Vec<Setting> {
    settings.sort_by(|a, b| a.path.cmp(&b.path));
    settings
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changed.is_empty() && self.ranges.is_none() {
            return writeln!(f, "nothing changes");
        }
        for changed in &self.changed {
            writeln!(f, "{changed}")?;
        }
        if let Some((old, new)) = self.ranges {
            writeln!(f, "client blocks differ: {old} -> {new} ranges")?;
        }
        if self.moves.is_empty() {
            return writeln!(f, "no traffic moves between regions");
        }
        for moved in &self.moves {
            writeln!(f, "may move: {moved}")?;
        }
        Ok(())
    }
}
