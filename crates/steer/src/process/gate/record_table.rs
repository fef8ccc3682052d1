//! Table of records by key, bounded in number and expired by age.
//!
//! Invariant: records are sorted by epoch, then by key. New keys carry the newest
//! epochs, so they are inserted near the end, and the records to expire are at
//! the front.

use std::sync::Arc;

/// Identifies a record: the epoch that determines its age, and the key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordId {
    /// Epoch, as counted by the process that keeps the record.
    pub epoch: u64,
    /// Key text as sent by the caller.
    pub key: Arc<str>,
}

/// Records sorted by [`RecordId`].
pub struct RecordTable<V> {
    records: Vec<(RecordId, V)>,
    max: usize,
}

impl<V> RecordTable<V> {
    /// Creates an empty table that is full at `max` records.
    pub const fn new(max: usize) -> Self {
        Self {
            records: Vec::new(),
            max,
        }
    }

    /// Number of records.
    pub const fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table has no room for another record.
    pub const fn is_full(&self) -> bool {
        self.records.len() >= self.max
    }

    /// Returns whether more than half of the capacity is in use.
    pub const fn is_crowded(&self) -> bool {
        self.records.len() > self.max / 2
    }

    /// Returns the record with this id.
    pub fn get(&self, id: &RecordId) -> Option<&V> {
        let at = self.search(id).ok()?;
        Some(&self.records[at].1)
    }

    /// Returns the record with this id for modification.
    pub fn get_mut(&mut self, id: &RecordId) -> Option<&mut V> {
        let at = self.search(id).ok()?;
        Some(&mut self.records[at].1)
    }

    /// Adds a record, or replaces the one with this id. Does not enforce `max`:
    /// check [`RecordTable::is_full`] first.
    pub fn insert(&mut self, id: RecordId, value: V) {
        match self.search(&id) {
            Ok(at) => self.records[at].1 = value,
            Err(at) => self.records.insert(at, (id, value)),
        }
    }

    /// Removes the record with this id.
    pub fn remove(&mut self, id: &RecordId) -> Option<V> {
        let at = self.search(id).ok()?;
        Some(self.records.remove(at).1)
    }

    /// Removes the records of epochs before `epoch` for which `may_forget` holds.
    pub fn forget_before(&mut self, epoch: u64, mut may_forget: impl FnMut(&V) -> bool) {
        let end = self.records.partition_point(|(id, _)| id.epoch < epoch);
        self.records
            .extract_if(..end, |(_, value)| may_forget(value))
            .for_each(drop);
    }

    /// Removes the records of exactly this epoch for which `may_forget` holds.
    pub fn forget_at(&mut self, epoch: u64, mut may_forget: impl FnMut(&V) -> bool) {
        let start = self.records.partition_point(|(id, _)| id.epoch < epoch);
        let end = self.records.partition_point(|(id, _)| id.epoch <= epoch);
        self.records
            .extract_if(start..end, |(_, value)| may_forget(value))
            .for_each(drop);
    }

    fn search(&self, id: &RecordId) -> Result<usize, usize> {
        self.records.binary_search_by(|(other, _)| other.cmp(id))
    }
}
