//! Records by key, bounded in number, forgotten by age.
//!
//! Invariant: slots are sorted by epoch, then by key. New keys carry the newest
//! epochs, so they are inserted near the end, and what may be forgotten stands
//! at the front.

use std::sync::Arc;

/// Names a record: the epoch that its age is counted by, and the key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Name {
    /// Epoch of the process that keeps the record.
    pub epoch: u64,
    /// The key as sent.
    pub key: Arc<str>,
}

/// Records sorted by [`Name`].
pub struct Book<V> {
    slots: Vec<(Name, V)>,
    max: usize,
}

impl<V> Book<V> {
    /// An empty book that never holds more than `max` records.
    pub const fn new(max: usize) -> Self {
        Self {
            slots: Vec::new(),
            max,
        }
    }

    /// Number of records.
    pub const fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there is no room for another record.
    pub const fn is_full(&self) -> bool {
        self.slots.len() >= self.max
    }

    /// Whether more than half of the room is taken.
    pub const fn is_crowded(&self) -> bool {
        self.slots.len() > self.max / 2
    }

    /// The record of this name.
    pub fn get(&self, name: &Name) -> Option<&V> {
        let at = self.search(name).ok()?;
        Some(&self.slots[at].1)
    }

    /// The record of this name, to be changed.
    pub fn get_mut(&mut self, name: &Name) -> Option<&mut V> {
        let at = self.search(name).ok()?;
        Some(&mut self.slots[at].1)
    }

    /// Adds a record, or replaces the one of this name. The caller has asked
    /// [`Book::is_full`].
    pub fn insert(&mut self, name: Name, value: V) {
        match self.search(&name) {
            Ok(at) => self.slots[at].1 = value,
            Err(at) => self.slots.insert(at, (name, value)),
        }
    }

    /// Removes the record of this name.
    pub fn remove(&mut self, name: &Name) -> Option<V> {
        let at = self.search(name).ok()?;
        Some(self.slots.remove(at).1)
    }

    /// Forgets the records of epochs before `epoch` that `done` allows.
    pub fn forget_before(&mut self, epoch: u64, mut done: impl FnMut(&V) -> bool) {
        let end = self.slots.partition_point(|(name, _)| name.epoch < epoch);
        self.slots
            .extract_if(..end, |(_, value)| done(value))
            .for_each(drop);
    }

    /// Forgets the records of exactly this epoch that `done` allows.
    pub fn forget_at(&mut self, epoch: u64, mut done: impl FnMut(&V) -> bool) {
        let start = self.slots.partition_point(|(name, _)| name.epoch < epoch);
        let end = self.slots.partition_point(|(name, _)| name.epoch <= epoch);
        self.slots
            .extract_if(start..end, |(_, value)| done(value))
            .for_each(drop);
    }

    fn search(&self, name: &Name) -> Result<usize, usize> {
        self.slots.binary_search_by(|(at, _)| at.cmp(name))
    }
}
