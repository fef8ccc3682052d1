//! Addresses to try, from the settings and the platform's list.
//!
//! Invariant: hints are sorted by domain. They are never members: who doesn't
//! speak for itself isn't there.

use std::sync::Arc;

use crate::process::member::Hint;

/// The hints.
#[derive(Clone, Debug, Default)]
pub(super) struct Hints {
    seeds: Vec<Hint>,
    all: Vec<Hint>,
    fresh: bool,
}

impl Hints {
    /// Those of the settings.
    pub(super) fn new(seeds: Vec<Hint>) -> Self {
        let mut hints = Self {
            seeds,
            ..Self::default()
        };
        hints.replace(Vec::new());
        hints
    }

    /// Takes a new list in place of the last one.
    pub(super) fn replace(&mut self, listed: Vec<Hint>) {
        self.all = listed;
        self.all.extend(self.seeds.iter().cloned());
        self.all.sort_by(|a, b| a.domain.cmp(&b.domain));
        self.fresh = true;
    }

    /// Hints of one domain.
    pub(super) fn of(&self, domain: &str) -> &[Hint] {
        let start = self.all.partition_point(|h| &*h.domain < domain);
        let rest = &self.all[start..];
        let len = rest.partition_point(|h| &*h.domain == domain);
        &rest[..len]
    }

    /// Names of all domains, once after each new list.
    pub(super) fn new_domains(&mut self) -> Vec<Arc<str>> {
        if !core::mem::take(&mut self.fresh) {
            return Vec::new();
        }
        let mut domains: Vec<_> = self.all.iter().map(|h| Arc::clone(&h.domain)).collect();
        domains.dedup();
        domains
    }
}
