//! Addresses to try, from the settings and the platform's list.
//!
//! Invariant: hints are sorted by domain. A hint is never a member: only a
//! process that speaks for itself is.

use std::sync::Arc;

use crate::process::member::Hint;

/// Hints by domain.
#[derive(Clone, Debug, Default)]
pub(super) struct Hints {
    seeds: Vec<Hint>,
    all: Vec<Hint>,
    is_new: bool,
}

impl Hints {
    /// Hints from the settings alone.
    pub(super) fn new(seeds: Vec<Hint>) -> Self {
        let mut hints = Self {
            seeds,
            ..Self::default()
        };
        hints.replace(Vec::new());
        hints
    }

    /// Replaces the platform's list; hints from the settings stay.
    pub(super) fn replace(&mut self, listed: Vec<Hint>) {
        self.all = listed;
        self.all.extend(self.seeds.iter().cloned());
        self.all.sort_by(|a, b| a.domain.cmp(&b.domain));
        self.is_new = true;
    }

    /// Hints of one domain.
    pub(super) fn in_domain(&self, domain: &str) -> &[Hint] {
        let start = self.all.partition_point(|h| &*h.domain < domain);
        let tail = &self.all[start..];
        let len = tail.partition_point(|h| &*h.domain == domain);
        &tail[..len]
    }

    /// Names of all domains with hints, returned once after each new list.
    pub(super) fn take_new_domains(&mut self) -> Vec<Arc<str>> {
        if !core::mem::take(&mut self.is_new) {
            return Vec::new();
        }
        let mut domains: Vec<_> = self.all.iter().map(|h| Arc::clone(&h.domain)).collect();
        domains.dedup();
        domains
    }
}
