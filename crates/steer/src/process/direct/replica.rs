//! A replica of what the platform's store holds, item by item with the revision
//! of its last change, so that one instance can bring another up to date.
//!
//! Invariants: an item is only ever replaced by a later revision of it, whoever
//! tells; deletions are remembered for as long as [`Replica::since`] answers
//! with changes instead of everything.

use std::sync::Arc;

/// One item as the store held it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: Arc<str>,
    /// Revision of its last change.
    pub revision: u64,
    /// Its value; `None` once it was deleted.
    pub value: Option<Arc<[u8]>>,
}

/// What one reader tells another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// Revision up to which the receiver knows everything afterwards.
    pub revision: u64,
    /// Whether these are all items, so that those not named are gone; otherwise
    /// only what has changed.
    pub full: bool,
    /// The items, in any order.
    pub items: Vec<Item>,
}

/// Deletions remembered at most. Beyond it the oldest half is forgotten, and
/// who knows less than that is told everything.
const DELETED_MOST: usize = 4096;

/// All items by key, deleted ones among them for a while.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    revision: u64,
    /// Changes after this revision can be told one by one.
    floor: u64,
    /// Sorted by key.
    items: Vec<Item>,
    deleted: usize,
}

impl Replica {
    /// Revision up to which everything is known; 0 before the first update.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes an update and returns what has changed by it, oldest first, each
    /// key once. An update that ends before what is known changes nothing.
    pub fn apply(&mut self, update: Update) -> Vec<Item> {
        if update.revision < self.revision {
            return Vec::new();
        }
        let mut changed = Vec::new();
        let mut named = Vec::new();
        for item in update.items {
            if update.full {
                named.push(Arc::clone(&item.key));
            }
            if self.put(&item) {
                changed.push(item);
            }
        }
        if update.full {
            named.sort_unstable();
            changed.extend(self.delete_unnamed(&named, update.revision));
            // What was deleted before isn't known one by one.
            self.floor = update.revision;
        }
        self.revision = update.revision;
        self.forget_deleted();
        changed.sort_by_key(|item| item.revision);
        // An update may name a key more than once; the last one holds.
        let held = |item: &Item| self.find(&item.key).map(|at| self.items[at].revision);
        changed.retain(|item| held(item) == Ok(item.revision));
        changed
    }

    /// What a reader that knows everything up to `known` has missed.
    #[must_use]
    pub fn changes_since(&self, known: u64) -> Update {
        let whole = known < self.floor;
        let missed = |item: &&Item| {
            if whole {
                item.value.is_some()
            } else {
                item.revision > known
            }
        };
        Update {
            revision: self.revision,
            full: whole,
            items: self.items.iter().filter(missed).cloned().collect(),
        }
    }

    /// Takes one item unless a later revision of it is known.
    fn put(&mut self, item: &Item) -> bool {
        match self.find(&item.key) {
            Ok(at) => {
                let held = &self.items[at];
                if held.revision >= item.revision {
                    return false;
                }
                self.deleted -= usize::from(held.value.is_none());
                self.items[at] = item.clone();
            }
            Err(at) => self.items.insert(at, item.clone()),
        }
        self.deleted += usize::from(item.value.is_none());
        true
    }

    /// Deletes what a whole update up to `revision` doesn't name and nobody has
    /// changed since.
    fn delete_unnamed(&mut self, named: &[Arc<str>], revision: u64) -> Vec<Item> {
        let mut gone = Vec::new();
        for item in &mut self.items {
            let there = item.value.is_some() && item.revision <= revision;
            if there && named.binary_search(&item.key).is_err() {
                item.value = None;
                item.revision = revision;
                self.deleted += 1;
                gone.push(item.clone());
            }
        }
        gone
    }

    fn forget_deleted(&mut self) {
        if self.deleted <= DELETED_MOST {
            return;
        }
        let deleted = self.items.iter().filter(|item| item.value.is_none());
        let mut revisions: Vec<u64> = deleted.map(|item| item.revision).collect();
        revisions.sort_unstable();
        let last = revisions[revisions.len() / 2];
        self.floor = self.floor.max(last);
        self.items
            .retain(|item| item.value.is_some() || item.revision > last);
        let deleted = self.items.iter().filter(|item| item.value.is_none());
        self.deleted = deleted.count();
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.items.binary_search_by(|item| (*item.key).cmp(key))
    }
}
