//! Replica of the platform's store, item by item with the revision of its last change,
//! so that one instance can bring another up to date.
//!
//! Invariants: an item is replaced only by a later revision of it, whatever the source.
//! Deletions are remembered for as long as [`Replica::changes_since`] answers with
//! changes instead of a full snapshot.

use std::sync::Arc;

/// Item as the store held it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key in the store.
    pub key: Arc<str>,
    /// Revision of its last change.
    pub revision: u64,
    /// Value; `None` if it was deleted.
    pub value: Option<Arc<[u8]>>,
}

/// Update of one replica from another, or from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// Revision up to which the receiver knows everything afterwards.
    pub revision: u64,
    /// Whether this is a full snapshot, in which items not named are gone, or only
    /// changes.
    pub is_full: bool,
    /// Items in any order.
    pub items: Vec<Item>,
}

/// Largest number of remembered deletions. Beyond it the older half is forgotten, and
/// readers behind them get a full snapshot.
const DELETED_ITEMS_MAX: usize = 4096;

/// Items by key, including recently deleted ones.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    revision: u64,
    /// Readers that know this revision or a later one can be sent changes.
    changes_floor: u64,
    /// Sorted by key.
    items: Vec<Item>,
    deleted_count: usize,
}

impl Replica {
    /// Revision up to which everything is known; 0 before the first update.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies an update and returns the items it changed, the oldest first and each
    /// key once. An update that ends before the known revision changes nothing.
    pub fn apply(&mut self, update: Update) -> Vec<Item> {
        if update.revision < self.revision {
            return Vec::new();
        }
        let mut changed = Vec::new();
        let mut keys = Vec::new();
        for item in update.items {
            if update.is_full {
                keys.push(Arc::clone(&item.key));
            }
            if self.put(&item) {
                changed.push(item);
            }
        }
        if update.is_full {
            keys.sort_unstable();
            changed.extend(self.delete_unnamed(&keys, update.revision));
            // Earlier deletions are not known one by one.
            self.changes_floor = update.revision;
        }
        self.revision = update.revision;
        self.forget_deleted();
        changed.sort_by_key(|item| item.revision);
        // An update may name a key several times; the last change counts.
        let held = |item: &Item| self.find(&item.key).map(|at| self.items[at].revision);
        changed.retain(|item| held(item) == Ok(item.revision));
        changed
    }

    /// Update for a reader that knows everything up to `known`.
    #[must_use]
    pub fn changes_since(&self, known: u64) -> Update {
        let is_full = known < self.changes_floor;
        let is_missed = |item: &&Item| {
            if is_full {
                item.value.is_some()
            } else {
                item.revision > known
            }
        };
        Update {
            revision: self.revision,
            is_full,
            items: self.items.iter().filter(is_missed).cloned().collect(),
        }
    }

    /// Stores an item unless a later revision of it is known; returns whether it was
    /// stored.
    fn put(&mut self, item: &Item) -> bool {
        match self.find(&item.key) {
            Ok(at) => {
                let held = &self.items[at];
                if held.revision >= item.revision {
                    return false;
                }
                self.deleted_count -= usize::from(held.value.is_none());
                self.items[at] = item.clone();
            }
            Err(at) => self.items.insert(at, item.clone()),
        }
        self.deleted_count += usize::from(item.value.is_none());
        true
    }

    /// Deletes the items that a full snapshot of `revision` does not name and that have
    /// not changed since.
    fn delete_unnamed(&mut self, keys: &[Arc<str>], revision: u64) -> Vec<Item> {
        let mut deleted_items = Vec::new();
        for item in &mut self.items {
            let is_outdated = item.value.is_some() && item.revision <= revision;
            if is_outdated && keys.binary_search(&item.key).is_err() {
                item.value = None;
                item.revision = revision;
                self.deleted_count += 1;
                deleted_items.push(item.clone());
            }
        }
        deleted_items
    }

    fn forget_deleted(&mut self) {
        if self.deleted_count <= DELETED_ITEMS_MAX {
            return;
        }
        let deleted = self.items.iter().filter(|item| item.value.is_none());
        let mut revisions: Vec<u64> = deleted.map(|item| item.revision).collect();
        revisions.sort_unstable();
        let last = revisions[revisions.len() / 2];
        self.changes_floor = self.changes_floor.max(last);
        self.items
            .retain(|item| item.value.is_some() || item.revision > last);
        let deleted = self.items.iter().filter(|item| item.value.is_none());
        self.deleted_count = deleted.count();
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.items.binary_search_by(|item| (*item.key).cmp(key))
    }
}
