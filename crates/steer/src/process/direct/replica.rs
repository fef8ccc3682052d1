//! Replica of the platform's store, item by item with the revision of its last change,
//! so that one instance can bring another up to date.
//!
//! A replica that reads everything anew, as the store's history is gone, still brings
//! readers up to date by changes: else one loss of history would send a full snapshot to
//! every instance of the deployment.
//!
//! Invariants: an item is replaced only by a later revision of it, whatever the source. A
//! later revision with a late report of its writer leaves the value as it was, here and at
//! all who read from this replica.
//! Deletions are remembered for as long as [`Replica::changes_since`] answers with
//! changes instead of a full snapshot. Changes never leave a reader with an item that was
//! deleted meanwhile.

use std::sync::Arc;

use super::report::{Report, Reports};

/// Item as the store held it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key in the store.
    pub key: Arc<str>,
    /// Revision of its last change.
    pub revision: u64,
    /// Value; `None` if it was deleted.
    pub value: Option<Arc<[u8]>>,
    /// Place of the value among the reports of its writer, if it numbers them.
    pub report: Option<Report>,
}

/// Update of one replica from another, or from the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// Revision up to which the receiver knows everything afterwards.
    pub revision: u64,
    /// Whether this is a full snapshot, in which items not named are gone, or only
    /// changes.
    pub is_full: bool,
    /// The revision at which the receiver has to be, where the sender may not know all
    /// that came and went since an earlier or later one.
    pub since: Option<u64>,
    /// Items in any order.
    pub items: Vec<Item>,
}

/// What an update changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// Items that have changed, the oldest change first and each key once.
    pub changed: Vec<Item>,
    /// Items whose values are late reports, which changed nothing.
    pub late: Vec<Item>,
}

/// Largest number of remembered deletions. Beyond it the older half is forgotten, and
/// readers behind them get a full snapshot.
const DELETED_ITEMS_MAX: usize = 4096;

/// Largest number of remembered gaps. Readers behind the oldest of more get a full
/// snapshot.
const GAPS_MAX: usize = 8;

/// An item as it counts, with the reports of its writer.
#[derive(Clone, Debug)]
struct Held {
    item: Item,
    reports: Reports,
}

/// What became of a version of an item.
enum Put {
    /// It is the present one.
    Stored,
    /// A late report, which changes the revision alone.
    Late,
    /// The same or a later revision was known.
    Known,
}

/// Items by key, including recently deleted ones.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    revision: u64,
    /// Readers that know this revision or a later one can be sent changes.
    changes_floor: u64,
    /// Spans between the revisions before and after a full snapshot, oldest first. What
    /// came and went within one was never known here, so readers that know a revision
    /// inside can't be sent changes.
    gaps: Vec<(u64, u64)>,
    /// Counts the updates that changed something.
    version: u64,
    /// Sorted by key.
    items: Vec<Held>,
    deleted_count: usize,
}

impl Replica {
    /// Revision up to which everything is known; 0 before the first update.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Number that changes with the items.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Whether an update can be applied: its changes may follow another revision than
    /// that which is known.
    #[must_use]
    pub fn accepts(&self, update: &Update) -> bool {
        update.is_full || update.since.is_none_or(|since| since == self.revision)
    }

    /// Applies an update. One that ends before the known revision, or isn't accepted,
    /// changes nothing.
    pub fn apply(&mut self, update: Update) -> Applied {
        if update.revision < self.revision || !self.accepts(&update) {
            return Applied::default();
        }
        let mut keys = Vec::new();
        if update.is_full {
            keys = update.items.iter().map(|i| Arc::clone(&i.key)).collect();
            keys.sort_unstable();
        }
        let mut applied = self.put_all(update.items);
        if update.is_full {
            applied
                .changed
                .extend(self.delete_unnamed(&keys, update.revision));
            self.note_gap(update.revision);
        }
        self.revision = update.revision;
        self.forget_deleted();
        applied.changed.sort_by_key(|item| item.revision);
        self.version += u64::from(!applied.changed.is_empty());
        applied
    }

