//! All records that a process holds, with digests to compare them by.
//!
//! Invariant: rows are sorted by `(domain, name)`, so a domain's rows are one
//! slice; a digest is the exclusive or of its live rows' hashes. Tombstones are
//! outside of digests and never start a row, so they can be forgotten without
//! being learned again from somebody who hasn't yet.

use core::time::Duration;
use std::sync::Arc;

use super::{Record, Stamp, hash};
use crate::clock::Time;

/// A record and when this process last changed it.
#[derive(Clone, Debug)]
pub struct Row {
    /// The record.
    pub record: Arc<Record>,
    /// When it was written here.
    pub since: Time,
}

/// One domain's digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Name of the failure domain.
    pub domain: Arc<str>,
    /// Digest of its live rows; zero if there are none.
    pub value: u64,
}

/// What became of an offered record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// It is new, or replaced the row of the same process.
    Taken,
    /// It replaced another process's row; that one had given up its shares.
    Succeeded(Stamp),
    /// The row here is as new or newer.
    Old,
}

/// The table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Row>,
    digests: Vec<Digest>,
}

impl Table {
    /// The row of a process's name in a domain.
    #[must_use]
    pub fn get(&self, domain: &str, name: &str) -> Option<&Row> {
        self.find(domain, name).ok().map(|at| &self.rows[at])
    }

    /// A domain's rows, tombstones too, sorted by name.
    #[must_use]
    pub fn domain(&self, domain: &str) -> &[Row] {
        let start = self
            .rows
            .partition_point(|row| &*row.record.identity.domain < domain);
        let rest = &self.rows[start..];
        let len = rest.partition_point(|row| &*row.record.identity.domain == domain);
        &rest[..len]
    }

    /// All rows, sorted by domain and name.
    #[must_use]
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Digests of all domains that have or had rows, sorted by name.
    #[must_use]
    pub fn digests(&self) -> &[Digest] {
        &self.digests
    }

    /// A domain's digest; zero if it has no live row.
    #[must_use]
    pub fn digest(&self, domain: &str) -> u64 {
        self.digests
            .binary_search_by(|d| (*d.domain).cmp(domain))
            .map_or(0, |at| self.digests[at].value)
    }

    /// Digest over all domains.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.digests.iter().fold(0, |sum, d| sum ^ d.value)
    }

    /// Takes a record if it replaces the row here. With `ordered` off any live
    /// record that differs is taken: the ablation of the order of stamps.
    pub fn merge(&mut self, now: Time, record: &Arc<Record>, ordered: bool) -> Merge {
        let identity = &record.identity;
        let row = Row {
            record: Arc::clone(record),
            since: now,
        };
        match self.find(&identity.domain, &identity.name) {
            Err(_) if !record.lifecycle.is_alive() => Merge::Old,
            Err(at) => {
                self.toggle(record);
                self.rows.insert(at, row);
                Merge::Taken
            }
            Ok(at) => {
                let old = Arc::clone(&self.rows[at].record);
                let newer = record.replaces(&old) || (!ordered && *record != old);
                if !newer {
                    return Merge::Old;
                }
                self.toggle(&old);
                self.toggle(record);
                self.rows[at] = row;
                let released =
                    old.lifecycle == super::Lifecycle::Released && old.stamp < record.stamp;
                if released {
                    Merge::Succeeded(old.stamp)
                } else {
                    Merge::Taken
                }
            }
        }
    }

    /// Forgets tombstones older than `age`.
    pub fn forget(&mut self, now: Time, age: Duration) {
        self.rows
            .retain(|row| row.record.lifecycle.is_alive() || now.since(row.since) <= age);
    }

    fn find(&self, domain: &str, name: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| {
            let identity = &row.record.identity;
            (&*identity.domain, &*identity.name).cmp(&(domain, name))
        })
    }

    /// Adds a live record to its domain's digest, or takes it out again.
    fn toggle(&mut self, record: &Record) {
        let domain = &record.identity.domain;
        let value = if record.lifecycle.is_alive() {
            hash::record(record)
        } else {
            0
        };
        match self.digests.binary_search_by(|d| d.domain.cmp(domain)) {
            Ok(at) => self.digests[at].value ^= value,
            Err(at) => self.digests.insert(
                at,
                Digest {
                    domain: Arc::clone(domain),
                    value,
                },
            ),
        }
    }
}
