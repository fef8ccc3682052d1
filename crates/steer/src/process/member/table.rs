//! Table of all records that a process knows, with digests for comparing
//! tables.
//!
//! Invariant: rows are sorted by `(domain, name)`, so the rows of a domain are
//! one slice. A digest is the exclusive or of the hashes of a domain's live
//! rows. Tombstones are not part of digests and never add a row, so a forgotten
//! tombstone isn't learned again from a process that still has it.

use core::time::Duration;
use std::sync::Arc;

use super::{Record, Stamp, hash};
use crate::clock::Time;

/// A record and the time of its last change in this table.
#[derive(Clone, Debug)]
pub struct Row {
    /// The merged record.
    pub record: Arc<Record>,
    /// Local time of the last change.
    pub changed_at: Time,
}

/// Digest of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Name of the failure domain.
    pub domain: Arc<str>,
    /// Exclusive or of the hashes of its live rows; zero if there are none.
    pub value: u64,
}

/// Outcome of [`Table::merge`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// The record was added, or replaced the row of its name.
    Updated,
    /// The record replaced that of an earlier process, of this stamp, which had
    /// released its shares.
    Succeeded(Stamp),
    /// The row in the table is as new or newer, or a tombstone has no row to
    /// replace.
    Outdated,
}

/// Records by domain and name.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Row>,
    digests: Vec<Digest>,
}

impl Table {
    /// The row of a name in a domain.
    #[must_use]
    pub fn get(&self, domain: &str, name: &str) -> Option<&Row> {
        self.find(domain, name).ok().map(|at| &self.rows[at])
    }

    /// Rows of a domain, including tombstones, sorted by name.
    #[must_use]
    pub fn domain(&self, domain: &str) -> &[Row] {
        let start = self
            .rows
            .partition_point(|row| &*row.record.identity.domain < domain);
        let tail = &self.rows[start..];
        let len = tail.partition_point(|row| &*row.record.identity.domain == domain);
        &tail[..len]
    }

    /// All rows, sorted by domain and name.
    #[must_use]
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Digests of all domains that have or had rows, sorted by domain.
    #[must_use]
    pub fn digests(&self) -> &[Digest] {
        &self.digests
    }

    /// Digest of a domain; zero if it has no live row.
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

    /// Merges a record into the table if it replaces the row of its name. If
    /// `ordered` is false, any record that differs replaces a row: tests show
    /// with it that the order of stamps is needed.
    pub fn merge(&mut self, now: Time, record: &Arc<Record>, ordered: bool) -> Merge {
        let identity = &record.identity;
        let row = Row {
            record: Arc::clone(record),
            changed_at: now,
        };
        match self.find(&identity.domain, &identity.name) {
            Err(_) if !record.lifecycle.is_alive() => Merge::Outdated,
            Err(at) => {
                self.toggle_digest(record);
                self.rows.insert(at, row);
                Merge::Updated
            }
            Ok(at) => {
                let old = Arc::clone(&self.rows[at].record);
                let is_newer = record.replaces(&old) || (!ordered && *record != old);
                if !is_newer {
                    return Merge::Outdated;
                }
                self.toggle_digest(&old);
                self.toggle_digest(record);
                self.rows[at] = row;
                let has_released =
                    old.lifecycle == super::Lifecycle::Released && old.stamp < record.stamp;
                if has_released {
                    Merge::Succeeded(old.stamp)
                } else {
                    Merge::Updated
                }
            }
        }
    }

    /// Drops tombstones older than `age`.
    pub fn forget(&mut self, now: Time, age: Duration) {
        self.rows
            .retain(|row| row.record.lifecycle.is_alive() || now.since(row.changed_at) <= age);
    }

    fn find(&self, domain: &str, name: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| {
            let identity = &row.record.identity;
            (&*identity.domain, &*identity.name).cmp(&(domain, name))
        })
    }

    /// Adds a live record to its domain's digest, or removes it again; a
    /// tombstone changes nothing.
    fn toggle_digest(&mut self, record: &Record) {
        let domain = &record.identity.domain;
        let value = if record.lifecycle.is_alive() {
            hash::record_hash(record)
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