    /// Remembers that a full snapshot of `revision` follows what is known.
    fn note_gap(&mut self, revision: u64) {
        if self.revision == 0 {
            self.changes_floor = revision;
        }
        if self.revision == 0 || revision <= self.revision + 1 {
            return;
        }
        self.gaps.push((self.revision, revision));
        if self.gaps.len() > GAPS_MAX {
            let (_, end) = self.gaps.remove(0);
            self.changes_floor = self.changes_floor.max(end);
        }
    }

    /// Update for a reader that knows everything up to `known`.
    #[must_use]
    pub fn changes_since(&self, known: u64) -> Update {
        let is_in_gap = |(from, to): &(u64, u64)| (from + 1..*to).contains(&known);
        let is_full = known < self.changes_floor || self.gaps.iter().any(is_in_gap);
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
            since: Some(known),
            items: self.items().filter(is_missed).cloned().collect(),
        }
    }

    /// Stores items of which no later revision is known. One pass over the replica,
    /// however many are new.
    fn put_all(&mut self, mut items: Vec<Item>) -> Applied {
        let mut applied = Applied::default();
        let mut added: Vec<Held> = Vec::new();
        // An update may name a key several times, each change after the one before.
        items.sort_by(|a, b| a.key.cmp(&b.key).then(a.revision.cmp(&b.revision)));
        for versions in items.chunk_by(|a, b| a.key == b.key) {
            let found = self.find(&versions[0].key);
            let held = if let Ok(at) = found {
                &mut self.items[at]
            } else {
                added.push_mut(Held::new(&versions[0].key))
            };
            let was_deleted = found.is_ok() && held.item.value.is_none();
            let mut is_changed = false;
            for version in versions {
                match held.put(version) {
                    Put::Stored => is_changed = true,
                    Put::Late => applied.late.push(version.clone()),
                    Put::Known => {}
                }
            }
            self.deleted_count += usize::from(held.item.value.is_none());
            self.deleted_count -= usize::from(was_deleted);
            if is_changed {
                applied.changed.push(held.item.clone());
            }
        }
        if !added.is_empty() {
            self.items.append(&mut added);
            // Two sorted runs, which the sort merges in one pass.
            self.items.sort_by(|a, b| a.item.key.cmp(&b.item.key));
        }
        applied
    }

    /// Deletes the items that a full snapshot of `revision` does not name and that have
    /// not changed since.
    fn delete_unnamed(&mut self, keys: &[Arc<str>], revision: u64) -> Vec<Item> {
        let mut deleted_items = Vec::new();
        for item in self.items.iter_mut().map(|held| &mut held.item) {
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
        let deleted = self.items().filter(|item| item.value.is_none());
        let mut revisions: Vec<u64> = deleted.map(|item| item.revision).collect();
        revisions.sort_unstable();
        let last = revisions[revisions.len() / 2];
        self.changes_floor = self.changes_floor.max(last);
        let is_kept = |held: &Held| held.item.value.is_some() || held.item.revision > last;
        self.items.retain(is_kept);
        let deleted = self.items().filter(|item| item.value.is_none());
        self.deleted_count = deleted.count();
    }

    fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.iter().map(|held| &held.item)
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.items
            .binary_search_by(|held| (*held.item.key).cmp(key))
    }
}

impl Held {
    /// An item that was never written.
    fn new(key: &Arc<str>) -> Self {
        let item = Item {
            key: Arc::clone(key),
            revision: 0,
            value: None,
            report: None,
        };
        Self {
            item,
            reports: Reports::default(),
        }
    }

    /// Takes another version of the item.
    fn put(&mut self, version: &Item) -> Put {
        let item = &mut self.item;
        if version.revision <= item.revision {
            return Put::Known;
        }
        if let Some(report) = version.report {
            if self.reports.is_late(report, item.value.is_none()) {
                item.revision = version.revision;
                return Put::Late;
            }
            self.reports.record(report);
        }
        *item = version.clone();
        Put::Stored
    }
}
